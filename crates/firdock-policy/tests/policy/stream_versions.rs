//! Streams while endpoints of several software versions serve side by side.
//!
//! The judge knows nothing of how endpoints are chosen: it keeps the versions whose events one caller holds, over all
//! attempts that continue one stream, and each may hold those of one version.

mod falls;
mod restarts;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use firdock_core::resource::{Catalog, Endpoint, Resource, Service};
use firdock_core::{Outcome, Reason, SoftwareVersion};
use firdock_policy::event::DispatchUpdate;
use firdock_policy::request::{Build, StreamOrigin};
use firdock_policy::table::build_history::ServedBuild;
use firdock_policy::{Action, Event, NewRequest, Time};
use proptest::prelude::*;

use crate::edge::{EdgeScheduler, edge_settings, request, resources, verdict};
use crate::fixtures::{dispatched, millis};

const VERSIONS: [&str; 3] = ["v1", "v1.1", ""];
/// Endpoints of each version.
const ENDPOINTS: usize = 2;

fn engine(name: &str, version: &str, slots: u32) -> Resource {
    Resource::Endpoint(Endpoint {
        name: name.to_owned(),
        pool: "pool".to_owned(),
        version: version.to_owned(),
        slots,
        ..Endpoint::default()
    })
}

fn stream_service() -> Resource {
    let mut all = resources().into_iter();
    let safe = all.find_map(|r| match r {
        Resource::Service(s) if s.name == "safe" => Some(s),
        _ => None,
    });
    Resource::Service(Service {
        name: "stream".to_owned(),
        streamed: true,
        resumable: true,
        attempts: 0,
        ..safe.expect("the service")
    })
}

/// Returns the resources with these endpoints: name, version, slots.
fn resources_with(endpoints: &[(String, &str, u32)]) -> Vec<Resource> {
    let mut all = resources();
    all.retain(|r| !matches!(r, Resource::Endpoint(_)));
    all.push(stream_service());
    all.extend(endpoints.iter().map(|(n, v, slots)| engine(n, v, *slots)));
    all
}

fn catalog(endpoints: &[(String, &str, u32)]) -> Event {
    let catalog = Catalog::new(1).with_resources(resources_with(endpoints));
    Event::Config(Arc::new(catalog))
}

fn endpoints_of(versions: &[&'static str], slots: u32) -> Vec<(String, &'static str, u32)> {
    let of_version = |version: &&'static str| {
        (0..ENDPOINTS)
            .map(|n| (format!("e-{version}-{n}"), *version, slots))
            .collect::<Vec<_>>()
    };
    versions.iter().flat_map(of_version).collect()
}

fn edge_with(endpoints: &[(String, &str, u32)]) -> EdgeScheduler {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources_with(endpoints));
    // Versions that are rare in their pool are used once a later configuration is known.
    edge.now += millis(10);
    edge.step(Event::ConfigConfirmed(edge.now));
    edge
}

fn known(version: &str) -> StreamOrigin {
    StreamOrigin::Known(Arc::new(Build {
        pool: "pool".to_owned(),
        version: version.to_owned(),
    }))
}

fn continuing(n: u64, origin: StreamOrigin) -> NewRequest {
    NewRequest {
        stream_origin: origin,
        ..request(n, "stream", "free")
    }
}

/// Returns the version of an endpoint by its name.
fn version_of(endpoint: &str) -> SoftwareVersion {
    let (rest, _) = endpoint.rsplit_once('-').expect("a number");
    rest.strip_prefix("e-").expect("a prefix").to_owned()
}

/// Guards against a queue that stands still since its first request waits for a version whose endpoints are full.
#[test]
fn a_stream_that_waits_for_its_version_holds_back_no_other_request() {
    let endpoints = [
        ("e-v1-0".to_owned(), "v1", 1),
        ("e-v2-0".to_owned(), "v2", 3),
    ];
    let mut edge = edge_with(&endpoints);
    assert_eq!(
        dispatched(&edge.arrive(continuing(1, known("v1")))).len(),
        1
    );
    assert!(dispatched(&edge.arrive(continuing(2, known("v1")))).is_empty());
    let sent = dispatched(&edge.arrive(request(3, "stream", "free")));
    assert_eq!(sent[0].1, "e-v2-0", "{sent:?}");
    edge.update_dispatch(1, 1, DispatchUpdate::Refused { unreachable: false });
}

/// Guards against a stream that is sent anywhere, or waits in vain, after the last endpoint of its version left.
#[test]
fn a_stream_whose_version_has_left_is_refused_at_once() {
    let mut edge = edge_with(&endpoints_of(&["v1"], 2));
    edge.step(catalog(&endpoints_of(&["v1.1"], 2)));
    let actions = edge.arrive(continuing(1, known("v1")));
    assert_eq!(
        verdict(&actions),
        Some((Outcome::NotRun, Reason::VersionGone))
    );
}

/// Guards against a guess by the versions that serve now, while one that served lately may have begun the stream.
#[test]
fn a_stream_that_is_not_known_is_refused_while_another_version_may_have_begun_it() {
    let mut edge = edge_with(&endpoints_of(&["v1"], 2));
    assert_eq!(
        dispatched(&edge.arrive(continuing(1, StreamOrigin::Unknown))).len(),
        1
    );
    edge.now += millis(1_000);
    edge.step(catalog(&endpoints_of(&["v1.1"], 2)));
    edge.step(Event::ConfigConfirmed(edge.now));
    let actions = edge.arrive(continuing(2, StreamOrigin::Unknown));
    assert_eq!(
        verdict(&actions),
        Some((Outcome::NotRun, Reason::VersionUnknown))
    );
    // Twice the service's time limit of 5 s later, no caller continues a stream of the earlier version.
    edge.now += millis(10_001);
    edge.step(Event::ConfigConfirmed(edge.now));
    assert_eq!(
        dispatched(&edge.arrive(continuing(3, StreamOrigin::Unknown))).len(),
        1
    );
}

/// Starts an instance that learns from the store what served before, with endpoints of these versions.
fn started_with(versions: &[&'static str]) -> EdgeScheduler {
    started_at(millis(100_000), versions)
}

fn started_at(now: Time, versions: &[&'static str]) -> EdgeScheduler {
    let settings = edge_settings("a").with_recorded_builds();
    let resources = resources_with(&endpoints_of(versions, 2));
    let mut edge = EdgeScheduler::started_at(now, settings, resources);
    edge.step(Event::PeersKnown(0));
    edge
}

fn served(version: &str, ended: Option<Time>) -> ServedBuild {
    ServedBuild {
        build: Build {
            pool: "pool".to_owned(),
            version: version.to_owned(),
        },
        ended,
    }
}

/// Returns the endpoint to which a stream that no instance knows is sent, or the verdict on it.
fn continue_unknown(edge: &mut EdgeScheduler, n: u64) -> Result<String, Option<(Outcome, Reason)>> {
    edge.step(Event::ConfigConfirmed(edge.now));
    let actions = edge.arrive(continuing(n, StreamOrigin::Unknown));
    let sent = dispatched(&actions).into_iter().next();
    sent.map(|(_, endpoint, ..)| endpoint)
        .ok_or_else(|| verdict(&actions))
}

const UNKNOWN: Result<String, Option<(Outcome, Reason)>> =
    Err(Some((Outcome::NotRun, Reason::VersionUnknown)));

/// Guards against a guess by an instance that has just started and does not know what served before.
#[test]
fn no_version_is_inferred_until_it_is_known_what_served_before_the_start() {
    let mut edge = started_with(&["v1"]);
    assert_eq!(continue_unknown(&mut edge, 1), UNKNOWN);
    edge.step(Event::BuildsRecorded(vec![served("v1", None)]));
    continue_unknown(&mut edge, 2).expect("it goes on");
}

/// Guards against a refusal for ever while the store cannot be read: no stream outlives twice its time limit of 5 s.
#[test]
fn a_version_is_inferred_once_it_alone_has_served_for_the_life_of_a_stream() {
    let mut edge = started_with(&["v1"]);
    edge.now += millis(9_999);
    assert_eq!(continue_unknown(&mut edge, 1), UNKNOWN);
    edge.now += millis(1);
    continue_unknown(&mut edge, 2).expect("it goes on");
}

/// Guards against a version that served until all instances fell, and is not taken into account after it.
#[test]
fn a_version_that_served_before_the_start_counts_for_the_life_of_a_stream() {
    let mut edge = started_with(&["v1.1"]);
    edge.step(Event::BuildsRecorded(vec![served("v1", None)]));
    assert_eq!(continue_unknown(&mut edge, 1), UNKNOWN);
    edge.now += millis(10_001);
    continue_unknown(&mut edge, 2).expect("it goes on");

    let mut edge = started_with(&["v1.1"]);
    let ended = edge.now.saturating_sub(millis(10_001));
    edge.step(Event::BuildsRecorded(vec![
        served("v1", Some(ended)),
        served("v1.1", None),
    ]));
    continue_unknown(&mut edge, 1).expect("it goes on");
}

/// Guards against a record that replaces the one of an earlier instance before that was read.
#[test]
fn builds_are_recorded_together_with_those_of_before_the_start() {
    let recorded = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::RecordBuilds(builds) => Some(builds.clone()),
            _ => None,
        })
    };
    let mut edge = started_with(&["v1.1"]);
    assert_eq!(
        recorded(&edge.step(catalog(&endpoints_of(&["v1.1", ""], 2)))),
        None
    );
    let actions = edge.step(Event::BuildsRecorded(vec![served("v1", None)]));
    let all = vec![
        served("", None),
        served("v1", Some(edge.now)),
        served("v1.1", None),
    ];
    assert_eq!(recorded(&actions), Some(all));
    let actions = edge.step(catalog(&endpoints_of(&["v1.1"], 2)));
    let ended = Some(edge.now);
    let all = vec![served("", ended), served("v1", ended), served("v1.1", None)];
    assert_eq!(recorded(&actions), Some(all));
    let actions = edge.step(catalog(&endpoints_of(&["v1.1"], 2)));
    assert_eq!(recorded(&actions), None, "nothing has changed");
}

/// What happens to a request's present dispatch.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The first events reach the caller.
    Events,
    /// Its endpoint breaks off.
    Break,
    /// Its endpoint refuses.
    Refuse,
    /// The caller leaves and takes the stream up with a new attempt, as the one that began it.
    Return,
    /// The same, at an instance that does not know the stream.
    ReturnUnknown,
    /// The endpoints of a version leave.
    Remove(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Events),
        3 => Just(Step::Break),
        1 => Just(Step::Refuse),
        2 => Just(Step::Return),
        1 => Just(Step::ReturnUnknown),
        1 => (0..VERSIONS.len()).prop_map(Step::Remove),
    ]
}

/// The judge: versions whose events a caller holds, and the one that began its stream.
#[derive(Default)]
struct Held {
    versions: BTreeSet<SoftwareVersion>,
    first: Option<SoftwareVersion>,
}

proptest! {
    /// Guards against any sequence of breaks, refusals, returns and releases that joins events of two versions.
    #[test]
    fn no_caller_holds_events_of_two_versions(
        count in 1_usize..=VERSIONS.len(),
        streams in prop::collection::vec((0_usize..6, step()), 1..60),
    ) {
        let mut present: Vec<&'static str> = VERSIONS[..count].to_vec();
        let mut edge = edge_with(&endpoints_of(&present, 2));
        let mut held: BTreeMap<usize, Held> = BTreeMap::new();
        // The present attempt of each caller, and its dispatch.
        let mut attempts: BTreeMap<usize, u64> = BTreeMap::new();
        let mut sent: BTreeMap<u64, (u32, String)> = BTreeMap::new();
        let mut started: BTreeSet<(u64, u32)> = BTreeSet::new();
        let mut next = 1;
        let record = |sent: &mut BTreeMap<u64, (u32, String)>, actions: &[Action]| {
            for action in actions {
                if let Action::Dispatch(d) = action {
                    sent.insert(d.id.as_u128() as u64, (d.dispatch, d.endpoint.clone()));
                }
            }
        };
        for (caller, step) in streams {
            edge.now += millis(20);
            edge.step(Event::ConfigConfirmed(edge.now));
            let first = held.entry(caller).or_default().first.clone();
            let attempt = attempts.get(&caller).copied();
            let dispatch = attempt.and_then(|a| sent.get(&a).cloned());
            let actions = match (step, attempt, dispatch) {
                (Step::Remove(n), ..) => {
                    if present.len() > 1 {
                        present.retain(|v| *v != VERSIONS[n]);
                    }
                    edge.step(catalog(&endpoints_of(&present, 2)))
                }
                (Step::Events, Some(a), Some((d, endpoint))) => {
                    let mut out = Vec::new();
                    if started.insert((a, d)) {
                        let update = DispatchUpdate::Started { head_sent: true };
                        out.extend(edge.update_dispatch(a, d, update));
                    }
                    let update = DispatchUpdate::Tokens { delivered: 1, cached: 0 };
                    out.extend(edge.update_dispatch(a, d, update));
                    let version = version_of(&endpoint);
                    let held = held.entry(caller).or_default();
                    held.versions.insert(version.clone());
                    held.first.get_or_insert(version);
                    prop_assert!(held.versions.len() == 1, "{:?}", held.versions);
                    out
                }
                (Step::Break, Some(a), Some((d, _))) => {
                    sent.remove(&a);
                    edge.update_dispatch(a, d, DispatchUpdate::Broke { delivered: 0 })
                }
                (Step::Refuse, Some(a), Some((d, _))) if first.is_none() => {
                    sent.remove(&a);
                    edge.update_dispatch(a, d, DispatchUpdate::Refused { unreachable: false })
                }
                _ => {
                    let mut out = match attempt {
                        Some(a) => edge.step(Event::CallerLeft(crate::fixtures::id(a))),
                        None => Vec::new(),
                    };
                    let origin = match (&first, step) {
                        (None, _) => StreamOrigin::New,
                        (Some(_), Step::ReturnUnknown) => StreamOrigin::Unknown,
                        (Some(version), _) => known(version),
                    };
                    attempts.insert(caller, next);
                    out.extend(edge.arrive(continuing(next, origin)));
                    next += 1;
                    out
                }
            };
            record(&mut sent, &actions);
        }
    }
}
