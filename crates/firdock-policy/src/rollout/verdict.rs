//! Whether the evidence says that a version is bad.
//!
//! The part of bad answers is compared with that of the old version, on each service's requests and on
//! all together, by a sequential likelihood ratio: it may be looked at after each answer. A bad
//! answer is one that failed, or that took longer than nearly all of the old version's do. Endpoints
//! have faults of their own, in either version; so the bad answers have to come from most endpoints
//! of the new one.

use std::collections::BTreeMap;

use firdock_core::ServiceId;

use super::evidence::{BINS, Evidence, Tally};

/// Part of the old version's answers that may count as slow: answers are slow from the band on that has
/// no more of them in it and beyond. With 0.15 looked at besides, 4 in 100 more of the slow versions were
/// found, and 4 in 100 good ones given up (200 drawn roll-outs of each kind).
const SLOW_PART: f64 = 0.04;
/// Old answers from which on slow ones are told apart.
const SLOW_LEAST: u32 = 40;
/// Added to the old version's part of bad answers: endpoints of one version differ by as much.
const MARGIN: f64 = 0.04;
/// Part of bad answers that is assumed of the old version where it gave too few to tell.
const UNKNOWN_PART: f64 = 0.1;
/// Old answers from which on their own part of bad ones counts.
const KNOWN_LEAST: u32 = 20;
/// Parts of its answers that a bad version may spoil, all held to be equally likely.
const SPOILED: [f64; 4] = [0.1, 0.2, 0.4, 0.8];
/// Logarithm of the likelihood ratio from which on a version is bad: one in 1,100, looked at on some
/// five services and on all together. Of 200 drawn good versions of 60 endpoints none was called bad.
/// What 10 found less was measured only together with other changes (`docs/design/rollouts.md`).
const BAD_FROM: f64 = 7.0;
/// The same from which on a version is doubted: its trial goes on, though its time is up.
const DOUBTED_FROM: f64 = 3.0;
/// Endpoints of the new version that have to show it at least, where there are so many.
const LEAST_ENDPOINTS: usize = 2;
/// Bad answers from which on an endpoint shows it, and how many times the old version's part they have to
/// be: by chance alone, one of three endpoints has one more than its part.
const WORSE_LEAST: f64 = 2.0;
const WORSE_TIMES: f64 = 1.5;
/// Answers from which on an endpoint counts among them.
const ENDPOINT_LEAST: u32 = 3;
/// Answers that broke off count up to this part of an endpoint's whole ones, and one more: a crash
/// loses all that ran there at one time, and is the endpoint's own fault.
const LOST_PART: f64 = 0.15;

/// What the evidence says against a version.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Whether that is enough to call it bad; a doubt otherwise.
    pub bad: bool,
    /// Service whose requests show it; `None` for all of them together.
    pub service: Option<ServiceId>,
    /// Answers of the new version.
    pub answers: u32,
    /// Those among them that were bad.
    pub bad_answers: u32,
    /// Part of bad answers that is reckoned with for the old version.
    pub old_part: f64,
}

/// Answers, and the bad ones among them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Counts {
    answers: f64,
    bad: f64,
}

impl Counts {
    fn new(tally: &Tally, slow: usize) -> Self {
        let whole = f64::from(tally.whole());
        let lost = f64::from(tally.lost).min(1.0 + LOST_PART * whole);
        let failed = f64::from(tally.failed) + lost;
        Self {
            answers: whole + failed,
            bad: f64::from(tally.count_from_bin(slow)) + failed,
        }
    }

    fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.bad += other.bad;
    }
}

/// Both versions' answers to the requests of one service, or of all.
#[derive(Debug, Default)]
struct Compared<'a> {
    old: Counts,
    new: BTreeMap<&'a str, Counts>,
}

impl Compared<'_> {
    /// Gives the part of bad answers that is reckoned with for the old version.
    fn old_part(&self) -> f64 {
        let part = (self.old.bad + 1.0) / (self.old.answers + 2.0) + MARGIN;
        let known = self.old.answers >= f64::from(KNOWN_LEAST);
        if known { part } else { part.max(UNKNOWN_PART) }
    }

    fn new_counts(&self) -> Counts {
        let mut all = Counts::default();
        for counts in self.new.values() {
            all.add(*counts);
        }
        all
    }

    /// Tells whether most of the new version's endpoints, and no fewer than `least`, give more bad answers
    /// than the old version.
    fn is_spread(&self, old: f64, least: usize) -> bool {
        let told = |c: &&Counts| c.answers >= f64::from(ENDPOINT_LEAST);
        let told: Vec<&Counts> = self.new.values().filter(told).collect();
        let worse = |c: &&&Counts| c.bad >= WORSE_LEAST && c.bad > WORSE_TIMES * old * c.answers;
        let worse = told.iter().filter(worse).count();
        2 * worse > told.len() && worse >= least
    }

    fn finding(&self, service: Option<&str>, least: usize) -> Option<Finding> {
        let old = self.old_part();
        let new = self.new_counts();
        let ratio = ratio(new, old);
        let doubted = ratio >= DOUBTED_FROM && self.is_spread(old, least);
        doubted.then(|| Finding {
            bad: ratio >= BAD_FROM,
            service: service.map(ToOwned::to_owned),
            answers: new.answers as u32,
            bad_answers: new.bad as u32,
            old_part: old,
        })
    }
}

/// Gives the logarithm of how much likelier counts are for a bad version than for one like the old.
fn ratio(counts: Counts, old: f64) -> f64 {
    let good = counts.answers - counts.bad;
    let old = old.min(0.99);
    let likelier = |spoiled: &f64| {
        let part = old + (1.0 - old) * spoiled;
        counts.bad * (part / old).ln() + good * ((1.0 - part) / (1.0 - old)).ln()
    };
    let logs = SPOILED.map(|s| likelier(&s));
    let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = logs.iter().map(|l| (l - most).exp()).sum();
    most + (sum / SPOILED.len() as f64).ln()
}

/// Gives the band from which on answers to a service's requests are slow.
fn slow_band(old: Option<&Tally>) -> usize {
    let Some(old) = old.filter(|t| t.whole() >= SLOW_LEAST) else {
        return BINS;
    };
    let most = SLOW_PART * f64::from(old.whole());
    let slow = |band: &usize| f64::from(old.count_from_bin(*band)) <= most;
    (0..=BINS).find(slow).unwrap_or(BINS)
}

/// Gives what the evidence says against a version; `None` where it says nothing. The new version has so
/// many `endpoints` that take work.
#[must_use]
pub fn evaluate(evidence: &Evidence, endpoints: usize) -> Option<Finding> {
    let mut services: BTreeMap<&str, Compared<'_>> = BTreeMap::new();
    let mut all = Compared::default();
    for ((service, endpoint), tally) in &evidence.tallies {
        let old = evidence.tallies.get(&(service.clone(), String::new()));
        let counts = Counts::new(tally, slow_band(old));
        for compared in [services.entry(service).or_default(), &mut all] {
            if endpoint.is_empty() {
                compared.old.add(counts);
            } else {
                compared.new.entry(endpoint).or_default().add(counts);
            }
        }
    }
    let least = endpoints.min(LEAST_ENDPOINTS);
    let by_service = services
        .iter()
        .filter_map(|(name, c)| c.finding(Some(name), least));
    let findings = by_service.chain(all.finding(None, least));
    findings.max_by_key(|f| f.bad)
}
