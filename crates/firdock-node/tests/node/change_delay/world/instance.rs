//! One instance, and what its messages carry.

use std::time::Duration;

use firdock_node::peer::{
    PeerDirectory, PeerInfo, PeerProcess, ReadEcho, ReadState, SharedReads, Topic, TopicRecords,
};
use uuid::Uuid;

use super::clock::TestClock;
use super::{Trouble, ZONES};

pub(super) struct Call {
    /// By the caller's clock.
    pub(super) began: Duration,
    pub(super) last_sent: Duration,
    pub(super) ends: Duration,
    pub(super) succeeds: bool,
}

/// A heartbeat on its way.
pub(super) struct Heartbeat {
    pub(super) from: usize,
    pub(super) state: ReadState,
    /// By the sender's clock; `None` in short ones.
    pub(super) sent_at: Option<Duration>,
    pub(super) echo: Option<ReadEcho>,
}

pub(super) struct Instance {
    pub(super) process: PeerProcess,
    pub(super) zone: String,
    pub(super) clock: TestClock,
    /// Whether its clock was never bent.
    pub(super) is_sound: bool,
    pub(super) directory: PeerDirectory,
    pub(super) reads: SharedReads,
    /// Reading of its clock when the last read of any instance began.
    pub(super) last_read: Duration,
    pub(super) trouble: Option<Trouble>,
    /// When it was last in trouble.
    pub(super) troubled_at: Duration,
    pub(super) wakes_at: Duration,
    pub(super) call: Option<Call>,
    pub(super) tick: usize,
    /// Heartbeats in its socket while its machine is suspended.
    pub(super) waiting: Vec<Heartbeat>,
}

impl Instance {
    pub(super) fn runs(&self) -> bool {
        !matches!(
            self.trouble,
            Some(Trouble::Frozen | Trouble::Suspended | Trouble::Killed)
        )
    }

    pub(super) fn hears_peers(&self) -> bool {
        self.runs() && self.trouble != Some(Trouble::CutFromPeers)
    }

    pub(super) fn info(&self) -> PeerInfo<'_> {
        PeerInfo {
            name: &self.process.name,
            zone: &self.zone,
            millicores: 0,
        }
    }

    /// Applies the records that peers sent, and looks at once what is due then.
    pub(super) fn apply_peer_records(&mut self, now: Duration) {
        for records in self.reads.take_peer_records() {
            let own = self.reads.own();
            let known = match records.topic {
                Topic::Config => own.config_next,
                Topic::Endpoints => own.endpoints_next,
            };
            if records.next <= known {
                continue;
            }
            let state = match records.topic {
                Topic::Config => ReadState {
                    version: records.next,
                    config_next: records.next,
                    config_at: records.read_at,
                    endpoints_next: own.endpoints_next,
                    ..ReadState::default()
                },
                Topic::Endpoints => ReadState {
                    endpoints_next: records.next,
                    endpoints_at: records.read_at,
                    version: own.version,
                    config_next: own.config_next,
                    ..ReadState::default()
                },
            };
            self.reads.record_from_peers(state);
            self.wakes_at = now;
        }
    }

    /// Returns what it knows of a topic, with times by its clock.
    pub(super) fn records(&self, topic: Topic, from: Option<u64>) -> TopicRecords {
        let own = self.reads.own();
        TopicRecords {
            topic,
            from,
            next: own.version,
            proved: true,
            read_at: on_wire(own.confirmed_at(topic)),
            records: Vec::new(),
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.reads.own().version
    }
}

/// Returns a time as messages carry it, in whole milliseconds.
pub(super) fn on_wire(time: Duration) -> Duration {
    Duration::from_millis(time.as_millis() as u64)
}

pub(super) fn reads_on_wire(reads: ReadState) -> ReadState {
    ReadState {
        config_at: on_wire(reads.config_at),
        endpoints_at: on_wire(reads.endpoints_at),
        steady_since: on_wire(reads.steady_since),
        ..reads
    }
}

/// Returns the state after a read that began at `at`, with a topic's version as its offset.
pub(super) fn state(version: u64, at: Duration) -> ReadState {
    ReadState {
        version,
        config_next: version,
        endpoints_next: version,
        config_at: at,
        endpoints_at: at,
        ..ReadState::default()
    }
}

/// Creates an instance whose process starts now, at a reading of its clock.
pub(super) fn instance(n: usize, now: Duration, reading: Duration) -> Instance {
    let process = PeerProcess {
        name: format!("front-{n:04}"),
        incarnation: Uuid::new_v4(),
    };
    let zone = format!("zone-{}", n % ZONES);
    Instance {
        directory: PeerDirectory::new(process.name.clone(), zone.clone()),
        process,
        zone,
        clock: TestClock::new(reading),
        is_sound: true,
        reads: SharedReads::default().with_asks_peers_first(true),
        last_read: reading,
        trouble: None,
        troubled_at: Duration::ZERO,
        wakes_at: now,
        call: None,
        waiting: Vec::new(),
        tick: n,
    }
}
