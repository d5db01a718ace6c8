//! Passing of a request and its answer as they are, to endpoints of a platform.
//!
//! Which headers tell what is the platform's; a [`Dialect`] writes and reads them. What an answer
//! means for the request is decided here: ran or not, whose answer it is, whole or broken
//! (see `docs/design/endpoints.md`).

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use firdock_core::{EndpointId, RequestId};
use firdock_policy::event::DispatchNews;
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use hyper::{HeaderMap, Request, Response, StatusCode};

use super::events::{EventCutter, WholeEvents};
use super::run::{Run, Stop};
use super::{Backends, Place};
use crate::exchange::{AnswerHead, Part, Payload};
use crate::http::{CallError, connect, strip_hop_by_hop};

/// Longest answer that is taken whole before any of it is passed on.
///
/// An endpoint that breaks off is then seen before the caller has a part of its answer, so that
/// the request may go on elsewhere. Longer answers would cost memory, and time to the first byte.
const WHOLE_BYTES: usize = 64 << 10;
/// Time allowed beyond a request's own limit before the endpoint counts as silent; the scheduler
/// ends requests whose time is up, so this only bounds what it never hears of.
const PAST_DEADLINE: Duration = Duration::from_secs(2);
/// Time for an answer to a request without a time limit.
const NO_DEADLINE: Duration = Duration::from_mins(10);

/// What a request to an endpoint has to carry besides what the caller sent.
#[derive(Debug, Clone, Copy)]
pub struct RelayOrder<'a> {
    /// The request as the caller sent it.
    pub payload: &'a Payload,
    /// Endpoint that must answer, and no other that has its address by now.
    pub endpoint: &'a EndpointId,
    /// Time that is left, if the request has a limit.
    pub left: Option<Duration>,
    /// Id of the last event that the caller has, where the request goes on at another endpoint.
    pub last_event: Option<&'a str>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The request did not run, and the endpoint may take others.
    NotRun,
    /// The request did not run, for another endpoint has the address.
    Misdirected,
    /// The answer belongs to another request, or is none by the platform's protocol.
    Foreign,
    /// The answer to the request.
    Answer,
}

/// How a platform's endpoints are spoken to.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Puts on the request what the endpoint has to be told.
    fn address(&self, headers: &mut HeaderMap, order: RelayOrder<'_>);

    /// Reads the head of an answer.
    fn read(&self, payload: &Payload, status: StatusCode, headers: &HeaderMap) -> Reply;
}

/// Endpoints that get requests as they are.
#[derive(Debug, Clone)]
pub struct Relay<D> {
    dialect: D,
    connect_time: Duration,
}

impl<D: Dialect> Relay<D> {
    /// Makes a relay with its time limit for connects.
    #[must_use]
    pub fn new(dialect: D, connect_time: Duration) -> Self {
        Self {
            dialect,
            connect_time,
        }
    }

    /// Makes the request for one dispatch.
    fn request(&self, run: &Run) -> Option<Request<Full<Bytes>>> {
        let payload = &run.exchange.payload;
        let body = Full::new(payload.body.clone());
        let builder = Request::builder()
            .method(&payload.method)
            .uri(&payload.target);
        let mut request = builder.body(body).ok()?;
        let last_event = run.delivered().last_event.clone();
        let now = run.clock.now();
        let order = RelayOrder {
            payload,
            endpoint: &run.dispatch.endpoint,
            left: run.dispatch.deadline.map(|by| by.saturating_sub(now)),
            last_event: last_event.as_deref(),
        };
        request.headers_mut().clone_from(&payload.headers);
        self.dialect.address(request.headers_mut(), order);
        Some(request)
    }

    /// Takes an answer's head: tells the scheduler what it means, or passes the answer on.
    async fn take(
        &self,
        place: Place,
        run: &Run,
        mut response: Response<Incoming>,
    ) -> &'static str {
        let payload = &run.exchange.payload;
        let status = response.status();
        match self.dialect.read(payload, status, response.headers()) {
            Reply::NotRun => return run.not_sent(false).await,
            Reply::Misdirected => return run.not_sent(true).await,
            Reply::Foreign => return broke(run, "foreign").await,
            Reply::Answer => {}
        }
        if status.is_server_error() && payload.terms.repeatable {
            return broke(run, "failed").await;
        }
        strip_hop_by_hop(response.headers_mut());
        let (parts, body) = response.into_parts();
        let head = AnswerHead {
            status,
            headers: parts.headers,
        };
        if payload.terms.streamed && status.is_success() {
            let stream = Stream {
                run,
                head: Some(head),
                event_tokens: place.event_tokens,
                started: false,
            };
            stream.pass(body).await
        } else {
            pass_plain(run, head, body).await
        }
    }
}

impl<D: Dialect> Backends for Relay<D> {
    async fn run(&self, place: Place, run: Run) -> &'static str {
        let limit = run.dispatch.deadline.map_or(NO_DEADLINE, |by| {
            by.saturating_sub(run.clock.now()) + PAST_DEADLINE
        });
        let Ok(mut connection) = connect(run.target.address, self.connect_time).await else {
            return run.not_sent(true).await;
        };
        // The process may have stood still while it connected, so the last look comes after it.
        if run.lapsed().await {
            return "lapsed";
        }
        let Some(request) = self.request(&run) else {
            return run.not_sent(false).await;
        };
        let word = match connection.call(request, limit).await {
            Ok(response) => self.take(place, &run, response).await,
            Err(CallError::Connect { .. } | CallError::ConnectTime { .. }) => {
                run.not_sent(true).await
            }
            Err(_) => broke(&run, "lost").await,
        };
        drop(connection);
        word
    }

    /// Does nothing: endpoints drop a request when its connection closes.
    async fn cancel(&self, _place: Place, _id: RequestId, _dispatch: u32) {}
}

async fn broke(run: &Run, word: &'static str) -> &'static str {
    let delivered = run.delivered().tokens;
    run.tell(DispatchNews::Broke { delivered }).await;
    word
}

/// Passes an answer on that is no stream.
async fn pass_plain(run: &Run, head: AnswerHead, body: Incoming) -> &'static str {
    let passed = match read_whole(body).await {
        Ok(Whole::All(bytes)) => pass_start(run, head, bytes).await,
        Ok(Whole::Part(bytes, rest)) => match pass_start(run, head, bytes).await {
            Ok(()) => pass_rest(run, rest).await,
            Err(stop) => Err(stop),
        },
        Err(stop) => Err(stop),
    };
    finish(run, passed, 0).await
}

/// What was read of a body.
enum Whole {
    /// All of it.
    All(Bytes),
    /// As much as is taken before any is passed on, and the rest to come.
    Part(Bytes, Incoming),
}

async fn read_whole(mut body: Incoming) -> Result<Whole, Stop> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(Stop::Endpoint);
        };
        if let Ok(bytes) = frame.into_data() {
            read.extend_from_slice(&bytes);
        }
        if read.len() > WHOLE_BYTES && !body.is_end_stream() {
            return Ok(Whole::Part(read.freeze(), body));
        }
    }
    Ok(Whole::All(read.freeze()))
}

async fn pass_start(run: &Run, head: AnswerHead, bytes: Bytes) -> Result<(), Stop> {
    run.tell(DispatchNews::Started { head_sent: true }).await;
    run.pass(Part::Head(head)).await?;
    if bytes.is_empty() {
        return Ok(());
    }
    run.pass(Part::Data(bytes)).await
}

async fn pass_rest(run: &Run, mut body: Incoming) -> Result<(), Stop> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| Stop::Endpoint)?;
        if let Ok(bytes) = frame.into_data() {
            run.pass(Part::Data(bytes)).await?;
        }
    }
    Ok(())
}

/// Tells the scheduler how the answer ended.
async fn finish(run: &Run, passed: Result<(), Stop>, output: u32) -> &'static str {
    match passed {
        Ok(()) => {
            let news = DispatchNews::Ended {
                prompt: run.exchange.payload.terms.prompt_tokens,
                cached: 0,
                output,
            };
            run.tell(news).await;
            // The caller may be gone by now; the scheduler hears of that from the door.
            let _ = run.pass(Part::End).await;
            "answered"
        }
        Err(Stop::Caller) => {
            run.tell_caller_left().await;
            "caller-left"
        }
        Err(Stop::Endpoint) => broke(run, "broke").await,
    }
}

/// A stream of events on its way to the caller.
struct Stream<'a> {
    run: &'a Run,
    /// Head of the answer, until it is passed on.
    head: Option<AnswerHead>,
    event_tokens: u32,
    started: bool,
}

impl Stream<'_> {
    async fn pass(mut self, body: Incoming) -> &'static str {
        let passed = self.pass_events(body).await;
        let output = self.run.delivered().tokens;
        finish(self.run, passed, output).await
    }

    async fn pass_events(&mut self, mut body: Incoming) -> Result<(), Stop> {
        let mut cutter = EventCutter::default();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_broken| Stop::Endpoint)?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            let whole = cutter.push(&bytes).map_err(|_too_long| Stop::Endpoint)?;
            if let Some(events) = whole {
                self.pass_whole(events).await?;
            }
        }
        self.begin().await?;
        let rest = cutter.rest();
        if rest.is_empty() {
            return Ok(());
        }
        self.run.pass(Part::Data(rest)).await
    }

    async fn pass_whole(&mut self, events: WholeEvents) -> Result<(), Stop> {
        self.begin().await?;
        self.note(events.count, events.last_id);
        self.run.pass(Part::Data(events.bytes)).await?;
        if !self.started {
            self.started = true;
            let delivered = self.run.delivered().tokens;
            let cached = 0;
            self.run
                .tell(DispatchNews::Tokens { delivered, cached })
                .await;
        }
        Ok(())
    }

    /// Notes how far the answer has come, before its events are passed on.
    fn note(&self, events: u32, last_id: Option<String>) {
        let mut delivered = self.run.delivered();
        delivered.tokens += events * self.event_tokens;
        delivered.last_event = last_id.or(delivered.last_event.take());
    }

    /// Passes the head on, once over all dispatches of the request.
    async fn begin(&mut self) -> Result<(), Stop> {
        let Some(head) = self.head.take() else {
            return Ok(());
        };
        self.run
            .tell(DispatchNews::Started { head_sent: true })
            .await;
        if std::mem::replace(&mut self.run.delivered().head_sent, true) {
            return Ok(());
        }
        self.run.pass(Part::Head(head)).await
    }
}
