//! The other instances that are known of, by name, with where they take heartbeats.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::{InstanceId, ZoneId};
use firdock_policy::Time;
use firdock_policy::event::PoolDemand;
use firdock_policy::table::SMALL_SITE;
use tokio::sync::Notify;

/// Most instances that are kept.
const MAX_PEERS: usize = 512;
/// Silence after which an instance is forgotten: it was replaced or taken away.
const FORGET_AFTER: Duration = Duration::from_mins(1);
/// Silence after which an instance does not count as heard.
const HEARD_WITHIN: Duration = Duration::from_secs(5);

/// Silence after which an instance does not count as the reader of its group.
const READER_WITHIN: Duration = Duration::from_millis(1_200);
/// Instances of each group that are told everything at once: its lead and the next one by name,
/// which leads as soon as the first falls silent.
const LEADS_TOLD: usize = 2;

/// An instance's part in the reading of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reader {
    /// Reads for the whole site.
    Site,
    /// Leads its group: passes on what the site's reader read.
    Group,
    /// Takes what its group's lead tells.
    Member,
    /// Takes what the site's reader tells, where all instances are one group.
    SmallMember,
}

/// One other instance.
#[derive(Debug, Clone)]
struct Entry {
    address: SocketAddr,
    zone: ZoneId,
    /// When it was heard, or else when it was first told of.
    since: Time,
    heard: bool,
    /// Its demand, as it told last.
    demand: Vec<PoolDemand>,
}

impl Entry {
    /// Tells whether the instance was heard within a few heartbeats.
    fn is_heard(&self, now: Time) -> bool {
        self.heard && self.since + READER_WITHIN > now
    }
}

/// The other instances.
#[derive(Debug)]
pub struct PeerBook {
    me: InstanceId,
    zone: ZoneId,
    entries: Mutex<BTreeMap<InstanceId, Entry>>,
    listed: AtomicBool,
    listed_now: Notify,
    /// How many instances the leads of other groups hear, by availability zone, and when they told.
    groups: Mutex<BTreeMap<ZoneId, (Time, usize)>>,
    /// Instances that said that they stop, and when: others may still tell of them for a while.
    departed: Mutex<BTreeMap<InstanceId, Time>>,
}

impl PeerBook {
    /// Makes a book for the instance `me` in `zone`.
    #[must_use]
    pub fn new(me: InstanceId, zone: ZoneId) -> Self {
        Self {
            me,
            zone,
            entries: Mutex::default(),
            listed: AtomicBool::new(false),
            listed_now: Notify::new(),
            groups: Mutex::default(),
            departed: Mutex::default(),
        }
    }

    /// Notes that someone told of an instance.
    pub fn know(&self, name: InstanceId, address: SocketAddr, now: Time) {
        if self.departed().contains_key(&name) {
            return;
        }
        let mut entries = self.lock();
        if name == self.me || entries.contains_key(&name) || entries.len() >= MAX_PEERS {
            return;
        }
        let entry = Entry {
            address,
            zone: ZoneId::new(),
            since: now,
            heard: false,
            demand: Vec::new(),
        };
        entries.insert(name, entry);
    }

    /// Notes that the platform's list of instances was read.
    pub fn note_listed(&self) {
        if !self.listed.swap(true, Ordering::Relaxed) {
            self.listed_now.notify_one();
        }
    }

    /// Waits until the platform's list of instances was read for the first time.
    pub async fn first_listed(&self) {
        self.listed_now.notified().await;
    }

    /// Tells whether the platform's list of instances was read.
    #[must_use]
    pub fn was_listed(&self) -> bool {
        self.listed.load(Ordering::Relaxed)
    }

    /// Notes that an instance was heard; tells whether it had not been before.
    pub fn hear(&self, name: &str, zone: &str, address: SocketAddr, now: Time) -> bool {
        let mut entries = self.lock();
        let known = entries.contains_key(name) || entries.len() < MAX_PEERS;
        if name == self.me || !known {
            return false;
        }
        let entry = Entry {
            address,
            zone: zone.to_owned(),
            since: now,
            heard: true,
            demand: Vec::new(),
        };
        let before = entries.insert(name.to_owned(), entry);
        before.is_none_or(|e| !e.heard)
    }

    /// Notes the demand that an instance told of, which was heard.
    pub fn note_demand(&self, name: &str, demand: Vec<PoolDemand>) {
        if let Some(entry) = self.lock().get_mut(name) {
            entry.demand = demand;
        }
    }

    /// Gives the demand of this one's group by pool, with `own` as this instance's.
    #[must_use]
    pub fn group_demand(&self, now: Time, own: &[PoolDemand]) -> Vec<PoolDemand> {
        let entries = self.lock();
        let near = entries
            .values()
            .filter(|e| e.zone == self.zone && e.is_heard(now));
        let told = near.flat_map(|e| &e.demand).chain(own);
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

    /// Forgets an instance that said that it stops.
    pub fn forget(&self, name: &str, now: Time) {
        self.lock().remove(name);
        self.departed().insert(name.to_owned(), now);
    }

    /// Forgets instances that have been silent for long; counts those that are left.
    pub fn sweep(&self, now: Time) -> usize {
        self.departed().retain(|_, at| *at + HEARD_WITHIN > now);
        let mut entries = self.lock();
        entries.retain(|_, e| e.since + FORGET_AFTER > now);
        entries.len()
    }

    /// Gives this instance's part in the reading of the store.
    ///
    /// Of each group, the first by name of those that are heard leads it: it hears of what was read
    /// and passes it on. The first of these reads for the whole site.
    #[must_use]
    pub fn reader(&self, now: Time) -> Reader {
        let entries = self.lock();
        let before = entries.iter().filter(|(name, _)| **name < self.me);
        let mut before = before.filter(|(_, e)| e.is_heard(now)).peekable();
        if before.peek().is_none() {
            return Reader::Site;
        }
        let small = entries.len() < SMALL_SITE;
        let led_by_other = before.any(|(_, e)| small || e.zone == self.zone);
        match (led_by_other, small) {
            (false, _) => Reader::Group,
            (true, false) => Reader::Member,
            (true, true) => Reader::SmallMember,
        }
    }

    /// Tells whether this instance leads its group.
    #[must_use]
    pub fn leads(&self, now: Time) -> bool {
        matches!(self.reader(now), Reader::Site | Reader::Group)
    }

    /// Gives the first instances by name of each group that are heard: its lead, and the one that
    /// takes over from it.
    #[must_use]
    pub fn leads_of_all(&self, now: Time) -> BTreeSet<InstanceId> {
        let entries = self.lock();
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        let heard = entries
            .iter()
            .filter(|(_, e)| e.heard && e.since + HEARD_WITHIN > now);
        let first = heard.filter(|(_, e)| {
            let count = counts.entry(&e.zone).or_default();
            *count += 1;
            *count <= LEADS_TOLD
        });
        first.map(|(name, _)| name.clone()).collect()
    }

    /// Tells whether this instance tells its group of the site: its lead does, and the one that takes
    /// over from it.
    #[must_use]
    pub fn tells(&self, now: Time) -> bool {
        let entries = self.lock();
        let near = entries.iter().filter(|(_, e)| e.is_heard(now));
        let before = near.filter(|(name, e)| e.zone == self.zone && **name < self.me);
        before.count() < LEADS_TOLD
    }

    /// Counts the instances of this one's group that are heard, itself among them.
    #[must_use]
    pub fn group_heard(&self, now: Time) -> usize {
        let entries = self.lock();
        let near = entries
            .values()
            .filter(|e| e.zone == self.zone && e.is_heard(now));
        1 + near.count()
    }

    /// Notes how many instances of another group its lead hears.
    pub fn note_group(&self, zone: &str, count: usize, now: Time) {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        groups.insert(zone.to_owned(), (now, count));
    }

    /// Counts the instances of all groups that their leads hear.
    #[must_use]
    pub fn site_heard(&self, now: Time) -> usize {
        let groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = groups
            .iter()
            .filter(|(zone, (at, _))| **zone != self.zone && *at + READER_WITHIN > now);
        let others: usize = fresh.map(|(_, (_, count))| count).sum();
        self.group_heard(now) + others
    }

    /// Gives the first instance by name of this one's group, of those that are heard and `open`; this
    /// instance itself is left out.
    pub fn first_of_group(
        &self,
        now: Time,
        open: impl Fn(&str) -> bool,
    ) -> Option<(InstanceId, SocketAddr)> {
        let entries = self.lock();
        let small = entries.len() < SMALL_SITE;
        let mut group = entries
            .iter()
            .filter(|(name, e)| (small || e.zone == self.zone) && e.is_heard(now) && open(name));
        group.next().map(|(name, e)| (name.clone(), e.address))
    }

    /// Tells whether instances are so few that all of them are one group.
    #[must_use]
    pub fn is_small(&self) -> bool {
        self.lock().len() < SMALL_SITE
    }

    /// Tells whether an instance is in this one's availability zone, or all instances are few.
    #[must_use]
    pub fn is_near(&self, name: &str) -> bool {
        let entries = self.lock();
        let near = |e: &Entry| e.zone == self.zone;
        entries.len() < SMALL_SITE || entries.get(name).is_none_or(near)
    }

    /// Tells whether an availability zone is this instance's.
    #[must_use]
    pub fn is_own_zone(&self, zone: &str) -> bool {
        zone == self.zone
    }

    /// Tells whether any instance was heard a short while ago.
    #[must_use]
    pub fn hears_any(&self, now: Time) -> bool {
        let entries = self.lock();
        entries
            .values()
            .any(|e| e.heard && e.since + HEARD_WITHIN > now)
    }

    /// Gives all instances with their addresses.
    #[must_use]
    pub fn addresses(&self) -> Vec<(InstanceId, SocketAddr)> {
        let entries = self.lock();
        entries
            .iter()
            .map(|(name, e)| (name.clone(), e.address))
            .collect()
    }

    /// Gives the instances that were heard a short while ago, with their addresses.
    #[must_use]
    pub fn heard(&self, now: Time) -> Vec<(InstanceId, SocketAddr)> {
        let entries = self.lock();
        let heard = entries
            .iter()
            .filter(|(_, e)| e.heard && e.since + HEARD_WITHIN > now);
        heard.map(|(name, e)| (name.clone(), e.address)).collect()
    }

    fn departed(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Time>> {
        self.departed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
