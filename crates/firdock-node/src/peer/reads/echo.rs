//! Echoes of clocks, which date a read of the store by the clock of whoever is told of it.
//!
//! Each instance sends its clock with its heartbeats. A peer returns the latest such time that had
//! arrived before a read began: the read then began after that time by the receiver's own clock,
//! whatever both clocks do. Nothing is converted from one clock to another, so a clock that stands
//! still, jumps or runs at another rate makes a date earlier, and never later
//! (see `docs/design/sharing.md`).

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use firdock_core::InstanceId;
use firdock_policy::Time;
use firdock_policy::table::peer::MAX_PEERS;
use firdock_wire::message;
use uuid::Uuid;

use crate::clock::millis;
use crate::peer::sharing::PeerProcess;

/// Minimum time between two kept times of a peer: most of the interval between heartbeats, so that
/// heartbeats in quick succession do not displace the times that older reads need.
const MIN_KEPT_INTERVAL: Duration = Duration::from_millis(80);
/// Maximum number of times kept of a peer, which cover the age that a read has when its last
/// receiver is told.
const MAX_KEPT_TIMES: usize = 32;

/// What a peer's heartbeat says about its known read of one topic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EchoedRead {
    /// Time of the receiver's clock after which the read began; zero if unknown.
    pub after: Time,
    /// Estimated time since the read began.
    pub age: Duration,
}

/// What a peer's heartbeat says about the reads that it knows, for one receiver.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadEcho {
    /// Read of the configuration.
    pub config: EchoedRead,
    /// Read of the list of endpoints.
    pub endpoints: EchoedRead,
}

impl ReadEcho {
    /// Encodes the echo for the receiver's process.
    #[must_use]
    pub(in crate::peer) fn write(&self, receiver: Uuid) -> message::ReadEcho {
        message::ReadEcho {
            incarnation: receiver.as_bytes().to_vec(),
            config_after: millis(self.config.after),
            endpoints_after: millis(self.endpoints.after),
            config_age_millis: millis(self.config.age),
            endpoints_age_millis: millis(self.endpoints.age),
        }
    }

    /// Decodes an echo; `None` if it is for an earlier process of this instance, whose clock was
    /// another one.
    #[must_use]
    pub(in crate::peer) fn read(echo: &message::ReadEcho, own: Uuid) -> Option<Self> {
        let read = |after, age| EchoedRead {
            after: Duration::from_millis(after),
            age: Duration::from_millis(age),
        };
        (echo.incarnation == own.as_bytes()).then(|| Self {
            config: read(echo.config_after, echo.config_age_millis),
            endpoints: read(echo.endpoints_after, echo.endpoints_age_millis),
        })
    }
}

/// A time that a peer sent.
#[derive(Debug, Clone, Copy)]
struct SentTime {
    /// By the local clock.
    received_at: Time,
    /// By the peer's clock.
    sent_at: Time,
}

/// Times that one process sent, oldest first.
#[derive(Debug)]
struct ProcessTimes {
    incarnation: Uuid,
    times: VecDeque<SentTime>,
}

impl ProcessTimes {
    fn record(&mut self, now: Time, sent_at: Time) {
        let last = self.times.back();
        if last.is_some_and(|last| now < last.received_at + MIN_KEPT_INTERVAL) {
            return;
        }
        if self.times.len() >= MAX_KEPT_TIMES {
            self.times.pop_front();
        }
        self.times.push_back(SentTime {
            received_at: now,
            sent_at,
        });
    }

    /// Returns the latest time that arrived before `began`; zero if none did. One that arrived at
    /// the same reading of the clock may have arrived later, since the clock may stand still.
    fn latest_before(&self, began: Time) -> Time {
        let mut times = self.times.iter().rev();
        let latest = times.find(|t| t.received_at < began);
        latest.map_or(Time::ZERO, |t| t.sent_at)
    }
}

/// Times that peers sent with their heartbeats.
#[derive(Debug, Default)]
pub(super) struct SentTimes {
    processes: BTreeMap<InstanceId, ProcessTimes>,
}

impl SentTimes {
    /// Records the time that a peer sent with a heartbeat which is handled now. Returns whether it is
    /// the first of its process.
    pub fn record(&mut self, now: Time, sender: &PeerProcess, sent_at: Time) -> bool {
        let is_new = !self.processes.contains_key(&sender.name);
        if is_new && self.processes.len() >= MAX_PEERS {
            // Most entries are of peers long gone; live peers send their times again.
            self.processes.clear();
        }
        let new = || ProcessTimes {
            incarnation: sender.incarnation,
            times: VecDeque::new(),
        };
        let known = self.processes.entry(sender.name.clone());
        let known = known.or_insert_with(new);
        if known.incarnation != sender.incarnation {
            *known = new();
        }
        let is_first = known.times.is_empty();
        known.record(now, sent_at);
        is_first
    }

    /// Returns the process of a peer that sent its clock last, and its latest times that arrived
    /// before reads of the configuration and of the endpoints began.
    pub fn latest_before(
        &self,
        peer: &str,
        config: Time,
        endpoints: Time,
    ) -> Option<(Uuid, [Time; 2])> {
        let known = self.processes.get(peer)?;
        let times = [config, endpoints].map(|began| known.latest_before(began));
        Some((known.incarnation, times))
    }
}
