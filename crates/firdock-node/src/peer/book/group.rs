//! Groups of instances: who leads each of them, and what its members tell.
//!
//! The instances of one availability zone are a group; where all are few, they are one together.
//! Of each group, the strongest of those that are heard leads it, the first by name among equals
//! (`docs/design/peers.md`). Names say nothing of machines: on a site where one in sixteen has four
//! times the processor of the others, the first by name would be a weak one nearly always.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::{InstanceId, ZoneId};
use firdock_policy::Time;
use firdock_policy::event::PoolDemand;
use firdock_policy::table::SINGLE_GROUP_LIMIT;

use super::{Entries, Entry, Millicores, PeerDirectory, PeerRecord, known_peer};

/// Silence after which an instance neither leads a group nor counts in it: six heartbeats of the
/// deployments' 200 ms (`deploy/settings.toml`).
const PRESENT_WITHIN: Duration = Duration::from_millis(1_200);
/// Instances of each group that are told everything at once: its lead and the next one, which leads
/// as soon as the first falls silent.
const LEADS_TOLD: usize = 2;

/// Instances that ask one and the same for what is long at their start: 35 KB for each of nine are 0.36 s of
/// a link of 10 Mbit/s, and two steps reach the 75 of a zone of 300.
const CHILDREN: usize = 9;

/// How many instances the lead of a group hears and knows of, and when it told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct GroupCount {
    pub at: Time,
    pub live: usize,
    pub known: usize,
}

/// The same by availability zone.
pub(super) type GroupCounts = BTreeMap<ZoneId, GroupCount>;

/// An instance's part in the reading of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRole {
    /// Reads for the whole site.
    SiteLead,
    /// Leads its group: passes on what the site's reader read.
    GroupLead,
    /// Takes what its group's lead tells.
    Member,
    /// Takes what the site's reader tells, where all instances are one group.
    SingleGroupMember,
}

/// Where another instance stands to this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerRelation {
    /// Its number in the order of names.
    pub at: usize,
    /// Whether it is in this one's group.
    pub same_group: bool,
    /// Whether it is among the leads that were asked about.
    pub lead: bool,
}

/// An instance's place in the order in which instances lead.
type LeadPriority<'a> = (Reverse<Millicores>, &'a str);

/// An instance's part in the reading of the platform's store, and its turn among its like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTurn {
    /// Part.
    pub role: ReadRole,
    /// Instances of its group that have their turn before it.
    pub index: usize,
    /// Instances of its group, itself among them.
    pub group_size: usize,
}

impl ReadTurn {
    /// Makes the turn of an instance that hears no other.
    #[must_use]
    pub fn alone() -> Self {
        Self {
            role: ReadRole::SiteLead,
            index: 0,
            group_size: 1,
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
    /// Tells whether the instance was heard within a few heartbeats.
    fn is_present(&self, now: Time) -> bool {
        self.heard_within(now, PRESENT_WITHIN)
    }
}

/// Goes over the instances that were heard within a few heartbeats, by name.
fn present(entries: &Entries, now: Time) -> impl Iterator<Item = (&InstanceId, &Entry)> {
    entries.iter().filter(move |(_, e)| e.is_present(now))
}

impl PeerDirectory {
    /// Gives the demand of this one's group by pool, with `own` as this instance's.
    #[must_use]
    pub fn group_demand(&self, now: Time, own: &[PoolDemand]) -> Vec<PoolDemand> {
        let entries = self.lock();
        let near = self.present_in_zone(&entries, now);
        let told = near.flat_map(|(_, e)| &e.demand).chain(own);
        let mut sums: BTreeMap<&str, f64> = BTreeMap::new();
        for demand in told {
            *sums.entry(&demand.pool).or_default() += demand.rate;
        }
        let sum = |(pool, rate): (&str, f64)| PoolDemand {
            pool: pool.to_owned(),
            rate,
        };
        sums.into_iter().map(sum).collect()
    }

    /// Gives this instance's part in the reading of the store.
    ///
    /// The lead of each group hears of what was read and passes it on. The first of the leads reads
    /// for the whole site.
    #[must_use]
    pub fn read_turn(&self, now: Time) -> ReadTurn {
        let entries = self.lock();
        let few = self.is_single_group_of(&entries);
        let me = self.lead_priority();
        let (mut led_site, mut led_group, mut index, mut group_size) = (false, false, 0, 1);
        for peer in entries.iter().filter(|(_, e)| e.is_live(now)) {
            let before = lead_priority(&peer) < me;
            let grouped = few || peer.1.zone == self.zone;
            let leads = before && peer.1.is_present(now);
            led_site |= leads;
            led_group |= leads && grouped;
            // Members of a larger group hear each other every few seconds only.
            index += usize::from(before && grouped);
            group_size += usize::from(grouped);
        }
        let role = match (led_site, led_group, few) {
            (false, _, _) => ReadRole::SiteLead,
            (_, false, _) => ReadRole::GroupLead,
            (_, _, true) => ReadRole::SingleGroupMember,
            _ => ReadRole::Member,
        };
        ReadTurn {
            role,
            index,
            group_size,
        }
    }

    fn lead_priority(&self) -> LeadPriority<'_> {
        (Reverse(self.millicores), self.me.as_str())
    }

    /// Tells whether this instance leads its group.
    #[must_use]
    pub fn is_lead(&self, now: Time) -> bool {
        matches!(
            self.read_turn(now).role,
            ReadRole::SiteLead | ReadRole::GroupLead
        )
    }

    /// Gives the first instances of each group that are heard: its lead, and the one that takes over
    /// from it.
    #[must_use]
    pub fn group_leads(&self, now: Time) -> BTreeSet<InstanceId> {
        let entries = self.lock();
        strongest_of_zones(entries.iter().filter(|(_, e)| e.is_live(now)), LEADS_TOLD)
    }

    /// Gives the first instances of each availability zone by what is known of them, heard or not.
    #[must_use]
    pub fn likely_group_leads(&self) -> BTreeSet<InstanceId> {
        strongest_of_zones(self.lock().iter(), LEADS_TOLD)
    }

    /// Tells whether this instance tells its group of the site: its lead does, and the one that takes
    /// over from it.
    #[must_use]
    pub fn is_reporter(&self, now: Time) -> bool {
        let entries = self.lock();
        let near = self.present_in_zone(&entries, now);
        let before = near.filter(|peer| lead_priority(peer) < self.lead_priority());
        before.count() < LEADS_TOLD
    }

    /// Counts the instances of this one's group that are heard, itself among them.
    #[must_use]
    pub fn group_live(&self, now: Time) -> usize {
        let entries = self.lock();
        1 + self.present_in_zone(&entries, now).count()
    }

    /// Notes how many instances of another group its lead hears, and knows of.
    pub fn record_group(&self, zone: &str, live: usize, known: usize, now: Time) {
        let count = GroupCount {
            at: now,
            live,
            known,
        };
        self.groups().insert(zone.to_owned(), count);
    }

    /// Counts the instances of all groups that their leads hear.
    #[must_use]
    pub fn site_live(&self, now: Time) -> usize {
        let groups = self.groups();
        let fresh = groups
            .iter()
            .filter(|(zone, count)| **zone != self.zone && count.at + PRESENT_WITHIN > now);
        let others: usize = fresh.map(|(_, count)| count.live).sum();
        self.group_live(now) + others
    }

    /// Gives the first instance of this one's group, of those that are heard and `open`, with whether
    /// it goes before this one; this instance itself is left out.
    pub fn first_of_group(
        &self,
        now: Time,
        open: impl Fn(&str) -> bool,
    ) -> Option<(PeerRecord, bool)> {
        let entries = self.lock();
        let few = self.is_single_group_of(&entries);
        let group =
            present(&entries, now).filter(|(name, e)| (few || e.zone == self.zone) && open(name));
        let first = group.min_by(|a, b| lead_priority(a).cmp(&lead_priority(b)))?;
        let before = lead_priority(&first) < self.lead_priority();
        Some((known_peer(first), before))
    }

    /// Gives whom this instance asks at its start for what is long, nearest first: those above it in the
    /// tree that the instances of its zone make by their standing. Nobody is above the first one.
    #[must_use]
    pub fn ancestors(&self) -> Vec<PeerRecord> {
        let entries = self.lock();
        let zone = entries.iter().filter(|(_, e)| e.zone == self.zone);
        let mut before: Vec<_> = zone
            .filter(|p| lead_priority(p) < self.lead_priority())
            .collect();
        before.sort_by(|a, b| lead_priority(a).cmp(&lead_priority(b)));
        let mut index = before.len();
        let mut above = Vec::new();
        while index > 0 {
            index = (index - 1) / CHILDREN;
            above.push(known_peer(before[index]));
        }
        above
    }

    /// Tells whether instances are so few that all of them are one group.
    #[must_use]
    pub fn is_single_group(&self) -> bool {
        self.is_single_group_of(&self.lock())
    }

    /// Tells the same by those that are known here, if these are all.
    fn is_single_group_of(&self, entries: &Entries) -> bool {
        entries.len() < SINGLE_GROUP_LIMIT && !self.is_partial_at(entries.len())
    }

    /// Tells whether an availability zone is this instance's.
    #[must_use]
    pub fn is_own_zone(&self, zone: &str) -> bool {
        zone == self.zone
    }

    /// Gives the instances that are `wanted` by their places, with those.
    ///
    /// Of a thousand, few get something at any one moment; the others are not copied.
    pub fn pick(
        &self,
        leads: &BTreeSet<InstanceId>,
        wanted: impl Fn(PeerRelation) -> bool,
    ) -> Vec<(PeerRecord, PeerRelation)> {
        let entries = self.lock();
        let few = self.is_single_group_of(&entries);
        let placed = entries.iter().enumerate().map(|(at, peer)| {
            let relation = PeerRelation {
                at,
                same_group: few || peer.1.zone == self.zone,
                lead: leads.contains(peer.0),
            };
            (peer, relation)
        });
        let picked = placed.filter(|(_, relation)| wanted(*relation));
        picked
            .map(|(peer, relation)| (known_peer(peer), relation))
            .collect()
    }

    /// Goes over the instances of this one's availability zone that were heard within a few
    /// heartbeats, by name.
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

/// Gives so many instances of each availability zone, those that stand first.
pub(super) fn strongest_of_zones<'a>(
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
