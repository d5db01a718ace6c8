//! Status of the fleet: which version of the configuration is in force at which instance.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::{InstanceId, Version, ZoneId};
use serde::{Deserialize, Serialize};

use crate::clock::millis;
use crate::config::HubState;

/// Status of one entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Availability zone.
    pub zone: ZoneId,
    /// Version in force there.
    pub version: Version,
    /// Whether it is stopping.
    pub draining: bool,
    /// Milliseconds since its last heartbeat.
    pub heard_millis: u64,
}

/// Status of the fleet as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Instance that reports this status.
    pub instance: InstanceId,
    /// Newest version that it knows.
    pub version: Version,
    /// Next offset of the log that it will apply.
    pub log_next: u64,
    /// Milliseconds since it last read the log to its end; `None` before the first time.
    pub log_lag_millis: Option<u64>,
    /// Whether records are missing and no snapshot was found yet.
    pub gap: bool,
    /// Members according to the log.
    pub members: Vec<InstanceId>,
    /// All listed instances from which it has received heartbeats, and itself.
    pub instances: BTreeMap<InstanceId, InstanceStatus>,
    /// Whether its newest version is in force at all of these instances.
    pub converged: bool,
}

impl Status {
    /// Creates the status from the state shared between threads.
    #[must_use]
    pub fn new(me: &str, zone: &str, now: Duration, hub: &HubState) -> Self {
        let version = hub.state.version;
        let own = InstanceStatus {
            zone: zone.to_owned(),
            version: hub.in_force,
            draining: hub.stopping,
            heard_millis: 0,
        };
        let mut instances: BTreeMap<InstanceId, InstanceStatus> = hub
            .peers
            .iter()
            .map(|(name, p)| (name.clone(), peer_status(now, p)))
            .collect();
        instances.insert(me.to_owned(), own);
        instances.retain(|name, _| name == me || hub.listed_row(name).is_some());
        let in_force = instances.values().map(|s| s.version).min();
        let lag = hub.log_read.map(|read| millis(now.saturating_sub(read)));
        Self {
            instance: me.to_owned(),
            version,
            log_next: hub.state.next,
            log_lag_millis: lag,
            gap: hub.gap,
            members: hub.state.members.iter().map(|m| m.name.clone()).collect(),
            converged: in_force == Some(version),
            instances,
        }
    }
}

fn peer_status(now: Duration, p: &crate::config::PeerStatus) -> InstanceStatus {
    InstanceStatus {
        zone: p.zone.clone(),
        version: p.version,
        draining: p.draining,
        heard_millis: millis(now.saturating_sub(p.heard)),
    }
}
