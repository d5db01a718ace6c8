//! Log lines for changes of the state that decisions depend on: configuration, endpoints and peers.
//!
//! A decision can be explained from the state changes logged before it.

use std::collections::BTreeMap;
use std::sync::Arc;

use firdock_core::Version;
use firdock_policy::table::Tables;
use firdock_policy::table::endpoint::EndpointRow;
use firdock_policy::table::peer::PeerRow;
use firdock_policy::{Time, link_report};
use slog::{Logger, info};

use super::change_tracker::{Change, ChangeTracker};
use super::decisions::config_age;
use super::endpoints::{EndpointList, EndpointStatus};
use super::log_limiter::{LogKind, LogLimiter};
use crate::clock::millis;

/// Logs the state changes of one scheduler, by comparing with the state that was last logged.
#[derive(Debug)]
pub struct StateChangeLog {
    log: Logger,
    limiter: Arc<LogLimiter>,
    version: Version,
    fresh: bool,
    endpoints: ChangeTracker<EndpointStatus>,
    list: EndpointList,
    peers: ChangeTracker<&'static str>,
    starts: ChangeTracker<&'static str>,
    links: &'static str,
}

impl StateChangeLog {
    /// Creates a writer whose lines are limited by `limiter`, and that keeps `list` up to date.
    #[must_use]
    pub fn new(log: Logger, limiter: Arc<LogLimiter>, list: EndpointList) -> Self {
        Self {
            log,
            limiter,
            version: 0,
            fresh: false,
            endpoints: ChangeTracker::default(),
            list,
            peers: ChangeTracker::default(),
            starts: ChangeTracker::default(),
            links: "up",
        }
    }

    /// Logs what changed since the last call.
    pub fn record(&mut self, now: Time, t: &Tables) {
        self.record_version(now, t.version);
        self.record_freshness(now, t);
        let present = t.endpoints.iter().filter(|(_, e)| e.present);
        let rows = present.map(|(at, e)| (at, &*e.declared.name, EndpointStatus::new(now, e)));
        let changes = self.endpoints.update(rows);
        self.write_endpoints(now, &changes);
        self.list.update(t, &changes);
        let rows = t
            .peers
            .iter()
            .map(|(at, p)| (at, &*p.name, peer_state(now, t, p)));
        let changes = self.peers.update(rows);
        self.write_peers(now, &changes);
        self.record_links(now, t);
        self.record_starts(now, t);
    }

    /// Logs the starts of endpoints that another one may have replaced, and those that are confirmed again.
    fn record_starts(&mut self, now: Time, t: &Tables) {
        let present = t.endpoints.iter().filter(|(_, e)| e.present);
        let rows = present.map(|(at, e)| (at, &*e.start_id, start_state(e)));
        let changes = self.starts.update(rows);
        for (start, change) in changes {
            let Some((is, before)) = change.is.zip(change.before) else {
                continue;
            };
            self.write(now, &format!("start {start}"), is, before);
        }
    }

    /// Logs whether this instance's own links to endpoints work, with the evidence.
    fn record_links(&mut self, now: Time, t: &Tables) {
        let links = link_report(t, now);
        let failing: u32 = links.iter().map(|p| p.failing).sum();
        let reached: u32 = links.iter().map(|p| p.reached).sum();
        let is = match (failing, reached) {
            (0, _) => "up",
            (_, 0) => "cut",
            _ => "failing in part",
        };
        let before = std::mem::replace(&mut self.links, is);
        if is == before || !self.limiter.allow(&self.log, now, LogKind::StateChange) {
            return;
        }
        let latest = t
            .endpoints
            .iter()
            .filter_map(|(_, e)| e.link.failed_at)
            .max();
        info!(self.log, "belief changed"; "what" => "links to endpoints", "is" => is, "before" => before,
            "failing" => failing, "reached" => reached,
            "age_millis" => latest.map(|at| millis(now.saturating_sub(at))));
    }

    fn record_version(&mut self, now: Time, version: Version) {
        let before = std::mem::replace(&mut self.version, version);
        if version != before {
            let (is, before) = (version.to_string(), before.to_string());
            self.write(now, "version in force", &is, &before);
        }
    }

    fn record_freshness(&mut self, now: Time, t: &Tables) {
        let Some(until) = t.config_valid_until() else {
            return;
        };
        let fresh = until > now;
        if std::mem::replace(&mut self.fresh, fresh) == fresh {
            return;
        }
        let age = config_age(t, now).unwrap_or_default();
        let is = if fresh { "fresh" } else { "stale" };
        self.write(now, "configuration", is, &format!("age {age} ms"));
    }

    /// Logs the endpoints whose state changed, with the source of the new state.
    fn write_endpoints(&self, now: Time, changes: &BTreeMap<String, Change<EndpointStatus>>) {
        let unknown = "unknown";
        for (name, change) in changes {
            let before = change.before.map_or(unknown, |status| status.state);
            match &change.is {
                Some(is) if is.state != before => self.write_endpoint(now, name, is, before),
                Some(_) => {}
                None => self.write(now, &format!("endpoint {name}"), "gone", before),
            }
        }
    }

    fn write_endpoint(&self, now: Time, name: &str, is: &EndpointStatus, before: &str) {
        if self.limiter.allow(&self.log, now, LogKind::StateChange) {
            info!(self.log, "belief changed"; "what" => format!("endpoint {name}"),
                "is" => is.state, "before" => before, "source" => is.source,
                "age_millis" => is.age_millis, "left_millis" => is.left_millis);
        }
    }

    /// Logs the peers that became live or silent.
    fn write_peers(&self, now: Time, changes: &BTreeMap<String, Change<&'static str>>) {
        for (name, change) in changes {
            let is = change.is.unwrap_or("gone");
            let before = change.before.unwrap_or("unknown");
            self.write(now, &format!("instance {name}"), is, before);
        }
    }

    fn write(&self, now: Time, what: &str, is: &str, before: &str) {
        if self.limiter.allow(&self.log, now, LogKind::StateChange) {
            info!(self.log, "belief changed"; "what" => what, "is" => is, "before" => before);
        }
    }
}

fn start_state(e: &EndpointRow) -> &'static str {
    if e.unconfirmed.is_some() {
        "unconfirmed"
    } else {
        "confirmed"
    }
}

fn peer_state(now: Time, t: &Tables, p: &PeerRow) -> &'static str {
    if t.is_live(p, now) { "heard" } else { "silent" }
}
