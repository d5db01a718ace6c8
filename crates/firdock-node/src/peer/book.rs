//! The other instances that are known of, by name, with where they take heartbeats.

mod fleet;
mod group;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::{InstanceId, ZoneId};
use firdock_policy::Time;
use firdock_policy::event::PoolDemand;
use firdock_policy::table::peer::MAX_PEERS;
use tokio::sync::Notify;

use self::fleet::ReportedSize;
use self::group::GroupCounts;
pub use self::group::{PeerRelation, ReadRole, ReadTurn};

/// Silence after which an instance is forgotten: it was replaced or taken away.
const FORGET_AFTER: Duration = Duration::from_mins(1);
/// Silence after which an instance does not count as heard.
const LIVE_WITHIN: Duration = Duration::from_secs(5);

/// Where another instance takes heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRecord {
    /// Name.
    pub name: InstanceId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone; empty where it is not known.
    pub zone: ZoneId,
    /// Processor that it has, as far as that is known.
    pub millicores: Millicores,
}

/// What follows from a heartbeat for what is known of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It was not heard before.
    First,
    /// It was.
    Repeated,
    /// It is not kept: its lead tells for it.
    Untracked,
}

/// What an instance tells of itself in each heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerInfo<'a> {
    /// Name.
    pub name: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Processor that it has, in thousandths of a core.
    pub millicores: Millicores,
}

/// Processor that an instance has, in thousandths of a core; zero where it is not known.
pub type Millicores = u32;

/// One other instance.
#[derive(Debug, Clone)]
struct Entry {
    address: SocketAddr,
    zone: ZoneId,
    millicores: Millicores,
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
    fn is_live(&self, now: Time) -> bool {
        self.heard_within(now, LIVE_WITHIN)
    }
}

/// The other instances by name.
type Entries = BTreeMap<InstanceId, Entry>;

/// The other instances.
#[derive(Debug)]
pub struct PeerDirectory {
    me: InstanceId,
    zone: ZoneId,
    millicores: Millicores,
    entries: Mutex<Entries>,
    /// Where others know this instance.
    listed_address: Mutex<Option<SocketAddr>>,
    listed: AtomicBool,
    first_listed: Notify,
    /// Counts of the other groups.
    groups: Mutex<GroupCounts>,
    /// How many instances there are, as the list or a lead told, and when.
    reported_size: Mutex<ReportedSize>,
    /// Instances that said that they stop, and when: others may still tell of them for a while.
    departed: Mutex<BTreeMap<InstanceId, Time>>,
}

impl PeerDirectory {
    /// Makes a book for the instance `me` in `zone`.
    #[must_use]
    pub fn new(me: InstanceId, zone: ZoneId) -> Self {
        Self {
            me,
            zone,
            millicores: 0,
            entries: Mutex::default(),
            listed_address: Mutex::default(),
            listed: AtomicBool::new(false),
            first_listed: Notify::new(),
            groups: Mutex::default(),
            reported_size: Mutex::default(),
            departed: Mutex::default(),
        }
    }

    /// Sets the processor that this instance has: of those that are heard, the strongest lead.
    #[must_use]
    pub fn with_millicores(mut self, millicores: Millicores) -> Self {
        self.millicores = millicores;
        self
    }

    /// Gives this instance's availability zone.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Gives the processor that this instance has.
    #[must_use]
    pub fn millicores(&self) -> Millicores {
        self.millicores
    }

    /// Notes that someone told of an instance, if it is to be known here.
    pub fn add_reported(&self, peer: PeerRecord, now: Time) {
        let kept = self.should_track(&self.lock(), &peer.name, &peer.zone, peer.millicores);
        if kept || peer.name == self.me {
            self.add_listed(peer, now);
        }
    }

    /// Notes that the list of instances has one: who read it tells others of all for a while, though it
    /// need not know them itself.
    pub fn add_listed(&self, peer: PeerRecord, now: Time) {
        if self.departed().contains_key(&peer.name) {
            return;
        }
        if peer.name == self.me {
            *self
                .listed_address
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = Some(peer.address);
            return;
        }
        let mut entries = self.lock();
        if let Some(entry) = entries.get_mut(&peer.name) {
            if !entry.heard && peer.millicores > 0 {
                entry.millicores = peer.millicores;
            }
            return;
        }
        if entries.len() >= MAX_PEERS {
            return;
        }
        let entry = Entry {
            address: peer.address,
            zone: peer.zone,
            millicores: peer.millicores,
            since: now,
            heard: false,
            demand: Vec::new(),
        };
        entries.insert(peer.name, entry);
    }

    /// Gives the address at which others know this instance, if anyone told.
    #[must_use]
    pub fn listed_address(&self) -> Option<SocketAddr> {
        *self
            .listed_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the platform's list of instances was read.
    pub fn mark_listed(&self) {
        if !self.listed.swap(true, Ordering::Relaxed) {
            self.first_listed.notify_one();
        }
    }

    /// Waits until the platform's list of instances was read for the first time.
    pub async fn wait_until_listed(&self) {
        self.first_listed.notified().await;
    }

    /// Tells whether the platform's list of instances was read.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Relaxed)
    }

    /// Notes that an instance was heard.
    pub fn record_heartbeat(
        &self,
        word: PeerInfo<'_>,
        address: SocketAddr,
        now: Time,
    ) -> HeartbeatOutcome {
        let kept = self.should_track(&self.lock(), word.name, word.zone, word.millicores);
        if kept {
            self.record_lead_heartbeat(word, address, now)
        } else {
            self.lock().remove(word.name);
            HeartbeatOutcome::Untracked
        }
    }

    /// Notes that an instance was heard that tells for its group: it is kept whatever stands before it,
    /// for that has fallen.
    pub fn record_lead_heartbeat(
        &self,
        word: PeerInfo<'_>,
        address: SocketAddr,
        now: Time,
    ) -> HeartbeatOutcome {
        let mut entries = self.lock();
        let known = entries.contains_key(word.name) || entries.len() < MAX_PEERS;
        if word.name == self.me || !known {
            return HeartbeatOutcome::Untracked;
        }
        let entry = Entry {
            address,
            zone: word.zone.to_owned(),
            millicores: word.millicores,
            since: now,
            heard: true,
            demand: Vec::new(),
        };
        let before = entries.insert(word.name.to_owned(), entry);
        match before {
            Some(before) if before.heard => HeartbeatOutcome::Repeated,
            _ => HeartbeatOutcome::First,
        }
    }

    /// Notes the demand that an instance told of, which was heard.
    pub fn record_demand(&self, name: &str, demand: Vec<PoolDemand>) {
        if let Some(entry) = self.lock().get_mut(name) {
            entry.demand = demand;
        }
    }

    /// Forgets an instance that said that it stops.
    pub fn forget(&self, name: &str, now: Time) {
        self.lock().remove(name);
        self.departed().insert(name.to_owned(), now);
    }

    /// Forgets instances that have been silent for long; counts the others of the site.
    pub fn sweep(&self, now: Time) -> usize {
        self.departed().retain(|_, at| *at + LIVE_WITHIN > now);
        self.reported_size()
            .take_if(|(at, _)| *at + FORGET_AFTER <= now);
        let mut entries = self.lock();
        entries.retain(|_, e| e.since + FORGET_AFTER > now);
        self.prune(&mut entries, now);
        drop(entries);
        self.count(now)
    }

    /// Tells whether any instance was heard a short while ago.
    #[must_use]
    pub fn any_live(&self, now: Time) -> bool {
        let entries = self.lock();
        entries.values().any(|e| e.is_live(now))
    }

    /// Gives all instances, by name.
    #[must_use]
    pub fn known_peers(&self) -> Vec<PeerRecord> {
        let entries = self.lock();
        entries.iter().map(known_peer).collect()
    }

    /// Gives the instances that were heard a short while ago, by name.
    #[must_use]
    pub fn live_peers(&self, now: Time) -> Vec<PeerRecord> {
        let entries = self.lock();
        let heard = entries.iter().filter(|(_, e)| e.is_live(now));
        heard.map(known_peer).collect()
    }

    fn departed(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Time>> {
        self.departed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn known_peer((name, entry): (&InstanceId, &Entry)) -> PeerRecord {
    PeerRecord {
        name: name.clone(),
        address: entry.address,
        zone: entry.zone.clone(),
        millicores: entry.millicores,
    }
}
