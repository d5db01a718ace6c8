//! Stand-in for a plain application server that counts its runs of each request.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use firdock_node::endpoint::{EndpointReport, REPORT_PATH};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, Version};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::fault::Faults;
use crate::log::set_fault;
use crate::web::{self, Reply, Served};

/// Maximum number of requests whose runs are counted; once it is reached, calls run without being counted.
const MAX_COUNTED: usize = 200_000;
/// Header with which test callers name a piece of work, the same in all retries.
pub const WORK_HEADER: &str = "x-work";
/// Header with the request's id.
const REQUEST_ID: &str = "x-request-id";

/// Number of runs on a stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Runs by request id.
    pub by_request: HashMap<String, u32>,
    /// Runs by the caller's name of the work.
    pub by_work: HashMap<String, u32>,
}

impl Runs {
    /// Returns the highest number of runs of any request or piece of work.
    #[must_use]
    pub fn most(&self) -> u32 {
        self.by_request
            .values()
            .chain(self.by_work.values())
            .copied()
            .max()
            .unwrap_or(0)
    }
}

#[derive(Debug, Default)]
struct Shared {
    runs: Mutex<Runs>,
    running: std::sync::atomic::AtomicU32,
}

/// A running plain application server.
#[derive(Debug)]
pub struct StandinService {
    /// Server.
    pub served: Served,
    /// Faults.
    pub faults: Faults,
    shared: Arc<Shared>,
}

impl StandinService {
    /// Starts a server on which each call takes `work`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn start(address: SocketAddr, work: Duration) -> io::Result<Self> {
        let faults = Faults::new();
        let shared = Arc::new(Shared::default());
        let (f, s) = (faults.clone(), Arc::clone(&shared));
        let served = Served::start(address, move |r| handle(r, f.clone(), Arc::clone(&s), work))?;
        Ok(Self {
            served,
            faults,
            shared,
        })
    }

    /// Returns the number of runs so far.
    #[must_use]
    pub fn runs(&self) -> Runs {
        lock(&self.shared.runs).clone()
    }
}

fn lock(runs: &Mutex<Runs>) -> MutexGuard<'_, Runs> {
    runs.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(
    request: Request<Incoming>,
    faults: Faults,
    shared: Arc<Shared>,
    work: Duration,
) -> Response<Reply> {
    match request.uri().path() {
        "/fault" => return set_fault(request, &faults).await,
        "/runs" => return web::json(&*lock(&shared.runs)),
        REPORT_PATH => return report(&faults, &shared).await,
        _ => {}
    }
    faults.before_work().await;
    let state = faults.get();
    if state.outage {
        return web::status(503, "outage");
    }
    if state.refuse {
        return web::refused(faults.get().retry_after);
    }
    run(request, &faults, &shared, work).await
}

async fn report(faults: &Faults, shared: &Shared) -> Response<Reply> {
    faults.before_work().await;
    let running = shared.running.load(std::sync::atomic::Ordering::Relaxed);
    let leaving = faults.get().leaving;
    web::json(&EndpointReport {
        running,
        leaving,
        ..EndpointReport::default()
    })
}

async fn run(
    request: Request<Incoming>,
    faults: &Faults,
    shared: &Shared,
    work: Duration,
) -> Response<Reply> {
    use std::sync::atomic::Ordering::Relaxed;
    let (head, body) = request.into_parts();
    let Some(body) = web::read(body).await else {
        return web::status(400, "incomplete or oversized body");
    };
    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    record_run(shared, text(REQUEST_ID), text(WORK_HEADER));
    shared.running.fetch_add(1, Relaxed);
    tokio::time::sleep(work.mul_f64(faults.get().slowdown)).await;
    shared.running.fetch_sub(1, Relaxed);
    if faults.take_lost_reply() {
        web::never().await;
    }
    let target = head.uri.path_and_query().map_or("/", |t| t.as_str());
    let answer = expected_answer(head.method.as_str(), target, &body);
    let id = if faults.take_crossed() {
        Some("another-request")
    } else {
        text(REQUEST_ID)
    };
    let unframed = faults.get().unframed;
    let mut response = match faults.take_cut() {
        Some(after) if unframed => Response::new(Reply::whole(answer[..after as usize].to_owned())),
        Some(after) => truncated_response(&answer, after as usize),
        None => Response::new(Reply::whole(answer)),
    };
    if unframed {
        // HTTP/1.0 has no chunks, so hyper ends the body by closing the connection.
        *response.version_mut() = Version::HTTP_10;
    }
    if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

fn record_run(shared: &Shared, request: Option<&str>, work: Option<&str>) {
    let mut runs = lock(&shared.runs);
    if runs.by_request.len() >= MAX_COUNTED {
        return;
    }
    if let Some(id) = request {
        *runs.by_request.entry(id.to_owned()).or_default() += 1;
    }
    if let Some(work) = work {
        *runs.by_work.entry(work.to_owned()).or_default() += 1;
    }
}

/// Creates a response whose body is shorter than its `Content-Length`.
fn truncated_response(answer: &str, after: usize) -> Response<Reply> {
    let (sender, chunks) = mpsc::channel(1);
    let part = Bytes::copy_from_slice(&answer.as_bytes()[..after.min(answer.len())]);
    tokio::spawn(async move { sender.send(Some(part)).await });
    let mut response = Response::new(Reply::chunks(chunks));
    let length = HeaderValue::from(answer.len());
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_LENGTH, length);
    response
}

/// Returns the answer to a call; it depends on the whole call, so that a caller can recognize its own.
#[must_use]
pub fn expected_answer(method: &str, target: &str, body: &[u8]) -> String {
    let digest = hash_body(body);
    format!("{method} {target} {} bytes {digest:016x}\n", body.len())
}

fn hash_body(body: &[u8]) -> u64 {
    firdock_core::rendezvous::hash_key(body)
}
