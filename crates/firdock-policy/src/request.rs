//! Requests as the policy sees them: sizes, prefix and key, but no content.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::prefix::BlockHash;
use firdock_core::resource::{Endpoint, Service};
use firdock_core::{
    AccountId, Content, ContentId, InstanceId, Outcome, PoolId, Reason, RequestId, ServiceId,
    SoftwareVersion, StartId, ZoneId,
};
use serde::{Deserialize, Serialize};

use crate::action::{HandOverCause, Route};
use crate::event::{BreakCause, ConnectFailure};
use crate::time::{LogTime, Time};

/// Origin of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Origin {
    /// A caller's connection.
    #[default]
    Caller,
    /// A peer that handed the request over.
    Peer(InstanceId),
}

/// An idempotency key provided by a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Hash of the account and the key.
    pub hash: u64,
    /// Hash of the request, so that the key is not accepted for a different request.
    pub fingerprint: u64,
    /// Creation time of the key, for keys that contain it (`UUIDv7`).
    pub minted: Option<LogTime>,
}

/// A request that arrived.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewRequest {
    /// Id generated at the ingress.
    pub id: RequestId,
    /// Service that the request matched.
    pub service: ServiceId,
    /// Account that sent it.
    pub account: AccountId,
    /// Estimated tokens of the prompt; 0 for plain calls.
    pub prompt_tokens: u32,
    /// Maximum tokens of the answer; 0 for plain calls.
    pub output_tokens: u32,
    /// Chained hashes of the prompt's blocks.
    pub blocks: Vec<BlockHash>,
    /// Memory that the request occupies, in bytes.
    pub bytes: usize,
    /// Idempotency key, if the caller provided one.
    pub key: Option<KeyClaim>,
    /// Caller or peer.
    pub origin: Origin,
    /// Starts of endpoints to which the peer that handed it over had dispatched it.
    pub tried: Vec<StartId>,
    /// When the caller stops waiting, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Time>,
    /// Uniform random number that selects the pool of a service with a traffic split.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub draw: u32,
    /// How long it was held before, at the instance that asks for its placement.
    #[serde(default, skip_serializing_if = "Time::is_zero")]
    pub age: Time,
    /// Instance that asks for its placement and will send it; empty for this instance.
    #[serde(default, skip_serializing_if = "InstanceId::is_empty")]
    pub member: InstanceId,
    /// Availability zone of that instance; empty for this instance.
    #[serde(default, skip_serializing_if = "ZoneId::is_empty")]
    pub zone: ZoneId,
    /// Content, equal for each repetition of the request; `None` if not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Arc<Content>>,
    /// Segments of the prompt that other requests may share, in the order of the prompt.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub segments: Vec<Arc<Content>>,
    /// Where it may run, if it continues a stream.
    #[serde(default, skip_serializing_if = "StreamOrigin::is_new")]
    pub stream_origin: StreamOrigin,
    /// Whether an earlier configuration admitted it and the one in force does not.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub access_changed: bool,
}

/// Origin of the stream that an answer belongs to. What two software versions produce does not fit together, so a
/// stream is continued by the version that began it or not at all (`docs/design/stream-versions.md`).
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StreamOrigin {
    /// No event has reached the caller: any version may begin the stream.
    #[default]
    New,
    /// The stream was begun by this build.
    Known(Arc<Build>),
    /// The stream began at this start of an endpoint, whose build has to be confirmed.
    Started(Arc<StreamStart>),
    /// The stream was begun before, and it is not known here by which build.
    Unknown,
}

impl StreamOrigin {
    /// Returns whether the stream has not begun.
    #[must_use]
    pub fn is_new(&self) -> bool {
        *self == Self::New
    }

    /// Returns the build that began the stream, if it has begun and the build is known.
    #[must_use]
    pub fn build(&self) -> Option<&Build> {
        match self {
            Self::Known(build) => Some(build),
            Self::New | Self::Started(_) | Self::Unknown => None,
        }
    }

    /// Returns the pool that the stream began in, if that is known.
    #[must_use]
    pub fn pool(&self) -> Option<&PoolId> {
        match self {
            Self::Known(build) => Some(&build.pool),
            Self::Started(stream) => Some(&stream.build.pool),
            Self::New | Self::Unknown => None,
        }
    }

    /// Returns the start of an endpoint that the stream began at, if its build has to be confirmed.
    #[must_use]
    pub fn start(&self) -> Option<&Arc<StreamStart>> {
        match self {
            Self::Started(stream) => Some(stream),
            Self::New | Self::Known(_) | Self::Unknown => None,
        }
    }
}

/// Start of an endpoint at which a stream began, as the sender of the request knew it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamStart {
    /// What the start runs by its entry.
    pub build: Build,
    /// The start.
    pub start: StartId,
    /// When the request was sent.
    pub sent: Time,
    /// Whether it was not known then that the start still served.
    pub unconfirmed: bool,
}

impl StreamStart {
    /// Returns the name of the endpoint.
    #[must_use]
    pub fn endpoint(&self) -> &str {
        let parts = self.start.rsplit_once('@');
        parts.map_or(&*self.start, |(name, _started)| name)
    }
}

/// Software that the endpoints of a pool run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Build {
    /// Pool.
    pub pool: PoolId,
    /// Version of the software, a text without an order.
    pub version: SoftwareVersion,
}

impl Build {
    /// Returns the build that an endpoint runs by its declaration.
    #[must_use]
    pub fn of(declared: &Endpoint) -> Self {
        Self {
            pool: declared.pool.clone(),
            version: declared.version.clone(),
        }
    }

    /// Returns whether an endpoint runs this build by its declaration.
    #[must_use]
    pub fn is_of(&self, declared: &Endpoint) -> bool {
        self.pool == declared.pool && self.version == declared.version
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde calls it with a reference"
)]
fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl NewRequest {
    /// Returns the tokens of the prompt plus the maximum tokens of the answer.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}

/// Final answer by firdock itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// `not-run` or `unknown`.
    pub outcome: Outcome,
    /// Reason.
    pub reason: Reason,
    /// When the caller should retry; `None` if a retry is of no use.
    pub retry_after: Option<Duration>,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Waiting in firdock.
    Held,
    /// Sent to an endpoint (row) that has not answered yet.
    Dispatching(usize),
    /// The endpoint (row) is answering.
    Running(usize),
    /// Handed over to a peer (row).
    HandedOver(usize),
}

/// State of a request's placement by a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementState {
    /// No coordinator was asked since the request was last held.
    NotRequested,
    /// The coordinator was asked.
    Requested,
    /// This instance places the request itself: the coordinator knows no endpoint for it.
    Local,
    /// In a coordinator's tables: the request was already running when the coordinator learned of
    /// it.
    Adopted,
}

/// A request in the table, from arrival to its end.
#[derive(Debug)]
pub struct RequestRow {
    /// The request as it arrived.
    pub new: NewRequest,
    /// Time between the caller's first attempt and its arrival.
    pub since_first_attempt: Duration,
    /// Row of its service.
    pub service: usize,
    /// Row of its account.
    pub account: usize,
    /// Rank at which it is served: the declared one, or a lower one if its account is over its
    /// share.
    pub rank: u8,
    /// Rank by account and tier at arrival.
    pub declared_rank: u8,
    /// When it arrived.
    pub arrived: Time,
    /// Pool of the request, if its service has a traffic split.
    pub pool: Option<PoolId>,
    /// Deadline: the caller's or the service's limit, whichever is earlier.
    pub deadline: Option<Time>,
    /// Units charged against its account's limit.
    pub charge: f64,
    /// Present phase.
    pub phase: Phase,
    /// Number of the present dispatch, starting at 1.
    pub dispatch: u32,
    /// Starts of endpoints to which it was dispatched.
    pub tried: Vec<StartId>,
    /// Names of peers that refused it.
    pub refused_by: Vec<String>,
    /// Why it was handed over, if it is with a peer.
    pub hand_over_cause: Option<HandOverCause>,
    /// When the key counts as created, by the log's clock; `None` without a binding key.
    pub minted: Option<LogTime>,
    /// Until when, by this process's clock, a request with an opaque key may be dispatched.
    pub confirm_by: Option<Time>,
    /// Dispatches that may have run, including the present one.
    pub runs: usize,
    /// Whether an earlier dispatch may have run; `not-run` is then no longer a correct outcome.
    pub ran_before: bool,
    /// Tokens that reached the caller, after which another endpoint resumes.
    pub delivered: u32,
    /// Part of the answer that has reached the caller.
    pub delivered_part: DeliveredPart,
    /// Time of the present dispatch or hand-over.
    pub dispatched: Time,
    /// Unix time at zero of this process's clock, as last read before the present dispatch.
    pub unix_zero: Option<Duration>,
    /// When the first token or byte arrived.
    pub first: Option<Time>,
    /// Whether the present dispatch has cleared the segments of the prompt of earlier exits.
    pub cleared_segments: bool,
    /// When the permit of the present dispatch expires, if its endpoint has a rate limit and this
    /// scheduler chose it.
    pub permit: Option<Time>,
    /// Estimated prompt tokens that the present dispatch has to compute.
    pub uncached: u32,
    /// Estimated prompt tokens that its endpoint computes before its first token.
    pub work: f64,
    /// Work charged to its account for the present dispatch, in seconds; 0 without shares.
    pub charged_work: f64,
    /// Predicted time to the first token of the present dispatch.
    pub predicted: Time,
    /// Build that began the answer's stream, if any event of it has reached the caller.
    pub stream_origin: StreamOrigin,
    /// Origin of a stream that begins at the endpoint of the present dispatch, as it was when the request was sent.
    pub dispatched_to: StreamOrigin,
    /// When the last bytes of the present dispatch's answer arrived.
    pub last_bytes: Option<Time>,
    /// Since when the stream cannot be continued, as the start of each endpoint that may is unconfirmed.
    pub unconfirmed_since: Option<Time>,
    /// Tokens that had reached the caller before the present dispatch.
    pub resumed_from: u32,
    /// Whether the endpoint of the present dispatch reported a failure.
    pub failure: EndpointFailure,
    /// Whether the end of the present dispatch's answer proves it complete.
    pub completion_proof: CompletionProof,
    /// Route of the present dispatch.
    pub route: Route,
    /// Whether its connection goes through the route's peer.
    pub passed_on: bool,
    /// Why the present dispatch has no connection, if none could be established.
    pub connect_failure: Option<ConnectFailure>,
    /// Cause for which the present dispatch is breaking, if it is.
    pub breaking: Option<BreakCause>,
    /// State of its placement by a coordinator.
    pub placement: PlacementState,
    /// Starts of engines that the coordinator assigned and this instance could not use.
    pub declined: Vec<StartId>,
}

/// Whether an endpoint reported a failure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointFailure {
    /// No failure.
    #[default]
    None,
    /// A failure was reported.
    Reported,
    /// A failure was reported, and the answer is buffered and can be passed on.
    Buffered,
}

/// What the end of an answer proves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CompletionProof {
    /// The answer is complete, so its endpoint is alive.
    #[default]
    Proven,
    /// Nothing: a process that is killed ends its answers in the same way.
    Unproven,
    /// That the endpoint outlived the answer, whose end counts: its process was seen alive after it.
    Outlived,
    /// The same, and the answer is continued elsewhere, or left to its caller, without a sign against its endpoint.
    Doubted {
        /// Whether the retry budget has paid for another run.
        paid: bool,
    },
}

/// Part of an answer that has reached the caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DeliveredPart {
    /// Nothing; any other answer can still be given.
    #[default]
    Nothing,
    /// At least the head; another endpoint can resume the answer.
    Head,
    /// A part from which no other endpoint can resume.
    Unresumable,
}

impl RequestRow {
    /// Returns whether the head of an answer has reached the caller.
    #[must_use]
    pub fn head_sent(&self) -> bool {
        self.delivered_part != DeliveredPart::Nothing
    }

    /// Creates the row of a new request.
    #[must_use]
    pub fn new(now: Time, new: NewRequest, service: usize, account: usize, rank: u8) -> Self {
        Self {
            service,
            account,
            rank,
            declared_rank: rank,
            arrived: now,
            since_first_attempt: Duration::ZERO,
            pool: None,
            deadline: new.deadline,
            charge: 0.0,
            phase: Phase::Held,
            dispatch: 0,
            tried: new.tried.clone(),
            refused_by: Vec::new(),
            hand_over_cause: None,
            minted: None,
            confirm_by: None,
            runs: 0,
            ran_before: false,
            delivered: 0,
            delivered_part: DeliveredPart::Nothing,
            dispatched: Time::ZERO,
            unix_zero: None,
            first: None,
            cleared_segments: false,
            permit: None,
            uncached: 0,
            work: 0.0,
            charged_work: 0.0,
            predicted: Time::ZERO,
            stream_origin: new.stream_origin.clone(),
            dispatched_to: StreamOrigin::New,
            last_bytes: None,
            unconfirmed_since: None,
            resumed_from: 0,
            failure: EndpointFailure::None,
            completion_proof: CompletionProof::Proven,
            route: Route::Direct,
            passed_on: false,
            connect_failure: None,
            breaking: None,
            placement: PlacementState::NotRequested,
            declined: Vec::new(),
            new,
        }
    }

    /// Sets the pool, the deadline by the service's limit, and the charge.
    #[must_use]
    pub fn with_service(mut self, service: &Service, charge: f64) -> Self {
        let limit = service.timeout().map(|limit| self.arrived + limit);
        let began_in = self.stream_origin.pool().cloned();
        self.pool = began_in.or_else(|| service.pick_pool(self.new.draw).cloned());
        self.deadline = [self.deadline, limit].into_iter().flatten().min();
        self.charge = charge;
        self
    }

    /// Returns the pool key of counts: the pool, or empty for all endpoints together.
    #[must_use]
    pub fn pool_key(&self) -> &str {
        self.pool.as_deref().unwrap_or_default()
    }

    /// Returns the id of the content, if it is known.
    #[must_use]
    pub fn content_id(&self) -> Option<ContentId> {
        self.new.content.as_ref().map(|content| content.id)
    }

    /// Records that the answer's stream begins at the endpoint of the present dispatch, unless it continues one.
    pub fn begin_stream(&mut self) {
        if self.stream_origin.is_new() {
            self.stream_origin = self.dispatched_to.clone();
        }
    }

    /// Returns whether the request may have run, or may be running.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.ran_before || self.phase != Phase::Held
    }

    /// Returns the outcome if the request ends now without an answer.
    #[must_use]
    pub fn outcome_unanswered(&self) -> Outcome {
        if self.may_have_run() {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}
