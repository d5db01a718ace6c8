//! Partial directories of large sites: an instance tracks its own group, the most powerful
//! instances of each other group, and the number of all instances.

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::InstanceId;
use firdock_policy::Time;

use super::group::{first_of_zones, lead_priority_of};
use super::{Entries, Entry, Millicores, PeerDirectory, PeerRecord, known_peer};

/// Number of instances from which directories are partial. An instance then tracks its own group
/// and the most powerful instances of each other group, which report for the rest, so that memory
/// and traffic grow with the size of its group only.
const FULL_DIRECTORY_LIMIT: usize = 400;
/// Number of tracked instances of each other group: its lead, the successor, and two spares.
const TRACKED_PER_ZONE: usize = 4;
/// Time for which an instance that read the platform's list keeps all listed instances, to serve
/// the list to others. Instances that start at the same time have queried it by then.
const KEEP_LISTED: Duration = Duration::from_secs(10);

/// Reported number of instances, and when it was reported.
pub(super) type ReportedSize = Option<(Time, usize)>;

impl PeerDirectory {
    /// Sets the number of instances of the site, including this one, as the instance list or a lead
    /// reported it.
    pub fn set_site_size(&self, count: usize, now: Time) {
        *self.reported_size() = Some((now, count));
    }

    /// Returns the number of instances that was reported recently; zero if there is none.
    fn recent_site_size(&self, now: Time) -> usize {
        let reported = *self.reported_size();
        let reported = reported.filter(|(at, _)| self.is_recent(*at, now));
        reported.map_or(0, |(_, count)| count)
    }

    /// Returns whether the site is so large that the directory is partial.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        let known = self.lock().len();
        self.is_partial_at(known)
    }

    pub(super) fn is_partial_at(&self, known: usize) -> bool {
        let reported = self.reported_size().map_or(0, |(_, count)| count);
        known.max(reported) >= FULL_DIRECTORY_LIMIT
    }

    /// Returns whether an instance is to be tracked here.
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
        before.count() < TRACKED_PER_ZONE
    }

    /// Removes the instances of other groups that need not be tracked.
    pub(super) fn prune(&self, entries: &mut Entries, now: Time) {
        if !self.is_partial_at(entries.len()) {
            return;
        }
        // Silent instances must not displace the live ones that lead in their place.
        let mut kept = first_of_zones(entries.iter(), TRACKED_PER_ZONE);
        let live = entries.iter().filter(|(_, e)| e.is_live(now));
        kept.extend(first_of_zones(live, TRACKED_PER_ZONE));
        let own = &self.zone;
        entries.retain(|name, e| {
            let recently_listed = !e.has_heartbeat && e.last_seen + KEEP_LISTED > now;
            recently_listed || e.zone == *own || e.zone.is_empty() || kept.contains(name)
        });
    }

    pub(super) fn reported_size(&self) -> MutexGuard<'_, ReportedSize> {
        self.reported_size
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of known instances of this group, live or not, including this one.
    #[must_use]
    pub fn group_size(&self) -> usize {
        let entries = self.lock();
        1 + entries.values().filter(|e| e.zone == self.zone).count()
    }

    /// Returns the number of instances of all groups, live or not, including this one: the larger
    /// of the recently reported number and the sum of the leads' counts.
    #[must_use]
    pub fn site_size(&self, now: Time) -> usize {
        let groups = self.groups();
        let fresh = groups
            .iter()
            .filter(|(zone, count)| **zone != self.zone && self.is_recent(count.at, now));
        let others: usize = fresh.map(|(_, count)| count.known).sum();
        drop(groups);
        (self.group_size() + others).max(self.recent_site_size(now))
    }

    /// Returns the number of other instances of the site, whether they are tracked here or not.
    #[must_use]
    pub fn count(&self, now: Time) -> usize {
        let known = self.lock().len();
        if self.is_partial_at(known) {
            self.site_size(now).saturating_sub(1).max(known)
        } else {
            known
        }
    }

    /// Returns the instances to list to a peer in `zone`: all known ones, or in a partial directory
    /// those of its zone and the most powerful ones of the others.
    #[must_use]
    pub fn peers_for_zone(&self, zone: &str) -> Vec<PeerRecord> {
        let entries = self.lock();
        let all = zone.is_empty() || !self.is_partial_at(entries.len());
        let strongest = first_of_zones(entries.iter(), TRACKED_PER_ZONE);
        let wanted = |(name, e): &(&InstanceId, &Entry)| {
            all || e.zone == zone || e.zone.is_empty() || strongest.contains(*name)
        };
        entries.iter().filter(wanted).map(known_peer).collect()
    }
}
