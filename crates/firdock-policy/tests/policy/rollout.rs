//! Roll-outs: which requests get the new version, when all traffic moves, and what rolls it back.
//!
//! The load is 100 requests a second on a pool of twelve engines in one availability zone, beside as many
//! engines of the new version, over an order of 12 s: enough for significant counts, short enough for a test.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::{Catalog, Endpoint, Resource, Rollout};
use firdock_core::settings::Rollouts;
use firdock_policy::event::{DispatchUpdate, GroupEvidence, PeerUpdate};
use firdock_policy::rollout::{Evidence, RolloutRecord, RolloutStatus, Stage};
use firdock_policy::{Action, Event, PolicySettings};
use proptest::prelude::*;

use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::{dispatched, id, millis};

/// Engines of each version.
const ENGINES: usize = 12;
const OLD: &str = "v1";
const NEW: &str = "v2";
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
const ROLLOUT_TIME: Duration = Duration::from_secs(12);

fn engine(name: &str, version: &str) -> Resource {
    Resource::Endpoint(Endpoint {
        name: name.to_owned(),
        pool: "pool".to_owned(),
        version: version.to_owned(),
        slots: 100,
        ..Endpoint::default()
    })
}

fn order(version: &str, order: u64) -> Rollout {
    Rollout {
        pool: "pool".to_owned(),
        version: version.to_owned(),
        time_millis: ROLLOUT_TIME.as_millis() as u64,
        order,
    }
}

/// A configuration with engines of both versions and the given orders.
fn catalog(old: usize, new: usize, orders: &[Rollout]) -> Event {
    let mut all = resources();
    all.retain(|r| !matches!(r, Resource::Endpoint(_)));
    all.extend((0..old).map(|n| engine(&format!("old-{n}"), OLD)));
    all.extend((0..new).map(|n| engine(&format!("new-{n}"), NEW)));
    let mut catalog = Catalog::new(1).with_resources(all);
    catalog.rollouts = orders.to_vec();
    Event::Config(Arc::new(catalog))
}

fn rollout_settings() -> PolicySettings {
    let mut settings = edge_settings("a");
    settings.max_held = 100_000;
    settings.rollouts = Rollouts {
        exposure_ratio: 0.1,
        exposure_slack: 50.0,
    };
    settings
}

/// The instance that decides on the site's roll-outs, with engines of the old version only.
struct RolloutSite {
    edge: EdgeScheduler,
    next: u64,
    sent: u64,
    exposed: u64,
    records: Vec<RolloutRecord>,
}

impl RolloutSite {
    fn new() -> Self {
        let mut edge = EdgeScheduler::new(rollout_settings(), resources());
        edge.step(catalog(ENGINES, 0, &[]));
        edge.step(Event::Decides(true));
        Self {
            edge,
            next: 1,
            sent: 0,
            exposed: 0,
            records: Vec::new(),
        }
    }

    /// Orders the roll-out; the engines of the new version are listed at once.
    fn ordered() -> Self {
        let mut site = Self::new();
        site.edge.step(catalog(ENGINES, ENGINES, &[order(NEW, 7)]));
        site
    }

    fn record_actions(&mut self, actions: &[Action]) {
        let records = actions.iter().filter_map(|a| match a {
            Action::Record(record) => Some(record.clone()),
            _ => None,
        });
        self.records.extend(records);
    }

    /// Sends a request; returns its number and the engine that it was dispatched to.
    fn send(&mut self, service: &str) -> Option<(u64, String)> {
        let n = self.next;
        self.next += 1;
        let actions = self.edge.arrive(request(n, service, "free"));
        let (_, engine) = dispatched(&actions).pop()?;
        self.sent += 1;
        self.exposed += u64::from(engine.starts_with("new"));
        Some((n, engine))
    }

    /// Sends the requests of a second, each answered at once; `bad` tells which fail on the new version.
    fn run_second(&mut self, bad: impl Fn(u64, &str) -> bool) {
        for _ in 0..100 {
            self.edge.now += REQUEST_INTERVAL;
            let fresh = Event::ConfigConfirmed(self.edge.now);
            self.edge.step(fresh);
            let actions = self.edge.step(Event::Timer);
            self.record_actions(&actions);
            let service = if self.next.is_multiple_of(4) {
                "once"
            } else {
                "safe"
            };
            let Some((n, engine)) = self.send(service) else {
                continue;
            };
            if engine.starts_with("new") && bad(n, service) {
                self.edge.update_dispatch(n, 1, DispatchUpdate::Failed);
            }
            self.edge.end(n);
        }
    }

    fn stage(&self) -> Stage {
        let rollouts = &self.edge.scheduler.tables().rollouts;
        rollouts.of("pool").expect("a roll-out").stage
    }

    fn record(&mut self, stage: Stage) {
        let record = RolloutRecord {
            pool: "pool".to_owned(),
            order: 7,
            version: NEW.to_owned(),
            stage,
            age: Duration::ZERO,
            reason: String::new(),
        };
        self.edge.step(Event::Recorded(record));
    }
}

fn peer_status(stage: Stage, age: Duration) -> Event {
    Event::Rollout(RolloutStatus {
        pool: "pool".to_owned(),
        order: 7,
        stage,
        age,
        ratio: 0.0,
    })
}

#[test]
fn a_good_version_gets_few_requests_until_the_end_and_then_all() {
    let mut site = RolloutSite::ordered();
    for second in 1..=11 {
        site.run_second(|_, _| false);
        let max_exposed = 0.08 * site.sent as f64 + 25.0;
        assert!(
            (site.exposed as f64) < max_exposed,
            "{} in second {second}",
            site.exposed
        );
    }
    assert!(
        site.exposed > 20,
        "the version gets requests: {}",
        site.exposed
    );
    site.run_second(|_, _| false);
    let last = site.records.last().expect("a record");
    assert_eq!(last.stage, Stage::Completed);
    assert!(last.age < ROLLOUT_TIME, "{:?}", last.age);
    let max_exposed = 0.1 * site.sent as f64 + 50.0;
    assert!(
        (site.exposed as f64) < max_exposed,
        "{} of {}",
        site.exposed,
        site.sent
    );
}

#[test]
fn an_order_is_recorded_as_watching_as_soon_as_it_is_known() {
    let mut site = RolloutSite::ordered();
    site.run_second(|_, _| false);
    assert_eq!(site.records[0].stage, Stage::Watching);
    assert_eq!((site.records[0].order, &*site.records[0].version), (7, NEW));
    assert_eq!(site.records.len(), 1, "a record is requested once");
}

#[test]
fn a_version_that_fails_gets_no_more_requests_and_is_rolled_back() {
    let mut site = RolloutSite::ordered();
    while site.stage() == Stage::Watching {
        site.run_second(|n, _| n.is_multiple_of(2));
        assert!(site.sent < 1_200, "its failures were not detected");
    }
    let exposed = site.exposed;
    assert_eq!(
        site.records.last().expect("a record").stage,
        Stage::RolledBack
    );
    assert!(!site.records.last().expect("a record").reason.is_empty());
    site.run_second(|_, _| true);
    assert_eq!(site.exposed, exposed);
    site.record(Stage::RolledBack);
    site.run_second(|_, _| true);
    assert_eq!(site.exposed, exposed);
}

#[test]
fn a_version_that_fails_the_requests_of_one_service_is_detected() {
    let mut site = RolloutSite::ordered();
    for _ in 0..11 {
        site.run_second(|n, service| service == "once" && n.is_multiple_of(8));
    }
    assert_eq!(site.stage(), Stage::Halted, "{} tried", site.exposed);
}

#[test]
fn a_version_that_starts_to_fail_later_is_detected() {
    let mut site = RolloutSite::ordered();
    for second in 0..11 {
        site.run_second(|n, _| second >= 6 && n.is_multiple_of(2));
    }
    assert_eq!(site.stage(), Stage::Halted, "{} tried", site.exposed);
}

#[test]
fn a_single_failing_endpoint_does_not_halt_its_version() {
    let mut site = RolloutSite::ordered();
    for _ in 0..8 {
        // Only requests on the first of at most two canaries fail.
        let canary = site
            .edge
            .scheduler
            .tables()
            .rollouts
            .of("pool")
            .and_then(|r| r.canaries.first().copied());
        for _ in 0..100 {
            site.edge.now += REQUEST_INTERVAL;
            let fresh = Event::ConfigConfirmed(site.edge.now);
            site.edge.step(fresh);
            let actions = site.edge.step(Event::Timer);
            site.record_actions(&actions);
            let Some((n, engine)) = site.send("safe") else {
                continue;
            };
            let t = site.edge.scheduler.tables();
            if canary.is_some() && t.endpoints.find(&engine) == canary && n.is_multiple_of(2) {
                site.edge.update_dispatch(n, 1, DispatchUpdate::Failed);
            }
            site.edge.end(n);
        }
    }
    assert_ne!(site.stage(), Stage::Halted);
}

#[test]
fn only_the_instance_that_decides_halts_a_version() {
    let mut site = RolloutSite::ordered();
    site.edge.step(Event::Decides(false));
    for _ in 0..12 {
        site.run_second(|n, _| n.is_multiple_of(2));
    }
    assert_eq!(site.stage(), Stage::Watching);
    assert!(site.records.is_empty());
    site.edge.step(peer_status(Stage::Halted, Duration::ZERO));
    assert_eq!(site.stage(), Stage::Halted);
    let exposed = site.exposed;
    site.run_second(|_, _| false);
    assert_eq!(site.exposed, exposed, "a peer's status stops it as well");
}

#[test]
fn evidence_of_other_instances_counts() {
    let mut site = RolloutSite::ordered();
    let mut seen = Evidence::new("pool".to_owned(), 7);
    seen.sent = 1_000;
    seen.exposed = 40;
    for _ in 0..200 {
        seen.tally("safe", "").record_answer(1.0);
    }
    for endpoint in ["new-0", "new-1", "new-2"] {
        for _ in 0..5 {
            seen.tally("safe", endpoint).record_answer(1.0);
            seen.tally("safe", endpoint).failed += 1;
        }
    }
    let far = GroupEvidence {
        zone: "far".to_owned(),
        seen: vec![seen.clone()],
    };
    site.edge.step(Event::PeersKnown(0));
    // All instances are one group here, so that evidence of other groups is not counted.
    site.edge.step(Event::GroupEvidence(far));
    site.edge.advance(millis(100));
    assert_eq!(site.stage(), Stage::Watching);
    site.edge.step(Event::Peer(PeerUpdate {
        name: "b".to_owned(),
        seen: vec![seen],
        ..PeerUpdate::default()
    }));
    site.edge.advance(millis(100));
    assert_eq!(site.stage(), Stage::Halted);
}

#[test]
fn the_age_of_an_order_is_taken_from_a_peer_that_knew_it_earlier() {
    let mut site = RolloutSite::ordered();
    site.edge
        .step(peer_status(Stage::Watching, Duration::from_secs(11)));
    site.run_second(|_, _| false);
    site.run_second(|_, _| false);
    let last = site.records.last().expect("a record");
    assert_eq!(last.stage, Stage::Completed, "{last:?}");
}

#[test]
fn a_recorded_final_stage_is_kept() {
    for (recorded, other) in [
        (Stage::Completed, Stage::Halted),
        (Stage::Completed, Stage::RolledBack),
        (Stage::RolledBack, Stage::Completed),
    ] {
        let mut site = RolloutSite::ordered();
        site.record(recorded);
        site.edge.step(peer_status(other, Duration::ZERO));
        site.record(other);
        assert_eq!(site.stage(), recorded);
        let exposed = site.exposed;
        site.run_second(|_, _| false);
        let all = site.exposed - exposed;
        assert_eq!(all, if recorded == Stage::Completed { 100 } else { 0 });
    }
}

#[test]
fn traffic_does_not_move_while_the_new_version_has_too_few_endpoints() {
    let mut site = RolloutSite::new();
    site.edge.step(catalog(ENGINES, 3, &[order(NEW, 7)]));
    for _ in 0..14 {
        site.run_second(|_, _| false);
    }
    assert_eq!(site.stage(), Stage::Watching);
    site.edge.step(catalog(ENGINES, ENGINES, &[order(NEW, 7)]));
    site.run_second(|_, _| false);
    assert_eq!(
        site.stage(),
        Stage::Moving,
        "it moves late instead of never"
    );
}

#[test]
fn endpoints_of_a_new_version_get_nothing_until_no_order_can_be_missing() {
    let mut site = RolloutSite::new();
    site.run_second(|_, _| false);
    site.edge.step(catalog(ENGINES, 3, &[]));
    for _ in 0..50 {
        site.edge.now += REQUEST_INTERVAL;
        let sent = site.send("safe").expect("it is sent");
        assert!(sent.1.starts_with("old"), "{}", sent.1);
        site.edge.end(sent.0);
    }
    // Without an order by then, they count like any other: send more requests than the old ones have slots.
    let fresh = Event::ConfigConfirmed(site.edge.now);
    site.edge.step(fresh);
    for _ in 0..100 * (ENGINES + 1) {
        site.send("safe");
    }
    assert!(site.exposed > 0);
}

#[test]
fn an_order_read_again_changes_nothing_and_a_later_one_starts_again() {
    let mut site = RolloutSite::ordered();
    site.record(Stage::RolledBack);
    site.edge.step(catalog(ENGINES, ENGINES, &[order(NEW, 7)]));
    assert_eq!(site.stage(), Stage::RolledBack);
    site.edge.step(catalog(ENGINES, ENGINES, &[order(NEW, 9)]));
    assert_eq!(site.stage(), Stage::Watching);
    site.run_second(|_, _| false);
    site.run_second(|_, _| false);
    assert!(site.exposed > 0, "a later order tries the version again");
}

#[test]
fn an_order_of_the_old_version_moves_the_traffic_back_at_once() {
    let mut site = RolloutSite::ordered();
    site.run_second(|_, _| false);
    site.edge.step(catalog(ENGINES, ENGINES, &[order(OLD, 9)]));
    let exposed = site.exposed;
    site.run_second(|_, _| false);
    assert_eq!(site.exposed, exposed);
    assert_eq!(
        site.records.last().expect("a record").stage,
        Stage::Completed
    );
}

#[test]
fn an_order_of_a_third_version_leaves_the_second_without_requests() {
    let mut site = RolloutSite::ordered();
    site.run_second(|_, _| false);
    site.edge.step(catalog(ENGINES, ENGINES, &[order("v3", 9)]));
    let exposed = site.exposed;
    // More requests than the first version's engines have slots.
    for _ in 0..100 * (ENGINES + 1) {
        site.send("safe");
    }
    assert_eq!(
        site.exposed, exposed,
        "there is no evidence for the second version"
    );
}

#[test]
fn an_order_of_the_version_that_all_endpoints_have_is_completed() {
    let mut site = RolloutSite::new();
    site.edge.step(catalog(ENGINES, 0, &[order(OLD, 7)]));
    for _ in 0..5 {
        site.run_second(|_, _| false);
    }
    assert_eq!(
        site.records.last().expect("a record").stage,
        Stage::Completed
    );
}

#[test]
fn a_placement_on_a_halted_version_is_not_used() {
    let mut site = RolloutSite::ordered();
    site.edge.step(Event::Coordinated(true));
    site.edge.arrive(request(1, "once", "free"));
    site.edge.step(peer_status(Stage::Halted, Duration::ZERO));
    let grant = firdock_policy::event::Grant {
        id: id(1),
        endpoint: "new-0".to_owned(),
        predicted: millis(0),
        permitted: false,
    };
    let actions = site.edge.step(Event::Granted(grant));
    assert!(dispatched(&actions).is_empty());
}

proptest! {
    /// Guards against a process that ends since peers report more than their counters hold together.
    #[test]
    fn no_counts_of_peers_overflow(counts in prop::collection::vec((any::<u64>(), any::<u32>()), 1..6)) {
        let mut sum = Evidence::new("pool".to_owned(), 7);
        for (sent, answers) in &counts {
            let mut seen = Evidence::new("pool".to_owned(), 7);
            (seen.sent, seen.exposed) = (*sent, *sent);
            seen.tally("a", "").bins = vec![*answers; 3];
            sum.add(&seen);
        }
        let most = counts.iter().map(|(sent, _)| *sent).max();
        prop_assert!(Some(sum.sent) >= most && Some(sum.exposed) >= most);
        let answers = sum.tally("a", "").clone();
        let most = counts.iter().map(|(_, answers)| *answers).max();
        prop_assert!(Some(answers.whole()) >= most && Some(answers.count_from_bin(1)) >= most);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Whatever share of its requests a version fails and from when on, it never exceeds its allowance.
    #[test]
    fn a_bad_version_never_exceeds_its_allowance(
        spoiled in 0.0..1.0_f64,
        from in 0..12_u64,
        ratio in 0.05..0.2_f64,
        slack in 0.0..80.0_f64,
    ) {
        let mut settings = rollout_settings();
        settings.rollouts = Rollouts { exposure_ratio: ratio, exposure_slack: slack };
        let mut site = RolloutSite::new();
        site.edge = EdgeScheduler::new(settings, resources());
        site.edge.step(catalog(ENGINES, 0, &[]));
        site.edge.step(Event::Decides(true));
        site.edge.step(catalog(ENGINES, ENGINES, &[order(NEW, 7)]));
        for second in 0..12 {
            let every = (1.0 / spoiled.max(0.01)) as u64;
            site.run_second(|n, _| second >= from && n.is_multiple_of(every.max(1)));
        }
        let max_exposed = ratio * site.sent as f64 + slack + 1.0;
        prop_assert!(site.exposed as f64 <= max_exposed, "{} of {}, {max_exposed}", site.exposed, site.sent);
    }
}

/// Guards against an engine that counts as a canary of a roll-out, since it got the row of one that left.
#[test]
fn an_engine_that_gets_the_row_of_a_canary_is_none() {
    let mut site = RolloutSite::ordered();
    site.run_second(|_, _| false);
    site.edge.step(catalog(ENGINES, 0, &[order(NEW, 7)]));
    let more = ENGINES + 4;
    site.edge.step(catalog(more, 0, &[order(NEW, 7)]));
    let t = site.edge.scheduler.tables();
    let canaries = &t.rollouts.of("pool").expect("a roll-out").canaries;
    let names = canaries
        .iter()
        .map(|at| &t.endpoints.get(*at).declared.name);
    assert_eq!(names.collect::<Vec<_>>(), Vec::<&String>::new());
}
