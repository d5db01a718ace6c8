//! Discovery of the other instances and of the store's content at start, before the store itself is
//! read.
//!
//! The platform names a few seed instances that are likely to be up. They are queried one after
//! another, and the first one is selected by a hash, so that each of three seeds answers only a
//! third of the others if all instances start at the same time.

use std::net::SocketAddr;
use std::time::Duration;

use firdock_core::rendezvous;
use firdock_policy::Time;

use super::BeaconService;
use crate::peer::datagram::seal;
use crate::peer::directory::PeerDirectory;
use crate::peer::reads::SharedReads;
use crate::peer::sharing::StateQuery;

/// Delay before the next instance is queried: many round trips, and enough for one that started at
/// the same time to read the store.
const QUERY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of queries to the seeds; by then the store has been read.
const MAX_SEED_QUERIES: usize = 6;
/// Time after the start at which the list of instances is queried again. If all instances started
/// at the same time, the first replies contained few of them. The seeds query each other earlier.
const REQUERY_AFTER: Duration = Duration::from_secs(2);
/// The same at a seed itself.
const SEED_REQUERY_AFTER: Duration = Duration::from_millis(1_200);

/// Queries to each ancestor in the own zone before the next one is queried; an ancestor may still
/// be waiting for its own reply.
const QUERIES_PER_ANCESTOR: usize = 6;

/// Whom an instance queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum QueryTarget {
    /// The seeds that the platform names.
    Seeds,
    /// The instance's ancestors in the tree of its zone, for large content.
    Ancestors,
}

/// Progress of an instance's discovery at start.
#[derive(Debug)]
pub(super) struct Bootstrap {
    seeds: Vec<SocketAddr>,
    target: QueryTarget,
    /// When it began to query these.
    started: Time,
    query_count: usize,
    /// When the list of instances is queried again; `None` after that.
    requery_at: Option<Time>,
}

/// The next query: its receiver and what it asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct NextQuery {
    to: SocketAddr,
    instances: bool,
    any_size: bool,
}

impl Bootstrap {
    /// Creates the discovery state of an instance that starts now. A hash of its name selects the
    /// first seed.
    ///
    /// `asks_peers_first` is whether the instance waits for a reply and is no seed itself.
    pub(super) fn new(
        now: Time,
        asks_peers_first: bool,
        mut seeds: Vec<SocketAddr>,
        own_name: &str,
    ) -> Self {
        if !seeds.is_empty() {
            let first = rendezvous::hash_key(own_name.as_bytes()) % seeds.len() as u64;
            seeds.rotate_left(first as usize);
        }
        let requery_after = if asks_peers_first {
            REQUERY_AFTER
        } else {
            SEED_REQUERY_AFTER
        };
        Self {
            seeds,
            target: QueryTarget::Seeds,
            started: now,
            query_count: 0,
            requery_at: Some(now + requery_after),
        }
    }

    /// Returns when the next query is due; `None` if there is none.
    pub(super) fn next(
        &mut self,
        now: Time,
        reads: &SharedReads,
        directory: &PeerDirectory,
    ) -> Option<Time> {
        if self.seeds.is_empty() {
            return None;
        }
        if self.target == QueryTarget::Seeds && reads.is_large() && directory.is_listed() {
            self.target = QueryTarget::Ancestors;
            self.started = now;
            self.query_count = 0;
        }
        let missing = !reads.is_complete() || !directory.is_listed();
        let max_queries = match self.target {
            QueryTarget::Seeds => MAX_SEED_QUERIES,
            QueryTarget::Ancestors => usize::MAX,
        };
        if missing && self.query_count < max_queries {
            let due = self.started + QUERY_DELAY * self.query_count as u32;
            return Some(due.max(reads.delayed_until().unwrap_or(due)));
        }
        self.requery_at
    }

    /// Returns the next query. For large content this is to an ancestor in the own zone. An
    /// instance without ancestors, or whose ancestors do not reply, queries the seeds.
    fn take_next(
        &mut self,
        now: Time,
        reads: &SharedReads,
        directory: &PeerDirectory,
    ) -> NextQuery {
        let requery = self.requery_at.is_some_and(|at| at <= now);
        if requery {
            self.requery_at = None;
        }
        let index = self.query_count;
        self.query_count += 1;
        let seed = self.seeds[index % self.seeds.len()];
        if self.target == QueryTarget::Seeds || reads.is_complete() {
            if requery {
                self.query_count = self.query_count.max(MAX_SEED_QUERIES);
            }
            return NextQuery {
                to: seed,
                instances: true,
                any_size: false,
            };
        }
        let ancestors = directory.ancestors();
        let ancestor = ancestors
            .get(index / QUERIES_PER_ANCESTOR)
            .map(|peer| peer.address);
        NextQuery {
            to: ancestor.unwrap_or(seed),
            instances: false,
            any_size: ancestor.is_none(),
        }
    }
}

impl BeaconService {
    /// Queries the next seed or ancestor.
    pub(super) async fn send_query(&self, bootstrap: &mut Bootstrap) {
        let now = self.clock.now();
        let next = bootstrap.take_next(now, &self.reads, &self.directory);
        let query = StateQuery {
            sent_at: now,
            topics: !self.reads.is_complete(),
            instances: next.instances,
            any_size: next.any_size,
            missing: self.partial_replies().missing(next.to),
            zone: self.directory.zone().to_owned(),
        };
        self.send_to(&seal(&self.key, query.body()), "", next.to)
            .await;
    }
}
