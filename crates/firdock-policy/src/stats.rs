//! Counters that the policy keeps while it decides.

use std::collections::BTreeMap;

use firdock_core::{Outcome, Reason};

/// Why prefill work was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WasteCause {
    /// The endpoint was lost before the answer was whole.
    EndpointLost,
    /// The caller went away while the request ran.
    CallerLeft,
}

impl WasteCause {
    /// Gives the label used in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::EndpointLost => "endpoint-lost",
            Self::CallerLeft => "caller-left",
        }
    }
}

/// Counts for one tier.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TierStats {
    /// Requests that arrived from callers.
    pub arrived: u64,
    /// Whole answers whose first token or byte met the tier's target.
    pub good: u64,
    /// Whole answers.
    pub answered: u64,
    /// Requests given up for load.
    pub shed: u64,
}

/// All counters.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Counts by tier name.
    pub tiers: BTreeMap<String, TierStats>,
    /// Prompt tokens computed in vain, by cause.
    pub wasted: BTreeMap<WasteCause, u64>,
    /// Ends by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Final answers of firdock's own, by reason.
    pub reasons: BTreeMap<Reason, u64>,
    /// Dispatches.
    pub dispatches: u64,
    /// Second tries after a broken dispatch.
    pub retries: u64,
    /// Late or crossed news that was dropped.
    pub stale_news: u64,
    /// Requests handed over to peers.
    pub handed_over: u64,
    /// Times that an endpoint was ejected.
    pub ejections: u64,
}
