//! HTTP server of the stand-in engine, which runs the engine model in real time.

mod command;
mod report;

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use firdock_core::RequestId;
use firdock_core::prefix::{block_hashes, estimate_tokens};
use firdock_node::endpoint::REPORT_PATH;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use uuid::Uuid;

use self::command::{export_kv, handle_command, import_kv};
use self::report::{LoadSample, report};
use super::model::{EngineModel, EngineSpec, Job};
use super::protocol::Call;
use crate::fault::Faults;
use crate::log::set_fault;
use crate::service::Runs;
use crate::web::{self, Reply, Served};

/// Maximum number of finished requests retained, so that a late reader still finds them.
const MAX_FINISHED: usize = 256;
/// Time after which a request without a reader is cancelled.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the SSE comments that show a waiting caller that the engine is alive.
const COMMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum sleep between two updates of the engine model.
const MAX_SLEEP: Duration = Duration::from_millis(20);
/// Maximum number of load samples retained for delayed reports.
const MAX_SAMPLES: usize = 1_024;
/// Maximum number of imported KV caches retained.
const MAX_KV: usize = 64;

#[derive(Debug)]
struct ActiveRequest {
    call: Call,
    dispatch: u32,
    prompt_tokens: u32,
    cached: u32,
    /// Tokens of the complete answer generated so far, including those it was resumed from.
    generated: u32,
    ended: bool,
    readers: u32,
    unread_since: Instant,
}

#[derive(Debug)]
struct State {
    model: EngineModel,
    running: HashMap<RequestId, ActiveRequest>,
    ended: VecDeque<RequestId>,
    runs: Runs,
    fence: u64,
    refuse_work: bool,
    kv: VecDeque<(RequestId, Bytes)>,
    samples: VecDeque<LoadSample>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    progress: Notify,
    started: Instant,
    faults: Faults,
}

/// A running engine.
#[derive(Debug)]
pub struct StandinEngine {
    /// Server.
    pub served: Served,
    /// Faults.
    pub faults: Faults,
    shared: Arc<Shared>,
    model_task: JoinHandle<()>,
}

impl Drop for StandinEngine {
    fn drop(&mut self) {
        self.model_task.abort();
    }
}

impl StandinEngine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn start(address: SocketAddr, spec: EngineSpec) -> io::Result<Self> {
        let faults = Faults::new();
        let state = State {
            model: EngineModel::new(spec),
            running: HashMap::new(),
            ended: VecDeque::new(),
            runs: Runs::default(),
            fence: 0,
            refuse_work: false,
            kv: VecDeque::new(),
            samples: VecDeque::new(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            progress: Notify::new(),
            started: Instant::now(),
            faults: faults.clone(),
        });
        let model_task = tokio::spawn(run_model(Arc::clone(&shared)));
        let handled = Arc::clone(&shared);
        let served = Served::start(address, move |r| handle(r, Arc::clone(&handled)))?;
        Ok(Self {
            served,
            faults,
            shared,
            model_task,
        })
    }

    /// Kills the engine: it refuses connections, and answers in progress break off.
    pub fn kill(&self) {
        self.served.close();
        self.faults.change(|f| f.dead = true);
        self.shared.lock().model.clear();
        self.shared.progress.notify_waiters();
    }

    /// Returns how often each request was dispatched to this engine.
    #[must_use]
    pub fn runs(&self) -> Runs {
        self.shared.lock().runs.clone()
    }

    /// Counts the requests in progress.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.shared
            .lock()
            .running
            .values()
            .filter(|r| !r.ended)
            .count()
    }

    /// Returns the number of prompt tokens computed so far.
    #[must_use]
    pub fn prefilled(&self) -> u64 {
        self.shared.lock().model.prefilled()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs the engine model in real time.
async fn run_model(shared: Arc<Shared>) {
    loop {
        let wait = shared.advance();
        tokio::time::sleep(wait.min(MAX_SLEEP)).await;
    }
}

impl Shared {
    /// Runs every step that is due; returns the time until the next one.
    fn advance(&self) -> Duration {
        let faults = self.faults.get();
        let mut state = self.lock();
        state.model.set_slowdown(faults.slowdown);
        state.drop_unread();
        if faults.silent {
            return MAX_SLEEP;
        }
        loop {
            let now = self.started.elapsed();
            match state.model.next_step() {
                Some(due) if due <= now => state.step(due),
                Some(due) => return due.saturating_sub(now),
                None => return MAX_SLEEP,
            }
            self.progress.notify_waiters();
        }
    }
}

impl State {
    fn step(&mut self, due: Duration) {
        for token in self.model.step(due) {
            let Some(r) = self.running.get_mut(&token.id) else {
                continue;
            };
            r.cached = token.cached;
            r.generated += 1;
            if token.last {
                r.ended = true;
                self.ended.push_back(token.id);
            }
        }
        while self.ended.len() > MAX_FINISHED {
            if let Some(id) = self.ended.pop_front() {
                self.running.remove(&id);
            }
        }
    }

    /// Cancels the requests that had no reader for [`UNREAD_TIMEOUT`].
    fn drop_unread(&mut self) {
        let unread =
            |r: &ActiveRequest| r.readers == 0 && r.unread_since.elapsed() > UNREAD_TIMEOUT;
        let gone: Vec<RequestId> = self
            .running
            .iter()
            .filter(|(_, r)| !r.ended && unread(r))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.cancel(id);
        }
    }

    fn cancel(&mut self, id: RequestId) {
        self.model.cancel(id);
        self.running.remove(&id);
    }
}

async fn handle(request: Request<Incoming>, shared: Arc<Shared>) -> Response<Reply> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.split('/').filter(|p| !p.is_empty()).collect();
    match (request.method().clone(), parts.as_slice()) {
        (Method::POST, ["fault"]) => return set_fault(request, &shared.faults).await,
        (Method::GET, ["runs"]) => return web::json(&shared.lock().runs),
        _ => shared.faults.before_work().await,
    }
    if shared.faults.get().outage {
        return web::status(503, "outage");
    }
    match (request.method().clone(), parts.as_slice()) {
        (Method::POST, ["v1", ..]) => start(request, &path, shared).await,
        (Method::GET, ["requests", id, _]) => resume(&request, id, &shared),
        (Method::DELETE, ["requests", id, _]) => {
            if let Ok(id) = Uuid::parse_str(id) {
                shared.lock().cancel(id);
            }
            web::status(200, "cancelled")
        }
        (Method::GET, ["kv", id]) => export_kv(id, &shared),
        (Method::PUT, ["kv", id]) => {
            let id = (*id).to_owned();
            import_kv(&id, request, &shared).await
        }
        (Method::POST, ["orders"]) => handle_command(request, &shared).await,
        (Method::GET, _) if path == REPORT_PATH => report(&request, &shared),
        _ => web::status(404, "no such path"),
    }
}

fn header<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

async fn start(request: Request<Incoming>, path: &str, shared: Arc<Shared>) -> Response<Reply> {
    let id = header(&request, "x-request-id").and_then(|v| Uuid::parse_str(v).ok());
    let dispatch = header(&request, "x-dispatch").and_then(|v| v.parse::<u32>().ok());
    let (Some(id), Some(dispatch)) = (id, dispatch) else {
        return web::status(400, "x-request-id and x-dispatch are required");
    };
    let refused = shared.faults.get().refuse || shared.lock().refuse_work;
    if refused {
        return web::refused(shared.faults.get().retry_after);
    }
    let Some(body) = web::read(request.into_body()).await else {
        return web::status(400, "incomplete or oversized body");
    };
    let Some(call) = Call::parse(path, &body) else {
        return web::status(400, "malformed call");
    };
    let from = call.resume_from;
    shared.submit(id, dispatch, call);
    if shared.faults.take_lost_reply() {
        web::never().await;
    }
    stream(id, dispatch, from, &shared)
}

impl Shared {
    fn submit(&self, id: RequestId, dispatch: u32, call: Call) {
        let mut state = self.lock();
        *state.runs.by_request.entry(id.to_string()).or_default() += 1;
        let prompt_tokens = estimate_tokens(call.prompt.len()) + call.resume_from;
        let job = Job {
            id,
            priority: call.priority,
            prompt_tokens,
            blocks: block_hashes(call.prompt.as_bytes()),
            output_tokens: call.tokens.saturating_sub(call.resume_from).max(1),
        };
        let generated = call.resume_from;
        let running = ActiveRequest {
            call,
            dispatch,
            prompt_tokens,
            cached: 0,
            generated,
            ended: false,
            readers: 0,
            unread_since: Instant::now(),
        };
        state.running.insert(id, running);
        state.model.submit(self.started.elapsed(), job);
        drop(state);
        self.progress.notify_waiters();
    }
}

fn resume(request: &Request<Incoming>, id: &str, shared: &Arc<Shared>) -> Response<Reply> {
    let from = web::query(request, "from")
        .and_then(|n| u32::try_from(n).ok())
        .unwrap_or(0);
    let known = Uuid::parse_str(id).ok().and_then(|id| {
        let dispatch = shared.lock().running.get(&id)?.dispatch;
        Some((id, dispatch))
    });
    match known {
        Some((id, dispatch)) if !shared.faults.get().forgetful => {
            stream(id, dispatch, from, shared)
        }
        _ => web::status(404, "no such request"),
    }
}

/// Streams the tokens from offset `from` on, as they are generated.
fn stream(id: RequestId, dispatch: u32, from: u32, shared: &Arc<Shared>) -> Response<Reply> {
    let (sender, chunks) = mpsc::channel(32);
    let cut = shared.faults.take_cut();
    let reader = Reader::new(id, Arc::clone(shared));
    tokio::spawn(reader.run(from, cut, sender));
    let mut response = Response::new(Reply::chunks(chunks));
    let shown = if shared.faults.take_crossed() {
        Uuid::nil()
    } else {
        id
    };
    let headers = response.headers_mut();
    headers.insert(
        "content-type",
        HeaderValue::from_static("text/event-stream"),
    );
    if let Ok(value) = HeaderValue::from_str(&shown.to_string()) {
        headers.insert("x-request-id", value);
    }
    headers.insert("x-dispatch", HeaderValue::from(dispatch));
    response
}

/// Connection that reads a request's tokens.
struct Reader {
    id: RequestId,
    shared: Arc<Shared>,
}

impl Reader {
    fn new(id: RequestId, shared: Arc<Shared>) -> Self {
        if let Some(r) = shared.lock().running.get_mut(&id) {
            r.readers += 1;
        }
        Self { id, shared }
    }

    /// Sends tokens until the answer ends, a fault breaks it off or the connection is closed.
    async fn run(self, mut at: u32, cut: Option<u32>, sender: mpsc::Sender<Option<Bytes>>) {
        let mut sent = 0;
        loop {
            let progress = self.shared.progress.notified();
            if self.shared.faults.get().dead {
                return;
            }
            let Some((events, ended)) = self.events(&mut at) else {
                return;
            };
            for event in events {
                if cut.is_some_and(|after| sent >= after) {
                    return;
                }
                sent += 1;
                if sender.send(Some(event)).await.is_err() {
                    return;
                }
            }
            if ended {
                let _ = sender.send(None).await;
                return;
            }
            let silent = self.shared.faults.get().silent;
            if tokio::time::timeout(COMMENT_INTERVAL, progress)
                .await
                .is_err()
                && !silent
            {
                let comment = Bytes::from_static(b": waiting\n\n");
                if sender.send(Some(comment)).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Returns the events from offset `at` on, and whether the answer ends with them.
    fn events(&self, at: &mut u32) -> Option<(Vec<Bytes>, bool)> {
        let state = self.shared.lock();
        let r = state.running.get(&self.id)?;
        let mut events = Vec::new();
        while *at < r.generated {
            events.push(r.call.token_event(*at, r.cached, r.prompt_tokens));
            *at += 1;
        }
        if r.ended {
            events.push(r.call.end_event(r.generated, r.cached, r.prompt_tokens));
        }
        Some((events, r.ended))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if let Some(r) = self.shared.lock().running.get_mut(&self.id) {
            r.readers = r.readers.saturating_sub(1);
            r.unread_since = Instant::now();
        }
    }
}
