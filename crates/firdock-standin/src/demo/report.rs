//! Report of the demo.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use serde::Serialize;

use super::load::CallResult;

/// Figures of one tier.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct TierRow {
    /// Requests sent.
    pub sent: u64,
    /// Requests whose caller received its own complete answer.
    pub answered: u64,
    /// Requests that no endpoint ran.
    pub not_run: u64,
    /// Requests of which it is unknown whether they ran.
    pub unknown: u64,
    /// Requests without a valid outcome, or whose answer is incomplete or belongs to another request.
    pub unsound: u64,
    /// 95th percentile of the time to the first byte, in milliseconds.
    pub first_p95_millis: u64,
}

/// Report over all tiers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DemoReport {
    /// Figures by tier.
    pub tiers: BTreeMap<&'static str, TierRow>,
    /// Prompt tokens whose computation was wasted.
    pub wasted_prefill_tokens: u64,
    /// Highest number of runs of any request on one endpoint.
    pub most_runs: u32,
}

impl DemoReport {
    /// Creates the report from the results of all calls.
    #[must_use]
    pub(super) fn new(results: &[CallResult], most_runs: u32, wasted: u64) -> Self {
        let mut tiers: BTreeMap<&'static str, TierRow> = BTreeMap::new();
        let mut first_byte_times: BTreeMap<&'static str, Vec<u64>> = BTreeMap::new();
        for r in results {
            let row = tiers.entry(r.tier).or_default();
            row.sent += 1;
            match r.got.outcome.as_str() {
                "answered" if r.got.answered() => {
                    row.answered += 1;
                    let millis = u64::try_from(r.got.first.as_millis()).unwrap_or(u64::MAX);
                    first_byte_times.entry(r.tier).or_default().push(millis);
                }
                "not-run" if r.got.is_sound() => row.not_run += 1,
                "unknown" if r.got.is_sound() => row.unknown += 1,
                _ => row.unsound += 1,
            }
        }
        for (tier, mut times) in first_byte_times {
            times.sort_unstable();
            let at = (times.len() * 95).div_ceil(100).saturating_sub(1);
            if let Some(row) = tiers.get_mut(tier) {
                row.first_p95_millis = times[at];
            }
        }
        Self {
            tiers,
            wasted_prefill_tokens: wasted,
            most_runs,
        }
    }

    /// Returns whether every request had exactly one outcome, with its own complete answer if answered, and
    /// ran at most once on any endpoint.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.tiers.values().all(|t| t.unsound == 0) && self.most_runs <= 1
    }
}

impl Display for DemoReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:>6} {:>9} {:>8} {:>8} {:>8} {:>14}",
            "tier", "sent", "answered", "not-run", "unknown", "unsound", "first p95"
        )?;
        for (name, t) in &self.tiers {
            writeln!(
                f,
                "{name:<10} {:>6} {:>9} {:>8} {:>8} {:>8} {:>11} ms",
                t.sent, t.answered, t.not_run, t.unknown, t.unsound, t.first_p95_millis
            )?;
        }
        writeln!(f, "wasted prefill tokens: {}", self.wasted_prefill_tokens)?;
        writeln!(
            f,
            "most runs of a request on one endpoint: {}",
            self.most_runs
        )?;
        write!(f, "every request ended in one outcome: {}", self.is_sound())
    }
}
