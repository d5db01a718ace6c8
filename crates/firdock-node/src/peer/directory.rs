//! Directory of the other instances: their names, addresses and last heartbeats.

mod group;
mod partial;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::{InstanceId, ZoneId};
use firdock_policy::Time;
use firdock_policy::event::PoolDemand;
use firdock_policy::table::absence::Absence;
use firdock_policy::table::peer::MAX_PEERS;
use tokio::sync::Notify;

use self::group::GroupCounts;
pub use self::group::{PeerRelation, ReadRole, ReadTurn};
use self::partial::ReportedSize;

/// Time without heartbeats after which an instance is forgotten, as it was replaced or removed.
const EXPIRE_AFTER: Duration = Duration::from_mins(1);
/// Time between two heartbeats of this instance from which on it did not run meanwhile. After a shorter absence no
/// instance that was heard before it is forgotten.
const MIN_ABSENCE: Duration = Duration::from_secs(30);
/// Time without heartbeats after which an instance no longer counts as live.
const LIVE_WITHIN: Duration = Duration::from_secs(5);

/// Where another instance receives heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRecord {
    /// Name.
    pub name: InstanceId,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone; empty if unknown.
    pub zone: ZoneId,
    /// Processing power.
    pub millicores: Millicores,
}

/// What a heartbeat changed about its sender in the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// No heartbeat of the sender was received before.
    First,
    /// The sender is already known from an earlier heartbeat.
    Repeated,
    /// The sender is not tracked; the lead of its group reports for it.
    Untracked,
}

/// What an instance states about itself in each heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerInfo<'a> {
    /// Name.
    pub name: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Processing power.
    pub millicores: Millicores,
}

/// Processing power of an instance, in thousandths of a core; zero if unknown.
pub type Millicores = u32;

/// Entry of another instance.
#[derive(Debug, Clone)]
struct Entry {
    address: SocketAddr,
    zone: ZoneId,
    millicores: Millicores,
    /// When its last heartbeat was received, or when it was first listed by others if there was
    /// none.
    last_seen: Time,
    has_heartbeat: bool,
    /// Demand that it reported last.
    demand: Vec<PoolDemand>,
}

impl Entry {
    /// Returns whether a heartbeat was received within `time`.
    fn seen_within(&self, now: Time, time: Duration) -> bool {
        self.has_heartbeat && self.last_seen + time > now
    }

    /// Returns whether the instance is live.
    fn is_live(&self, now: Time) -> bool {
        self.seen_within(now, LIVE_WITHIN)
    }
}

/// Entries by name of the instance.
type Entries = BTreeMap<InstanceId, Entry>;

/// Directory of the other instances.
#[derive(Debug)]
pub struct PeerDirectory {
    own_name: InstanceId,
    zone: ZoneId,
    millicores: Millicores,
    entries: Mutex<Entries>,
    /// Address under which others list this instance.
    listed_address: Mutex<Option<SocketAddr>>,
    listed: AtomicBool,
    first_listed: Notify,
    /// Counts that the leads of other groups reported.
    groups: Mutex<GroupCounts>,
    /// Number of instances that the instance list or a lead reported.
    reported_size: Mutex<ReportedSize>,
    /// Instances that announced their stop, and when. Others may still list them for a while.
    departed: Mutex<BTreeMap<InstanceId, Time>>,
    /// When this instance did not run, as its own heartbeats tell.
    absence: Mutex<Absence>,
}

impl PeerDirectory {
    /// Creates the directory of the instance `own_name` in `zone`.
    #[must_use]
    pub fn new(own_name: InstanceId, zone: ZoneId) -> Self {
        Self {
            own_name,
            zone,
            millicores: 0,
            entries: Mutex::default(),
            listed_address: Mutex::default(),
            listed: AtomicBool::new(false),
            first_listed: Notify::new(),
            groups: Mutex::default(),
            reported_size: Mutex::default(),
            departed: Mutex::default(),
            absence: Mutex::default(),
        }
    }

    /// Sets the processing power of this instance. Of the live instances, the most powerful ones
    /// lead.
    #[must_use]
    pub fn with_millicores(mut self, millicores: Millicores) -> Self {
        self.millicores = millicores;
        self
    }

    /// Returns the availability zone of this instance.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Returns the processing power of this instance.
    #[must_use]
    pub fn millicores(&self) -> Millicores {
        self.millicores
    }

    /// Adds an instance that a peer listed, if it is to be tracked here.
    pub fn add_reported(&self, peer: PeerRecord, now: Time) {
        let kept = self.should_track(&self.lock(), &peer.name, &peer.zone, peer.millicores);
        if kept || peer.name == self.own_name {
            self.add_listed(peer, now);
        }
    }

    /// Adds an instance of the platform's list. An instance that reads the list serves it to others
    /// for a while, so it keeps instances that it would not track otherwise.
    pub fn add_listed(&self, peer: PeerRecord, now: Time) {
        if self.departed().contains_key(&peer.name) {
            return;
        }
        if peer.name == self.own_name {
            *self
                .listed_address
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = Some(peer.address);
            return;
        }
        let mut entries = self.lock();
        if let Some(entry) = entries.get_mut(&peer.name) {
            if !entry.has_heartbeat && peer.millicores > 0 {
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
            last_seen: now,
            has_heartbeat: false,
            demand: Vec::new(),
        };
        entries.insert(peer.name, entry);
    }

    /// Returns the address under which others list this instance, if any does.
    #[must_use]
    pub fn listed_address(&self) -> Option<SocketAddr> {
        *self
            .listed_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the list of instances was received.
    pub fn mark_listed(&self) {
        if !self.listed.swap(true, Ordering::Relaxed) {
            self.first_listed.notify_one();
        }
    }

    /// Waits until the list of instances is received for the first time.
    pub async fn wait_until_listed(&self) {
        self.first_listed.notified().await;
    }

    /// Returns whether the list of instances was received.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Relaxed)
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(
        &self,
        info: PeerInfo<'_>,
        address: SocketAddr,
        now: Time,
    ) -> HeartbeatOutcome {
        let kept = self.should_track(&self.lock(), info.name, info.zone, info.millicores);
        if kept {
            self.record_lead_heartbeat(info, address, now)
        } else {
            self.lock().remove(info.name);
            HeartbeatOutcome::Untracked
        }
    }

    /// Records a heartbeat of an instance that reports for its group. It is tracked whatever its
    /// lead priority, since the instances before it must have failed.
    pub fn record_lead_heartbeat(
        &self,
        info: PeerInfo<'_>,
        address: SocketAddr,
        now: Time,
    ) -> HeartbeatOutcome {
        let mut entries = self.lock();
        let known = entries.contains_key(info.name) || entries.len() < MAX_PEERS;
        if info.name == self.own_name || !known {
            return HeartbeatOutcome::Untracked;
        }
        let entry = Entry {
            address,
            zone: info.zone.to_owned(),
            millicores: info.millicores,
            last_seen: now,
            has_heartbeat: true,
            demand: Vec::new(),
        };
        let before = entries.insert(info.name.to_owned(), entry);
        match before {
            Some(before) if before.has_heartbeat => HeartbeatOutcome::Repeated,
            _ => HeartbeatOutcome::First,
        }
    }

    /// Records the demand reported by a live instance.
    pub fn record_demand(&self, name: &str, demand: Vec<PoolDemand>) {
        if let Some(entry) = self.lock().get_mut(name) {
            entry.demand = demand;
        }
    }

    /// Removes an instance that announced its stop.
    pub fn forget(&self, name: &str, now: Time) {
        self.lock().remove(name);
        self.departed().insert(name.to_owned(), now);
    }

    /// Records that this instance runs; must be called with each of its heartbeats. While it does not run, nobody's
    /// silence counts: a share of each limit that it computed without the others would be too large.
    pub fn record_activity(&self, now: Time) {
        self.absence().check(now, MIN_ABSENCE);
    }

    /// Removes instances without recent heartbeats and returns the number of other instances of the
    /// site.
    pub fn sweep(&self, now: Time) -> usize {
        self.departed().retain(|_, at| *at + LIVE_WITHIN > now);
        self.reported_size()
            .take_if(|(at, _)| !self.is_recent(*at, now));
        let mut entries = self.lock();
        entries.retain(|_, e| self.is_recent(e.last_seen, now));
        self.prune(&mut entries, now);
        drop(entries);
        self.count(now)
    }

    /// Returns whether any other instance is live.
    #[must_use]
    pub fn any_live(&self, now: Time) -> bool {
        let entries = self.lock();
        entries.values().any(|e| e.is_live(now))
    }

    /// Returns an instance's address, if it is known.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.lock().get(name).map(|entry| entry.address)
    }

    /// Returns all known instances, by name.
    #[must_use]
    pub fn known_peers(&self) -> Vec<PeerRecord> {
        let entries = self.lock();
        entries.iter().map(known_peer).collect()
    }

    /// Returns the live instances, by name.
    #[must_use]
    pub fn live_peers(&self, now: Time) -> Vec<PeerRecord> {
        let entries = self.lock();
        let live = entries.iter().filter(|(_, e)| e.is_live(now));
        live.map(known_peer).collect()
    }

    /// Returns whether something heard at `at` has not expired.
    fn is_recent(&self, at: Time, now: Time) -> bool {
        at.max(self.absence().runs_since()) + EXPIRE_AFTER > now
    }

    fn absence(&self) -> MutexGuard<'_, Absence> {
        self.absence.lock().unwrap_or_else(PoisonError::into_inner)
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
