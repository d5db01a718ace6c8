//! Validation of settings beyond the type of each field.

use std::time::Duration;

use super::Settings;
use super::tables::HELD_DIVISOR;
use crate::Findings;

/// Minimum length of the shared key, in bytes.
const MIN_KEY_BYTES: usize = 16;
/// Maximum number of seed addresses. A platform names three, and each one that is down delays the
/// start.
const MAX_SEEDS: usize = 16;
/// Minimum budget for buffered answers, in bytes. A long answer has some hundred thousand bytes, and
/// several must fit at the same time.
const MIN_ANSWER_BYTES: usize = 1 << 20;
/// Valid log levels.
const LOG_LEVELS: [&str; 4] = ["error", "warning", "info", "debug"];

/// Mode in which an instance runs. It determines which addresses are required.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    /// With the native interface for callers and operators, and the log and instance list.
    Own,
    /// At the edge of a platform, whose interface is read by an adapter.
    Edge,
}

impl Settings {
    pub(super) fn check(&self, profile: Profile, found: &mut Findings) {
        self.check_instance(found);
        match profile {
            Profile::Own => self.check_own(found),
            Profile::Edge => self.check_edge(found),
        }
        self.check_platform(found);
        self.check_peers(found);
        self.check_limits(found);
        self.check_answers(found);
        self.check_rest(found);
    }

    fn check_instance(&self, found: &mut Findings) {
        let i = &self.instance;
        require(
            !i.name.is_empty(),
            "instance.name",
            "a name is needed",
            found,
        );
        require(
            !i.zone.is_empty(),
            "instance.zone",
            "an availability zone is needed",
            found,
        );
        require(
            i.callers.is_some(),
            "instance.callers",
            "IP:PORT is needed",
            found,
        );
        require(
            i.peers.is_some(),
            "instance.peers",
            "IP:PORT is needed",
            found,
        );
    }

    fn check_own(&self, found: &mut Findings) {
        let addresses = [
            (self.instance.operators, "instance.operators"),
            (self.platform.instances, "platform.instances"),
        ];
        for (address, path) in addresses {
            require(address.is_some(), path, "IP:PORT is needed", found);
        }
    }

    fn check_edge(&self, found: &mut Findings) {
        let ready = self.instance.ready.is_some();
        require(ready, "instance.ready", "IP:PORT is needed", found);
    }

    fn check_platform(&self, found: &mut Findings) {
        let p = &self.platform;
        require(p.log.is_some(), "platform.log", "IP:PORT is needed", found);
        lasting(p.call_timeout, "platform.call_millis", found);
        lasting(p.read_interval, "platform.read_millis", found);
        lasting(p.list_interval, "platform.list_millis", found);
        lasting(p.retention, "platform.retention_seconds", found);
    }

    fn check_peers(&self, found: &mut Findings) {
        let p = &self.peers;
        let long = p.shared_key.len() >= MIN_KEY_BYTES;
        require(
            long,
            "peers.shared_key",
            "at least 16 bytes are needed",
            found,
        );
        require(
            p.seeds.len() <= MAX_SEEDS,
            "peers.seeds",
            "has too many addresses",
            found,
        );
        lasting(p.heartbeat, "peers.heartbeat_millis", found);
        positive(u64::from(p.missed_beats), "peers.missed_beats", found);
    }

    fn check_limits(&self, found: &mut Findings) {
        let l = &self.limits;
        positive(l.connections as u64, "limits.connections", found);
        require(
            l.header_bytes >= 8 << 10,
            "limits.header_bytes",
            "8192 or more",
            found,
        );
        lasting(l.header_timeout, "limits.header_millis", found);
        positive(l.body_bytes as u64, "limits.body_bytes", found);
        lasting(l.body_timeout, "limits.body_millis", found);
        positive(l.max_held as u64, "limits.max_held", found);
        require(
            l.account_shares || !l.shares_over_tiers,
            "limits.shares_over_tiers",
            "needs limits.account_shares",
            found,
        );
        let fits_body = l.held_bytes / HELD_DIVISOR >= l.body_bytes;
        require(
            fits_body,
            "limits.held_bytes",
            "at least twice limits.body_bytes",
            found,
        );
    }

    fn check_answers(&self, found: &mut Findings) {
        let bytes = self.limits.answer_bytes;
        let enough = bytes == 0 || bytes >= MIN_ANSWER_BYTES;
        let msg = "0, or 1048576 or more";
        require(enough, "limits.answer_bytes", msg, found);
    }

    fn check_rest(&self, found: &mut Findings) {
        let e = &self.endpoints;
        lasting(e.connect_timeout, "endpoints.connect_millis", found);
        lasting(e.silence_timeout, "endpoints.silence_millis", found);
        lasting(e.report_interval, "endpoints.report_millis", found);
        let ratio = |r: f64| (0.0..=1.0).contains(&r);
        require(
            ratio(e.retry_ratio),
            "endpoints.retry_ratio",
            "from 0 to 1",
            found,
        );
        require(
            e.retry_slack.is_finite() && e.retry_slack >= 0.0,
            "endpoints.retry_slack",
            "0 or more",
            found,
        );
        require(
            ratio(e.eject_ratio),
            "endpoints.eject_ratio",
            "from 0 to 1",
            found,
        );
        let r = &self.rollouts;
        require(
            ratio(r.exposure_ratio),
            "rollouts.exposure_ratio",
            "from 0 to 1",
            found,
        );
        require(
            r.exposure_slack.is_finite() && r.exposure_slack >= 0.0,
            "rollouts.exposure_slack",
            "0 or more",
            found,
        );
        lasting(self.keys.grace, "keys.grace_seconds", found);
        let kept = self.keys.keep_time > 2 * self.keys.grace;
        require(
            kept,
            "keys.keep_seconds",
            "more than twice keys.grace_seconds",
            found,
        );
        positive(self.keys.max_keys as u64, "keys.max_keys", found);
        let level = LOG_LEVELS.contains(&self.logging.level.as_str());
        require(
            level,
            "logging.level",
            "error, warning, info or debug",
            found,
        );
    }
}

fn require(ok: bool, path: &str, msg: &str, found: &mut Findings) {
    if !ok {
        found.add(None, path, msg);
    }
}

fn positive(value: u64, path: &str, found: &mut Findings) {
    require(value > 0, path, "1 or more", found);
}

fn lasting(value: Duration, path: &str, found: &mut Findings) {
    require(!value.is_zero(), path, "more than 0", found);
}
