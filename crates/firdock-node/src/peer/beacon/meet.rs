//! How an instance that starts finds the others and what they know, before it asks the store.
//!
//! The platform names a few instances that are likely to be up. They are asked one after another: where
//! all start at one moment, each has a third of the others to answer, and not all of them.

use std::net::SocketAddr;
use std::time::Duration;

use firdock_core::rendezvous;
use firdock_policy::Time;

use super::Beacons;
use crate::peer::book::PeerBook;
use crate::peer::datagram::seal;
use crate::peer::known::Question;
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

/// Where an instance stands with those that it asks at its start.
#[derive(Debug)]
pub(super) struct Meeting {
    seeds: Vec<SocketAddr>,
    started: Time,
    asked: usize,
    /// When the others are asked for once more; `None` once they were.
    again_at: Option<Time>,
}

impl Meeting {
    /// Makes the meeting of an instance that starts now; its name tells whom it asks first.
    ///
    /// `asks_first` tells whether it waits for an answer, and is not asked itself.
    pub(super) fn new(now: Time, asks_first: bool, mut seeds: Vec<SocketAddr>, me: &str) -> Self {
        if !seeds.is_empty() {
            let first = rendezvous::hash_key(me.as_bytes()) % seeds.len() as u64;
            seeds.rotate_left(first as usize);
        }
        let again_after = if asks_first {
            AGAIN_AFTER
        } else {
            SEED_AGAIN_AFTER
        };
        Self {
            seeds,
            started: now,
            asked: 0,
            again_at: Some(now + again_after),
        }
    }

    /// Gives when the next one is to be asked; `None` if no more are.
    pub(super) fn next(&self, reads: &SharedReads, book: &PeerBook) -> Option<Time> {
        if self.seeds.is_empty() {
            return None;
        }
        let missing = !reads.is_known() || !book.was_listed();
        if missing && self.asked < TRIES {
            return Some(self.started + NEXT_PAUSE * self.asked as u32);
        }
        self.again_at
    }

    fn take_next(&mut self, now: Time) -> SocketAddr {
        let at = self.asked % self.seeds.len();
        if self.again_at.is_some_and(|at| at <= now) {
            self.asked = TRIES;
            self.again_at = None;
        } else {
            self.asked += 1;
        }
        self.seeds[at]
    }
}

impl Beacons {
    /// Asks the next of those that are likely to be up.
    pub(super) async fn ask_seed(&self, meeting: &mut Meeting) {
        let now = self.clock.now();
        let to = meeting.take_next(now);
        let question = Question {
            asked: now,
            topics: !self.reads.is_known(),
            instances: true,
        };
        self.send_to(&seal(&self.key, question.body()), "", to)
            .await;
    }
}
