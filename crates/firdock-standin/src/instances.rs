//! Stand-in for the platform's instance list, which shows changes after a delay.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use firdock_node::platform::ListedRow;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use crate::fault::Faults;
use crate::log::set_fault;
use crate::web::{self, Reply, Served};

/// Maximum number of changes that the list does not show yet; further changes are dropped.
const MAX_PENDING: usize = 10_000;

#[derive(Debug, Default)]
struct Store {
    shown: BTreeMap<String, ListedRow>,
    pending: Vec<(Instant, String, Option<ListedRow>)>,
}

impl Store {
    fn set(&mut self, name: String, row: Option<ListedRow>) {
        if self.pending.len() < MAX_PENDING {
            self.pending.push((Instant::now(), name, row));
        }
    }

    fn rows(&mut self, lag: Duration) -> Vec<ListedRow> {
        let due = self
            .pending
            .iter()
            .take_while(|(at, _, _)| at.elapsed() >= lag)
            .count();
        for (_, name, row) in self.pending.drain(..due) {
            match row {
                Some(row) => self.shown.insert(name, row),
                None => self.shown.remove(&name),
            };
        }
        self.shown.values().cloned().collect()
    }
}

/// A running instance list server.
#[derive(Debug)]
pub struct StandinInstances {
    /// Server.
    pub served: Served,
    /// Faults.
    pub faults: Faults,
    store: Arc<Mutex<Store>>,
}

impl StandinInstances {
    /// Starts a list that shows each change after `lag`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn start(address: SocketAddr, lag: Duration) -> io::Result<Self> {
        let faults = Faults::new();
        let store = Arc::new(Mutex::new(Store::default()));
        let (f, s) = (faults.clone(), Arc::clone(&store));
        let served = Served::start(address, move |r| handle(r, f.clone(), Arc::clone(&s), lag))?;
        Ok(Self {
            served,
            faults,
            store,
        })
    }

    /// Adds or replaces the row of an instance.
    pub fn set(&self, row: ListedRow) {
        lock(&self.store).set(row.name.clone(), Some(row));
    }

    /// Removes the row of an instance.
    pub fn remove(&self, name: &str) {
        lock(&self.store).set(name.to_owned(), None);
    }
}

fn lock(store: &Mutex<Store>) -> MutexGuard<'_, Store> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(
    request: Request<Incoming>,
    faults: Faults,
    store: Arc<Mutex<Store>>,
    lag: Duration,
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
        (Method::GET, "/instances") => web::json(&lock(&store).rows(lag)),
        (Method::PUT, "/instances") => {
            match web::read_json::<ListedRow>(request.into_body()).await {
                Some(row) => {
                    lock(&store).set(row.name.clone(), Some(row));
                    web::status(200, "set")
                }
                None => web::status(400, "malformed row"),
            }
        }
        (Method::DELETE, path) => match path.strip_prefix("/instances/") {
            Some(name) => {
                lock(&store).set(name.to_owned(), None);
                web::status(200, "removed")
            }
            None => web::status(404, "no such path"),
        },
        _ => web::status(404, "no such path"),
    }
}
