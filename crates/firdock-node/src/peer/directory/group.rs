//! Groups of instances, the election of their leads, and what their members report.
//!
//! The instances of an availability zone form a group; on a small site, all instances form a single
//! one. The live instance with the most processing power leads its group; ties are broken by name
//! (`docs/design/peers.md`). Election by name alone would nearly always choose a weak instance on a
//! site where one in sixteen has four times the processing power of the others.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::{InstanceId, ZoneId, rendezvous};
use firdock_policy::Time;
use firdock_policy::event::PoolDemand;
use firdock_policy::table::SINGLE_GROUP_LIMIT;

use super::{Entries, Entry, Millicores, PeerDirectory, PeerRecord, known_peer};

/// Time without heartbeats after which an instance neither leads a group nor counts as a member of
/// it: six heartbeats at the deployments' interval of 200 ms (`deploy/settings.toml`).
const PRESENT_WITHIN: Duration = Duration::from_millis(1_200);
/// Time without a heartbeat of any instance whose turn to read comes before, after which this one
/// waits for none of them: three heartbeats of the group's lead.
const HEARD_WITHIN: Duration = Duration::from_millis(600);
/// Instances of each group that receive all reports at once: its lead and the successor, which
/// takes over as soon as the lead falls silent.
const LEADS_PER_GROUP: usize = 2;

/// Children of an instance in the tree through which large content is distributed at start. Sending
/// 35 KB to each of nine children takes 0.36 s on a link of 10 Mbit/s, of which replies use 70 %,
/// and two levels below the first instance cover the 75 instances of a zone on a site of 300.
const CHILDREN: usize = 9;

/// Live and known instances of a group as its lead reported them, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct GroupCount {
    pub at: Time,
    pub live: usize,
    pub known: usize,
}

/// Counts of groups, by availability zone.
pub(super) type GroupCounts = BTreeMap<ZoneId, GroupCount>;

/// Role of an instance in reading the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRole {
    /// Reads for the whole site.
    SiteLead,
    /// Leads a group: forwards to it what the site lead read.
    GroupLead,
    /// Receives the content from the lead of its group.
    Member,
    /// Receives the content from the site lead, on a site with a single group.
    SingleGroupMember,
}

/// Relation of another instance to this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerRelation {
    /// Index in the order of names.
    pub index: usize,
    /// Whether it belongs to the same group.
    pub same_group: bool,
    /// Whether it is one of the given leads.
    pub lead: bool,
}

/// Sort key of the election; the smallest one leads.
type LeadPriority<'a> = (Reverse<Millicores>, &'a str);

/// Role of an instance in reading the platform's store, and its position within its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTurn {
    /// Role.
    pub role: ReadRole,
    /// Number of instances of the group whose turn comes before.
    pub index: usize,
    /// Number of instances of the group, including this one.
    pub group_size: usize,
    /// Whether any instance of the group whose turn comes before was heard from lately.
    pub hears_earlier: bool,
}

impl ReadTurn {
    /// Returns the turn of an instance without live peers.
    #[must_use]
    pub fn alone() -> Self {
        Self {
            role: ReadRole::SiteLead,
            index: 0,
            group_size: 1,
            hears_earlier: false,
        }
    }
}

fn lead_priority<'a>((name, entry): &(&'a InstanceId, &Entry)) -> LeadPriority<'a> {
    lead_priority_of(entry.millicores, name)
}

pub(super) fn lead_priority_of(millicores: Millicores, name: &str) -> LeadPriority<'_> {
    (Reverse(millicores), name)
}

impl Entry {
    /// Returns whether the instance counts as a present member of its group.
    fn is_present(&self, now: Time) -> bool {
        self.seen_within(now, PRESENT_WITHIN)
    }
}

/// Iterates over the present instances, by name.
fn present(entries: &Entries, now: Time) -> impl Iterator<Item = (&InstanceId, &Entry)> {
    entries.iter().filter(move |(_, e)| e.is_present(now))
}

impl PeerDirectory {
    /// Returns the demand of this group by pool, given the demand `own` of this instance.
    #[must_use]
    pub fn group_demand(&self, now: Time, own: &[PoolDemand]) -> Vec<PoolDemand> {
        let entries = self.lock();
        let present = self.present_in_zone(&entries, now);
        let demands = present.flat_map(|(_, e)| &e.demand).chain(own);
        let mut sums: BTreeMap<&str, f64> = BTreeMap::new();
        for demand in demands {
            *sums.entry(&demand.pool).or_default() += demand.rate;
        }
        let sum = |(pool, rate): (&str, f64)| PoolDemand {
            pool: pool.to_owned(),
            rate,
        };
        sums.into_iter().map(sum).collect()
    }

    /// Returns this instance's turn in reading the store.
    ///
    /// The first of the group leads reads for the whole site. The lead of each group receives what
    /// was read and forwards it.
    #[must_use]
    pub fn read_turn(&self, now: Time) -> ReadTurn {
        let entries = self.lock();
        let single_group = self.is_single_group_of(&entries);
        let own_priority = self.lead_priority();
        let (mut other_leads_site, mut other_leads_group, mut index, mut group_size) =
            (false, false, 0, 1);
        let mut hears_earlier = false;
        for peer in entries.iter().filter(|(_, e)| e.is_live(now)) {
            let before = lead_priority(&peer) < own_priority;
            let same_group = single_group || peer.1.zone == self.zone;
            let leads = before && peer.1.is_present(now);
            other_leads_site |= leads;
            other_leads_group |= leads && same_group;
            hears_earlier |= before && same_group && peer.1.seen_within(now, HEARD_WITHIN);
            // Members of a larger group exchange heartbeats only every few seconds.
            index += usize::from(before && same_group);
            group_size += usize::from(same_group);
        }
        let role = match (other_leads_site, other_leads_group, single_group) {
            (false, _, _) => ReadRole::SiteLead,
            (_, false, _) => ReadRole::GroupLead,
            (_, _, true) => ReadRole::SingleGroupMember,
            _ => ReadRole::Member,
        };
        ReadTurn {
            role,
            index,
            group_size,
            hears_earlier,
        }
    }

    fn lead_priority(&self) -> LeadPriority<'_> {
        (Reverse(self.millicores), self.own_name.as_str())
    }

    /// Returns whether this instance leads its group.
    #[must_use]
    pub fn is_lead(&self, now: Time) -> bool {
        matches!(
            self.read_turn(now).role,
            ReadRole::SiteLead | ReadRole::GroupLead
        )
    }

    /// Returns the lead and the successor of each group, of the live instances.
    #[must_use]
    pub fn group_leads(&self, now: Time) -> BTreeSet<InstanceId> {
        let entries = self.lock();
        first_of_zones(
            entries.iter().filter(|(_, e)| e.is_live(now)),
            LEADS_PER_GROUP,
        )
    }

    /// Returns the likely lead and successor of each availability zone, of all known instances.
    #[must_use]
    pub fn likely_group_leads(&self) -> BTreeSet<InstanceId> {
        first_of_zones(self.lock().iter(), LEADS_PER_GROUP)
    }

    /// Returns whether this instance reports to its group on the whole site: its lead and the
    /// successor do.
    #[must_use]
    pub fn is_reporter(&self, now: Time) -> bool {
        let entries = self.lock();
        let present = self.present_in_zone(&entries, now);
        let before = present.filter(|peer| lead_priority(peer) < self.lead_priority());
        before.count() < LEADS_PER_GROUP
    }

    /// Returns the number of present instances of this group, including this one.
    #[must_use]
    pub fn group_live(&self, now: Time) -> usize {
        let entries = self.lock();
        1 + self.present_in_zone(&entries, now).count()
    }

    /// Records the live and known instances of another group as its lead reported them.
    pub fn record_group(&self, zone: &str, live: usize, known: usize, now: Time) {
        let count = GroupCount {
            at: now,
            live,
            known,
        };
        self.groups().insert(zone.to_owned(), count);
    }

    /// Returns the number of live instances of all groups, as reported by their leads.
    #[must_use]
    pub fn site_live(&self, now: Time) -> usize {
        let groups = self.groups();
        let fresh = groups
            .iter()
            .filter(|(zone, count)| **zone != self.zone && count.at + PRESENT_WITHIN > now);
        let others: usize = fresh.map(|(_, count)| count.live).sum();
        self.group_live(now) + others
    }

    /// Returns the first present instance of this group for which `open` holds, other than this
    /// one, and whether it precedes this one.
    pub fn first_of_group(
        &self,
        now: Time,
        open: impl Fn(&str) -> bool,
    ) -> Option<(PeerRecord, bool)> {
        let entries = self.lock();
        let single_group = self.is_single_group_of(&entries);
        let group = present(&entries, now)
            .filter(|(name, e)| (single_group || e.zone == self.zone) && open(name));
        let first = group.min_by(|a, b| lead_priority(a).cmp(&lead_priority(b)))?;
        let before = lead_priority(&first) < self.lead_priority();
        Some((known_peer(first), before))
    }

    /// Returns the instance that grants the permits of an endpoint or knows who does; `None` if this
    /// instance grants them. A stopping instance leaves that to the others, if there are any.
    ///
    /// All instances of a single group select alike from those that are present. In a larger site
    /// the first instance of each group does, and the others ask that of their own group.
    #[must_use]
    pub fn permit_grantor(
        &self,
        now: Time,
        endpoint: &str,
        is_draining: bool,
    ) -> Option<PeerRecord> {
        let entries = self.lock();
        let single_group = self.is_single_group_of(&entries);
        let mut candidates: BTreeMap<&str, Option<(&InstanceId, &Entry)>> = BTreeMap::new();
        if single_group {
            let others = present(&entries, now);
            candidates.extend(others.map(|peer| (peer.0.as_str(), Some(peer))));
        } else {
            let own_group = self.present_in_zone(&entries, now);
            let first = own_group.min_by(|a, b| lead_priority(a).cmp(&lead_priority(b)));
            if let Some(lead) = first
                && (is_draining || lead_priority(&lead) < self.lead_priority())
            {
                return Some(known_peer(lead));
            }
            let others = present(&entries, now).filter(|(_, e)| e.zone != self.zone);
            let leads = first_of_zones(others, 1);
            let present = entries.iter().filter(|(name, _)| leads.contains(*name));
            candidates.extend(present.map(|peer| (peer.0.as_str(), Some(peer))));
        }
        if !is_draining || candidates.is_empty() {
            candidates.insert(&self.own_name, None);
        }
        let key = rendezvous::hash_key(endpoint.as_bytes());
        let grantor = rendezvous::owner(key, candidates.keys().copied())?;
        candidates.get(grantor).copied().flatten().map(known_peer)
    }

    /// Returns the instances that this one queries for large content at start, nearest first: its
    /// ancestors in the tree of its zone, which is built in the order of lead priority. The first
    /// instance of a zone has none.
    #[must_use]
    pub fn ancestors(&self) -> Vec<PeerRecord> {
        let entries = self.lock();
        let zone = entries.iter().filter(|(_, e)| e.zone == self.zone);
        let mut before: Vec<_> = zone
            .filter(|p| lead_priority(p) < self.lead_priority())
            .collect();
        before.sort_by(|a, b| lead_priority(a).cmp(&lead_priority(b)));
        let mut index = before.len();
        let mut ancestors = Vec::new();
        while index > 0 {
            index = (index - 1) / CHILDREN;
            ancestors.push(known_peer(before[index]));
        }
        ancestors
    }

    /// Returns whether the site is so small that all instances form a single group.
    #[must_use]
    pub fn is_single_group(&self) -> bool {
        self.is_single_group_of(&self.lock())
    }

    /// Returns the same for the given entries.
    fn is_single_group_of(&self, entries: &Entries) -> bool {
        entries.len() < SINGLE_GROUP_LIMIT && !self.is_partial_at(entries.len())
    }

    /// Returns the number of groups of live instances, including this one's.
    #[must_use]
    pub fn group_count(&self, now: Time) -> usize {
        let entries = self.lock();
        if self.is_single_group_of(&entries) {
            return 1;
        }
        let live = entries.values().filter(|e| e.is_live(now));
        let zones: BTreeSet<&str> = live.map(|e| &*e.zone).chain([&*self.zone]).collect();
        zones.len()
    }

    /// Returns whether `zone` is the availability zone of this instance.
    #[must_use]
    pub fn is_own_zone(&self, zone: &str) -> bool {
        zone == self.zone
    }

    /// Returns the instances whose relation is `wanted`.
    ///
    /// On a site with a thousand instances, only few are selected at any time; the others are not
    /// copied.
    pub fn select(
        &self,
        leads: &BTreeSet<InstanceId>,
        wanted: impl Fn(PeerRelation) -> bool,
    ) -> Vec<(PeerRecord, PeerRelation)> {
        let entries = self.lock();
        let single_group = self.is_single_group_of(&entries);
        let related = entries.iter().enumerate().map(|(index, peer)| {
            let relation = PeerRelation {
                index,
                same_group: single_group || peer.1.zone == self.zone,
                lead: leads.contains(peer.0),
            };
            (peer, relation)
        });
        let selected = related.filter(|(_, relation)| wanted(*relation));
        selected
            .map(|(peer, relation)| (known_peer(peer), relation))
            .collect()
    }

    /// Iterates over the present instances of this availability zone, by name.
    fn present_in_zone<'a>(
        &'a self,
        entries: &'a Entries,
        now: Time,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a Entry)> {
        present(entries, now).filter(|(_, e)| e.zone == self.zone)
    }

    pub(super) fn groups(&self) -> MutexGuard<'_, GroupCounts> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the first `count` instances of each availability zone, by lead priority.
pub(super) fn first_of_zones<'a>(
    peers: impl Iterator<Item = (&'a InstanceId, &'a Entry)>,
    count: usize,
) -> BTreeSet<InstanceId> {
    let mut zones: BTreeMap<&str, Vec<(&InstanceId, &Entry)>> = BTreeMap::new();
    for peer in peers {
        let first = zones.entry(&peer.1.zone).or_default();
        let at = first.partition_point(|p| lead_priority(p) < lead_priority(&peer));
        first.insert(at, peer);
        first.truncate(count);
    }
    let first = zones.into_values().flatten();
    first.map(|(name, _)| name.clone()).collect()
}
