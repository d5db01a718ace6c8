//! A request in flight: its payload, and the queue through which the answer goes back to the caller.

mod bodies;
mod budget;
mod queue;
mod waiting;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use firdock_core::{AccountId, Content, EndpointId, RequestId, SegmentId, ServiceId};
use firdock_policy::request::StreamOrigin;
use firdock_policy::{KeyClaim, Time, Verdict};
use hyper::{HeaderMap, Method, StatusCode};

pub(crate) use self::bodies::BufferedBytes;
pub use self::bodies::{BodyBudget, BodyRefusal, BodyReservation, RefusalCause};
pub use self::budget::AnswerBudget;
use self::queue::answer_queue;
pub use self::queue::{AnswerReceiver, AnswerSender, SendResult};
use crate::endpoint::AnswerEnd;
use crate::ingress::{Identity, ModelCall};
use crate::site::{AccessRequest, Admission, SiteView};
use crate::telemetry::TraceContext;

/// A call without the headers that belong to the connection or to the authentication.
#[derive(Debug, Clone)]
pub struct Payload {
    /// Service that the request matched.
    pub service: ServiceId,
    /// Client account that sent it.
    pub account: AccountId,
    /// What it was admitted by; `None` if a peer admitted it, which does not pass keys on.
    pub access: Option<AccessRequest>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers to forward to the endpoint.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Memory reserved for the request as long as it is here.
    pub memory: Arc<BodyReservation>,
    /// Parsed body of a model call; `None` for plain calls.
    pub model: Option<ModelCall>,
    /// Idempotency key of the caller.
    pub key: Option<String>,
    /// Size, deadline and other properties that headers or the service define instead of the body.
    pub terms: CallTerms,
}

impl Payload {
    /// Returns whether a configuration admits the request as it was admitted: to the same service for the same
    /// account.
    pub(crate) fn is_admitted_by(&self, view: &SiteView) -> bool {
        let Some(access) = &self.access else {
            return true;
        };
        let admitted =
            |a: Admission<'_>| a.service.name == self.service && a.account == self.account;
        access.revision == view.access_revision() || view.admit(access).is_ok_and(admitted)
    }

    /// Computes the identities of the prompt's shared segments.
    fn segments(&self) -> impl Iterator<Item = Content> {
        let segments = self.terms.segments.iter();
        segments.map(|segment| Content::of_segment(&self.account, &self.service, segment))
    }
}

/// Properties of a request that are defined by the caller or the service, apart from its content.
#[derive(Debug, Clone, Default)]
pub struct CallTerms {
    /// Request id of the caller, by which an on-call engineer finds the request in the logs.
    pub caller_id: Option<String>,
    /// Id of the attempt that brought the first event of the stream that the request continues.
    pub resumes: Option<String>,
    /// Origin of that stream.
    pub stream_origin: StreamOrigin,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum tokens of the answer.
    pub output_tokens: u32,
    /// Segments of the prompt that other requests of the account may share, in the order of the prompt.
    pub segments: Vec<SegmentId>,
    /// Time at which the caller stops waiting.
    pub deadline: Option<Time>,
    /// Uniformly random number that selects the pool if the service splits its requests among pools.
    pub draw: u32,
    /// Whether the answer is a stream of events.
    pub streamed: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// Head of an answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// Status.
    pub status: StatusCode,
    /// Headers to pass on to the caller.
    pub headers: HeaderMap,
    /// Whether the endpoint's answer has neither a length nor chunks, so that only an orderly close marks its
    /// end. The caller's answer has neither of them then, so that it claims no more than is known.
    pub unframed: bool,
}

/// A complete answer with head and body.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Head.
    pub head: AnswerHead,
    /// Body.
    pub body: Bytes,
}

/// A part of an answer. Parts go to the caller in order.
#[derive(Debug, Clone)]
pub enum AnswerPart {
    /// The head; always first.
    Head(AnswerHead),
    /// A piece of the body.
    Data(Bytes),
    /// The answer is complete.
    End,
    /// The answer cannot be completed.
    Cut,
    /// The answer was cut because its caller did not read it; the scheduler has to be notified of this.
    CallerStalled,
    /// Firdock's own final answer, instead of a head.
    Verdict(Verdict),
    /// The request did not run here and goes back to the peer that handed it over, instead of a head.
    Refusal(Verdict, Vec<EndpointId>),
}

/// Progress of an answer to the caller, over all dispatches of the request.
#[derive(Debug, Default)]
pub struct Delivered {
    /// Whether the head has been passed on.
    pub head_sent: bool,
    /// Whether that head announced a length or chunks, whose end claims that the answer is complete.
    pub framed: bool,
    /// Tokens of the whole answer so far.
    pub tokens: u32,
    /// Text of the whole answer so far.
    pub text: String,
    /// Id of the last event passed on, for streams that are relayed unchanged; `None` if it has none.
    pub last_event: Option<String>,
    /// The last error response of an endpoint, if it can be passed on.
    pub failure: Option<WholeAnswer>,
    /// How the answer of the current dispatch ended so far; `None` until its head arrived.
    pub end: Option<AnswerEnd>,
}

/// A request with the sender of its answer.
#[derive(Debug)]
pub struct Exchange {
    /// Request.
    pub id: RequestId,
    /// Payload.
    pub payload: Payload,
    /// Content identity, which is the same for each repetition of the request.
    pub content: Arc<Content>,
    /// Claim of its idempotency key.
    pub claim: Option<KeyClaim>,
    /// Identities of the prompt's shared segments, in the order of the prompt.
    pub segments: Vec<Arc<Content>>,
    /// Sender of the answer to the caller or the peer.
    pub reply: AnswerSender,
    /// Trace that the request belongs to.
    pub trace: TraceContext,
    /// Progress of the answer.
    pub delivered: Mutex<Delivered>,
}

impl Exchange {
    /// Locks the progress of the answer.
    pub fn delivered(&self) -> MutexGuard<'_, Delivered> {
        self.delivered
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates an exchange and the receiver of its answer, whose unread parts count in `answer_budget`.
    #[must_use]
    pub fn new(
        id: RequestId,
        payload: Payload,
        identity: Identity,
        trace: TraceContext,
        answer_budget: &AnswerBudget,
    ) -> (Arc<Self>, AnswerReceiver) {
        let (reply, parts) = answer_queue(|queue| answer_budget.open(id, &payload, queue));
        let delivered = Mutex::new(Delivered::default());
        let segments = payload.segments().map(Arc::new).collect();
        (
            Arc::new(Self {
                id,
                payload,
                content: Arc::new(identity.content),
                claim: identity.claim,
                segments,
                reply,
                trace,
                delivered,
            }),
            parts,
        )
    }
}
