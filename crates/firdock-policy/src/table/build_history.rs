//! The builds that serve, and those that served lately: one of them began any stream that callers still continue.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use firdock_core::PoolId;
use serde::{Deserialize, Serialize};

use crate::request::Build;
use crate::time::Time;

/// Time for which a build that serves no more is kept: longer than any stream lives.
const RETENTION: Duration = Duration::from_mins(10);

/// A build that serves or has served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedBuild {
    /// Build.
    pub build: Build,
    /// When the last endpoint that runs it was removed; `None` while one serves.
    pub ended: Option<Time>,
}

/// Returns the pools of which more than one build served at any time since `since`.
#[must_use]
pub fn mixed_pools(builds: &[ServedBuild], since: Time) -> BTreeSet<&PoolId> {
    let served = builds
        .iter()
        .filter(|b| b.ended.is_none_or(|at| at >= since));
    let mut pools: BTreeMap<&PoolId, usize> = BTreeMap::new();
    for served in served {
        *pools.entry(&served.build.pool).or_default() += 1;
    }
    pools.retain(|_, builds| *builds > 1);
    pools.into_keys().collect()
}

/// The builds of all pools.
#[derive(Debug, Default)]
pub struct BuildHistory {
    /// When each build ended; `None` while it serves.
    builds: BTreeMap<Build, Option<Time>>,
    /// Whether the builds that served before this instance started are among them.
    complete: bool,
    /// When this instance first knew which builds serve.
    observed_since: Option<Time>,
}

impl BuildHistory {
    /// Sets the builds that serve at present, and returns whether that changed any.
    pub fn update(&mut self, now: Time, present: &BTreeSet<Build>) -> bool {
        self.observed_since.get_or_insert(now);
        let before = self.builds.clone();
        for (build, ended) in &mut self.builds {
            let since = ended.unwrap_or(now);
            *ended = (!present.contains(build)).then_some(since);
        }
        for build in present {
            self.builds.insert(build.clone(), None);
        }
        self.builds
            .retain(|_, ended| ended.is_none_or(|at| at + RETENTION > now));
        self.builds != before
    }

    /// Adds the builds that other instances recorded. One that served at the time of the record may have served
    /// until now.
    pub fn merge(&mut self, now: Time, recorded: Vec<ServedBuild>) {
        for ServedBuild { build, ended } in recorded {
            let recorded_end = ended.unwrap_or(now);
            let end = self.builds.entry(build).or_insert(Some(recorded_end));
            *end = end.map(|at| at.max(recorded_end));
        }
        self.complete = true;
    }

    /// Returns whether the builds that served before this instance started are known.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns whether all builds are known that served at any time since `since`.
    #[must_use]
    pub fn covers(&self, since: Time) -> bool {
        self.complete || self.observed_since.is_some_and(|at| at <= since)
    }

    /// Iterates over the builds that served at any time since `since`.
    pub fn served_since(&self, since: Time) -> impl Iterator<Item = &Build> {
        let served = self.builds.iter();
        let served = served.filter(move |(_, ended)| ended.is_none_or(|at| at >= since));
        served.map(|(build, _)| build)
    }

    /// Returns since when all builds that served are known, and `None` if those of before the start are known.
    #[must_use]
    pub fn observed_since(&self) -> Option<Time> {
        self.observed_since.filter(|_| !self.complete)
    }

    /// Iterates over all builds that are kept.
    pub fn iter(&self) -> impl Iterator<Item = ServedBuild> {
        self.builds.iter().map(|(build, ended)| ServedBuild {
            build: build.clone(),
            ended: *ended,
        })
    }
}
