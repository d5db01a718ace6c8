//! When an instance reads the platform's store for itself, and why.
//!
//! One instance reads for all; the others hear of it. Where that falls silent, the others take turns, so
//! that an outage costs a few tries a second of each group, and not several of each instance: on a
//! site of 295 instances, a store that reset connections for eight seconds was called 13,800 times a day
//! where each tried by itself.

use std::time::Duration;

use firdock_policy::Time;

use crate::peer::book::{ReadRole, ReadTurn};

/// Least time between two reads, however often peers tell of news.
const LEAST_PAUSE: Duration = Duration::from_millis(150);
/// How much longer than the site's reader an instance waits before it reads for itself, as a multiple
/// of the pause between reads: what was read comes one heartbeat later, and to members of a group
/// by one more.
const PATIENCE: f64 = 2.0;
/// The same for members of a group of a larger site.
const MEMBER_PATIENCE: f64 = 3.0;
/// Time between the turns of two instances of a group whose reader fell silent: several times what a
/// read takes, and its news the way to the next one.
const TURN_PAUSE: Duration = Duration::from_millis(100);
/// Time over which the turns of all instances of a small site are spread: they have less time to take
/// a change over, and few cost little.
const SMALL_SPREAD: Duration = Duration::from_millis(400);
/// Time in which a peer that told of something newer is asked for it, and once more, before the store
/// is read: two heartbeats.
const NEWS_PATIENCE: Duration = Duration::from_millis(400);
/// Time for which an instance that starts waits for its peers' answer: three of them are asked, each
/// after the other, and may have started in the same moment. After a fall of all 295 instances of a
/// site, the last had its answer after 386 ms; half a second was too short for a third of them at the
/// first start of all, when those that are asked have to find each other as well.
const START_PATIENCE: Duration = Duration::from_millis(800);

/// The same where what is known of the store is long: it passes down a tree of each zone, by reckoning within
/// 2 s for 3,000 endpoints over links of 10 Mbit/s. The store would take as long to send it to all, and is
/// paid for each.
const LARGE_PATIENCE: Duration = Duration::from_millis(3_500);

/// Time for which it waits for a peer that said that many asked before: a thousand are told the instances of
/// their zone, 4 KB each, by three that have links of 20 Mbit/s in 0.8 s, after these read the store.
pub(super) const QUEUE_PATIENCE: Duration = Duration::from_millis(2_500);

/// Why an instance reads the store for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReadReason {
    /// It just started, and no peer told it.
    Start,
    /// It reads for the others.
    Turn,
    /// Nothing was heard of those that read.
    Silence,
    /// A peer has something newer, and did not pass it on.
    PeerAhead,
}

impl ReadReason {
    /// Gives the name that the line in the log and the metric have.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Turn => "turn",
            Self::Silence => "silence",
            Self::PeerAhead => "news",
        }
    }
}

/// What an instance has to read, and why.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DueReads {
    /// The configuration.
    pub config: Option<ReadReason>,
    /// The list of endpoints.
    pub endpoints: Option<ReadReason>,
    /// Nothing of the store's: a peer told what it knows.
    pub from_peers: bool,
}

impl DueReads {
    /// Only what a peer told.
    pub const FROM_PEERS: Self = Self {
        config: None,
        endpoints: None,
        from_peers: true,
    };

    /// Everything, as at a start.
    pub(super) const START: Self = Self {
        config: Some(ReadReason::Start),
        endpoints: Some(ReadReason::Start),
        from_peers: false,
    };

    /// Tells whether anything is due.
    pub(super) fn any(self) -> bool {
        self.config.is_some() || self.endpoints.is_some() || self.from_peers
    }
}

/// What is known of one topic, as far as the next read of it goes by it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TopicAge {
    /// When it was the newest.
    pub fresh_at: Time,
    /// Since when a peer has something newer.
    pub news_since: Option<Time>,
}

impl TopicAge {
    /// Gives when the topic is to be read, and why, if nothing else is heard until then.
    pub(super) fn next_read(
        &self,
        pause: Duration,
        read_turn: ReadTurn,
        last: LastRead,
    ) -> (Time, ReadReason) {
        let earliest = last.at + LEAST_PAUSE;
        let old = self.fresh_at + patience(pause, read_turn);
        let (old, reason) = match read_turn.role {
            ReadRole::SiteLead => (old.max(earliest), ReadReason::Turn),
            _ => (
                old.max(last.next_turn(pause, read_turn)),
                ReadReason::Silence,
            ),
        };
        let news = self.news_since.map(|since| since + NEWS_PATIENCE);
        match news.map(|by| by.max(earliest)) {
            Some(by) if by < old => (by, ReadReason::PeerAhead),
            _ => (old, reason),
        }
    }
}

/// The last read of an instance.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastRead {
    pub at: Time,
    /// When it failed, if it did.
    pub failed_at: Option<Time>,
}

impl LastRead {
    /// Gives when an instance that hears of no read may read for itself: while all fail, each of a
    /// larger group waits for the turns of the others.
    fn next_turn(self, pause: Duration, read_turn: ReadTurn) -> Time {
        match self.failed_at {
            None => self.at + LEAST_PAUSE,
            Some(at) if read_turn.role == ReadRole::Member => {
                at + pause.max(TURN_PAUSE * read_turn.group_size as u32)
            }
            Some(at) => at + pause,
        }
    }
}

/// Gives the age at which an instance reads a topic for itself.
fn patience(pause: Duration, read_turn: ReadTurn) -> Duration {
    match read_turn.role {
        ReadRole::SiteLead => pause,
        ReadRole::GroupLead => pause.mul_f64(PATIENCE),
        ReadRole::SingleGroupMember => {
            pause.mul_f64(PATIENCE)
                + SMALL_SPREAD * read_turn.index as u32 / read_turn.group_size as u32
        }
        ReadRole::Member => pause.mul_f64(MEMBER_PATIENCE) + TURN_PAUSE * read_turn.index as u32,
    }
}

/// Gives until when an instance that started at `started` waits for its peers' answer.
pub(super) fn start_by(started: Time, asks: bool, large: bool) -> Time {
    match (asks, large) {
        (false, _) => started,
        (true, false) => started + START_PATIENCE,
        (true, true) => started + LARGE_PATIENCE,
    }
}
