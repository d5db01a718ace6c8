//! One line for each change in what the process believes: of its configuration, its endpoints and
//! the other instances.
//!
//! Decisions follow from beliefs, so that a decision can be explained from the lines before it.

use std::collections::BTreeMap;
use std::sync::Arc;

use firdock_core::Version;
use firdock_policy::Time;
use firdock_policy::table::Tables;
use firdock_policy::table::peer::PeerRow;
use slog::{Logger, info};

use super::budget::{LineBudget, LineKind};
use super::decisions::config_age;
use super::endpoints::{self, EndpointList, EndpointState, EndpointStates};

/// Words for what is believed of instances, by name.
type Words = BTreeMap<String, &'static str>;

/// Writes the lines of one scheduler's beliefs, and keeps what was last written.
#[derive(Debug)]
pub struct Beliefs {
    log: Logger,
    budget: Arc<LineBudget>,
    version: Version,
    fresh: bool,
    endpoints: Arc<EndpointStates>,
    list: EndpointList,
    peers: Words,
}

impl Beliefs {
    /// Makes a writer whose lines count against `budget`, and that keeps `list` up to date.
    #[must_use]
    pub fn new(log: Logger, budget: Arc<LineBudget>, list: EndpointList) -> Self {
        Self {
            log,
            budget,
            version: 0,
            fresh: false,
            endpoints: Arc::default(),
            list,
            peers: Words::new(),
        }
    }

    /// Writes what changed since the last look.
    pub fn note(&mut self, now: Time, t: &Tables) {
        self.note_version(now, t.version);
        self.note_freshness(now, t);
        let endpoints = Arc::new(endpoints::states(now, t));
        self.write_endpoints(now, &endpoints);
        self.list.set(Arc::clone(&endpoints));
        self.endpoints = endpoints;
        let peers = peer_words(now, t);
        self.write_peers(now, &peers);
        self.peers = peers;
    }

    fn note_version(&mut self, now: Time, version: Version) {
        let before = std::mem::replace(&mut self.version, version);
        if version != before {
            let (is, before) = (version.to_string(), before.to_string());
            self.write(now, "version in force", &is, &before);
        }
    }

    fn note_freshness(&mut self, now: Time, t: &Tables) {
        let Some(until) = t.fresh_until() else {
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

    /// Writes a line for each endpoint of which something else is believed now, with who said so.
    fn write_endpoints(&self, now: Time, seen: &EndpointStates) {
        for (name, is, before) in changes(&self.endpoints, seen, |e| e.state) {
            match is {
                Some(is) => self.write_endpoint(now, name, is, before),
                None => self.write(now, &format!("endpoint {name}"), "gone", before),
            }
        }
    }

    fn write_endpoint(&self, now: Time, name: &str, is: &EndpointState, before: &str) {
        if self.budget.allow(&self.log, now, LineKind::Belief) {
            info!(self.log, "belief changed"; "what" => format!("endpoint {name}"),
                "is" => is.state, "before" => before, "source" => is.source,
                "age_millis" => is.age_millis, "left_millis" => is.left_millis);
        }
    }

    /// Writes a line for each other instance that is heard now, or no more.
    fn write_peers(&self, now: Time, seen: &Words) {
        for (name, is, before) in changes(&self.peers, seen, |word| *word) {
            let is = is.copied().unwrap_or("gone");
            self.write(now, &format!("instance {name}"), is, before);
        }
    }

    fn write(&self, now: Time, what: &str, is: &str, before: &str) {
        if self.budget.allow(&self.log, now, LineKind::Belief) {
            info!(self.log, "belief changed"; "what" => what, "is" => is, "before" => before);
        }
    }
}

/// Gives what is new, changed or gone: its name, what it is now (`None` where it is gone), and the word
/// for what it was before.
fn changes<'a, B>(
    known: &'a BTreeMap<String, B>,
    seen: &'a BTreeMap<String, B>,
    word: impl Fn(&B) -> &'static str + 'a,
) -> Vec<(&'a str, Option<&'a B>, &'static str)> {
    let mut changes = Vec::new();
    for (name, is) in seen {
        let before = known.get(name).map_or("unknown", &word);
        if before != word(is) {
            changes.push((name.as_str(), Some(is), before));
        }
    }
    for (name, before) in known.iter().filter(|(name, _)| !seen.contains_key(*name)) {
        changes.push((name.as_str(), None, word(before)));
    }
    changes
}

fn peer_words(now: Time, t: &Tables) -> Words {
    let word = |p: &PeerRow| {
        if t.is_heard(p, now) {
            "heard"
        } else {
            "silent"
        }
    };
    let words = t.peers.iter().map(|(_, p)| (p.name.clone(), word(p)));
    words.collect()
}
