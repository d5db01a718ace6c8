//! Exchange of account limit use between group leads and their groups.

use std::sync::{MutexGuard, PoisonError};

use firdock_policy::event::{PeerUse, UseCounts};
use firdock_policy::usage::UseAggregator;
use firdock_policy::{Event, Time};
use firdock_wire::message::Beacon;
use uuid::Uuid;

use super::{BeaconService, LIST_PEERS_EVERY};
use crate::peer::datagram::write_uses;

/// Limit use that is included in a beacon.
#[derive(Debug, Default)]
pub(super) enum ReportedUse {
    /// None: the sender reports for no group, or not at this tick.
    #[default]
    Nothing,
    /// Totals of the sender's group, for the leads of other groups.
    Group(UseCounts),
    /// Totals of all groups, for the sender's own group.
    Site(UseCounts),
}

impl ReportedUse {
    /// Adds the totals to a beacon.
    pub fn write(&self, beacon: &mut Beacon) {
        let (totals, counts) = match self {
            Self::Nothing => return,
            Self::Group(counts) => (&mut beacon.group_used, counts),
            Self::Site(counts) => (&mut beacon.site_used, counts),
        };
        *totals = write_uses(&counts.counts);
        beacon.use_began = counts.began.as_bytes().to_vec();
        beacon.use_fresh = counts.fresh;
    }
}

impl BeaconService {
    /// Aggregates the limit use of the group if this instance reports for it. Returns the totals to
    /// send to the group and to the leads of other groups.
    ///
    /// The designated successor of the lead aggregates as well, and sends its totals at every
    /// `LIST_PEERS_EVERY` ticks only, so that its counts are known when the lead fails.
    pub(super) async fn aggregate_use(&self, tick: usize, now: Time) -> (ReportedUse, ReportedUse) {
        if self.directory.is_single_group() || !self.directory.is_reporter(now) {
            self.sums().reset();
            return Default::default();
        }
        let own_name = &self.member.name;
        let (group, site) = {
            let mut sums = self.sums();
            sums.start(Uuid::now_v7);
            sums.add_member_report(now, &self.own_use());
            sums.sweep(now);
            if !self.directory.is_lead(now) && !tick.is_multiple_of(LIST_PEERS_EVERY) {
                return Default::default();
            }
            (
                sums.report_for_leads(own_name),
                sums.report_for_group(own_name),
            )
        };
        if let Some(counts) = site.clone() {
            self.send_event(Event::SiteUseReported(counts)).await;
        }
        let for_group = site.map_or(ReportedUse::Nothing, ReportedUse::Site);
        let for_leads = group.map_or(ReportedUse::Nothing, ReportedUse::Group);
        (for_group, for_leads)
    }

    /// Returns the limit use of this instance.
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
