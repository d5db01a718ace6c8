//! Tables of the settings file and their defaults.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{InstanceId, ZoneId};

/// `[instance]`: name, availability zone and addresses.
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
    /// Address on which peers connect. At the edge, address on which heartbeats are received.
    pub peers: Option<SocketAddr>,
    /// Address of the readiness check for the load balancer, at the edge.
    pub ready: Option<SocketAddr>,
    /// Address of the metrics at the edge. Otherwise they are served at the operators' address.
    pub metrics: Option<SocketAddr>,
    /// CPU capacity of the instance, in cores; 0 if unknown. Among instances that receive each other's
    /// heartbeats, those with the highest capacity lead.
    pub cores: f64,
    /// Network bandwidth of the instance, in Mbit/s; 0 if unknown. It limits the rate of state answers to
    /// instances that start.
    pub link_mbits: f64,
}

impl Instance {
    /// Returns the CPU capacity of the instance, in millicores.
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
    /// Timeout of one call, in milliseconds.
    pub call_millis: u64,
    /// Interval between reads of the log, in milliseconds.
    pub read_millis: u64,
    /// Interval between reads of the instance list, in milliseconds.
    pub list_millis: u64,
    /// Retention time of log records, in seconds.
    pub retention_seconds: u64,
    /// Names of the parts of the platform's rules that are in force. They are interpreted by its adapter.
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
    /// Returns the timeout of one call.
    #[must_use]
    pub fn call(&self) -> Duration {
        Duration::from_millis(self.call_millis)
    }

    /// Returns the interval between reads of the log.
    #[must_use]
    pub fn read(&self) -> Duration {
        Duration::from_millis(self.read_millis)
    }

    /// Returns the interval between reads of the instance list.
    #[must_use]
    pub fn list(&self) -> Duration {
        Duration::from_millis(self.list_millis)
    }

    /// Returns the retention time of log records.
    #[must_use]
    pub fn retention(&self) -> Duration {
        Duration::from_secs(self.retention_seconds)
    }
}

/// `[peers]`: connections to the other instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// Key shared by all instances. Connections and datagrams without proof of it are rejected.
    pub shared_key: String,
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_millis: u64,
    /// Number of missed heartbeats after which a peer's status is stale.
    pub missed_beats: u32,
    /// Addresses of instances that are likely to be up, from which the state is requested at the start. Only
    /// the IP addresses are used, since all instances receive heartbeats on the same port.
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
    /// Returns the interval between heartbeats.
    #[must_use]
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_millis)
    }

    /// Returns the age at which a peer's status is stale.
    #[must_use]
    pub fn stale_after(&self) -> Duration {
        self.heartbeat() * self.missed_beats
    }
}

/// `[limits]`: limits on the resources that callers can occupy at the instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of concurrent connections from callers.
    pub connections: usize,
    /// Maximum length of the head of a request, in bytes.
    pub header_bytes: usize,
    /// Timeout for a caller to send the head, in milliseconds.
    pub header_millis: u64,
    /// Maximum length of the body of a request, in bytes.
    pub body_bytes: usize,
    /// Timeout for a caller to send the body, in milliseconds.
    pub body_millis: u64,
    /// Maximum time for which a body waits unread for room, in milliseconds.
    pub body_wait_millis: u64,
    /// Maximum number of requests held at the same time.
    pub max_held: usize,
    /// Maximum total size of the requests that are being read, held or running, in bytes. Requests are shed
    /// beyond half of it, so that there is room to read others.
    pub held_bytes: usize,
    /// Maximum total size of answers buffered for their callers, in bytes. With 0, an answer is not read from
    /// its endpoint while its caller does not read.
    pub answer_bytes: usize,
    /// Maximum time that a shutdown waits for streams to finish, in seconds.
    pub stop_seconds: u64,
    /// Whether accounts get shares of the endpoints' work by their weights when capacity is short, so that
    /// requests of the accounts furthest over their share are refused.
    pub account_shares: bool,
    /// Whether an account has one share over all its tiers, so that a flood in a high tier cannot take the
    /// shares of others in lower tiers. Otherwise each tier is shared separately, the higher first.
    pub shares_over_tiers: bool,
}

/// Divisor of `limits.held_bytes` for the part that requests held or running fill before some are shed.
pub(super) const HELD_DIVISOR: usize = 2;

impl Limits {
    /// Returns the bytes of requests held or running beyond which some are shed.
    #[must_use]
    pub fn shed_bytes(&self) -> usize {
        self.held_bytes / HELD_DIVISOR
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_bytes: 32 << 10,
            header_millis: 5_000,
            body_bytes: 4 << 20,
            body_millis: 30_000,
            body_wait_millis: 500,
            max_held: 2_000,
            held_bytes: 64 << 20,
            answer_bytes: 0,
            stop_seconds: 600,
            account_shares: false,
            shares_over_tiers: false,
        }
    }
}

/// `[endpoints]`: timeouts for endpoints, and the retry budget.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Endpoints {
    /// Connect timeout, in milliseconds.
    pub connect_millis: u64,
    /// Maximum time without data in a running answer, in milliseconds, before it counts as lost.
    pub silence_millis: u64,
    /// Interval between reads of an endpoint's report, in milliseconds.
    pub report_millis: u64,
    /// Retries allowed, as a fraction of the first attempts.
    pub retry_ratio: f64,
    /// Additional retries allowed over all instances together; 0 for a limit per instance.
    pub retry_slack: f64,
    /// Maximum fraction of a service's endpoints that may be ejected at the same time.
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

/// Fraction of the time limit for key revocation after which requests with a key are refused. The rest
/// covers the transfer to the endpoint and a slow process.
const SERVE_FRACTION: f64 = 0.8;
/// Fraction of the time limit for applying changes after which an unknown key or service may have been
/// declared in the meantime.
const DENY_FRACTION: f64 = 0.6;

/// `[freshness]`: maximum age of the configuration with which requests are served.
///
/// The configuration is read from the platform repeatedly. One that may have been replaced unnoticed could
/// accept a key that operators have revoked (see `docs/design/platform.md`).
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Freshness {
    /// Time within which a revoked key must no longer be accepted, in milliseconds; 0 for no limit.
    pub revoke_millis: u64,
    /// Time within which a change must be in force, in milliseconds; 0 for no limit.
    pub apply_millis: u64,
}

impl Freshness {
    /// Returns the age of the configuration beyond which requests with a key are refused.
    #[must_use]
    pub fn serve(&self) -> Option<Duration> {
        let revoke = Duration::from_millis(self.revoke_millis);
        (!revoke.is_zero()).then(|| revoke.mul_f64(SERVE_FRACTION))
    }

    /// Returns the age of the configuration up to which an unknown key or service is refused definitively.
    #[must_use]
    pub fn deny(&self) -> Duration {
        let apply = Duration::from_millis(self.apply_millis);
        if apply.is_zero() {
            Duration::MAX
        } else {
            apply.mul_f64(DENY_FRACTION)
        }
    }
}

/// `[rollouts]`: limits on the traffic to a new version before it has proved to be good.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rollouts {
    /// Maximum fraction of its pool's requests that a bad version may receive during its rollout.
    pub exposure_ratio: f64,
    /// Additional requests that it may receive, over all instances together.
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
    /// Grace period after a change of owner, in seconds (G in `docs/design/keys.md`).
    pub grace_seconds: u64,
    /// Retention time of a key after its request ended, in seconds.
    pub keep_seconds: u64,
    /// Maximum number of keys retained. Beyond it, keyed requests are answered `not-run`.
    pub max_keys: usize,
    /// Maximum total size of answers cached for resends of a key, in bytes.
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
    /// Returns the grace period after a change of owner.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs(self.grace_seconds)
    }

    /// Returns the retention time of a key.
    #[must_use]
    pub fn keep(&self) -> Duration {
        Duration::from_secs(self.keep_seconds)
    }
}

/// `[logging]`: log level and trace spans.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logging {
    /// `error`, `warning`, `info` or `debug`.
    pub level: String,
    /// Whether each span of a trace is written to the log.
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
