//! Requests that continue a stream: which build began it, where no instance knows
//! (`docs/design/stream-versions.md`).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::Endpoint;
use firdock_core::{Outcome, PoolId, Reason};

use crate::request::{Build, NewRequest, StreamOrigin, Verdict};
use crate::table::Tables;
use crate::time::Time;

/// Longest life of a stream over all attempts of its caller, as a multiple of its service's time limit.
const STREAM_LIFE_FACTOR: u32 = 2;
/// The same for services without a time limit.
const DEFAULT_STREAM_LIFE: Duration = Duration::from_mins(1);
/// Time for which a build that serves no more is remembered: longer than any stream lives.
const BUILD_RETENTION: Duration = Duration::from_mins(10);
/// Retry time for callers whose stream is not known here: another instance may know it, and what is known reaches
/// all that keep it within a fraction of that time.
const UNKNOWN_RETRY: Duration = Duration::from_millis(300);

/// Records the builds that serve at present.
pub fn record_builds(t: &mut Tables, now: Time) {
    let present = t.endpoints.iter().filter(|(_, e)| e.present);
    let by_build: BTreeMap<(&str, &str), &Endpoint> = present
        .map(|(_, e)| ((&*e.declared.pool, &*e.declared.version), &e.declared))
        .collect();
    let builds: Vec<Build> = by_build.into_values().map(Build::of).collect();
    t.builds_seen.extend(builds.into_iter().map(|b| (b, now)));
    t.builds_seen
        .retain(|_, last| *last + BUILD_RETENTION > now);
}

/// Sets the build that began a request's stream where it is not known and only one can have.
///
/// # Errors
///
/// Returns the refusal if several builds served within the longest life of a stream, or none did.
pub fn resolve(t: &Tables, now: Time, service: usize, new: &mut NewRequest) -> Result<(), Verdict> {
    if new.stream_origin != StreamOrigin::Unknown {
        return Ok(());
    }
    let declared = &t.services.get(service).declared;
    let life = declared.timeout().map(|limit| limit * STREAM_LIFE_FACTOR);
    let since = now.saturating_sub(life.unwrap_or(DEFAULT_STREAM_LIFE));
    let pool = declared.pick_pool(new.draw);
    let mut seen = builds_since(t, pool, since);
    match (seen.next(), seen.next()) {
        (Some(build), None) => {
            new.stream_origin = StreamOrigin::Known(Arc::new(build.clone()));
            Ok(())
        }
        _ => Err(Verdict {
            outcome: Outcome::NotRun,
            reason: Reason::VersionUnknown,
            retry_after: Some(UNKNOWN_RETRY),
        }),
    }
}

/// Iterates over the builds of a pool, or of all pools, that served at any time since `since`.
fn builds_since<'a>(
    t: &'a Tables,
    pool: Option<&'a PoolId>,
    since: Time,
) -> impl Iterator<Item = &'a Build> {
    let in_pool = move |build: &&Build| pool.is_none_or(|pool| *pool == build.pool);
    let seen = t.builds_seen.iter().filter(move |(build, last)| {
        **last >= since
            || t.endpoints
                .iter()
                .any(|(_, e)| e.present && build.is_of(&e.declared))
    });
    seen.map(|(build, _)| build).filter(in_pool)
}
