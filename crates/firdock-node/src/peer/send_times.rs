//! Estimates of when peers sent their datagrams, by this process's clock.
//!
//! A datagram may be read long after it arrived, for example by a process that was suspended, and
//! the ages in it would then make old reports look new.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::InstanceId;
use firdock_policy::Time;
use uuid::Uuid;

use crate::clock::millis;

/// Time over which the fastest datagram of a peer is looked for. Clocks drift, so older ones say
/// little about the difference between them.
const WINDOW: Duration = Duration::from_secs(30);

/// Smallest difference between the receiver's and the sender's clock, in milliseconds, which is that
/// of the datagram that arrived fastest.
#[derive(Debug)]
struct ClockDifference {
    incarnation: Uuid,
    window_began: Time,
    current: i64,
    previous: i64,
}

impl ClockDifference {
    fn record(&mut self, now: Time, difference: i64) -> i64 {
        if self.window_began + WINDOW <= now {
            self.window_began = now;
            self.previous = self.current;
            self.current = difference;
        }
        self.current = self.current.min(difference);
        self.current.min(self.previous)
    }
}

/// Clock differences of the peers that send their clocks.
#[derive(Debug, Default)]
pub struct SendTimes {
    peers: BTreeMap<InstanceId, ClockDifference>,
}

impl SendTimes {
    /// Returns whether datagrams of an earlier process of the peer were received lately.
    #[must_use]
    pub fn has_restarted(&self, peer: &str, incarnation: Uuid) -> bool {
        let known = self.peers.get(peer);
        known.is_some_and(|known| known.incarnation != incarnation)
    }

    /// Returns when a datagram that is handled now was sent, at the latest. `sent_at` is the peer's
    /// clock in it.
    pub fn estimate(
        &mut self,
        now: Time,
        (peer, incarnation): (&InstanceId, Uuid),
        sent_at: u64,
    ) -> Time {
        self.peers.retain(|_, d| d.window_began + WINDOW * 3 > now);
        let sent = i64::try_from(sent_at).unwrap_or(i64::MAX);
        let difference = signed_millis(now).saturating_sub(sent);
        let new = || ClockDifference {
            incarnation,
            window_began: now,
            current: difference,
            previous: difference,
        };
        let known = self.peers.entry(peer.clone()).or_insert_with(new);
        if known.incarnation != incarnation {
            *known = new();
        }
        let smallest = known.record(now, difference);
        let late = difference.saturating_sub(smallest).unsigned_abs();
        now.saturating_sub(Duration::from_millis(late))
    }
}

fn signed_millis(time: Time) -> i64 {
    i64::try_from(millis(time)).unwrap_or(i64::MAX)
}
