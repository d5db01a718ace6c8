//! Labels of metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// Label by pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByPool {
    pub(super) pool: String,
}

/// Label by service tier.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByTier {
    pub(super) tier: String,
}

/// Label by the cause of a loss or the reason of a verdict.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByCause {
    pub(super) cause: String,
}

/// Label by the result of a liveness check.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByFound {
    pub(super) found: &'static str,
}

/// Labels of the ends of answers that proved nothing.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByVerdict {
    pub(super) evidence: &'static str,
    /// `true` if the answer ended with it; `false` if it counted as broken.
    pub(super) accepted: String,
}

/// Labels of answers from endpoints, by framing and by how they ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByEnd {
    pub(super) framing: &'static str,
    pub(super) ending: &'static str,
}

/// Label by outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByOutcome {
    pub(super) outcome: String,
}

/// Labels of ended attempts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByTry {
    pub(super) tier: String,
    /// `first`, or `return` for a retry by the caller.
    pub(super) attempt: &'static str,
    pub(super) end: &'static str,
}

/// Labels of requests that were refused because of load.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByRefusal {
    pub(super) account: String,
    pub(super) rank: u8,
    /// `over` or `within`: whether the account exceeded its share.
    pub(super) share: &'static str,
}

/// Labels of an account's share of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByShare {
    pub(super) account: String,
    pub(super) pool: String,
}

/// Labels of streams that callers continue.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct BySource {
    pub(super) source: &'static str,
}

/// Labels of what is known of the reads of a topic of the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByTopic {
    pub(super) topic: &'static str,
    pub(super) reader: &'static str,
}

/// Labels of calls to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByCall {
    pub(super) call: &'static str,
    pub(super) topic: &'static str,
    pub(super) reason: &'static str,
    pub(super) outcome: &'static str,
}
