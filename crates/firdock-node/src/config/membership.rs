//! What an instance owes the log: joining, leaving, removing the dead, and snapshots.
//!
//! Each duty is a record that any instance may write; writing one twice changes nothing, so no
//! agreement on who writes is needed (see `docs/design/membership.md`).

use std::time::Duration;

use firdock_policy::event::Member;
use firdock_state::{Body, MemberEntry, MemberRecord, State};

use super::hub::HubState;
use crate::backoff::Backoff;

/// Pauses between two joins, so that two sides of a partition do not fill the log.
const JOIN_BACKOFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(30));
/// Silence after which a member that the instance list still shows is removed.
const LISTED_SILENCE: Duration = Duration::from_secs(10);
/// Head start of each member over the next one in duties that any of them may do.
const TURN: Duration = Duration::from_secs(2);
/// Part of the retention after which a new snapshot is due.
const SNAPSHOT_PART: u32 = 4;

/// Settings of the duties.
#[derive(Debug, Clone, Copy)]
pub struct DutySettings {
    /// Silence after which a member that the instance list does not show is removed.
    pub silence: Duration,
    /// How long the log keeps records.
    pub retention: Duration,
}

/// Keeps track of what was done when.
#[derive(Debug)]
pub struct Duties {
    settings: DutySettings,
    me: Member,
    join: Backoff,
    join_at: Duration,
    left: bool,
    removed_at: Duration,
    snapshot_at: Duration,
}

impl Duties {
    /// Creates the duties of the member `me`.
    #[must_use]
    pub fn new(settings: DutySettings, me: Member) -> Self {
        Self {
            settings,
            me,
            join: Backoff::new(JOIN_BACKOFF.0, JOIN_BACKOFF.1),
            join_at: Duration::ZERO,
            left: false,
            removed_at: Duration::ZERO,
            snapshot_at: Duration::ZERO,
        }
    }

    /// Returns the record that is due, after the log was read to its end.
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
        let due = member && !std::mem::replace(&mut self.left, member);
        due.then(|| self.record(false))
    }

    fn rejoin(&mut self, now: Duration) -> Option<Body> {
        let due = now >= self.join_at;
        due.then(|| {
            self.join_at = now + self.join.next_pause();
            self.record(true)
        })
    }

    /// Removes one member that is silent, this instance's turn being set by its place in the view.
    fn remove_dead(&mut self, now: Duration, hub: &HubState) -> Option<Body> {
        let silence = self.settings.silence + self.turn(&hub.state);
        let dead = hub
            .state
            .members
            .iter()
            .filter(|m| !self.is_me(m))
            .find(|m| {
                let heard = hub.peers.get(&m.name).map_or(self.removed_at, |p| p.heard);
                let listed = hub.listed_row(&m.name).is_some_and(|r| !r.leaving);
                let limit = if listed {
                    silence.max(LISTED_SILENCE)
                } else {
                    silence
                };
                heard + limit < now
            })?;
        if self.removed_at == Duration::ZERO {
            // A new instance has heard nobody yet and gives everyone time to be heard.
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
        let period = self.settings.retention / SNAPSHOT_PART;
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
        let place = state
            .members
            .iter()
            .position(|m| self.is_me(m))
            .unwrap_or(0);
        TURN * u32::try_from(place).unwrap_or(u32::MAX)
    }
}
