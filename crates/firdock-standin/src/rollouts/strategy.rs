//! Ways to decide on a roll-out.

use firdock_core::settings::Rollouts;
use firdock_policy::rollout::allowance::{self, Progress};
use firdock_policy::rollout::evidence::BINS;
use firdock_policy::rollout::{Evidence, Tally, verdict};

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Go on watching.
    Watch,
    /// Move everything, for good.
    Move,
    /// Give the version up, for good.
    Halt,
}

/// A way to decide.
pub trait RolloutStrategy {
    /// Gives the name.
    fn name(&self) -> &'static str;

    /// Gives the part of the requests that the new version gets now.
    fn ratio(&self, progress: Progress, bounds: Rollouts) -> f64;

    /// Decides by what is known; the new version has so many endpoints.
    fn decide(
        &self,
        progress: Progress,
        bounds: Rollouts,
        seen: &Evidence,
        endpoints: usize,
    ) -> Decision;
}

/// The product's way: a part from the allowance, and a sequential likelihood ratio.
#[derive(Debug, Clone, Copy)]
pub struct Allowance;

impl RolloutStrategy for Allowance {
    fn name(&self) -> &'static str {
        "allowance"
    }

    fn ratio(&self, progress: Progress, bounds: Rollouts) -> f64 {
        allowance::watched_ratio(progress, bounds)
    }

    fn decide(
        &self,
        progress: Progress,
        bounds: Rollouts,
        seen: &Evidence,
        endpoints: usize,
    ) -> Decision {
        match verdict::evaluate(seen, endpoints) {
            Some(finding) if finding.bad => Decision::Halt,
            None if allowance::may_move_all(progress, bounds) => Decision::Move,
            _ => Decision::Watch,
        }
    }
}

/// The usual way: fixed steps, and a threshold for the part of bad answers.
#[derive(Debug, Clone, Copy)]
pub struct Steps;

/// Parts of the time from which on a step holds, and what the new version gets then.
const STEPS: [(f64, f64); 4] = [(0.0, 0.01), (0.25, 0.05), (0.5, 0.25), (0.75, 0.5)];
/// Part of the time after which everything moves.
const LAST_STEP: f64 = 0.9;
/// Answers of the new version to a service's requests from which on its part of bad ones counts.
const LEAST_ANSWERS: f64 = 20.0;
/// How much greater than the old version's it may be.
const MOST_WORSE: f64 = 0.1;
/// Band of answers that took four times as long as expected, and beyond.
const SLOW_BAND: usize = BINS / 2;

impl RolloutStrategy for Steps {
    fn name(&self) -> &'static str {
        "steps"
    }

    fn ratio(&self, progress: Progress, _bounds: Rollouts) -> f64 {
        let part = progress.elapsed.as_secs_f64() / progress.time.as_secs_f64();
        let reached = STEPS.iter().rev().find(|(from, _)| *from <= part);
        reached.map_or(0.0, |(_, ratio)| *ratio)
    }

    fn decide(
        &self,
        progress: Progress,
        _bounds: Rollouts,
        seen: &Evidence,
        _endpoints: usize,
    ) -> Decision {
        let mut services: Vec<&str> = seen.tallies.keys().map(|(s, _)| s.as_str()).collect();
        services.dedup();
        let worse = |service: &&str| {
            let (old, _) = bad_part(seen, service, true);
            let (new, answers) = bad_part(seen, service, false);
            answers >= LEAST_ANSWERS && new > old + MOST_WORSE
        };
        if services.iter().any(worse) {
            Decision::Halt
        } else if progress.elapsed >= progress.time.mul_f64(LAST_STEP) {
            Decision::Move
        } else {
            Decision::Watch
        }
    }
}

/// Gives the part of bad answers to a service's requests by one version, and how many there were.
fn bad_part(seen: &Evidence, service: &str, old: bool) -> (f64, f64) {
    let of = |((s, e), _): &(&(String, String), &Tally)| s == service && e.is_empty() == old;
    let mut all = Tally::default();
    for (_, tally) in seen.tallies.iter().filter(of) {
        all.add(tally);
    }
    let bad = f64::from(all.failed + all.lost + all.count_from_bin(SLOW_BAND));
    let answers = f64::from(all.failed + all.lost + all.whole());
    (bad / answers.max(1.0), answers)
}
