//! Counters that the policy keeps while it decides.

use std::collections::BTreeMap;

use firdock_core::{AccountId, Outcome, PoolId, Reason, TierRank};

use crate::event::{BreakCause, Liveness};

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

/// How a try of a request ended, as its caller sees it from the first try on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// Answered, and begun within the target since the first try.
    InTime,
    /// Answered later.
    Late,
    /// Refused, and ran nowhere.
    NotRun,
    /// Ended without a whole answer, and may have run.
    Unknown,
}

impl AttemptOutcome {
    /// Gives the label used in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in-time",
            Self::Late => "late",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// What tries are counted by.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Tier.
    pub tier: String,
    /// Whether the caller came back with it.
    pub returned: bool,
    /// How it ended.
    pub end: AttemptOutcome,
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

/// What refusals for load are counted by.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RefusalKey {
    /// Account; [`RefusalKey::OTHERS`] beyond those that are told apart.
    pub account: AccountId,
    /// Declared rank of the request.
    pub rank: TierRank,
    /// Whether the account was over its share.
    pub over: bool,
}

impl RefusalKey {
    /// Name under which accounts count beyond those that are told apart.
    pub const OTHERS: &'static str = "(others)";
    /// Rows that are kept, so that names of accounts do not fill the metrics.
    pub const MOST: usize = 512;
}

/// Notices of the endpoints of one pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoticeStats {
    /// Starts of endpoints that said that they leave.
    pub leaving: u64,
    /// Answers that asked for a back-off.
    pub backoffs: u64,
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
    /// Ended tries: by these, times to come back are judged by what callers get of them.
    pub attempts: BTreeMap<AttemptKey, u64>,
    /// Refusals for load by account, where accounts have shares.
    pub refusals: BTreeMap<RefusalKey, u64>,
    /// Dispatches.
    pub dispatches: u64,
    /// Figures of their pace that endpoints told, by pool.
    pub pace_reports: BTreeMap<PoolId, u64>,
    /// What endpoints said of themselves with answers, by pool.
    pub notices: BTreeMap<PoolId, NoticeStats>,
    /// Broken dispatches, by how they came to break.
    pub broken: BTreeMap<BreakCause, u64>,
    /// Looks at endpoints whose connections ended early, by what was found.
    pub liveness_checks: BTreeMap<Liveness, u64>,
    /// Ends of endpoints that were held against a request.
    pub blamed: u64,
    /// Second tries after a broken dispatch.
    pub retries: u64,
    /// Late or crossed news that was dropped.
    pub stale_news: u64,
    /// Requests handed over to peers.
    pub handed_over: u64,
    /// Times that an endpoint was ejected.
    pub ejections: u64,
    /// Times that an endpoint started again under its name.
    pub restarts: u64,
    /// Dispatches that ended with a start of their endpoint.
    pub lost_by_restart: u64,
}

impl Stats {
    /// Counts a refusal for load.
    pub fn count_refusal(&mut self, mut key: RefusalKey) {
        let full = self.refusals.len() >= RefusalKey::MOST;
        if full && !self.refusals.contains_key(&key) {
            RefusalKey::OTHERS.clone_into(&mut key.account);
        }
        *self.refusals.entry(key).or_default() += 1;
    }
}
