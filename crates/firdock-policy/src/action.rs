//! What the policy wants done.

use firdock_core::{EndpointId, InstanceId, Reason, RequestId, StartId};
use serde::{Deserialize, Serialize};

use crate::event::{Grant, KeyTransfer};
use crate::request::Verdict;
use crate::rollout::RolloutRecord;
use crate::suspect::SuspectReport;
use crate::time::Time;

/// One thing to do, in the order given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum Action {
    /// Send the request to an endpoint.
    Dispatch(Dispatch),
    /// Tell the endpoint to stop working on the request.
    Cancel {
        /// Request.
        id: RequestId,
        /// Endpoint.
        endpoint: EndpointId,
        /// Dispatch to cancel.
        dispatch: u32,
    },
    /// Stop a dispatch whose endpoint has started again since, and tell how far its answer came.
    GiveUpDispatch {
        /// Request.
        id: RequestId,
        /// Dispatch to stop.
        dispatch: u32,
    },
    /// Look whether an endpoint is still there, whose connection ended early.
    #[serde(rename = "look")]
    CheckLiveness {
        /// Endpoint.
        endpoint: EndpointId,
        /// Start that is meant.
        start: StartId,
    },
    /// Give a dispatch back if it is not written yet: its endpoint wants nothing new.
    Withhold {
        /// Request.
        id: RequestId,
        /// Dispatch to give back.
        dispatch: u32,
    },
    /// Ask the coordinator for a place on an engine.
    Ask {
        /// Request.
        id: RequestId,
    },
    /// Give a place back that the coordinator gave and that is not used.
    Decline(Grant),
    /// Hand the request over to a peer.
    HandOver {
        /// Request.
        id: RequestId,
        /// Peer.
        peer: InstanceId,
        /// Whether the peer owns the request's key, or is asked to make room.
        cause: HandOverCause,
    },
    /// Tell the peer that the caller went away.
    CancelHandOver {
        /// Request.
        id: RequestId,
        /// Peer.
        peer: InstanceId,
    },
    /// Give the final answer.
    Answer {
        /// Request.
        id: RequestId,
        /// The answer.
        verdict: Verdict,
    },
    /// Give the peer its request back, which did not run here.
    RefuseHandOver {
        /// Request.
        id: RequestId,
        /// Why, for the case that the peer cannot serve it either.
        verdict: Verdict,
        /// Starts of endpoints that it was dispatched to and that refused it.
        tried: Vec<StartId>,
    },
    /// End an answer that has begun and cannot be completed, so that the caller can tell.
    Cut {
        /// Request.
        id: RequestId,
        /// Why.
        reason: Reason,
    },
    /// Give the endpoint's own answer that it failed, which was kept.
    PassFailure {
        /// Request.
        id: RequestId,
    },
    /// Give the kept answer of an earlier request with the same key.
    Replay {
        /// Request.
        id: RequestId,
        /// Request whose answer is kept.
        earlier: RequestId,
    },
    /// Forget the kept answer of a request.
    Forget {
        /// Request.
        id: RequestId,
    },
    /// Transfer to another member the keys that it owns now.
    TransferKeys {
        /// Member.
        peer: InstanceId,
        /// The transfer.
        transfer: KeyTransfer,
    },
    /// Keep in the platform's store that nothing of a request is sent any more.
    Quarantine(SuspectReport),
    /// Keep the state of a roll-out in the platform's store.
    Record(RolloutRecord),
    /// All work is done; the instance may exit.
    Drained,
}

/// Order to send a request to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Request.
    pub id: RequestId,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Number of the dispatch.
    pub dispatch: u32,
    /// Tokens that the caller already has; the endpoint goes on from there.
    pub resume_from: u32,
    /// Priority for the engine: 0 goes first.
    pub priority: u8,
    /// Time after which the request must not be written any more: an opaque key's confirmation or
    /// the configuration's freshness ends then.
    pub confirm_by: Option<Time>,
    /// When the request's time is up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Time>,
}

/// Why a request is handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HandOverCause {
    /// The peer owns the idempotency key.
    KeyOwner,
    /// This instance is full, and the peer holds requests of a lower tier.
    Shed,
    /// This instance is stopping.
    Stopping,
}
