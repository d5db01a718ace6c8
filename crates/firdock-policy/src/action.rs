//! Actions: the outputs of the policy.

use firdock_core::{EndpointId, InstanceId, Reason, RequestId, StartId};
use serde::{Deserialize, Serialize};

use crate::event::{EndVerdict, Grant, KeyTransfer};
use crate::permit::{PermitGrant, PermitHolder, PermitRequest};
use crate::request::Verdict;
use crate::rollout::RolloutRecord;
use crate::suspect::SuspectReport;
use crate::table::build_history::ServedBuild;
use crate::time::Time;

/// An action for the caller of the policy, to be taken in the order given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum Action {
    /// Send the request to an endpoint.
    Dispatch(Dispatch),
    /// Cancel the request at the endpoint.
    Cancel {
        /// Request.
        id: RequestId,
        /// Endpoint.
        endpoint: EndpointId,
        /// Dispatch to cancel.
        dispatch: u32,
    },
    /// Stop a dispatch whose endpoint has restarted, and report how far its answer got.
    GiveUpDispatch {
        /// Request.
        id: RequestId,
        /// Dispatch to stop.
        dispatch: u32,
    },
    /// Check whether an endpoint is alive after its connection ended early.
    #[serde(rename = "look")]
    CheckLiveness {
        /// Endpoint.
        endpoint: EndpointId,
        /// Start of the endpoint.
        start: StartId,
    },
    /// Keep connections to an endpoint, and report since when, and when the endpoint has closed them.
    Watch {
        /// Endpoint.
        endpoint: EndpointId,
    },
    /// Check the same by way of the peer through which the connection went.
    CheckLivenessThrough {
        /// Endpoint.
        endpoint: EndpointId,
        /// Start of the endpoint.
        start: StartId,
        /// Peer.
        peer: InstanceId,
        /// Request whose answer ended.
        id: RequestId,
    },
    /// Tell a dispatch whether the end of its answer, which proved nothing, counts.
    JudgeEnd {
        /// Request.
        id: RequestId,
        /// Dispatch whose answer ended.
        dispatch: u32,
        /// The verdict.
        verdict: EndVerdict,
    },
    /// Probe this instance's own link to an endpoint by connecting.
    ProbeLink {
        /// Endpoint.
        endpoint: EndpointId,
        /// Start of the endpoint.
        start: StartId,
    },
    /// Withdraw a dispatch unless it has been written: its endpoint takes no new work.
    Withhold {
        /// Request.
        id: RequestId,
        /// Dispatch to withdraw.
        dispatch: u32,
    },
    /// Ask the coordinator for a placement on an engine.
    Ask {
        /// Request.
        id: RequestId,
    },
    /// Return an unused placement to the coordinator.
    Decline(Grant),
    /// Request permits for endpoints with rate limits.
    RequestPermits(Vec<PermitRequest>),
    /// Grant permits for endpoints with rate limits.
    GrantPermits {
        /// Who requested them.
        holder: PermitHolder,
        /// Response to each request.
        grants: Vec<PermitGrant>,
    },
    /// Hand the request over to a peer.
    HandOver {
        /// Request.
        id: RequestId,
        /// Peer.
        peer: InstanceId,
        /// Why it is handed over.
        cause: HandOverCause,
    },
    /// Tell the peer that the caller disconnected.
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
    /// Return a request to the peer that handed it over; it did not run here.
    RefuseHandOver {
        /// Request.
        id: RequestId,
        /// Verdict for the case that the peer cannot serve it either.
        verdict: Verdict,
        /// Starts of endpoints to which it was dispatched and which refused it.
        tried: Vec<StartId>,
    },
    /// Abort an answer that has begun and cannot be completed, so that the caller can detect it.
    Cut {
        /// Request.
        id: RequestId,
        /// Reason.
        reason: Reason,
    },
    /// Send the buffered answer with which the endpoint reported its failure.
    PassFailure {
        /// Request.
        id: RequestId,
    },
    /// Replay the cached answer of an earlier request with the same key.
    Replay {
        /// Request.
        id: RequestId,
        /// Request whose answer is cached.
        earlier: RequestId,
    },
    /// Remove the cached answer of a request.
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
    /// Record in the platform's store that a request is in quarantine and no longer sent.
    Quarantine(SuspectReport),
    /// Record the state of a roll-out in the platform's store.
    Record(RolloutRecord),
    /// Record in the platform's store which builds serve or served lately.
    RecordBuilds(Vec<ServedBuild>),
    /// All work is finished; the instance may exit.
    Drained,
}

/// Command to send a request to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Request.
    pub id: RequestId,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Number of the dispatch.
    pub dispatch: u32,
    /// Tokens that the caller already has; the endpoint resumes after them.
    pub resume_from: u32,
    /// Priority at the engine; 0 is the highest.
    pub priority: u8,
    /// Time after which the request must not be written: the confirmation of an opaque key or the
    /// validity of the configuration ends then.
    pub confirm_by: Option<Time>,
    /// Deadline of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Time>,
    /// Whether the endpoint has a rate limit, which an answer that names none ends.
    #[serde(default, skip_serializing_if = "is_false")]
    pub limited: bool,
    /// Route to the endpoint.
    #[serde(default, skip_serializing_if = "Route::is_direct")]
    pub route: Route,
}

/// Route of a dispatch to its endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Route {
    /// Over this instance's own link.
    #[default]
    Direct,
    /// Over this instance's own link, or through a peer if that fails.
    DirectOr(InstanceId),
    /// Through a peer, since the own link fails.
    Through(InstanceId),
}

impl Route {
    /// Returns whether no peer is part of the route.
    #[must_use]
    pub fn is_direct(&self) -> bool {
        *self == Self::Direct
    }

    /// Returns the peer of the route.
    #[must_use]
    pub fn peer(&self) -> Option<&InstanceId> {
        match self {
            Self::Direct => None,
            Self::DirectOr(peer) | Self::Through(peer) => Some(peer),
        }
    }

    /// Returns its name in logs.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::DirectOr(_) => "direct-or-peer",
            Self::Through(_) => "peer",
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde calls it with a reference"
)]
pub(crate) fn is_false(value: &bool) -> bool {
    !*value
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
