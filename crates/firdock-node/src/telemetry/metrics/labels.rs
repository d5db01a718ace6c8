//! Labels of metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// Label by pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByPool {
    pub(super) pool: String,
}

/// Label by tier of service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByTier {
    pub(super) tier: String,
}

/// Label by the cause of a loss or the reason of a verdict.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByCause {
    pub(super) cause: String,
}

/// Label by what a look at an endpoint found.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByFound {
    pub(super) found: &'static str,
}

/// Labels of endpoints' answers.
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

/// Labels of ended tries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByTry {
    pub(super) tier: String,
    /// `first`, or `return` where the caller came back.
    pub(super) attempt: &'static str,
    pub(super) end: &'static str,
}

/// Labels of refusals for load.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByRefusal {
    pub(super) account: String,
    pub(super) rank: u8,
    /// `over`, or `within`.
    pub(super) share: &'static str,
}

/// Labels of how an account stands with a pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByShare {
    pub(super) account: String,
    pub(super) pool: String,
}

/// Labels of calls to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ByCall {
    pub(super) call: &'static str,
    pub(super) topic: &'static str,
    pub(super) reason: &'static str,
    pub(super) outcome: &'static str,
}
