//! Counters of the policy.

use std::collections::BTreeMap;

use firdock_core::{AccountId, Outcome, PoolId, Reason, TierRank};

use crate::event::{BreakCause, ConnectFailure, EndVerdict, Liveness};

/// Why prefill work was wasted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WasteCause {
    /// The endpoint was lost before the answer was complete.
    EndpointLost,
    /// The caller disconnected while the request ran.
    CallerLeft,
}

impl WasteCause {
    /// Returns the label used in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::EndpointLost => "endpoint-lost",
            Self::CallerLeft => "caller-left",
        }
    }
}

/// How an attempt of a request ended, seen by its caller since the first attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// Answered; the answer began within the target, counted from the first attempt.
    InTime,
    /// Answered later.
    Late,
    /// Refused; it ran nowhere.
    NotRun,
    /// Ended without a complete answer; it may have run.
    Unknown,
}

impl AttemptOutcome {
    /// Returns the label used in metrics.
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

/// Key by which attempts are counted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Tier.
    pub tier: String,
    /// Whether it is a retry by the caller.
    pub returned: bool,
    /// How it ended.
    pub end: AttemptOutcome,
}

/// Counts for one tier.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TierStats {
    /// Requests that arrived from callers.
    pub arrived: u64,
    /// Complete answers whose first token or byte met the tier's target.
    pub good: u64,
    /// Complete answers.
    pub answered: u64,
    /// Requests shed because of load.
    pub shed: u64,
}

/// Key by which refusals because of load are counted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RefusalKey {
    /// Account; [`RefusalKey::OTHERS`] once the maximum of rows is reached.
    pub account: AccountId,
    /// Declared rank of the request.
    pub rank: TierRank,
    /// Whether the account was over its share.
    pub over: bool,
}

impl RefusalKey {
    /// Account name for all refusals beyond the maximum of rows.
    pub const OTHERS: &'static str = "(others)";
    /// Maximum number of rows, so that account names do not fill the metrics.
    pub const MAX_ROWS: usize = 512;
}

/// Notices of the endpoints of one pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoticeStats {
    /// Starts of endpoints that announced that they are leaving.
    pub leaving: u64,
    /// Answers that asked for a back-off.
    pub backoffs: u64,
    /// Answers that named a rate limit.
    pub limits: u64,
    /// Answers that named a limit of refusals.
    pub refusal_limits: u64,
}

/// All counters.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Counts by tier name.
    pub tiers: BTreeMap<String, TierStats>,
    /// Prompt tokens computed in vain, by cause.
    pub wasted: BTreeMap<WasteCause, u64>,
    /// Finished requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Final answers of firdock itself, by reason.
    pub reasons: BTreeMap<Reason, u64>,
    /// Finished attempts. They show what callers gain from the retry times that they are given.
    pub attempts: BTreeMap<AttemptKey, u64>,
    /// Refusals because of load by account, where accounts have shares.
    pub refusals: BTreeMap<RefusalKey, u64>,
    /// Dispatches.
    pub dispatches: u64,
    /// Pace reports of endpoints, by pool.
    pub pace_reports: BTreeMap<PoolId, u64>,
    /// Notices of endpoints, by pool.
    pub notices: BTreeMap<PoolId, NoticeStats>,
    /// Dispatches without a connection, by cause.
    pub connect_failures: BTreeMap<ConnectFailure, u64>,
    /// Connections to endpoints that go through a peer.
    pub passed_on: u64,
    /// Connections to endpoints that a peer did not pass on.
    pub not_passed_on: u64,
    /// Broken dispatches by cause.
    pub broken: BTreeMap<BreakCause, u64>,
    /// Liveness checks of endpoints whose connections ended early, by result.
    pub liveness_checks: BTreeMap<Liveness, u64>,
    /// Ends of answers that proved nothing, by verdict.
    pub unproven_ends: BTreeMap<EndVerdict, u64>,
    /// Exits of endpoints attributed to a request.
    pub blamed: u64,
    /// Retries after a broken dispatch.
    pub retries: u64,
    /// Late or outdated updates that were dropped.
    pub stale_news: u64,
    /// Requests handed over to peers.
    pub handed_over: u64,
    /// Ejections of endpoints.
    pub ejections: u64,
    /// Restarts of endpoints under the same name.
    pub restarts: u64,
    /// Starts of endpoints that this instance could not confirm after a connection to them broke.
    pub unconfirmed_starts: u64,
    /// Dispatches that were lost when their endpoint restarted.
    pub lost_by_restart: u64,
}

impl Stats {
    /// Counts a refusal because of load.
    pub fn count_refusal(&mut self, mut key: RefusalKey) {
        let full = self.refusals.len() >= RefusalKey::MAX_ROWS;
        if full && !self.refusals.contains_key(&key) {
            RefusalKey::OTHERS.clone_into(&mut key.account);
        }
        *self.refusals.entry(key).or_default() += 1;
    }
}
