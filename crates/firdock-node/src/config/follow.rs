//! The thread that reads the log, applies its records and appends the membership records and snapshots that
//! are due.

use std::sync::Arc;
use std::time::Duration;

use firdock_policy::Event;
use firdock_policy::event::{LogReading, Member, MemberView};
use firdock_state::{Follower, Progress, State};
use slog::{Logger, info, warn};
use snafu::Report;
use tokio::sync::mpsc;
use uuid::Uuid;

use super::hub::Hub;
use super::membership::{RecordSchedule, RecordSettings};
use crate::backoff::Backoff;
use crate::clock::Clock;
use crate::input::Input;
use crate::platform::LogClient;

/// Maximum number of records in one read.
const BATCH_RECORDS: usize = 512;
/// Initial and maximum delay after failed reads.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));
/// Consecutive reads that find a gap before the state is requested from a peer.
const GAPS_BEFORE_ASKING: u32 = 2;

/// Components that the thread uses.
#[derive(Debug)]
pub struct FollowParts<L, A> {
    /// Client of the platform's log.
    pub log_client: L,
    /// Requests the state from peers, when the log no longer has the needed records.
    pub ask_peers: A,
    /// State of the configuration, shared between threads.
    pub hub: Arc<Hub>,
    /// Channel to the scheduler.
    pub inputs: mpsc::Sender<Input>,
    /// Clock.
    pub clock: Clock,
    /// Logger.
    pub log: Logger,
    /// Pause between reads.
    pub pause: Duration,
    /// Name and incarnation of this instance.
    pub member: Member,
    /// Settings of membership records and snapshots.
    pub record_settings: RecordSettings,
}

/// Follows the log until the hub is closed.
pub fn follow<L, A>(parts: FollowParts<L, A>)
where
    L: LogClient,
    A: Fn() -> Option<State>,
{
    let schedule = RecordSchedule::new(parts.record_settings, parts.member.clone());
    let backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
    Thread {
        parts,
        follower: Follower::default(),
        schedule,
        backoff,
        gaps: 0,
    }
    .run();
}

struct Thread<L, A> {
    parts: FollowParts<L, A>,
    follower: Follower,
    schedule: RecordSchedule,
    backoff: Backoff,
    gaps: u32,
}

impl<L, A> Thread<L, A>
where
    L: LogClient,
    A: Fn() -> Option<State>,
{
    fn run(&mut self) {
        loop {
            let pause = self.read_once();
            if !self.parts.hub.pause(pause) {
                return;
            }
        }
    }

    /// Reads once; returns the pause before the next read.
    fn read_once(&mut self) -> Duration {
        let sent = self.parts.clock.now();
        match self
            .parts
            .log_client
            .read(self.follower.read_from(), BATCH_RECORDS)
        {
            Ok(batch) => {
                self.backoff.reset();
                let progress = self.follower.fold_batch(&batch);
                self.publish();
                self.after_read(
                    progress,
                    LogReading {
                        log_time: batch.time(),
                        sent,
                    },
                )
            }
            Err(e) => {
                let error = Report::from_error(e).to_string();
                warn!(self.parts.log, "failed to read the log"; "error" => error);
                if self.follower.state().next == 0 {
                    self.adopt_peer_state();
                }
                self.backoff.next_pause()
            }
        }
    }

    fn after_read(&mut self, progress: Progress, reading: LogReading) -> Duration {
        match progress {
            Progress::Folded { results, at_end } => {
                self.gaps = 0;
                let read = at_end.then_some(reading.sent);
                self.parts.hub.update(|h| {
                    h.record_results(results);
                    h.gap = false;
                    h.log_read = read.or(h.log_read);
                });
                if !at_end {
                    return Duration::ZERO;
                }
                self.send(Event::LogRead(reading));
                self.append_due_record(reading);
                self.parts.pause
            }
            Progress::Gap { .. } => {
                self.gaps += 1;
                self.parts.hub.update(|h| h.gap = true);
                if self.gaps >= GAPS_BEFORE_ASKING {
                    self.adopt_peer_state();
                }
                self.parts.pause
            }
        }
    }

    /// Takes over the state of a peer that is ahead of this instance.
    fn adopt_peer_state(&mut self) {
        let Some(state) = (self.parts.ask_peers)() else {
            return;
        };
        if self.follower.adopt(state) {
            info!(self.parts.log, "state adopted from a peer"; "version" => self.follower.state().version);
            self.publish();
        }
    }

    /// Publishes a new state to the other threads and the scheduler.
    ///
    /// # Panics
    ///
    /// Panics if the version in force would decrease.
    fn publish(&mut self) {
        let old = Arc::clone(&self.parts.hub.lock().state);
        let new = self.follower.state();
        assert!(
            new.version >= old.version,
            "the configuration in force never reverts"
        );
        if new.next == old.next {
            return;
        }
        let state = Arc::new(new.clone());
        self.parts.hub.update(|h| {
            h.changes.record(&old, &state);
            h.state = Arc::clone(&state);
        });
        if state.version != old.version {
            info!(self.parts.log, "configuration in force"; "version" => state.version);
            self.send(Event::Config(Arc::new(state.catalog())));
        }
        for view in state.views.iter().filter(|v| v.number > old.view()) {
            info!(self.parts.log, "member view in force"; "view" => view.number,
                "members" => view.members.len());
            self.send(Event::View(view_of(view)));
        }
    }

    fn append_due_record(&mut self, reading: LogReading) {
        let record = {
            let hub = self.parts.hub.lock();
            self.schedule
                .next_record(self.parts.clock.now(), reading.log_time, &hub)
        };
        let Some(body) = record else { return };
        let record = firdock_state::Record {
            id: Uuid::now_v7(),
            body,
        };
        let Ok(text) = serde_json::to_string(&record) else {
            return;
        };
        match self.parts.log_client.append(&text) {
            Ok(_) => self.parts.hub.wake(),
            Err(e) => {
                let error = Report::from_error(e).to_string();
                warn!(self.parts.log, "failed to append a record"; "error" => error);
            }
        }
    }

    fn send(&self, event: Event) {
        let _ = self.parts.inputs.blocking_send(Input::Event(event));
    }
}

fn view_of(view: &firdock_state::PastView) -> MemberView {
    let member = |m: &firdock_state::MemberEntry| Member {
        name: m.name.clone(),
        incarnation: m.incarnation,
    };
    MemberView {
        since: view.since,
        number: view.number,
        first: view.first,
        members: view.members.iter().map(member).collect(),
    }
}
