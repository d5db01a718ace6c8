//! The other instances that are known of, by name, with where they take heartbeats.

mod group;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::{InstanceId, ZoneId};
use firdock_policy::Time;
use firdock_policy::event::PoolDemand;
use tokio::sync::Notify;

use self::group::GroupCounts;
pub use self::group::Reader;

/// Most instances that are kept.
const MAX_PEERS: usize = 512;
/// Silence after which an instance is forgotten: it was replaced or taken away.
const FORGET_AFTER: Duration = Duration::from_mins(1);
/// Silence after which an instance does not count as heard.
const HEARD_WITHIN: Duration = Duration::from_secs(5);

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
    /// Tells whether the instance was heard within a time.
    fn heard_within(&self, now: Time, time: Duration) -> bool {
        self.heard && self.since + time > now
    }

    /// Tells whether the instance was heard a short while ago.
    fn is_heard(&self, now: Time) -> bool {
        self.heard_within(now, HEARD_WITHIN)
    }
}

/// The other instances by name.
type Entries = BTreeMap<InstanceId, Entry>;

/// The other instances.
#[derive(Debug)]
pub struct PeerBook {
    me: InstanceId,
    zone: ZoneId,
    entries: Mutex<Entries>,
    listed: AtomicBool,
    listed_now: Notify,
    /// Counts of the other groups.
    groups: Mutex<GroupCounts>,
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

    /// Tells whether any instance was heard a short while ago.
    #[must_use]
    pub fn hears_any(&self, now: Time) -> bool {
        let entries = self.lock();
        entries.values().any(|e| e.is_heard(now))
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
        let heard = entries.iter().filter(|(_, e)| e.is_heard(now));
        heard.map(|(name, e)| (name.clone(), e.address)).collect()
    }

    fn departed(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Time>> {
        self.departed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
