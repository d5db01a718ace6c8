//! Decides whether the evidence shows that a version is bad.
//!
//! The fraction of bad answers is compared with that of the old version, for each service and for
//! all together, by a sequential likelihood ratio test, which may be evaluated after every answer.
//! A bad answer is one that failed or took longer than nearly all answers of the old version.
//! Endpoints of either version can have faults of their own, so bad answers have to come from most
//! endpoints of the new version.

use std::collections::BTreeMap;

use firdock_core::ServiceId;

use super::evidence::{BINS, Evidence, Tally};

/// Fraction of the old version's answers that may count as slow: the first bin with at most this
/// fraction in it and above is the threshold. With 0.15 tested in addition, 4 in 100 more of the
/// slow versions were detected, and 4 in 100 good ones were rolled back (200 simulated roll-outs of
/// each kind).
const SLOW_FRACTION: f64 = 0.04;
/// Minimum number of old answers for a slowness threshold.
const MIN_SLOW_ANSWERS: u32 = 40;
/// Added to the old version's fraction of bad answers: endpoints of one version differ by this
/// much.
const MARGIN: f64 = 0.04;
/// Fraction of bad answers assumed for the old version if it gave too few to tell.
const DEFAULT_BAD_FRACTION: f64 = 0.1;
/// Minimum number of old answers for their own fraction of bad ones to be used.
const MIN_OLD_ANSWERS: u32 = 20;
/// Fractions of answers that a bad version may spoil, all assumed equally likely.
const SPOILED_FRACTIONS: [f64; 4] = [0.1, 0.2, 0.4, 0.8];
/// Log-likelihood ratio at which a version is bad: odds of 1,100 to 1, since about five services
/// and all together are tested (`docs/design/rollouts.md`).
const BAD_RATIO: f64 = 7.0;
/// Log-likelihood ratio at which a version is in doubt: its observation continues past its time.
const DOUBT_RATIO: f64 = 3.0;
/// Minimum number of endpoints of the new version with bad answers, where it has that many.
const MIN_BAD_ENDPOINTS: usize = 2;
/// Minimum number of bad answers for an endpoint to count as worse, and minimum multiple of the old
/// version's fraction: by chance alone, one of three endpoints has one bad answer more than its
/// share.
const MIN_WORSE_ANSWERS: f64 = 2.0;
const WORSE_FACTOR: f64 = 1.5;
/// Minimum number of answers for an endpoint to be compared.
const MIN_ENDPOINT_ANSWERS: u32 = 3;
/// Broken answers count up to this fraction of an endpoint's complete ones, plus one: a crash
/// breaks everything that runs at the time and is the fault of that endpoint alone.
const LOST_FRACTION: f64 = 0.15;

/// Evidence against a version.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Whether it is enough to call the version bad; otherwise the version is in doubt.
    pub bad: bool,
    /// Service whose requests show it; `None` for all of them together.
    pub service: Option<ServiceId>,
    /// Answers of the new version.
    pub answers: u32,
    /// Those of them that were bad.
    pub bad_answers: u32,
    /// Assumed fraction of bad answers of the old version.
    pub old_part: f64,
}

/// Number of answers, and of bad ones among them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Counts {
    answers: f64,
    bad: f64,
}

impl Counts {
    fn new(tally: &Tally, slow: usize) -> Self {
        let whole = f64::from(tally.whole());
        let lost = f64::from(tally.lost).min(1.0 + LOST_FRACTION * whole);
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

/// Both versions' answers to the requests of one service, or of all services.
#[derive(Debug, Default)]
struct Compared<'a> {
    old: Counts,
    new: BTreeMap<&'a str, Counts>,
}

impl Compared<'_> {
    /// Returns the fraction of bad answers assumed for the old version.
    fn old_part(&self) -> f64 {
        let fraction = (self.old.bad + 1.0) / (self.old.answers + 2.0) + MARGIN;
        let known = self.old.answers >= f64::from(MIN_OLD_ANSWERS);
        if known {
            fraction
        } else {
            fraction.max(DEFAULT_BAD_FRACTION)
        }
    }

    fn new_counts(&self) -> Counts {
        let mut all = Counts::default();
        for counts in self.new.values() {
            all.add(*counts);
        }
        all
    }

    /// Returns whether most endpoints of the new version, and at least `min_endpoints`, give more
    /// bad answers than the old version.
    fn is_spread(&self, old: f64, min_endpoints: usize) -> bool {
        let has_enough = |c: &&Counts| c.answers >= f64::from(MIN_ENDPOINT_ANSWERS);
        let compared: Vec<&Counts> = self.new.values().filter(has_enough).collect();
        let is_worse =
            |c: &&&Counts| c.bad >= MIN_WORSE_ANSWERS && c.bad > WORSE_FACTOR * old * c.answers;
        let worse = compared.iter().filter(is_worse).count();
        2 * worse > compared.len() && worse >= min_endpoints
    }

    fn finding(&self, service: Option<&str>, min_endpoints: usize) -> Option<Finding> {
        let old = self.old_part();
        let new = self.new_counts();
        let log_likelihood_ratio = log_likelihood_ratio(new, old);
        let doubted = log_likelihood_ratio >= DOUBT_RATIO && self.is_spread(old, min_endpoints);
        doubted.then(|| Finding {
            bad: log_likelihood_ratio >= BAD_RATIO,
            service: service.map(ToOwned::to_owned),
            answers: new.answers as u32,
            bad_answers: new.bad as u32,
            old_part: old,
        })
    }
}

/// Returns the log-likelihood ratio of the counts: a bad version against one like the old.
fn log_likelihood_ratio(counts: Counts, old: f64) -> f64 {
    let good = counts.answers - counts.bad;
    let old = old.min(0.99);
    let log_ratio = |spoiled: &f64| {
        let fraction = old + (1.0 - old) * spoiled;
        counts.bad * (fraction / old).ln() + good * ((1.0 - fraction) / (1.0 - old)).ln()
    };
    let log_ratios = SPOILED_FRACTIONS.map(|s| log_ratio(&s));
    let highest = log_ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = log_ratios.iter().map(|l| (l - highest).exp()).sum();
    highest + (sum / SPOILED_FRACTIONS.len() as f64).ln()
}

/// Returns the first bin in which answers to a service's requests are slow.
fn slow_bin(old: Option<&Tally>) -> usize {
    let Some(old) = old.filter(|t| t.whole() >= MIN_SLOW_ANSWERS) else {
        return BINS;
    };
    let max_slow = SLOW_FRACTION * f64::from(old.whole());
    let slow = |bin: &usize| f64::from(old.count_from_bin(*bin)) <= max_slow;
    (0..=BINS).find(slow).unwrap_or(BINS)
}

/// Evaluates the evidence; `None` if there is nothing against the version. `endpoints` is the
/// number of endpoints of the new version that take work.
#[must_use]
pub fn evaluate(evidence: &Evidence, endpoints: usize) -> Option<Finding> {
    let mut services: BTreeMap<&str, Compared<'_>> = BTreeMap::new();
    let mut all = Compared::default();
    for ((service, endpoint), tally) in &evidence.tallies {
        let old = evidence.tallies.get(&(service.clone(), String::new()));
        let counts = Counts::new(tally, slow_bin(old));
        for compared in [services.entry(service).or_default(), &mut all] {
            if endpoint.is_empty() {
                compared.old.add(counts);
            } else {
                compared.new.entry(endpoint).or_default().add(counts);
            }
        }
    }
    let min_endpoints = endpoints.min(MIN_BAD_ENDPOINTS);
    let by_service = services
        .iter()
        .filter_map(|(name, c)| c.finding(Some(name), min_endpoints));
    let findings = by_service.chain(all.finding(None, min_endpoints));
    findings.max_by_key(|f| f.bad)
}
