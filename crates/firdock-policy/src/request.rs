//! Requests as the policy sees them: sizes, prefix and key, but no content.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::prefix::BlockHash;
use firdock_core::resource::Service;
use firdock_core::{
    AccountId, Content, ContentId, InstanceId, Outcome, PoolId, Reason, RequestId, ServiceId,
    StartId, ZoneId,
};
use serde::{Deserialize, Serialize};

use crate::action::HandOverCause;
use crate::event::BreakCause;
use crate::time::{LogTime, Time};

/// Where a request came from.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Origin {
    /// A caller's connection.
    #[default]
    Caller,
    /// A peer that handed the request over.
    Peer(InstanceId),
}

/// An idempotency key that a caller gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Hash of the account and the key.
    pub hash: u64,
    /// Hash of the request, so that a key is not taken for another request.
    pub fingerprint: u64,
    /// When the key was minted, for keys that carry it (`UUIDv7`).
    pub minted: Option<LogTime>,
}

/// A request that arrived.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewRequest {
    /// Id minted at the door.
    pub id: RequestId,
    /// Service that the request matched.
    pub service: ServiceId,
    /// Account that sent it.
    pub account: AccountId,
    /// Estimated tokens of the prompt; 0 for plain calls.
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have; 0 for plain calls.
    pub output_tokens: u32,
    /// Chained hashes of the prompt's blocks.
    pub blocks: Vec<BlockHash>,
    /// Bytes that the request occupies.
    pub bytes: usize,
    /// Idempotency key, if the caller gave one.
    pub key: Option<KeyClaim>,
    /// Caller or peer.
    pub origin: Origin,
    /// Starts of endpoints that the peer which handed it over had dispatched it to.
    pub tried: Vec<StartId>,
    /// When the caller stops waiting, if it said so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Time>,
    /// An evenly drawn number that picks the pool of a service that splits its requests.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub draw: u32,
    /// How long it was held before, at the instance that asks for it.
    #[serde(default, skip_serializing_if = "Time::is_zero")]
    pub age: Time,
    /// Instance that asks for it and will send it; empty for the own one.
    #[serde(default, skip_serializing_if = "InstanceId::is_empty")]
    pub member: InstanceId,
    /// Availability zone of the instance that asks for it; empty for the own one.
    #[serde(default, skip_serializing_if = "ZoneId::is_empty")]
    pub zone: ZoneId,
    /// What it asks for, the same whenever it comes again; `None` where it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Arc<Content>>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde calls it with a reference"
)]
fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl NewRequest {
    /// Gives the tokens of the prompt and the most that the answer may have.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}

/// A final answer that firdock itself gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// `not-run` or `unknown`.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When the caller should come back; `None` where coming back is no use.
    pub retry_after: Option<Duration>,
}

/// Where a request is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Waiting in firdock.
    Held,
    /// Sent towards an endpoint (row), no answer yet.
    Dispatching(usize),
    /// The endpoint (row) is answering.
    Running(usize),
    /// Handed over to a peer (row).
    HandedOver(usize),
}

/// How far the placement of a request by a coordinator is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementState {
    /// No coordinator was asked since the request was last held.
    NotRequested,
    /// The coordinator was asked.
    Requested,
    /// In a coordinator's tables: it ran already when the coordinator first heard of it.
    Adopted,
}

/// A request in the table, from arrival to its end.
#[derive(Debug)]
pub struct RequestRow {
    /// The request as it arrived.
    pub new: NewRequest,
    /// How long before its arrival its caller first tried it.
    pub since_first_attempt: Duration,
    /// Row of its service.
    pub service: usize,
    /// Row of its account.
    pub account: usize,
    /// Rank in which it is served: the declared one, or a later one where its account had its share.
    pub rank: u8,
    /// Rank by its account and tier at arrival.
    pub declared_rank: u8,
    /// When it arrived.
    pub arrived: Time,
    /// Pool that it goes to, of a service that splits its requests.
    pub pool: Option<PoolId>,
    /// When its time is up: the caller's or the service's limit, whichever comes first.
    pub deadline: Option<Time>,
    /// What it was charged against its account's limit.
    pub charge: f64,
    /// Where it is.
    pub phase: Phase,
    /// Number of the present dispatch, counted from 1.
    pub dispatch: u32,
    /// Starts of endpoints that it was dispatched to.
    pub tried: Vec<StartId>,
    /// Peers (names) that refused it.
    pub refused_by: Vec<String>,
    /// Why it is with a peer, if it is.
    pub hand_over_cause: Option<HandOverCause>,
    /// When the key counts as minted, by the log's clock; `None` without a key that binds.
    pub minted: Option<LogTime>,
    /// Until when, by this process's clock, an opaque key may be dispatched.
    pub confirm_by: Option<Time>,
    /// Dispatches that may have run, the present one included.
    pub runs: usize,
    /// Whether an earlier dispatch may have run; from then on `not-run` would be untrue.
    pub ran_before: bool,
    /// Tokens that reached the caller, from which a second endpoint resumes.
    pub delivered: u32,
    /// What of an answer has reached the caller.
    pub delivered_part: DeliveredPart,
    /// When the present dispatch or hand-over was made.
    pub dispatched: Time,
    /// When the first token or byte came.
    pub first: Option<Time>,
    /// Prompt tokens that the present dispatch has to compute, as estimated.
    pub uncached: u32,
    /// Prompt tokens that its endpoint computes before its first token, as estimated.
    pub work: f64,
    /// Work that its account was charged for the present dispatch, in seconds; 0 without shares.
    pub charged_work: f64,
    /// Predicted time to the first token of the present dispatch.
    pub predicted: Time,
    /// Tokens that had reached the caller before the present dispatch.
    pub resumed_from: u32,
    /// Whether the endpoint of the present dispatch answered that it failed.
    pub failure: EndpointFailure,
    /// What the end of the present dispatch's answer proves.
    pub completion_proof: CompletionProof,
    /// How the present dispatch comes to break, if it does.
    pub breaking: Option<BreakCause>,
    /// How far its placement by a coordinator is.
    pub placement: PlacementState,
    /// Starts of engines that the coordinator gave it and that this instance could not use.
    pub declined: Vec<StartId>,
}

/// Whether an endpoint answered that it failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointFailure {
    /// It did not.
    #[default]
    None,
    /// It did.
    Reported,
    /// It did, and its answer can be passed on.
    Buffered,
}

/// What the end of an answer proves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CompletionProof {
    /// That the answer is whole, and so that its endpoint lives.
    #[default]
    Proven,
    /// Nothing: an endpoint that ends may end its answer so as well.
    Unproven,
}

/// What of an answer has reached the caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DeliveredPart {
    /// Nothing, so that any answer can still be given.
    #[default]
    Nothing,
    /// Its head at least; another endpoint can go on after it.
    Head,
    /// A part after which no other endpoint can go on.
    Unresumable,
}

impl RequestRow {
    /// Tells whether the head of an answer has reached the caller.
    #[must_use]
    pub fn head_sent(&self) -> bool {
        self.delivered_part != DeliveredPart::Nothing
    }

    /// Makes the row of a request that just arrived.
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
            first: None,
            uncached: 0,
            work: 0.0,
            charged_work: 0.0,
            predicted: Time::ZERO,
            resumed_from: 0,
            failure: EndpointFailure::None,
            completion_proof: CompletionProof::Proven,
            breaking: None,
            placement: PlacementState::NotRequested,
            declined: Vec::new(),
            new,
        }
    }

    /// Gives the request with its pool, the time limit of its service, and what it was charged.
    #[must_use]
    pub fn with_service(mut self, service: &Service, charge: f64) -> Self {
        let limit = service.timeout().map(|limit| self.arrived + limit);
        self.pool = service.pick_pool(self.new.draw).cloned();
        self.deadline = [self.deadline, limit].into_iter().flatten().min();
        self.charge = charge;
        self
    }

    /// Gives the key of counts by pool: the pool, or empty for all endpoints together.
    #[must_use]
    pub fn pool_key(&self) -> &str {
        self.pool.as_deref().unwrap_or_default()
    }

    /// Gives the identity of what it asks for, where that is known.
    #[must_use]
    pub fn content_id(&self) -> Option<ContentId> {
        self.new.content.as_ref().map(|content| content.id)
    }

    /// Tells whether the request may have run, or may be running.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.ran_before || self.phase != Phase::Held
    }

    /// Gives how the request ends if it ends now without an answer.
    #[must_use]
    pub fn outcome_unanswered(&self) -> Outcome {
        if self.may_have_run() {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}
