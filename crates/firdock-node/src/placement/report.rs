//! What members and coordinators tell each other.

use std::time::Duration;

use firdock_core::{EndpointId, InstanceId, Reason, RequestId, StartId, ZoneId};
use firdock_policy::NewRequest;
use firdock_policy::load::Pace;
use firdock_policy::notice::Notice;
use uuid::Uuid;

/// A request as far as its placement needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRequest {
    /// The request; its deadline is given by `left`.
    pub new_request: NewRequest,
    /// Counts the places that it was given or waits for.
    pub attempt: u32,
    /// Time that its caller will still wait.
    pub remaining: Option<Duration>,
}

/// What became of a request that was given a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The first token came.
    FirstToken,
    /// The whole answer came, with these tokens of the prompt and of the answer.
    Ended {
        /// Tokens of the prompt.
        prompt: u32,
        /// Tokens of the answer.
        output: u32,
    },
    /// The connection broke, or the endpoint failed.
    Broke,
    /// The endpoint refused it.
    Refused,
    /// The endpoint was not reached.
    Unreachable,
    /// It was not sent, or its caller left.
    Dropped,
}

/// News of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressUpdate {
    /// Request.
    pub id: RequestId,
    /// Which of its places.
    pub attempt: u32,
    /// What became of it.
    pub progress: Progress,
}

/// How long work takes at an engine, as it told a member with an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointPace {
    /// Engine.
    pub endpoint: EndpointId,
    /// What it told.
    pub pace: Pace,
    /// How long ago the member read it.
    pub age: Duration,
}

/// What an engine said of itself to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointNotice {
    /// Start of the engine.
    pub endpoint: StartId,
    /// What of it still holds; a back-off by the time that is left.
    pub notice: Notice,
}

/// What a member tells its coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Member.
    pub instance: InstanceId,
    /// Start of its process.
    pub incarnation: Uuid,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Number of its last whole report.
    pub number: u64,
    /// Whether it tells of every request of the member's.
    pub full: bool,
    /// Requests that wait for a place.
    pub waiting: Vec<PlacementRequest>,
    /// Requests that run, and where.
    pub running: Vec<(PlacementRequest, EndpointId)>,
    /// What became of requests since the last report.
    pub updates: Vec<ProgressUpdate>,
    /// What engines told of their pace since the last report.
    pub paces: Vec<EndpointPace>,
    /// What engines said of themselves: what is new, or all that holds in a whole report.
    pub notices: Vec<EndpointNotice>,
    /// Whether requests were left out, so that nothing follows for those that are not told of.
    pub truncated: bool,
}

/// A place for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Request.
    pub id: RequestId,
    /// Which of its places.
    pub attempt: u32,
    /// Engine.
    pub endpoint: EndpointId,
    /// Time to the first token that is expected there.
    pub predicted: Duration,
}

/// Word that a request will not be placed in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Request.
    pub id: RequestId,
    /// Which of its places.
    pub attempt: u32,
    /// Why.
    pub reason: Reason,
    /// When its caller should come back.
    pub retry_after: Duration,
}

/// What a coordinator answers a member.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reply {
    /// Coordinator.
    pub instance: InstanceId,
    /// Number of the member's last whole report that was taken.
    pub number: u64,
    /// Places.
    pub assignments: Vec<Assignment>,
    /// Refusals.
    pub refusals: Vec<Refusal>,
}
