//! What an instance knows of the others where they are many: its own group, the strongest of each other
//! one, and how many there are.

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::InstanceId;
use firdock_policy::Time;

use super::group::{lead_priority_of, strongest_of_zones};
use super::{Entries, Entry, FORGET_AFTER, Millicores, PeerDirectory, PeerRecord, known_peer};

/// Instances up to which each knows all others. Of more, it knows its own group and the strongest of each
/// other one, which tell for theirs: what it keeps and tells grows with its group alone.
const FULL_BOOK: usize = 400;
/// Instances of each other group that are known then: its lead, the next one, and two that may follow.
const STRONGEST: usize = 4;
/// Time for which one that read the list of instances tells others of all: those that start in the same
/// moment have asked by then.
const TELL_LISTED: Duration = Duration::from_secs(10);

/// How many instances there are, as was told, and when.
pub(super) type ReportedSize = Option<(Time, usize)>;

impl PeerDirectory {
    /// Notes how many instances there are, as the list of them or a lead tells, this one among them.
    pub fn set_site_size(&self, count: usize, now: Time) {
        *self.reported_size() = Some((now, count));
    }

    /// Gives how many instances there are as was told lately; zero where nobody told.
    fn recent_site_size(&self, now: Time) -> usize {
        let told = *self.reported_size();
        let told = told.filter(|(at, _)| *at + FORGET_AFTER > now);
        told.map_or(0, |(_, count)| count)
    }

    /// Tells whether instances are so many that only those of the own group and the strongest of the others
    /// are known.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        let known = self.lock().len();
        self.is_partial_at(known)
    }

    pub(super) fn is_partial_at(&self, known: usize) -> bool {
        let told = self.reported_size().map_or(0, |(_, count)| count);
        known.max(told) >= FULL_BOOK
    }

    /// Tells whether an instance is to be known here.
    pub(super) fn should_track(
        &self,
        entries: &Entries,
        name: &str,
        zone: &str,
        millicores: Millicores,
    ) -> bool {
        if zone == self.zone || zone.is_empty() || !self.is_partial_at(entries.len()) {
            return true;
        }
        let lead_priority = lead_priority_of(millicores, name);
        let before = entries.iter().filter(|(other, e)| {
            e.zone == zone && lead_priority_of(e.millicores, other) < lead_priority
        });
        before.count() < STRONGEST
    }

    /// Forgets the instances of other groups that need not be known.
    pub(super) fn prune(&self, entries: &mut Entries, now: Time) {
        if !self.is_partial_at(entries.len()) {
            return;
        }
        // Those that fell silent do not keep out the ones that lead in their place.
        let mut kept = strongest_of_zones(entries.iter(), STRONGEST);
        let heard = entries.iter().filter(|(_, e)| e.is_live(now));
        kept.extend(strongest_of_zones(heard, STRONGEST));
        let own = &self.zone;
        entries.retain(|name, e| {
            let new = !e.heard && e.since + TELL_LISTED > now;
            new || e.zone == *own || e.zone.is_empty() || kept.contains(name)
        });
    }

    pub(super) fn reported_size(&self) -> MutexGuard<'_, ReportedSize> {
        self.reported_size
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the instances of this one's group that are known, heard or not, itself among them.
    #[must_use]
    pub fn group_size(&self) -> usize {
        let entries = self.lock();
        1 + entries.values().filter(|e| e.zone == self.zone).count()
    }

    /// Counts the instances of all groups, heard or not, this one among them: by what was told of all
    /// lately, or by the counts of leads where these are more.
    #[must_use]
    pub fn site_size(&self, now: Time) -> usize {
        let groups = self.groups();
        let fresh = groups
            .iter()
            .filter(|(zone, count)| **zone != self.zone && count.at + FORGET_AFTER > now);
        let others: usize = fresh.map(|(_, count)| count.known).sum();
        drop(groups);
        (self.group_size() + others).max(self.recent_site_size(now))
    }

    /// Counts the other instances of the site, whether they are known here or not.
    #[must_use]
    pub fn count(&self, now: Time) -> usize {
        let known = self.lock().len();
        if self.is_partial_at(known) {
            self.site_size(now).saturating_sub(1).max(known)
        } else {
            known
        }
    }

    /// Gives the instances that are told to one of `zone`: all that are known, or of many those of its
    /// zone and the strongest of the others.
    #[must_use]
    pub fn peers_for_zone(&self, zone: &str) -> Vec<PeerRecord> {
        let entries = self.lock();
        let all = zone.is_empty() || !self.is_partial_at(entries.len());
        let strongest = strongest_of_zones(entries.iter(), STRONGEST);
        let wanted = |(name, e): &(&InstanceId, &Entry)| {
            all || e.zone == zone || e.zone.is_empty() || strongest.contains(*name)
        };
        entries.iter().filter(wanted).map(known_peer).collect()
    }
}
