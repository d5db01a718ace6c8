//! One line for each change in what the process believes: of its configuration, its endpoints and
//! the other instances.
//!
//! Decisions follow from beliefs, so that a decision can be explained from the lines before it.

use std::collections::BTreeMap;
use std::sync::Arc;

use firdock_core::Version;
use firdock_policy::Time;
use firdock_policy::table::Tables;
use firdock_policy::table::endpoint::{EndpointRow, Health};
use firdock_policy::table::peer::PeerRow;
use slog::{Logger, info};

use super::budget::{LineBudget, LineKind};
use super::decisions::config_age;

/// Words for what is believed of endpoints or instances, by name.
type Words = BTreeMap<String, &'static str>;

/// Writes the lines of one scheduler's beliefs, and keeps what was last written.
#[derive(Debug)]
pub struct Beliefs {
    log: Logger,
    budget: Arc<LineBudget>,
    version: Version,
    fresh: bool,
    endpoints: Words,
    peers: Words,
}

impl Beliefs {
    /// Makes a writer whose lines count against `budget`.
    #[must_use]
    pub fn new(log: Logger, budget: Arc<LineBudget>) -> Self {
        Self {
            log,
            budget,
            version: 0,
            fresh: false,
            endpoints: Words::new(),
            peers: Words::new(),
        }
    }

    /// Writes what changed since the last look.
    pub fn note(&mut self, now: Time, t: &Tables) {
        self.note_version(now, t.version);
        self.note_freshness(now, t);
        let endpoints = endpoint_words(now, t);
        self.write_changes(now, "endpoint", &self.endpoints, &endpoints);
        self.endpoints = endpoints;
        let peers = peer_words(now, t);
        self.write_changes(now, "instance", &self.peers, &peers);
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

    /// Writes a line for each of a kind that is new, changed or gone.
    fn write_changes(&self, now: Time, kind: &str, known: &Words, seen: &Words) {
        for (name, is) in seen {
            let before = known.get(name).copied().unwrap_or("unknown");
            if before != *is {
                self.write(now, &format!("{kind} {name}"), is, before);
            }
        }
        for (name, before) in known.iter().filter(|(name, _)| !seen.contains_key(*name)) {
            self.write(now, &format!("{kind} {name}"), "gone", before);
        }
    }

    fn write(&self, now: Time, what: &str, is: &str, before: &str) {
        if self.budget.allow(&self.log, now, LineKind::Belief) {
            info!(self.log, "belief changed"; "what" => what, "is" => is, "before" => before);
        }
    }
}

fn endpoint_words(now: Time, t: &Tables) -> Words {
    let present = t.endpoints.iter().filter(|(_, e)| e.present);
    let words = present.map(|(_, e)| (e.declared.name.clone(), endpoint_word(now, e)));
    words.collect()
}

fn endpoint_word(now: Time, e: &EndpointRow) -> &'static str {
    if e.leaving(now) {
        "leaving"
    } else if e.health == Health::Well {
        "usable"
    } else {
        "ejected"
    }
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
