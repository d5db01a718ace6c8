//! How an instance that starts finds the others and what they know, before it asks the store.
//!
//! The platform names a few instances that are likely to be up. They are asked one after another: where
//! all start at one moment, each has a third of the others to answer, and not all of them.

use std::net::SocketAddr;
use std::time::Duration;

use firdock_core::rendezvous;
use firdock_policy::Time;

use super::BeaconService;
use crate::peer::book::PeerDirectory;
use crate::peer::datagram::seal;
use crate::peer::known::StateQuery;
use crate::peer::reads::SharedReads;

/// Pause before the next one is asked: many times the way there and back, and time enough for one
/// that starts in the same moment to read the store.
const NEXT_PAUSE: Duration = Duration::from_millis(200);
/// Tries at the start; by then the store was asked.
const TRIES: usize = 6;
/// Time after the start when the others are asked for once more: where all started in one moment, the
/// first that were answered heard of few. Those that are asked ask each other before.
const AGAIN_AFTER: Duration = Duration::from_secs(2);
/// The same at an instance that others ask.
const SEED_AGAIN_AFTER: Duration = Duration::from_millis(1_200);

/// Questions to each of those above in the own zone before the next one is asked: they may wait for their
/// own answers.
const TRIES_EACH: usize = 6;

/// Whom an instance asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asked {
    /// Those that the platform names.
    Seeds,
    /// Those above it in the own zone, for what is long.
    Zone,
}

/// Where an instance stands with those that it asks at its start.
#[derive(Debug)]
pub(super) struct Meeting {
    seeds: Vec<SocketAddr>,
    asks: Asked,
    /// When it began to ask these.
    started: Time,
    asked: usize,
    /// When the others are asked for once more; `None` once they were.
    again_at: Option<Time>,
}

/// Whom to ask next, and for what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Next {
    to: SocketAddr,
    instances: bool,
    whole: bool,
}

impl Meeting {
    /// Makes the meeting of an instance that starts now; its name tells whom it asks first.
    ///
    /// `asks_first` tells whether it waits for an answer, and is not asked itself.
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

    /// Gives when the next one is to be asked; `None` if no more are.
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

    /// Gives whom to ask now: one that is above in the own zone, for what is long; who has nobody above,
    /// or nobody that answers, asks those that the platform names.
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
    /// Asks the next of those that are likely to be up.
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
