//! Endpoints whose entry may be out of date without any sign of it: after the start of the instance, and while no entries
//! are read.

use firdock_policy::event::{WatchChange, WatchUpdate};
use firdock_policy::request::{Build, StreamStart};

use super::*;

/// Time without entries after which the last one shows nothing.
const OUTAGE: Duration = Duration::from_secs(5);

/// An endpoint restarts with the second version while this instance does not run, and its old entry is read.
fn restart_before_instance(world: &mut World, endpoint: usize) {
    let began = world.edge.now.saturating_sub(millis(200));
    world.serving[endpoint] = Start {
        version: "v2",
        began,
    };
}

/// No entries are read for a time, as while the store is away.
fn pass_without_entries(world: &mut World) {
    world.pass(OUTAGE / 2);
    world.pass(OUTAGE / 2);
}

/// Begins a stream at an endpoint that is the first one it is sent to, and returns its request.
fn begin_first_at(world: &mut World, endpoint: usize) -> u64 {
    for n in 100..200 {
        world.arrive(n, StreamOrigin::New);
        if world.sent[&n].0 == endpoint {
            world.first_event(n);
            return n;
        }
    }
    panic!("no stream is sent to {endpoint}");
}

/// A record of a stream at an endpoint, as another instance told it.
fn told(world: &World, endpoint: usize, unconfirmed: bool) -> StreamOrigin {
    let declared = declared(endpoint, world.listed[endpoint]);
    StreamOrigin::Started(Arc::new(StreamStart {
        build: Build::of(&declared),
        start: declared.start_id(),
        sent: world.edge.now,
        unconfirmed,
    }))
}

/// Worlds in which the entry of endpoint 1 is out of date, and its process has the second version: the instance has just
/// started, or the store is away.
fn worlds_with_old_entry() -> [World; 2] {
    let mut started = World::started(2);
    restart_before_instance(&mut started, 1);
    let mut cut_off = World::new(2);
    cut_off.restart(1, "v2");
    pass_without_entries(&mut cut_off);
    [started, cut_off]
}

/// Guards against a stream that goes on at the version of an old entry, within one answer and by a take-up, where the
/// instance that began it has just started or cannot read entries.
#[test]
fn a_stream_that_began_at_an_old_entry_is_not_of_its_version() {
    for mut world in worlds_with_old_entry() {
        begin_at(&mut world, 10, 1);
        let origin = world.origin(10);
        world.pass(millis(100));
        assert!(sent_by(&world.break_off(10)).is_empty());
        let actions = check_liveness(&mut world, 1, Liveness::Open);
        assert!(sent_by(&actions).is_empty(), "{actions:?}");
        world.renew(0);
        let actions = world.arrive(30, origin);
        assert!(sent_by(&actions).is_empty(), "{actions:?}");
        // The entry of its start is read, and the next one shows that the process still serves.
        world.read();
        world.list(1);
        let sent = [10, 30].map(|n| world.sent.get(&n).map(|(at, _)| *at));
        assert_eq!(sent, [None, Some(1)], "the second attempt may go there");
    }
}

/// Guards against a stream that is taken for one of the old entry since the process that began it has ended as well.
#[test]
fn a_stream_of_a_start_that_ended_before_its_first_entry_is_of_no_version() {
    for mut world in worlds_with_old_entry() {
        let n = begin_first_at(&mut world, 1);
        let origin = world.origin(n);
        world.pass(millis(100));
        world.restart(1, "v1");
        let actions = check_liveness(&mut world, 1, Liveness::Ended);
        assert!(sent_by(&actions).is_empty(), "{actions:?}");
        world.read();
        world.list(1);
        world.renew_all();
        assert!(dispatched(&world.arrive(30, origin)).is_empty());
        assert!(world.is_waiting(n));
    }
}

/// Guards against a stream of the first version that goes on at an endpoint whose old entry names it.
#[test]
fn a_stream_does_not_go_on_at_an_endpoint_with_an_old_entry() {
    for mut world in worlds_with_old_entry() {
        world.renew(0);
        let origin = told(&world, 0, false);
        world.renew(0);
        let own = begin_first_at(&mut world, 0);
        world.renew(0);
        world.pass(millis(100));
        assert!(sent_by(&world.break_off(own)).is_empty());
        for n in 20..24 {
            let sent = sent_by(&world.arrive(n, origin.clone()));
            assert!(sent.iter().all(|(_, at, _)| *at == 0), "{sent:?}");
        }
    }
}

/// Guards against streams that are refused although their endpoint serves on, and against those that wait longer than until
/// its next entry.
#[test]
fn a_stream_goes_on_once_the_entries_of_an_instance_that_has_just_started_are_renewed() {
    let mut cut_off = World::new(2);
    pass_without_entries(&mut cut_off);
    for mut world in [World::started(2), cut_off] {
        let n = begin_first_at(&mut world, 1);
        world.pass(millis(100));
        assert!(sent_by(&world.break_off(n)).is_empty());
        world.renew(1);
        assert!(
            world.is_waiting(n),
            "the other endpoint may have another version"
        );
        assert_eq!(sent_by(&world.renew(0)), [(n, 0, 2)]);
    }
}

/// Guards against first tokens that wait for an entry.
#[test]
fn new_streams_wait_for_no_entry_where_none_are_read() {
    for mut world in worlds_with_old_entry() {
        let actions = world.arrive(10, StreamOrigin::New);
        assert_eq!(dispatched(&actions).len(), 1);
    }
}

/// Sets the time limit of all services.
fn set_time_limit(world: &mut World, limit: Duration) {
    let mut resources = resources_of(&world.listed);
    for resource in &mut resources {
        if let Resource::Service(service) = resource {
            service.timeout_millis = limit.as_millis() as u64;
        }
    }
    let catalog = Catalog::new(2).with_resources(resources);
    world.step(Event::Config(Arc::new(catalog)));
}

/// Guards against streams that are refused for the length of an outage, although an answer that began before it shows that
/// the process of the last entry serves on.
#[test]
fn a_stream_goes_on_during_an_outage_at_an_endpoint_with_an_answer_under_way() {
    let mut world = World::new(2);
    set_time_limit(&mut world, OUTAGE * 2);
    let own = begin_first_at(&mut world, 0);
    begin_at(&mut world, 10, 1);
    pass_without_entries(&mut world);
    assert_eq!(sent_by(&world.break_off(own)), [(own, 1, 2)]);
}

/// Guards against the word of a peer that had just started, or could not read entries.
#[test]
fn a_stream_that_a_peer_began_at_an_unproven_start_waits_for_an_entry() {
    let mut world = World::new(2);
    world.pass(MIN_LIFE);
    let proven = told(&world, 1, false);
    let unproven = told(&world, 1, true);
    world.pass(millis(100));
    assert_eq!(dispatched(&world.arrive(30, proven)).len(), 1);
    assert!(dispatched(&world.arrive(31, unproven)).is_empty());
    assert_eq!(sent_by(&world.renew(1)).len(), 1);
}

/// Guards against an entry that is believed although its process may have ended after it wrote it: a connection broke
/// between the last read and this one.
#[test]
fn the_first_entry_of_a_start_does_not_confirm_it_after_a_later_break() {
    let mut world = World::new(2);
    let origin = begin_after_unseen_restart(&mut world, 1, millis(200));
    let second = world.serving[1];
    world.restart(1, "v1");
    let third = std::mem::replace(&mut world.serving[1], second);
    world.list(1);
    world.serving[1] = third;
    let actions = world.arrive(30, origin);
    assert!(sent_by(&actions).is_empty(), "{actions:?}");
    world.list(1);
    assert!(world.is_waiting(30) || !world.sent.contains_key(&30));
}

/// The connections by which an endpoint is watched change.
fn watch(world: &mut World, endpoint: usize, change: WatchChange) -> Vec<Action> {
    let endpoint = format!("e-{endpoint}");
    world.step(Event::Watched(WatchUpdate { endpoint, change }))
}

/// An entry of an endpoint's listed start is read that was written after a time.
fn renew_after(world: &mut World, endpoint: usize, after: Time) {
    let start = declared(endpoint, world.listed[endpoint]).start_id();
    world.step(Event::EntriesRenewed(vec![RenewedEntry { start, after }]));
}

/// Guards against endpoints that are watched no longer, or twice.
#[test]
fn endpoints_are_watched_again_after_they_closed_their_connections() {
    let mut world = World::started(2);
    let is_watch = |a: &&Action| matches!(a, Action::Watch { .. });
    world.restart(1, "v2");
    let actions = world.list(1);
    assert_eq!(
        actions.iter().filter(is_watch).count(),
        0,
        "it is under way"
    );
    let actions = watch(&mut world, 1, WatchChange::Ended);
    assert_eq!(actions.iter().filter(is_watch).count(), 0);
    world.pass(millis(200));
    let actions = world.step(Event::Timer);
    assert_eq!(actions.iter().filter(is_watch).count(), 1);
}

/// Guards against streams of a whole site that go on at an endpoint whose process ended after it had written the entry that
/// an instance reads: nothing else was under way there, as all streams waited for that entry.
#[test]
fn an_entry_does_not_confirm_a_start_whose_watched_connections_have_closed() {
    for closes in [true, false] {
        let mut world = World::started(2);
        let opened = world.edge.now;
        watch(&mut world, 1, WatchChange::Opened(opened));
        world.pass(millis(300));
        let written = world.edge.now;
        world.pass(millis(100));
        if closes {
            let began = world.edge.now;
            world.serving[1] = Start {
                version: "v2",
                began,
            };
            watch(&mut world, 1, WatchChange::Closed);
        }
        let origin = told(&world, 1, false);
        world.pass(millis(100));
        renew_after(&mut world, 1, written);
        let sent = sent_by(&world.arrive(30, origin));
        assert_eq!(sent.is_empty(), closes, "{sent:?}");
    }
}

/// Guards against an entry that was written before the connection was opened, which another process may have accepted.
#[test]
fn an_entry_that_is_older_than_the_watched_connection_does_not_confirm_a_start() {
    let mut world = World::started(2);
    let after = world.edge.now;
    world.pass(millis(300));
    let opened = world.edge.now;
    watch(&mut world, 1, WatchChange::Opened(opened));
    watch(&mut world, 0, WatchChange::Opened(opened));
    let origin = told(&world, 1, false);
    world.pass(millis(100));
    renew_after(&mut world, 1, after);
    assert!(dispatched(&world.arrive(30, origin)).is_empty());
    assert_eq!(sent_by(&world.renew(1)).len(), 1);
}

/// Guards against a restart that nobody sees since nothing is under way at the endpoint.
#[test]
fn a_stream_does_not_go_on_at_an_idle_endpoint_whose_watched_connections_have_closed() {
    for closes in [true, false] {
        let mut world = World::new(2);
        let opened = world.edge.now;
        for endpoint in 0..2 {
            watch(&mut world, endpoint, WatchChange::Opened(opened));
        }
        let own = begin_first_at(&mut world, 0);
        leave(&mut world, 1);
        world.pass(millis(300));
        world.step(Event::Timer);
        if closes {
            world.restart(1, "v2");
            watch(&mut world, 1, WatchChange::Closed);
        }
        world.pass(millis(300));
        let sent = sent_by(&world.break_off(own));
        assert_eq!(sent.is_empty(), closes, "{sent:?}");
    }
}

/// Guards against a connection to the next process that is taken for one to the start of the entry, which ended soon after
/// it had begun.
#[test]
fn a_connection_that_follows_a_closed_one_is_not_of_a_start_that_had_begun_before() {
    for closes in [true, false] {
        let mut world = World::new(2);
        let opened = world.edge.now;
        for endpoint in 0..2 {
            watch(&mut world, endpoint, WatchChange::Opened(opened));
        }
        let own = begin_first_at(&mut world, 0);
        leave(&mut world, 1);
        world.pass(millis(100));
        world.restart(1, "v1");
        let second = world.serving[1];
        for is_last in [false, true] {
            if !is_last || closes {
                watch(&mut world, 1, WatchChange::Closed);
                world.pass(millis(150));
                let opened = world.edge.now;
                watch(&mut world, 1, WatchChange::Opened(opened));
                world.pass(millis(150));
            }
        }
        if closes {
            world.restart(1, "v2");
        }
        let last = std::mem::replace(&mut world.serving[1], second);
        world.list(1);
        world.serving[1] = last;
        pass_with_timer(&mut world, millis(500), &[]);
        let sent = sent_by(&world.break_off(own));
        assert_eq!(sent.is_empty(), closes, "{sent:?}");
    }
}

/// Guards against a connection to the next process that is taken for one to the start of the entry, as it was opened soon
/// after that had begun, by an instance that has just started and cannot know.
#[test]
fn an_instance_that_has_just_started_does_not_know_whom_it_connects_to_without_an_entry() {
    let mut world = World::new(2);
    world.restart(1, "v1");
    world.list(1);
    world.start_instance();
    world.renew(0);
    world.restart(1, "v2");
    let opened = world.edge.now;
    watch(&mut world, 1, WatchChange::Opened(opened));
    let own = begin_first_at(&mut world, 0);
    world.pass(millis(60));
    world.renew(0);
    assert!(sent_by(&world.break_off(own)).is_empty());
    assert!(world.is_waiting(own));
}

/// Guards against a process that is taken to have lived until its end was heard of by an instance that stood still.
#[test]
fn a_close_that_is_heard_of_late_does_not_show_how_long_the_process_lived() {
    let mut world = World::new(2);
    let opened = world.edge.now;
    watch(&mut world, 1, WatchChange::Opened(opened));
    world.pass(millis(2_500));
    watch(&mut world, 1, WatchChange::Closed);
    let t = world.edge.scheduler.tables();
    let at = t.endpoints.find("e-1").expect("it is listed");
    assert!(t.endpoints.get(at).confirmed_at <= opened);
}

/// Guards against streams that are refused while the store is away, and against endpoints that continue none for a while
/// after they broke off one answer: their connections show that they live.
#[test]
fn watched_endpoints_continue_streams_without_entries_and_after_single_breaks() {
    let mut world = World::new(2);
    set_time_limit(&mut world, OUTAGE * 4);
    let opened = world.edge.now;
    for endpoint in 0..2 {
        watch(&mut world, endpoint, WatchChange::Opened(opened));
    }
    pass_without_entries(&mut world);
    pass_without_entries(&mut world);
    let own = begin_first_at(&mut world, 0);
    begin_at(&mut world, 10, 1);
    pass_with_timer(&mut world, millis(300), &[]);
    world.break_off(10);
    pass_with_timer(&mut world, millis(300), &[]);
    assert_eq!(sent_by(&world.break_off(own)), [(own, 1, 2)]);
}

/// Guards against an instance that did not run, and takes connections for open whose end it has not heard of yet.
#[test]
fn watched_connections_confirm_nothing_right_after_an_instance_stood_still() {
    let mut world = World::new(2);
    let opened = world.edge.now;
    for endpoint in 0..2 {
        watch(&mut world, endpoint, WatchChange::Opened(opened));
    }
    world.pass(millis(2_500));
    world.step(Event::Timer);
    let t = world.edge.scheduler.tables();
    let at = t.endpoints.find("e-1").expect("it is listed");
    assert!(t.endpoints.get(at).confirmed_at <= opened);
}

/// Guards against a stream that nobody knows and that is inferred to be of the only version in entries which may be old.
#[test]
fn no_version_is_inferred_from_old_entries() {
    for mut world in worlds_with_old_entry() {
        let actions = world.arrive(30, StreamOrigin::Unknown);
        let reason = verdict(&actions).map(|(_, reason)| reason);
        assert_eq!(reason, Some(Reason::VersionUnknown));
    }
}

/// All instances fall, and one starts that knows what the store has recorded of the streams.
fn fall(world: &mut World, callers: &mut [Caller]) {
    world.start_instance();
    for caller in callers {
        caller.attempt = None;
        if let Some(StreamOrigin::Started(stream)) = &mut caller.origin {
            Arc::make_mut(stream).unconfirmed = true;
        }
    }
}

/// Restarts an endpoint, seen or not, unless nothing at all could tell of it: nothing is under way there, and its entry was
/// renewed shortly before.
fn restart_anywhere(world: &mut World, endpoint: usize, version: &'static str) {
    let t = world.edge.scheduler.tables();
    let at = t.endpoints.find(&format!("e-{endpoint}"));
    let row = t.endpoints.get(at.expect("it is listed"));
    if row.renewed_before(world.edge.now + MIN_LIFE) {
        restart(world, endpoint, version);
    } else {
        world.pass(MIN_LIFE);
        world.restart(endpoint, version);
    }
}

proptest! {
    /// Guards against any series of restarts, entries, outages, falls and breaks that joins events of two versions.
    #[test]
    fn no_caller_holds_events_of_two_versions_around_falls_and_outages(
        steps in prop::collection::vec((step(), 0..12_u32), 1..80),
    ) {
        let mut world = World::new(ENDPOINTS);
        let mut callers: Vec<Caller> = (0..CALLERS).map(|_| Caller::default()).collect();
        for (n, (step, trouble)) in steps.into_iter().enumerate() {
            world.pass(millis(1));
            match (trouble, step) {
                (0, _) => fall(&mut world, &mut callers),
                (1, _) => pass_without_entries(&mut world),
                (_, Step::Restart(endpoint, version)) => {
                    restart_anywhere(&mut world, endpoint, VERSIONS[version]);
                }
                _ => {
                    let holds = play(&mut world, &mut callers, 1 + n as u64, step);
                    prop_assert!(holds, "{callers:?}");
                }
            }
        }
    }

    /// Guards against mends that refuse what could go on: of streams whose start was proven, all that have an endpoint of
    /// their version go on.
    #[test]
    fn streams_go_on_after_falls_and_outages_once_entries_are_renewed(
        steps in prop::collection::vec((0..CALLERS, 0..4_u32), 1..40),
    ) {
        let mut world = World::new(ENDPOINTS);
        let mut callers: Vec<Caller> = (0..CALLERS).map(|_| Caller::default()).collect();
        for (n, (c, trouble)) in steps.into_iter().enumerate() {
            world.pass(millis(1));
            match trouble {
                0 => fall(&mut world, &mut callers),
                1 => pass_without_entries(&mut world),
                _ => {
                    call(&mut world, &mut callers[c], 1 + n as u64);
                    prop_assert!(first_event(&mut world, &mut callers[c]));
                }
            }
        }
        world.pass(millis(40_000));
        world.renew_all();
        for (n, caller) in callers.iter_mut().enumerate() {
            let n = 1_000 + n as u64;
            call(&mut world, caller, n);
            prop_assert!(world.sent.contains_key(&n), "{caller:?}");
            prop_assert!(first_event(&mut world, caller));
        }
    }
}
