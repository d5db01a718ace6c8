//! Decides when an instance reads the platform's store itself, and why.
//!
//! One instance reads for the whole site and the others receive its reports. If it falls silent,
//! the others take turns, so that an outage of the store costs a few attempts per second and group
//! rather than several per instance: without turns, on a site of 295 instances, a store that reset
//! all connections for eight seconds was called 13,800 times a day.

use std::time::Duration;

use firdock_policy::Time;

use crate::peer::directory::{ReadRole, ReadTurn};

/// Age of the read state from which an instance keeps checking whether its turn has come: by then a
/// report is missing, and its turn may change without one.
const RECHECK_AGE: Duration = Duration::from_secs(1);
/// Interval between these checks.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two reads, however often peers report newer content.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(150);
/// Age of the read state at which other instances read themselves, as a multiple of the site lead's
/// read interval. A report arrives one heartbeat after the read, and at members of a group another
/// one later.
const MAX_AGE_FACTOR: f64 = 2.0;
/// The same for the members of a group on a larger site, whose reports take one heartbeat more.
const MEMBER_MAX_AGE_FACTOR: f64 = 2.2;
/// Time between the turns of two instances of a group whose lead fell silent: several times what a
/// read takes, including the report of it to the next instance.
const TURN_INTERVAL: Duration = Duration::from_millis(100);
/// Number of members whose turns come first. All of them may fail, and a change is still in force
/// in time.
const FIRST_TURNS: usize = 16;
/// Time between the first turns: what a read takes if the store is sound.
const FIRST_TURN_INTERVAL: Duration = Duration::from_millis(25);
/// Time over which the turns of all instances of a small site are spread, and those of members that
/// hear no instance whose turn comes before. It is short, since they have less time to pick up a
/// change and few attempts cost little.
const SPREAD: Duration = Duration::from_millis(400);
/// Time for querying a peer that reported newer content, and a second time, before the store is
/// read: two heartbeats.
const NEWER_QUERY_TIME: Duration = Duration::from_millis(400);
/// Time that a starting instance waits for a reply. Three seeds are queried one after another and
/// may have started at the same time. After a crash of all 295 instances of a site, the last reply
/// arrived after 386 ms. At the very first start, when the seeds must find each other as well, 500
/// ms was too short for a third of the instances.
const START_TIMEOUT: Duration = Duration::from_millis(800);

/// The same if the content of the store is large. It is distributed through a tree in each zone, by
/// calculation within 2 s for 3,000 endpoints on links of 10 Mbit/s. Sending it to all instances
/// would take the store as long, and each call is billed.
const LARGE_START_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Time that it waits after a peer announced a delayed reply. Three seeds with links of 20 Mbit/s
/// send a thousand instances the list of their zone, 4 KB each, in 0.8 s, after they have read the
/// store themselves.
pub(super) const DELAYED_REPLY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why an instance reads the store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReadReason {
    /// It has just started, and no peer replied.
    Start,
    /// It reads for the others.
    Turn,
    /// No report of a recent read arrived.
    Silence,
    /// A peer reported newer content but did not send it.
    PeerAhead,
    /// Processes have started to which no read is confirmed yet.
    Arrival,
}

impl ReadReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Turn => "turn",
            Self::Silence => "silence",
            Self::PeerAhead => "news",
            Self::Arrival => "arrival",
        }
    }
}

/// What an instance has to read, and why.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DueReads {
    /// Configuration.
    pub config: Option<ReadReason>,
    /// List of endpoints.
    pub endpoints: Option<ReadReason>,
    /// Records of peers are to be applied instead of reading the store.
    pub from_peers: bool,
}

impl DueReads {
    /// Records of peers only.
    pub const FROM_PEERS: Self = Self {
        config: None,
        endpoints: None,
        from_peers: true,
    };

    /// Everything, at start.
    pub(super) const START: Self = Self {
        config: Some(ReadReason::Start),
        endpoints: Some(ReadReason::Start),
        from_peers: false,
    };

    /// Returns whether anything is due.
    pub(super) fn any(self) -> bool {
        self.config.is_some() || self.endpoints.is_some() || self.from_peers
    }
}

/// Age of a topic, which determines its next read.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TopicAge {
    /// When it was known to be the newest.
    pub fresh_at: Time,
    /// Since when a peer has had newer content.
    pub newer_since: Option<Time>,
}

impl TopicAge {
    /// Returns when and why the topic is to be read if no further report arrives.
    pub(super) fn next_read(
        &self,
        pause: Duration,
        read_turn: ReadTurn,
        last: LastRead,
    ) -> (Time, ReadReason) {
        let earliest = last.earliest();
        let old = self.fresh_at + max_age(pause, read_turn);
        let (old, reason) = match read_turn.role {
            ReadRole::SiteLead => (old.max(earliest), ReadReason::Turn),
            _ => (
                old.max(last.next_turn(pause, read_turn)),
                ReadReason::Silence,
            ),
        };
        let newer_by = self.newer_since.map(|since| since + NEWER_QUERY_TIME);
        match newer_by.map(|by| by.max(earliest)) {
            Some(by) if by < old => (by, ReadReason::PeerAhead),
            _ => (old, reason),
        }
    }
}

/// Returns when to check again what is due, given the time at which the read state was known to be
/// the newest.
pub(super) fn next_check(now: Time, fresh_at: Time) -> Time {
    (fresh_at + RECHECK_AGE).max(now + RECHECK_INTERVAL)
}

/// The last read of an instance.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastRead {
    pub at: Time,
    /// Time of the failure, if it failed.
    pub failed_at: Option<Time>,
}

impl LastRead {
    /// Returns when the next read may begin.
    pub(super) fn earliest(self) -> Time {
        self.at + MIN_READ_INTERVAL
    }

    /// Returns when an instance without reports may read itself. While all reads fail, each member
    /// of a larger group waits until the others had their turns.
    fn next_turn(self, pause: Duration, read_turn: ReadTurn) -> Time {
        match self.failed_at {
            None => self.earliest(),
            Some(at) if read_turn.role == ReadRole::Member => {
                at + pause.max(TURN_INTERVAL * read_turn.group_size as u32)
            }
            Some(at) => at + pause,
        }
    }
}

/// Returns the age at which an instance reads a topic itself.
fn max_age(pause: Duration, read_turn: ReadTurn) -> Duration {
    match read_turn.role {
        ReadRole::SiteLead => pause,
        ReadRole::GroupLead => pause.mul_f64(MAX_AGE_FACTOR),
        ReadRole::SingleGroupMember => pause.mul_f64(MAX_AGE_FACTOR) + spread_turn(read_turn),
        ReadRole::Member => {
            let turn = if read_turn.hears_earlier {
                member_turn(read_turn.index)
            } else {
                spread_turn(read_turn)
            };
            pause.mul_f64(MEMBER_MAX_AGE_FACTOR) + turn
        }
    }
}

/// Returns when the turn of an instance comes if those of its whole group are spread evenly.
fn spread_turn(read_turn: ReadTurn) -> Duration {
    SPREAD * read_turn.index as u32 / read_turn.group_size as u32
}

/// Returns when the turn of a member comes that knows others to come before.
fn member_turn(index: usize) -> Duration {
    let first = index.min(FIRST_TURNS);
    FIRST_TURN_INTERVAL * first as u32 + TURN_INTERVAL * (index - first) as u32
}

/// Returns until when an instance started at `started` waits for a reply.
pub(super) fn start_deadline(started: Time, asks: bool, large: bool) -> Time {
    match (asks, large) {
        (false, _) => started,
        (true, false) => started + START_TIMEOUT,
        (true, true) => started + LARGE_START_TIMEOUT,
    }
}
