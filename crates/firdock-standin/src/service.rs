//! Stand-in for a plain application server, which counts what it ran.

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

/// Runs that are counted; further ones are run but not counted.
const MAX_RUNS: usize = 200_000;
/// Header by which callers in tests name a piece of work, over all its resends.
pub const WORK_HEADER: &str = "x-work";
/// Header that carries the request's id.
const REQUEST_ID: &str = "x-request-id";

/// What a stand-in service ran.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Runs by request id.
    pub by_request: HashMap<String, u32>,
    /// Runs by the name that the caller gave the work.
    pub by_work: HashMap<String, u32>,
}

impl Runs {
    /// Gives the most often that any request or piece of work ran.
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

/// A running plain service.
#[derive(Debug)]
pub struct StandinService {
    /// Server.
    pub served: Served,
    /// Faults.
    pub faults: Faults,
    shared: Arc<Shared>,
}

impl StandinService {
    /// Starts a service whose calls take `work`.
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

    /// Gives what it ran.
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
        return web::status(400, "broken body");
    };
    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    count(shared, text(REQUEST_ID), text(WORK_HEADER));
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
        Some(after) => cut_response(&answer, after as usize),
        None => Response::new(Reply::whole(answer)),
    };
    if unframed {
        // Without chunks, the library ends the body with the connection.
        *response.version_mut() = Version::HTTP_10;
    }
    if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

fn count(shared: &Shared, request: Option<&str>, work: Option<&str>) {
    let mut runs = lock(&shared.runs);
    if runs.by_request.len() >= MAX_RUNS {
        return;
    }
    if let Some(id) = request {
        *runs.by_request.entry(id.to_owned()).or_default() += 1;
    }
    if let Some(work) = work {
        *runs.by_work.entry(work.to_owned()).or_default() += 1;
    }
}

/// Makes an answer that says its length and stops short of it.
fn cut_response(answer: &str, after: usize) -> Response<Reply> {
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

/// Gives the answer to a call, which shows whose it is.
#[must_use]
pub fn expected_answer(method: &str, target: &str, body: &[u8]) -> String {
    let digest = xxh(body);
    format!("{method} {target} {} bytes {digest:016x}\n", body.len())
}

fn xxh(body: &[u8]) -> u64 {
    firdock_core::rendezvous::hash_key(body)
}
