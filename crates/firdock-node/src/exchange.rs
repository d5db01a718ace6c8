//! One request on its way: what the caller sent, and where the parts of the answer go.

mod budget;
mod queue;
mod waiting;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use firdock_core::{AccountId, Content, EndpointId, RequestId, ServiceId};
use firdock_policy::{Time, Verdict};
use hyper::{HeaderMap, Method, StatusCode};

pub use self::budget::AnswerBudget;
use self::queue::answer_queue;
pub use self::queue::{AnswerReceiver, AnswerSender, SendResult};
use crate::endpoint::AnswerEnd;
use crate::ingress::ModelCall;
use crate::telemetry::TraceContext;

/// What the caller sent, without what belongs to its connection or account.
#[derive(Debug, Clone)]
pub struct Payload {
    /// Service that the request matched.
    pub service: ServiceId,
    /// Account that sent it.
    pub account: AccountId,
    /// Method.
    pub method: Method,
    /// Path with the query.
    pub target: String,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Parsed body of a model call; `None` for plain calls.
    pub model: Option<ModelCall>,
    /// Idempotency key as the caller gave it.
    pub key: Option<String>,
    /// What the caller said of the request's size and time, where the body does not tell it.
    pub terms: CallTerms,
}

impl Payload {
    /// Takes the identity of what the request asks for.
    fn content(&self) -> Content {
        Content::new(
            &self.account,
            self.method.as_str(),
            &self.target,
            &self.body,
        )
    }
}

/// What a caller and a service say of a request apart from its content.
#[derive(Debug, Clone, Default)]
pub struct CallTerms {
    /// Id that the caller gave, by which an on-call engineer finds the request in the logs.
    pub caller_id: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have.
    pub output_tokens: u32,
    /// When the caller stops waiting.
    pub deadline: Option<Time>,
    /// An evenly drawn number that picks the pool of a service that splits its requests.
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
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Whether the endpoint's answer has neither a length nor chunks, so that nothing but an orderly close
    /// tells its end. The caller's answer has none either then, and claims no more than is known.
    pub unframed: bool,
}

/// An answer that is there as a whole.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Head.
    pub head: AnswerHead,
    /// Body.
    pub body: Bytes,
}

/// A part of what goes back to the caller, in order.
#[derive(Debug, Clone)]
pub enum AnswerPart {
    /// The head; it comes first.
    Head(AnswerHead),
    /// Some of the body.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// The answer cannot be completed.
    Cut,
    /// The answer is cut since its caller did not read it, of which the scheduler has to be told.
    CallerStalled,
    /// Firdock's own final answer, in place of a head.
    Verdict(Verdict),
    /// The request did not run here and goes back to the peer, in place of a head.
    Refusal(Verdict, Vec<EndpointId>),
}

/// How much of a model's answer has been passed on, over all dispatches.
#[derive(Debug, Default)]
pub struct Delivered {
    /// Whether the head has been passed on.
    pub head_sent: bool,
    /// Whether that promised a length or chunks, whose end claims that the answer is whole.
    pub framed: bool,
    /// Tokens of the whole answer so far.
    pub tokens: u32,
    /// Text of the whole answer so far.
    pub text: String,
    /// Id of the last event that was passed on, of a stream that is passed on as it is; `None` where that
    /// has none.
    pub last_event: Option<String>,
    /// The last answer with which an endpoint failed, if it can be passed on.
    pub failure: Option<WholeAnswer>,
    /// What came of the present dispatch's answer; `None` until its head came.
    pub end: Option<AnswerEnd>,
}

/// A request with the way back to its caller.
#[derive(Debug)]
pub struct Exchange {
    /// Request.
    pub id: RequestId,
    /// What the caller sent.
    pub payload: Payload,
    /// What it asks for, the same whenever it comes again.
    pub content: Arc<Content>,
    /// Way back to the caller or the peer.
    pub reply: AnswerSender,
    /// Trace that the request belongs to.
    pub trace: TraceContext,
    /// Progress of a model's answer.
    pub delivered: Mutex<Delivered>,
}

impl Exchange {
    /// Gives how much of the answer has been passed on.
    pub fn delivered(&self) -> MutexGuard<'_, Delivered> {
        self.delivered
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes an exchange and the receiving end of its answer, which waits for its caller in `room`.
    #[must_use]
    pub fn new(
        id: RequestId,
        payload: Payload,
        trace: TraceContext,
        answer_budget: &AnswerBudget,
    ) -> (Arc<Self>, AnswerReceiver) {
        let (reply, parts) = answer_queue(|queue| answer_budget.open(id, &payload, queue));
        let delivered = Mutex::new(Delivered::default());
        let content = Arc::new(payload.content());
        (
            Arc::new(Self {
                id,
                payload,
                content,
                reply,
                trace,
                delivered,
            }),
            parts,
        )
    }
}
