//! Records that an instance has to append to the log: joins, leaves, removals of dead members, and snapshots.
//!
//! Any instance may append such a record, and a duplicate changes nothing, so the instances need no agreement
//! on who appends it (see `docs/design/membership.md`).

use std::time::Duration;

use firdock_policy::event::Member;
use firdock_state::{Body, MemberEntry, MemberRecord, State};

use super::hub::HubState;
use crate::backoff::Backoff;

/// Initial and maximum delay between two joins, so that two sides of a partition that remove each other do
/// not fill the log.
const JOIN_BACKOFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(30));
/// Time without heartbeats after which a member is removed that the instance list still shows.
const LISTED_SILENCE: Duration = Duration::from_secs(10);
/// Delay between consecutive members in appending a record that any of them may append.
const TURN: Duration = Duration::from_secs(2);
/// Number of snapshots per retention time of the log.
const SNAPSHOTS_PER_RETENTION: u32 = 4;

/// Settings of membership records and snapshots.
#[derive(Debug, Clone, Copy)]
pub struct RecordSettings {
    /// Time without heartbeats after which a member is removed that the instance list does not show.
    pub silence: Duration,
    /// How long the log keeps records.
    pub retention: Duration,
}

/// Determines which record is due, from the times of earlier ones.
#[derive(Debug)]
pub struct RecordSchedule {
    settings: RecordSettings,
    me: Member,
    join_backoff: Backoff,
    next_join: Duration,
    leave_sent: bool,
    removed_at: Duration,
    snapshot_at: Duration,
}

impl RecordSchedule {
    /// Creates the state for the member `me`.
    #[must_use]
    pub fn new(settings: RecordSettings, me: Member) -> Self {
        Self {
            settings,
            me,
            join_backoff: Backoff::new(JOIN_BACKOFF.0, JOIN_BACKOFF.1),
            next_join: Duration::ZERO,
            leave_sent: false,
            removed_at: Duration::ZERO,
            snapshot_at: Duration::ZERO,
        }
    }

    /// Returns the record that is due, if any; to be called after the log was read to its end.
    pub fn next_record(
        &mut self,
        now: Duration,
        log_time: Duration,
        hub: &HubState,
    ) -> Option<Body> {
        let state = &hub.state;
        let member = state.members.iter().any(|m| self.is_me(m));
        if hub.stopping {
            return self.leave(member);
        }
        if !member {
            return self.rejoin(now);
        }
        self.remove_dead(now, hub)
            .or_else(|| self.snapshot(now, log_time, state))
    }

    fn is_me(&self, m: &MemberEntry) -> bool {
        m.name == self.me.name && m.incarnation == self.me.incarnation
    }

    fn record(&self, joins: bool) -> Body {
        let (name, incarnation) = (self.me.name.clone(), self.me.incarnation);
        Body::Member(MemberRecord {
            name,
            incarnation,
            joins,
        })
    }

    fn leave(&mut self, member: bool) -> Option<Body> {
        let due = member && !std::mem::replace(&mut self.leave_sent, member);
        due.then(|| self.record(false))
    }

    fn rejoin(&mut self, now: Duration) -> Option<Body> {
        let due = now >= self.next_join;
        due.then(|| {
            self.next_join = now + self.join_backoff.next_pause();
            self.record(true)
        })
    }

    /// Removes one silent member; the delay of this instance depends on its position in the view.
    fn remove_dead(&mut self, now: Duration, hub: &HubState) -> Option<Body> {
        let silence = self.settings.silence + self.turn(&hub.state);
        let dead = hub
            .state
            .members
            .iter()
            .filter(|m| !self.is_me(m))
            .find(|m| {
                let last_seen = hub.peers.get(&m.name).map_or(self.removed_at, |p| p.heard);
                let listed = hub.listed_row(&m.name).is_some_and(|r| !r.leaving);
                let limit = if listed {
                    silence.max(LISTED_SILENCE)
                } else {
                    silence
                };
                last_seen + limit < now
            })?;
        if self.removed_at == Duration::ZERO {
            // A new instance has received no heartbeats yet, so it first gives all members time to send one.
            self.removed_at = now;
            return None;
        }
        let (name, incarnation) = (dead.name.clone(), dead.incarnation);
        Some(Body::Member(MemberRecord {
            name,
            incarnation,
            joins: false,
        }))
    }

    fn snapshot(&mut self, now: Duration, log_time: Duration, state: &State) -> Option<Body> {
        let period = self.settings.retention / SNAPSHOTS_PER_RETENTION;
        let newest = state.snapshot_time.max(Duration::ZERO);
        let due = newest + period + self.turn(state) < log_time && state.next > 0;
        let paused = self.snapshot_at + TURN < now;
        (due && paused).then(|| {
            self.snapshot_at = now;
            Body::Snapshot {
                state: Box::new(state.clone()),
            }
        })
    }

    fn turn(&self, state: &State) -> Duration {
        let position = state
            .members
            .iter()
            .position(|m| self.is_me(m))
            .unwrap_or(0);
        TURN * u32::try_from(position).unwrap_or(u32::MAX)
    }
}
