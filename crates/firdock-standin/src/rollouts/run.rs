//! Simulation of one drawn roll-out under one strategy.

use std::collections::VecDeque;
use std::time::Duration;

use firdock_core::settings::Rollouts;
use firdock_policy::rollout::Evidence;
use firdock_policy::rollout::allowance::Progress;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::case::{Badness, Case};
use super::strategy::{Decision, RolloutStrategy};

/// Time step of the model.
const STEP: Duration = Duration::from_millis(50);
/// Delay of the evidence that a strategy sees, and of its decisions: two heartbeats of 200 ms.
const REPORT_DELAY: Duration = Duration::from_millis(400);
/// Maximum time for which the start of a roll-out may not have been read yet.
const START_UNCERTAINTY: Duration = Duration::from_millis(600);
/// Maximum number of endpoints on which a new version is tried before everything moves.
const CANARIES: usize = 8;
/// Latency factors of endpoints relative to the median endpoint, as on the users' sites.
const LATENCY_FACTORS: [f64; 3] = [0.55, 1.0, 2.8];
/// Probability that an answer fails without a defect of the version or the endpoint.
const FAILURES: f64 = 0.02;
/// Probability that an answer of a grey endpoint fails.
const GREY_FAILURES: f64 = 0.4;
/// Number of bad answers after which a version should soon receive no more requests.
const MARKED_BAD: u64 = 50;

/// Outcome of a simulated roll-out.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// Number of requests during the roll-out.
    pub sent: u64,
    /// Number of requests that the new version received.
    pub exposed: u64,
    /// Time at which the version was given up, if it was.
    pub halted: Option<Duration>,
    /// Time at which all requests were moved to the new version, if they were.
    pub moved: Option<Duration>,
    /// Time of the new version's 50th bad answer, if it gave so many.
    pub marked: Option<Duration>,
}

/// A simulated endpoint.
struct SimEndpoint {
    name: String,
    latency_factor: f64,
    /// Start of the period in which it is grey, as a fraction of the roll-out's time.
    grey: Option<f64>,
}

struct Model<'a> {
    case: &'a Case,
    rng: SmallRng,
    old: Vec<SimEndpoint>,
    new: Vec<SimEndpoint>,
    evidence: Evidence,
    bad: u64,
}

impl<'a> Model<'a> {
    fn new(case: &'a Case, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut endpoints = |count: usize, prefix: &str| -> Vec<SimEndpoint> {
            let endpoint = |n: usize| SimEndpoint {
                name: format!("{prefix}-{n}"),
                latency_factor: LATENCY_FACTORS[rng.random_range(0..LATENCY_FACTORS.len())],
                grey: rng
                    .random_bool(case.grey)
                    .then(|| rng.random_range(0.0..0.7)),
            };
            (0..count).map(endpoint).collect()
        };
        Self {
            old: endpoints(case.endpoints, "old"),
            new: endpoints(case.endpoints, "new"),
            case,
            rng,
            evidence: Evidence::default(),
            bad: 0,
        }
    }

    /// Sends one request at a fraction of the roll-out's time.
    fn send(&mut self, time_fraction: f64, ratio: f64, moved: bool) {
        const GREY_TIME: f64 = 0.33;
        let new = moved || self.rng.random_bool(ratio.clamp(0.0, 1.0));
        let service = self.draw_service();
        let endpoints = if new { &self.new } else { &self.old };
        let used = if new && !moved {
            endpoints.len().min(CANARIES)
        } else {
            endpoints.len()
        };
        let endpoint = &endpoints[self.rng.random_range(0..used)];
        let grey = endpoint
            .grey
            .is_some_and(|at| (at..at + GREY_TIME).contains(&time_fraction));
        let mut fails = self
            .rng
            .random_bool(if grey { GREY_FAILURES } else { FAILURES });
        let mut latency_ratio =
            endpoint.latency_factor * self.rng.random_range(-0.7..0.7_f64).exp();
        let spoiled = new
            && is_bad(self.case, time_fraction, service)
            && self.rng.random_bool(self.case.spoiled);
        if spoiled && self.case.badness == Badness::Slow {
            latency_ratio *= self.case.slower;
        } else {
            fails |= spoiled;
        }
        self.bad += u64::from(new && (fails || spoiled));
        self.evidence.sent += 1;
        self.evidence.exposed += u64::from(new);
        let name = if new {
            endpoint.name.clone()
        } else {
            String::new()
        };
        let tally = self.evidence.tally(&format!("service-{service}"), &name);
        if fails {
            tally.failed += 1;
        } else {
            tally.record_answer(latency_ratio);
        }
    }

    fn draw_service(&mut self) -> usize {
        let mut drawn = self.rng.random_range(0.0..1.0);
        for (index, fraction) in self.case.services.iter().enumerate() {
            drawn -= fraction;
            if drawn < 0.0 {
                return index;
            }
        }
        0
    }
}

/// Returns whether the new version's defect affects a service at a fraction of the roll-out's time.
fn is_bad(case: &Case, time_fraction: f64, service: usize) -> bool {
    const LOAD_PERIODS: f64 = 3.0;
    match case.badness {
        Badness::Good => false,
        Badness::Fails | Badness::Slow => true,
        Badness::Later => time_fraction >= case.from,
        Badness::OneService => service == 0,
        Badness::UnderLoad => (time_fraction * LOAD_PERIODS).fract() >= case.from.min(0.5),
    }
}

/// Simulates a drawn roll-out under a strategy.
pub fn run(case: &Case, strategy: &impl RolloutStrategy, bounds: Rollouts, seed: u64) -> Outcome {
    let mut model = Model::new(case, seed);
    let mut outcome = Outcome::default();
    let mut reports: VecDeque<(Duration, Evidence)> = VecDeque::new();
    let mut decided: Option<(Duration, Decision)> = None;
    let mut now = Duration::ZERO;
    let known_from = START_UNCERTAINTY.mul_f64(model.rng.random_range(0.0..1.0));
    let mut due_requests = 0.0;
    while now < case.time {
        now += STEP;
        let time_fraction = now.as_secs_f64() / case.time.as_secs_f64();
        let in_force = decided
            .filter(|(at, _)| *at + REPORT_DELAY <= now)
            .map(|(_, d)| d);
        let known = now >= known_from;
        let newest_report = reports
            .iter()
            .rev()
            .find(|(at, _)| *at + REPORT_DELAY <= now);
        let received = newest_report.map(|(_, e)| e.clone()).unwrap_or_default();
        let progress = Progress {
            elapsed: now.saturating_sub(known_from) + START_UNCERTAINTY,
            uncertainty: START_UNCERTAINTY,
            time: case.time,
            sent: received.sent,
            exposed: received.exposed,
        };
        let ratio = match in_force {
            Some(Decision::Halt) => 0.0,
            _ if known => strategy.ratio(progress, bounds),
            _ => 0.0,
        };
        due_requests += case.rate * STEP.as_secs_f64();
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            model.send(time_fraction, ratio, in_force == Some(Decision::Move));
        }
        if model.bad >= MARKED_BAD {
            outcome.marked.get_or_insert(now);
        }
        reports.push_back((now, model.evidence.clone()));
        while reports.len() > 1 && reports[1].0 + REPORT_DELAY <= now {
            reports.pop_front();
        }
        let decision = if known && decided.is_none() {
            strategy.decide(progress, bounds, &received, case.endpoints)
        } else {
            Decision::Watch
        };
        match decision {
            Decision::Watch => continue,
            Decision::Move => outcome.moved = Some(now),
            Decision::Halt => outcome.halted = Some(now),
        }
        decided = Some((now, decision));
    }
    outcome.sent = model.evidence.sent;
    outcome.exposed = model.evidence.exposed;
    outcome
}
