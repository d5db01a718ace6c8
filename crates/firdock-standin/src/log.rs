//! Stand-in for the platform's append-only log: offsets, retention by time, a limited append rate.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use firdock_state::{Batch, LogRecord};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde_json::json;

use crate::fault::{FaultState, Faults};
use crate::web::{self, Reply, Served};

/// Maximum total size of the retained records, in bytes.
const MAX_BYTES: usize = 256 << 20;
/// Maximum number of records in one answer.
const MAX_BATCH: usize = 1_024;

/// Settings of the log.
#[derive(Debug, Clone, Copy)]
pub struct LogSettings {
    /// Time for which records are retained.
    pub retention: Duration,
    /// Maximum appends per second.
    pub rate: f64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_hours(1),
            rate: 300.0,
        }
    }
}

#[derive(Debug)]
struct Store {
    settings: LogSettings,
    first: u64,
    records: VecDeque<LogRecord>,
    bytes: usize,
    credit: f64,
    credited_at: Instant,
}

impl Store {
    fn new(settings: LogSettings) -> Self {
        Self {
            settings,
            first: 0,
            records: VecDeque::new(),
            bytes: 0,
            credit: settings.rate,
            credited_at: Instant::now(),
        }
    }

    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Drops records that are past retention or exceed [`MAX_BYTES`].
    fn expire(&mut self) {
        let limit = now_millis().saturating_sub(self.settings.retention.as_millis() as u64);
        while self
            .records
            .front()
            .is_some_and(|r| r.time_millis < limit || self.bytes > MAX_BYTES)
        {
            if let Some(record) = self.records.pop_front() {
                self.bytes -= record.body.len();
                self.first += 1;
            }
        }
    }

    /// Appends a record and returns its offset; `None` if the append rate is exceeded.
    fn append(&mut self, body: String) -> Option<u64> {
        let elapsed = self.credited_at.elapsed().as_secs_f64();
        self.credited_at = Instant::now();
        let max = self.settings.rate;
        self.credit = (self.credit + elapsed * max).min(max);
        if self.credit < 1.0 {
            return None;
        }
        self.credit -= 1.0;
        let offset = self.next();
        self.bytes += body.len();
        self.records.push_back(LogRecord {
            offset,
            time_millis: now_millis(),
            body,
        });
        Some(offset)
    }

    fn read(&mut self, from: u64, max: usize) -> Batch {
        self.expire();
        let skip = from.saturating_sub(self.first) as usize;
        let records = self
            .records
            .iter()
            .skip(skip)
            .take(max.min(MAX_BATCH))
            .cloned();
        Batch {
            first: self.first,
            next: self.next(),
            time_millis: now_millis(),
            records: records.collect(),
        }
    }
}

fn now_millis() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// A running log server.
#[derive(Debug)]
pub struct StandinLog {
    /// Server.
    pub served: Served,
    /// Faults.
    pub faults: Faults,
    store: Arc<Mutex<Store>>,
}

impl StandinLog {
    /// Starts a log server.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn start(address: SocketAddr, settings: LogSettings) -> io::Result<Self> {
        let faults = Faults::new();
        let store = Arc::new(Mutex::new(Store::new(settings)));
        let (f, s) = (faults.clone(), Arc::clone(&store));
        let served = Served::start(address, move |r| handle(r, f.clone(), Arc::clone(&s)))?;
        Ok(Self {
            served,
            faults,
            store,
        })
    }

    /// Returns all retained records.
    #[must_use]
    pub fn records(&self) -> Vec<LogRecord> {
        lock(&self.store).records.iter().cloned().collect()
    }

    /// Drops all records before an offset, as the end of their retention does.
    pub fn drop_before(&self, offset: u64) {
        let mut store = lock(&self.store);
        while store.first < offset && !store.records.is_empty() {
            if let Some(record) = store.records.pop_front() {
                store.bytes -= record.body.len();
                store.first += 1;
            }
        }
    }
}

fn lock(store: &Mutex<Store>) -> MutexGuard<'_, Store> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(
    request: Request<Incoming>,
    faults: Faults,
    store: Arc<Mutex<Store>>,
) -> Response<Reply> {
    let path = request.uri().path().to_owned();
    if path == "/fault" {
        return set_fault(request, &faults).await;
    }
    faults.before_work().await;
    if faults.get().outage {
        return web::status(503, "outage");
    }
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/log") => {
            let from = web::query(&request, "from").unwrap_or(0);
            let max = web::query(&request, "max").unwrap_or(100) as usize;
            web::json(&lock(&store).read(from, max))
        }
        (Method::POST, "/log") => append(request, &faults, &store).await,
        _ => web::status(404, "no such path"),
    }
}

async fn append(
    request: Request<Incoming>,
    faults: &Faults,
    store: &Mutex<Store>,
) -> Response<Reply> {
    let body = web::read(request.into_body()).await;
    let Some(body) = body.and_then(|b| String::from_utf8(b.to_vec()).ok()) else {
        return web::status(400, "record is not UTF-8 text");
    };
    let appended = lock(store).append(body);
    let Some(offset) = appended else {
        return web::status(429, "append rate exceeded");
    };
    if faults.take_lost_reply() {
        web::never().await;
    }
    web::json(&json!({"offset": offset}))
}

/// Sets a stand-in's faults from a JSON body.
pub async fn set_fault(request: Request<Incoming>, faults: &Faults) -> Response<Reply> {
    match web::read_json::<FaultState>(request.into_body()).await {
        Some(state) => {
            faults.set(state);
            web::status(200, "set")
        }
        None => web::status(400, "malformed body or unknown fault"),
    }
}
