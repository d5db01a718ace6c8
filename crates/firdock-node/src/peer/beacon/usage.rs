//! Counts of what instances let pass of limits, on their way between leads and groups.

use std::sync::{MutexGuard, PoisonError};

use firdock_policy::event::{PeerUse, UseCounts};
use firdock_policy::usage::UseAggregator;
use firdock_policy::{Event, Time};
use firdock_wire::message::Beacon;
use uuid::Uuid;

use super::{BeaconService, TELL_EVERY};
use crate::peer::datagram::write_uses;

/// What a beacon tells of the use of limits.
#[derive(Debug, Default)]
pub(super) enum ToldUse {
    /// Nothing: its sender counts for nobody, or not at this tick.
    #[default]
    Nothing,
    /// Counts of the sender's group, for other leads.
    Group(UseCounts),
    /// Counts of all groups, for its own.
    Site(UseCounts),
}

impl ToldUse {
    /// Writes it into a beacon.
    pub fn write(&self, beacon: &mut Beacon) {
        let (told, counts) = match self {
            Self::Nothing => return,
            Self::Group(counts) => (&mut beacon.group_used, counts),
            Self::Site(counts) => (&mut beacon.site_used, counts),
        };
        *told = write_uses(&counts.counts);
        beacon.use_began = counts.began.as_bytes().to_vec();
        beacon.use_fresh = counts.fresh;
    }
}

impl BeaconService {
    /// Counts what instances let pass of limits, where this one leads; gives what is told of that to its
    /// group and to other leads.
    ///
    /// The instance that takes over from the lead counts as well and tells it a few times more seldom, so
    /// that its counts are known when the lead falls.
    pub(super) async fn count_use(&self, tick: usize, now: Time) -> (ToldUse, ToldUse) {
        if self.directory.is_single_group() || !self.directory.is_reporter(now) {
            self.sums().reset();
            return Default::default();
        }
        let me = &self.member.name;
        let (group, site) = {
            let mut sums = self.sums();
            sums.start(Uuid::now_v7);
            sums.add_member_report(now, &self.own_use());
            sums.sweep(now);
            if !self.directory.is_lead(now) && !tick.is_multiple_of(TELL_EVERY) {
                return Default::default();
            }
            (sums.report_for_leads(me), sums.report_for_group(me))
        };
        if let Some(counts) = site.clone() {
            self.tell(Event::SiteUseReported(counts)).await;
        }
        let for_group = site.map_or(ToldUse::Nothing, ToldUse::Site);
        let for_leads = group.map_or(ToldUse::Nothing, ToldUse::Group);
        (for_group, for_leads)
    }

    /// Gives what this instance let pass.
    fn own_use(&self) -> PeerUse {
        PeerUse {
            name: self.member.name.clone(),
            incarnation: self.member.incarnation,
            used: self.self_status.borrow().used.clone(),
        }
    }

    pub(super) fn sums(&self) -> MutexGuard<'_, UseAggregator> {
        self.sums.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
