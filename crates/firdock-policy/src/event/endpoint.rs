//! What is heard of endpoints: the course of dispatches, looks at them, and their reports.

use std::time::Duration;

use firdock_core::prefix::BlockHash;
use firdock_core::{EndpointId, RequestId, StartId};
use serde::{Deserialize, Serialize};

/// What an endpoint told about a dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEvent {
    /// Request.
    pub id: RequestId,
    /// Number of the dispatch, so that late news of an earlier one is told apart.
    pub dispatch: u32,
    /// The news.
    #[serde(rename = "news")]
    pub update: DispatchUpdate,
}

/// The course of a dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatchUpdate {
    /// The connect failed or the endpoint itself refused: the request did not run there.
    Refused {
        /// Whether the endpoint could not even be reached.
        unreachable: bool,
    },
    /// The key's confirmation or the configuration's freshness lapsed before the write; the
    /// request was not sent.
    Lapsed,
    /// The endpoint said meanwhile that it wants nothing new; the request was not sent.
    Withheld,
    /// The answer began.
    Started {
        /// Whether its head was passed on, so that no other answer can be given any more.
        head_sent: bool,
    },
    /// Tokens came, and have been passed on.
    Tokens {
        /// Tokens of the whole answer that have been passed on so far.
        delivered: u32,
        /// Prompt tokens that the engine took from its cache.
        cached: u32,
    },
    /// The whole answer has been passed on.
    Ended {
        /// Prompt tokens as the endpoint counted them.
        prompt: u32,
        /// Prompt tokens that the engine took from its cache.
        cached: u32,
        /// Tokens of the whole answer.
        output: u32,
    },
    /// The endpoint answered that it failed; how the dispatch ends by that is told next.
    Failed,
    /// That answer is kept whole, so that the caller can get it in place of one of firdock's own.
    FailureKept,
    /// The answer ended with its connection, so that nothing proves it whole; its end is told next.
    Unproven,
    /// The caller has a part of the answer after which no other endpoint can go on.
    Unresumable,
    /// How the dispatch comes to break, which is told next.
    Breaking(BreakCause),
    /// The connection broke or fell silent after the request was sent.
    Broke {
        /// Tokens of the whole answer that have been passed on.
        delivered: u32,
    },
}

/// How a dispatch came to break.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BreakCause {
    /// The connection ended before the answer was whole.
    Closed,
    /// Nothing came for too long.
    Silent,
    /// What came is no answer to the request.
    Foreign,
    /// The endpoint answered that it failed.
    Failed,
    /// The endpoint started again meanwhile.
    Restarted,
}

impl BreakCause {
    /// Gives the word for it in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Foreign => "foreign",
            Self::Failed => "failed",
            Self::Restarted => "restarted",
        }
    }
}

/// What a look at an endpoint found whose connection ended early.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessResult {
    /// Start of the endpoint.
    pub start: StartId,
    /// What was found.
    pub found: Liveness,
}

/// Whether an endpoint is still there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// Its address takes connections.
    Open,
    /// Its address refuses them: its process has ended.
    Ended,
    /// Its address does not answer, which says nothing of the process.
    Silent,
}

impl Liveness {
    /// Gives the word for it in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Ended => "ended",
            Self::Silent => "silent",
        }
    }
}

/// Load and cache changes that an endpoint published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Age of the report when it was read.
    pub age: Duration,
    /// Requests that the endpoint works on.
    pub running: u32,
    /// Requests that wait in the endpoint's own queue.
    pub waiting: u32,
    /// Prompt tokens that the endpoint has yet to compute.
    pub backlog: u32,
    /// Whether the endpoint says that it is leaving.
    pub leaving: bool,
    /// Whether cache events before these were missed.
    pub gap: bool,
    /// Blocks that came into the cache.
    pub added: Vec<BlockHash>,
    /// Blocks that were dropped from the cache.
    pub removed: Vec<BlockHash>,
}
