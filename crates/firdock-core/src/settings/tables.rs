//! Tables of the settings file and their defaults.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::duration;
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
    /// Memory of the instance, in MB (10^6 bytes); 0 if unknown. The kernel's buffers for long transfers follow from
    /// it.
    pub memory_mbytes: f64,
}

impl Instance {
    /// Returns the CPU capacity of the instance, in millicores.
    #[must_use]
    pub fn millicores(&self) -> u32 {
        (self.cores * 1_000.0)
            .round()
            .clamp(0.0, f64::from(u32::MAX)) as u32
    }

    /// Returns the memory of the instance in bytes, if it is known.
    #[must_use]
    pub fn memory_bytes(&self) -> Option<usize> {
        (self.memory_mbytes > 0.0).then_some((self.memory_mbytes * 1e6) as usize)
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
    /// Timeout of one call.
    #[serde(rename = "call_millis", with = "duration::millis")]
    pub call_timeout: Duration,
    /// Interval between reads of the log.
    #[serde(rename = "read_millis", with = "duration::millis")]
    pub read_interval: Duration,
    /// Interval between reads of the instance list.
    #[serde(rename = "list_millis", with = "duration::millis")]
    pub list_interval: Duration,
    /// Retention time of log records.
    #[serde(rename = "retention_seconds", with = "duration::seconds")]
    pub retention: Duration,
    /// Names of the parts of the platform's rules that are in force. They are interpreted by its adapter.
    pub contracts: Vec<String>,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            log: None,
            instances: None,
            call_timeout: Duration::from_secs(2),
            read_interval: Duration::from_millis(500),
            list_interval: Duration::from_secs(1),
            retention: Duration::from_hours(1),
            contracts: Vec::new(),
        }
    }
}

/// `[peers]`: connections to the other instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// Key shared by all instances. Connections and datagrams without proof of it are rejected.
    pub shared_key: String,
    /// Interval between heartbeats.
    #[serde(rename = "heartbeat_millis", with = "duration::millis")]
    pub heartbeat: Duration,
    /// Number of missed heartbeats after which a peer's status is stale.
    pub missed_beats: u32,
    /// Instances that are likely to be up, from which the state is requested at the start. Only the IP addresses are used,
    /// since all instances receive heartbeats on the same port.
    pub seeds: Vec<Seed>,
}

/// Address of an instance that is likely to be up. One that cannot be read is left out, since an instance can start without
/// any.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub enum Seed {
    /// Its IP address.
    Address(IpAddr),
    /// Text that is no address.
    Unreadable(String),
}

impl Seed {
    /// Returns the IP address.
    #[must_use]
    pub fn ip(&self) -> Option<IpAddr> {
        match self {
            Self::Address(ip) => Some(*ip),
            Self::Unreadable(_) => None,
        }
    }
}

impl From<SocketAddr> for Seed {
    fn from(address: SocketAddr) -> Self {
        Self::Address(address.ip())
    }
}

impl From<String> for Seed {
    fn from(text: String) -> Self {
        let with_port = text.parse().map(|address: SocketAddr| address.ip());
        match with_port.or_else(|_| text.parse()) {
            Ok(ip) => Self::Address(ip),
            Err(_) => Self::Unreadable(text),
        }
    }
}

impl From<Seed> for String {
    fn from(seed: Seed) -> Self {
        match seed {
            Seed::Address(ip) => ip.to_string(),
            Seed::Unreadable(text) => text,
        }
    }
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            shared_key: String::new(),
            heartbeat: Duration::from_millis(250),
            missed_beats: 5,
            seeds: Vec::new(),
        }
    }
}

impl Peers {
    /// Returns the age at which a peer's status is stale.
    #[must_use]
    pub fn stale_after(&self) -> Duration {
        self.heartbeat * self.missed_beats
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
    /// Timeout for a caller to send the head.
    #[serde(rename = "header_millis", with = "duration::millis")]
    pub header_timeout: Duration,
    /// Maximum length of the body of a request, in bytes.
    pub body_bytes: usize,
    /// Timeout for a caller to send the body.
    #[serde(rename = "body_millis", with = "duration::millis")]
    pub body_timeout: Duration,
    /// Maximum time for which a body waits unread for room.
    #[serde(rename = "body_wait_millis", with = "duration::millis")]
    pub body_wait: Duration,
    /// Maximum number of requests held at the same time.
    pub max_held: usize,
    /// Maximum total size of the requests that are being read, held or running, in bytes. Requests are shed
    /// beyond half of it, so that there is room to read others.
    pub held_bytes: usize,
    /// Maximum total size of answers buffered for their callers, in bytes. With 0, an answer is not read from
    /// its endpoint while its caller does not read.
    pub answer_bytes: usize,
    /// Maximum time that a shutdown waits for streams to finish.
    #[serde(rename = "stop_seconds", with = "duration::seconds")]
    pub stop_time: Duration,
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
            header_timeout: Duration::from_secs(5),
            body_bytes: 4 << 20,
            body_timeout: Duration::from_secs(30),
            body_wait: Duration::from_millis(500),
            max_held: 2_000,
            held_bytes: 64 << 20,
            answer_bytes: 0,
            stop_time: Duration::from_mins(10),
            account_shares: false,
            shares_over_tiers: false,
        }
    }
}

/// `[endpoints]`: timeouts for endpoints, and the retry budget.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Endpoints {
    /// Connect timeout.
    #[serde(rename = "connect_millis", with = "duration::millis")]
    pub connect_timeout: Duration,
    /// Maximum time without data in a running answer before it counts as lost.
    #[serde(rename = "silence_millis", with = "duration::millis")]
    pub silence_timeout: Duration,
    /// Interval between reads of an endpoint's report.
    #[serde(rename = "report_millis", with = "duration::millis")]
    pub report_interval: Duration,
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
            connect_timeout: Duration::from_secs(1),
            silence_timeout: Duration::from_secs(10),
            report_interval: Duration::from_millis(500),
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
    /// Time within which a revoked key must no longer be accepted; 0 for no limit.
    #[serde(rename = "revoke_millis", with = "duration::millis")]
    pub revoke_time: Duration,
    /// Time within which a change must be in force; 0 for no limit.
    #[serde(rename = "apply_millis", with = "duration::millis")]
    pub apply_time: Duration,
}

impl Freshness {
    /// Returns the age of the configuration beyond which requests with a key are refused.
    #[must_use]
    pub fn serve(&self) -> Option<Duration> {
        let is_limited = !self.revoke_time.is_zero();
        is_limited.then(|| self.revoke_time.mul_f64(SERVE_FRACTION))
    }

    /// Returns the age of the configuration up to which an unknown key or service is refused definitively.
    #[must_use]
    pub fn deny(&self) -> Duration {
        if self.apply_time.is_zero() {
            Duration::MAX
        } else {
            self.apply_time.mul_f64(DENY_FRACTION)
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
    /// Grace period after a change of owner (G in `docs/design/keys.md`).
    #[serde(rename = "grace_seconds", with = "duration::seconds")]
    pub grace: Duration,
    /// Retention time of a key after its request ended.
    #[serde(rename = "keep_seconds", with = "duration::seconds")]
    pub keep_time: Duration,
    /// Maximum number of keys retained. Beyond it, keyed requests are answered `not-run`.
    pub max_keys: usize,
    /// Maximum total size of answers cached for resends of a key, in bytes.
    pub answer_bytes: usize,
}

impl Default for Keys {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(5),
            keep_time: Duration::from_mins(10),
            max_keys: 100_000,
            answer_bytes: 16 << 20,
        }
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
