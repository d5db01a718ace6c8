//! The tables of the settings file and their defaults.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{InstanceId, ZoneId};

/// `[instance]`: name, zone and addresses.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Instance {
    /// Name, the same as in the platform's instance list.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address of the ingress, where callers connect.
    pub callers: Option<SocketAddr>,
    /// Address of the resource API, health and metrics.
    pub operators: Option<SocketAddr>,
    /// Address on which peers connect; at the edge, on which heartbeats come.
    pub peers: Option<SocketAddr>,
    /// Address at which the balancer asks whether the instance is ready, at the edge.
    pub ready: Option<SocketAddr>,
    /// Address of the metrics at the edge; elsewhere they are at the operators' address.
    pub metrics: Option<SocketAddr>,
    /// Processor that the instance has, in cores; 0 where that is not known. The strongest of those
    /// that hear each other lead.
    pub cores: f64,
    /// Link that the instance has, in Mbit/s; 0 where that is not known. Answers to others that start go
    /// no faster.
    pub link_mbits: f64,
}

impl Instance {
    /// Gives the processor that the instance has, in thousandths of a core.
    #[must_use]
    pub fn millicores(&self) -> u32 {
        (self.cores * 1_000.0)
            .round()
            .clamp(0.0, f64::from(u32::MAX)) as u32
    }
}

/// `[platform]`: the log and the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// Address of the append-only log.
    pub log: Option<SocketAddr>,
    /// Address of the instance list.
    pub instances: Option<SocketAddr>,
    /// Time limit of one call, in milliseconds.
    pub call_millis: u64,
    /// Pause between two reads of the log, in milliseconds.
    pub read_millis: u64,
    /// Pause between two reads of the instance list, in milliseconds.
    pub list_millis: u64,
    /// How long the log keeps records, in seconds.
    pub retention_seconds: u64,
    /// Names of the parts of the platform's rules that are in force; its adapter knows them.
    pub contracts: Vec<String>,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            log: None,
            instances: None,
            call_millis: 2_000,
            read_millis: 500,
            list_millis: 1_000,
            retention_seconds: 3_600,
            contracts: Vec::new(),
        }
    }
}

impl Platform {
    /// Gives the time limit of one call.
    #[must_use]
    pub fn call(&self) -> Duration {
        Duration::from_millis(self.call_millis)
    }

    /// Gives the pause between two reads of the log.
    #[must_use]
    pub fn read(&self) -> Duration {
        Duration::from_millis(self.read_millis)
    }

    /// Gives the pause between two reads of the instance list.
    #[must_use]
    pub fn list(&self) -> Duration {
        Duration::from_millis(self.list_millis)
    }

    /// Gives the time for which the log keeps records.
    #[must_use]
    pub fn retention(&self) -> Duration {
        Duration::from_secs(self.retention_seconds)
    }
}

/// `[peers]`: links to the other instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// Key that all instances share; a stranger without it gets in nowhere.
    pub shared_key: String,
    /// Pause between heartbeats, in milliseconds.
    pub heartbeat_millis: u64,
    /// Heartbeats missed before a peer's news counts as stale.
    pub missed_beats: u32,
    /// Addresses of instances that are likely to be up, asked at the start for what they know; only
    /// the IP numbers count, since heartbeats are taken at the same port everywhere.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            shared_key: String::new(),
            heartbeat_millis: 250,
            missed_beats: 5,
            seeds: Vec::new(),
        }
    }
}

impl Peers {
    /// Gives the pause between heartbeats.
    #[must_use]
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_millis)
    }

    /// Gives the age at which a peer's news is stale.
    #[must_use]
    pub fn stale_after(&self) -> Duration {
        self.heartbeat() * self.missed_beats
    }
}

/// `[limits]`: bounds on what callers can make the instance hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Connections from callers at once.
    pub connections: usize,
    /// Bytes in the head of a request.
    pub header_bytes: usize,
    /// Time for a caller to send the head, in milliseconds.
    pub header_millis: u64,
    /// Bytes in the body of a request.
    pub body_bytes: usize,
    /// Time for a caller to send the body, in milliseconds.
    pub body_millis: u64,
    /// Requests held at once.
    pub max_held: usize,
    /// Bytes of requests held or running at once.
    pub held_bytes: usize,
    /// Bytes of answers that wait for their callers at once; 0 leaves an answer unread at its endpoint
    /// while its caller does not read.
    pub answer_bytes: usize,
    /// Seconds that a stop waits for streams to finish.
    pub stop_seconds: u64,
    /// Whether accounts have shares by their weights of what endpoints do where room is short, so that
    /// refusals go to those that are furthest over theirs.
    pub account_shares: bool,
    /// Whether an account's share is one over all its tiers, so that no flood of a high tier takes what
    /// others have of lower ones; else each tier is shared by itself, the higher first.
    pub shares_over_tiers: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_bytes: 32 << 10,
            header_millis: 5_000,
            body_bytes: 4 << 20,
            body_millis: 30_000,
            max_held: 2_000,
            held_bytes: 64 << 20,
            answer_bytes: 0,
            stop_seconds: 600,
            account_shares: false,
            shares_over_tiers: false,
        }
    }
}

/// `[endpoints]`: time limits towards endpoints, and the budget of second tries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Endpoints {
    /// Time limit for a connect, in milliseconds.
    pub connect_millis: u64,
    /// Longest silence of a running answer, in milliseconds, before it counts as lost.
    pub silence_millis: u64,
    /// Pause between two reads of an endpoint's report, in milliseconds.
    pub report_millis: u64,
    /// Second tries allowed, as a part of the first tries.
    pub retry_ratio: f64,
    /// Second tries allowed on top, over all instances together; 0 for a bound of this instance alone.
    pub retry_slack: f64,
    /// Most endpoints of a service that may be ejected at once, as a part of all.
    pub eject_ratio: f64,
}

impl Default for Endpoints {
    fn default() -> Self {
        Self {
            connect_millis: 1_000,
            silence_millis: 10_000,
            report_millis: 500,
            retry_ratio: 0.1,
            retry_slack: 0.0,
            eject_ratio: 0.5,
        }
    }
}

/// Part of the time within which a revoked key must be out of use, after which requests with a key
/// are refused: what is left covers the way to the endpoint and a slow process.
const SERVE_PART: f64 = 0.8;
/// Part of the time within which a change must be in force, after which something unknown may have
/// been declared meanwhile.
const DENY_PART: f64 = 0.6;

/// `[freshness]`: how old the configuration may be that requests are served by.
///
/// It is read from the platform again and again; one that may have been replaced unseen could let
/// a key in that operators took away (see `docs/design/platform.md`).
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Freshness {
    /// Time within which a revoked key must be out of use, in milliseconds; 0 for no bound.
    pub revoke_millis: u64,
    /// Time within which a change must be in force, in milliseconds; 0 for no bound.
    pub apply_millis: u64,
}

impl Freshness {
    /// Gives the age of the configuration beyond which requests with a key are refused.
    #[must_use]
    pub fn serve(&self) -> Option<Duration> {
        let revoke = Duration::from_millis(self.revoke_millis);
        (!revoke.is_zero()).then(|| revoke.mul_f64(SERVE_PART))
    }

    /// Gives the age up to which an unknown key or service is refused for good.
    #[must_use]
    pub fn deny(&self) -> Duration {
        let apply = Duration::from_millis(self.apply_millis);
        if apply.is_zero() {
            Duration::MAX
        } else {
            apply.mul_f64(DENY_PART)
        }
    }
}

/// `[rollouts]`: how much a version may be tried before it is known to be good.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rollouts {
    /// Most requests that a bad version may get during its roll-out, as a part of all of its pool.
    pub exposure_ratio: f64,
    /// Requests that it may get on top, over all instances together.
    pub exposure_slack: f64,
}

impl Default for Rollouts {
    fn default() -> Self {
        Self {
            exposure_ratio: 0.1,
            exposure_slack: 0.0,
        }
    }
}

/// `[keys]`: handling of idempotency keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Keys {
    /// Grace after a change of owner, in seconds (G in `docs/design/keys.md`).
    pub grace_seconds: u64,
    /// Seconds for which a key is remembered after its request ended.
    pub keep_seconds: u64,
    /// Keys remembered at once; beyond it, keyed requests are answered `not-run`.
    pub max_keys: usize,
    /// Bytes of answers kept for resends of a key.
    pub answer_bytes: usize,
}

impl Default for Keys {
    fn default() -> Self {
        Self {
            grace_seconds: 5,
            keep_seconds: 600,
            max_keys: 100_000,
            answer_bytes: 16 << 20,
        }
    }
}

impl Keys {
    /// Gives the grace after a change of owner.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs(self.grace_seconds)
    }

    /// Gives the time for which a key is remembered.
    #[must_use]
    pub fn keep(&self) -> Duration {
        Duration::from_secs(self.keep_seconds)
    }
}

/// `[logging]`: what is logged, and where spans go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logging {
    /// `error`, `warning`, `info` or `debug`.
    pub level: String,
    /// Whether a line is written for each span of a trace.
    pub spans: bool,
}

impl Default for Logging {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            spans: true,
        }
    }
}
