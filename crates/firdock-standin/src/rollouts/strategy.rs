//! Strategies that decide on a roll-out.

use firdock_core::settings::Rollouts;
use firdock_policy::rollout::allowance::{self, Progress};
use firdock_policy::rollout::evidence::BINS;
use firdock_policy::rollout::{Evidence, Tally, verdict};

/// Decision on a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Keep observing.
    Watch,
    /// Move all requests to the new version; final.
    Move,
    /// Give the new version up; final.
    Halt,
}

/// A strategy for deciding on roll-outs.
pub trait RolloutStrategy {
    /// Returns the name.
    fn name(&self) -> &'static str;

    /// Returns the fraction of the requests that the new version receives now.
    fn ratio(&self, progress: Progress, bounds: Rollouts) -> f64;

    /// Decides by the evidence so far; `endpoints` is the number of endpoints of the new version.
    fn decide(
        &self,
        progress: Progress,
        bounds: Rollouts,
        evidence: &Evidence,
        endpoints: usize,
    ) -> Decision;
}

/// Firdock's strategy: a ratio from the exposure allowance, and a sequential likelihood-ratio test.
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
        evidence: &Evidence,
        endpoints: usize,
    ) -> Decision {
        match verdict::evaluate(evidence, endpoints) {
            Some(finding) if finding.bad => Decision::Halt,
            None if allowance::may_move_all(progress, bounds) => Decision::Move,
            _ => Decision::Watch,
        }
    }
}

/// The usual strategy: fixed steps, and a threshold on the fraction of bad answers.
#[derive(Debug, Clone, Copy)]
pub struct Steps;

/// Start of each step as a fraction of the time, and the fraction of the requests for the new version.
const STEPS: [(f64, f64); 4] = [(0.0, 0.01), (0.25, 0.05), (0.5, 0.25), (0.75, 0.5)];
/// Fraction of the time after which all requests move.
const LAST_STEP: f64 = 0.9;
/// Minimum number of the new version's answers for a service before the threshold applies.
const MIN_ANSWERS: f64 = 20.0;
/// Maximum excess of the new version's fraction of bad answers over the old version's.
const MAX_EXCESS: f64 = 0.1;
/// First histogram bin of answers that took at least four times as long as expected.
const SLOW_BIN: usize = BINS / 2;

impl RolloutStrategy for Steps {
    fn name(&self) -> &'static str {
        "steps"
    }

    fn ratio(&self, progress: Progress, _bounds: Rollouts) -> f64 {
        let time_fraction = progress.elapsed.as_secs_f64() / progress.time.as_secs_f64();
        let reached = STEPS.iter().rev().find(|(from, _)| *from <= time_fraction);
        reached.map_or(0.0, |(_, ratio)| *ratio)
    }

    fn decide(
        &self,
        progress: Progress,
        _bounds: Rollouts,
        evidence: &Evidence,
        _endpoints: usize,
    ) -> Decision {
        let mut services: Vec<&str> = evidence.tallies.keys().map(|(s, _)| s.as_str()).collect();
        services.dedup();
        let worse = |service: &&str| {
            let (old, _) = bad_fraction(evidence, service, true);
            let (new, answers) = bad_fraction(evidence, service, false);
            answers >= MIN_ANSWERS && new > old + MAX_EXCESS
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

/// Returns the fraction of bad answers for a service by one version, and the number of all answers.
fn bad_fraction(evidence: &Evidence, service: &str, old: bool) -> (f64, f64) {
    let matches = |((s, e), _): &(&(String, String), &Tally)| s == service && e.is_empty() == old;
    let mut all = Tally::default();
    for (_, tally) in evidence.tallies.iter().filter(matches) {
        all.add(tally);
    }
    let bad = f64::from(all.failed + all.lost + all.count_from_bin(SLOW_BIN));
    let answers = f64::from(all.failed + all.lost + all.whole());
    (bad / answers.max(1.0), answers)
}
