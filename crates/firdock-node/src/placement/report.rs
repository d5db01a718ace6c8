//! Messages between members and coordinators.

use std::time::Duration;

use firdock_core::{EndpointId, InstanceId, Reason, RequestId, StartId, ZoneId};
use firdock_policy::NewRequest;
use firdock_policy::load::Pace;
use firdock_policy::notice::Notice;
use uuid::Uuid;

/// A request, reduced to what placement needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRequest {
    /// The request. Its deadline is given by `remaining` instead.
    pub new_request: NewRequest,
    /// Number of the assignment that it has or waits for, counted from 1.
    pub attempt: u32,
    /// Time until its deadline.
    pub remaining: Option<Duration>,
}

/// Progress of a request that was assigned to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The first token arrived.
    FirstToken,
    /// The complete answer arrived.
    Ended {
        /// Prompt tokens.
        prompt: u32,
        /// Output tokens.
        output: u32,
    },
    /// The connection broke, or the endpoint failed.
    Broke,
    /// The endpoint refused the request.
    Refused,
    /// The endpoint could not be reached.
    Unreachable,
    /// The request was not sent, or its caller left.
    Dropped,
}

/// Progress of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressUpdate {
    /// Request ID.
    pub id: RequestId,
    /// Number of the assignment.
    pub attempt: u32,
    /// New state.
    pub progress: Progress,
}

/// An engine's pace, as it reported it to a member along with an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointPace {
    /// Engine.
    pub endpoint: EndpointId,
    /// Reported pace.
    pub pace: Pace,
    /// Time since the member received it.
    pub age: Duration,
}

/// What an engine announced about itself to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointNotice {
    /// Engine process.
    pub endpoint: StartId,
    /// The part that is still in force; a back-off is given as the remaining time.
    pub notice: Notice,
}

/// Report of a member to its coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Name of the member.
    pub instance: InstanceId,
    /// Identifies the member's process.
    pub incarnation: Uuid,
    /// The member's availability zone.
    pub zone: ZoneId,
    /// Number of the member's last full report.
    pub number: u64,
    /// Whether the report lists all requests of the member.
    pub full: bool,
    /// Requests that wait for an assignment.
    pub waiting: Vec<PlacementRequest>,
    /// Running requests with their engines.
    pub running: Vec<(PlacementRequest, EndpointId)>,
    /// Progress of requests since the last report.
    pub updates: Vec<ProgressUpdate>,
    /// Paces reported by engines since the last report.
    pub paces: Vec<EndpointPace>,
    /// Notices from engines: the new ones, or in a full report all that are in force.
    pub notices: Vec<EndpointNotice>,
    /// Whether requests were left out for lack of space. The absence of a request then means
    /// nothing.
    pub truncated: bool,
}

/// Assignment of a request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Request ID.
    pub id: RequestId,
    /// Number of the assignment.
    pub attempt: u32,
    /// Engine.
    pub endpoint: EndpointId,
    /// Predicted time to the first token.
    pub predicted: Duration,
    /// Whether the coordinator used a permit for it, because the engine has a rate limit.
    pub permitted: bool,
}

/// Notice that a request cannot be placed in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Request ID.
    pub id: RequestId,
    /// Number of the assignment that the request waited for.
    pub attempt: u32,
    /// Reason.
    pub reason: Reason,
    /// When the caller should retry.
    pub retry_after: Duration,
}

/// Reply of a coordinator to a member.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reply {
    /// Name of the coordinator.
    pub instance: InstanceId,
    /// Number of the member's last full report that was applied.
    pub number: u64,
    /// New assignments.
    pub assignments: Vec<Assignment>,
    /// Refused requests.
    pub refusals: Vec<Refusal>,
}
