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
use crate::peer::book::PeerDirectory;
use crate::peer::datagram::seal;
use crate::peer::known::StateQuery;
use crate::peer::reads::SharedReads;

/// Delay before the next instance is queried: many round trips, and enough for one that started at
/// the same time to read the store.
const NEXT_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of queries to the seeds; by then the store has been read.
const TRIES: usize = 6;
/// Time after the start at which the list of instances is queried again. If all instances started
/// at the same time, the first replies contained few of them. The seeds query each other earlier.
const AGAIN_AFTER: Duration = Duration::from_secs(2);
/// The same at a seed itself.
const SEED_AGAIN_AFTER: Duration = Duration::from_millis(1_200);

/// Queries to each ancestor in the own zone before the next one is queried; an ancestor may still
/// be waiting for its own reply.
const TRIES_EACH: usize = 6;

/// Whom an instance queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asked {
    /// The seeds that the platform names.
    Seeds,
    /// The instance's ancestors in the tree of its zone, for large content.
    Zone,
}

/// Progress of an instance's discovery at start.
#[derive(Debug)]
pub(super) struct Meeting {
    seeds: Vec<SocketAddr>,
    asks: Asked,
    /// When it began to query these.
    started: Time,
    asked: usize,
    /// When the list of instances is queried again; `None` after that.
    again_at: Option<Time>,
}

/// The next query: its receiver and what it asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Next {
    to: SocketAddr,
    instances: bool,
    whole: bool,
}

impl Meeting {
    /// Creates the discovery state of an instance that starts now. A hash of its name selects the
    /// first seed.
    ///
    /// `asks_peers_first` is whether the instance waits for a reply and is no seed itself.
    pub(super) fn new(
        now: Time,
        asks_peers_first: bool,
        mut seeds: Vec<SocketAddr>,
        me: &str,
    ) -> Self {
        if !seeds.is_empty() {
            let first = rendezvous::hash_key(me.as_bytes()) % seeds.len() as u64;
            seeds.rotate_left(first as usize);
        }
        let again_after = if asks_peers_first {
            AGAIN_AFTER
        } else {
            SEED_AGAIN_AFTER
        };
        Self {
            seeds,
            asks: Asked::Seeds,
            started: now,
            asked: 0,
            again_at: Some(now + again_after),
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
        if self.asks == Asked::Seeds && reads.is_large() && directory.is_listed() {
            self.asks = Asked::Zone;
            self.started = now;
            self.asked = 0;
        }
        let missing = !reads.is_known() || !directory.is_listed();
        let tries = match self.asks {
            Asked::Seeds => TRIES,
            Asked::Zone => usize::MAX,
        };
        if missing && self.asked < tries {
            let turn = self.started + NEXT_PAUSE * self.asked as u32;
            return Some(turn.max(reads.queued_until().unwrap_or(turn)));
        }
        self.again_at
    }

    /// Returns the next query. For large content this is to an ancestor in the own zone. An
    /// instance without ancestors, or whose ancestors do not reply, queries the seeds.
    fn take_next(&mut self, now: Time, reads: &SharedReads, directory: &PeerDirectory) -> Next {
        let again = self.again_at.is_some_and(|at| at <= now);
        if again {
            self.again_at = None;
        }
        let turn = self.asked;
        self.asked += 1;
        let seed = self.seeds[turn % self.seeds.len()];
        if self.asks == Asked::Seeds || reads.is_known() {
            if again {
                self.asked = self.asked.max(TRIES);
            }
            return Next {
                to: seed,
                instances: true,
                whole: false,
            };
        }
        let above = directory.ancestors();
        let above = above.get(turn / TRIES_EACH).map(|peer| peer.address);
        Next {
            to: above.unwrap_or(seed),
            instances: false,
            whole: above.is_none(),
        }
    }
}

impl BeaconService {
    /// Queries the next seed or ancestor.
    pub(super) async fn ask_seed(&self, meeting: &mut Meeting) {
        let now = self.clock.now();
        let next = meeting.take_next(now, &self.reads, &self.directory);
        let question = StateQuery {
            asked: now,
            topics: !self.reads.is_known(),
            instances: next.instances,
            whole: next.whole,
            missing: self.partial_replies().missing(next.to),
            zone: self.directory.zone().to_owned(),
        };
        self.send_to(&seal(&self.key, question.body()), "", next.to)
            .await;
    }
}
