//! Datagrams between instances: shared reads of the store, clocks, heartbeats and leads of groups.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::Catalog;
use firdock_core::settings::Settings;
use firdock_node::clock::Clock;
use firdock_node::peer::{
    EchoedRead, MergeOutcome, Millicores, PeerDirectory, PeerInfo, PeerProcess, PeerRecord,
    ReadEcho, ReadRole, ReadState, ReadTurn, SelfStatus, SharedReads, Topic, TopicRecords,
    bind_beacon_socket, seal,
};
use firdock_policy::{Event, Policy as _, PolicySettings, Scheduler};
use firdock_wire::PROTOCOL;
use firdock_wire::message::{self, Beacon, Heartbeat, datagram};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use uuid::Uuid;

use crate::test_instance::TestInstance;

const INCARNATION: Uuid = Uuid::from_u128(7);

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn peer_process(name: &str, incarnation: Uuid) -> PeerProcess {
    let name = name.to_owned();
    PeerProcess { name, incarnation }
}

/// Peer `p`, whose clock is known.
fn peer_p() -> PeerProcess {
    peer_process("p", INCARNATION)
}

/// Current time for calls whose result does not depend on it.
const NOW: Duration = Duration::from_mins(1);

fn read_state(version: u64, endpoints_next: u64, at: Duration) -> ReadState {
    ReadState {
        version,
        endpoints_next,
        config_at: at,
        endpoints_at: at,
        ..ReadState::default()
    }
}

/// Creates the reads of an instance that read version 5 at 10 s.
fn shared_reads() -> SharedReads {
    let shared = SharedReads::default();
    shared.record_read(millis(10_000), read_state(5, 1, millis(10_000)));
    shared
}

/// Returns the echo of a peer that had received the time `after` before its read, which began `age` ago.
fn echo(after: Duration, age: Duration) -> ReadEcho {
    let read = EchoedRead { after, age };
    ReadEcho {
        config: read,
        endpoints: read,
    }
}

/// Merges a report of peer `p`, whose clock is a second behind, on a read at `at` of the local clock.
fn merge_read_at(shared: &SharedReads, at: Duration) {
    let reported = read_state(5, 1, at.saturating_sub(millis(1_000)));
    let _ = shared.merge_report(
        at + millis(100),
        &peer_p(),
        reported,
        Some(echo(at, millis(100))),
    );
}

#[test]
fn a_peers_read_counts_from_the_own_time_that_it_returns() {
    let shared = shared_reads();
    // By the peer's clock, the read lies far ahead.
    let reported = read_state(5, 1, millis(99_000));
    let returned = Some(echo(millis(10_400), millis(0)));
    let outcome = shared.merge_report(NOW, &peer_p(), reported, returned);
    assert_eq!(outcome.fresh, Some(millis(10_400)));
    assert_eq!(shared.own().config_at, millis(10_400));
    assert_eq!(shared.own().endpoints_at, millis(10_400));
}

/// Guards against a peer of an earlier version, which returns no time, and whose own times may lie ahead.
#[test]
fn a_report_without_an_echo_confirms_nothing() {
    let shared = shared_reads();
    let outcome = shared.merge_report(NOW, &peer_p(), read_state(5, 1, millis(10_400)), None);
    assert_eq!(outcome, MergeOutcome::default());
    assert_eq!(shared.own().config_at, millis(10_000));
}

#[test]
fn a_peer_with_another_version_confirms_nothing() {
    let shared = shared_reads();
    for version in [4, 6] {
        let reported = read_state(version, 1, millis(9_400));
        let returned = Some(echo(millis(10_400), millis(0)));
        let outcome = shared.merge_report(NOW, &peer_p(), reported, returned);
        assert_eq!(outcome.fresh, None);
    }
    assert_eq!(shared.own().config_at, millis(10_000));
}

#[test]
fn an_echo_ahead_of_the_clock_or_of_an_earlier_read_confirms_nothing() {
    let shared = shared_reads();
    for after in [NOW + millis(1), millis(10_000), millis(9_000), millis(0)] {
        let reported = read_state(5, 1, millis(9_400));
        let outcome = shared.merge_report(NOW, &peer_p(), reported, Some(echo(after, millis(0))));
        assert_eq!(outcome.fresh, None, "{after:?}");
    }
    assert_eq!(shared.own().config_at, millis(10_000));
    assert_eq!(shared.own().endpoints_at, millis(10_000));
}

#[test]
fn a_peer_gets_its_latest_time_that_arrived_before_the_read() {
    let shared = shared_reads();
    for at in [9_700, 9_900, 10_000, 10_200] {
        shared.record_clock(millis(at), &peer_p(), millis(at + 60_000));
    }
    // The time at 10,000 ms may have arrived after the read began, at the same reading of the clock.
    let (_, returned) = shared.report_for(millis(10_300), "p");
    let (process, returned) = returned.expect("an echo");
    let expected = EchoedRead {
        after: millis(69_900),
        age: millis(300),
    };
    assert_eq!(process, INCARNATION);
    assert_eq!((returned.config, returned.endpoints), (expected, expected));
}

/// Guards against times of a clock that ended with its process.
#[test]
fn a_restarted_peer_gets_no_time_of_its_earlier_process() {
    let shared = shared_reads();
    shared.record_clock(millis(9_900), &peer_p(), millis(9_900));
    let restarted = peer_process("p", Uuid::from_u128(8));
    shared.record_clock(millis(10_100), &restarted, Duration::from_hours(1));
    let (process, returned) = shared.report_for(NOW, "p").1.expect("an echo");
    assert_eq!(process, restarted.incarnation);
    assert_eq!(returned.config.after, Duration::ZERO);
}

#[test]
fn times_of_departed_instances_are_evicted_for_new_ones() {
    let shared = shared_reads();
    for n in 0..2_000 {
        let peer = peer_process(&format!("front-{n}"), INCARNATION);
        shared.record_clock(millis(9_900), &peer, millis(9_900));
        let (_, returned) = shared.report_for(NOW, &peer.name);
        assert!(returned.is_some(), "the clock of {} is known", peer.name);
    }
}

/// Guards against heartbeats in quick succession that displace the times which the latest read needs.
#[test]
fn heartbeats_in_quick_succession_keep_the_time_before_the_read() {
    let shared = shared_reads();
    for at in (9_000..12_000).step_by(2) {
        shared.record_clock(millis(at), &peer_p(), millis(at));
    }
    let (_, returned) = shared.report_for(millis(12_000), "p").1.expect("an echo");
    assert!(returned.config.after >= millis(9_900), "{returned:?}");
}

/// Finding 1: an instance that relied on its peers' reads took the time without own reads for an outage
/// of the list, and kept an endpoint that was no longer listed.
#[test]
fn reads_by_peers_count_against_an_outage() {
    let shared = shared_reads();
    for second in 10..60 {
        merge_read_at(&shared, millis(second * 1_000));
    }
    assert_eq!(shared.steady_since(millis(60_000)), millis(10_000));
}

/// Finding 3: when a peer was the first to read after an outage, the grace period began again with the
/// instance's own next read, seconds later, and an endpoint removed meanwhile got requests for too long.
#[test]
fn an_outage_ends_with_the_first_read_of_any_instance() {
    let shared = shared_reads();
    // Nobody reads from 10 s to 15 s; the peer does then, and this instance not before 18 s.
    for second in [15, 16, 17] {
        merge_read_at(&shared, millis(second * 1_000));
    }
    assert_eq!(shared.steady_since(millis(18_000)), millis(15_000));
}

#[test]
fn an_outage_ends_with_the_own_read_if_no_peer_has_read() {
    let shared = shared_reads();
    assert_eq!(shared.steady_since(millis(15_000)), millis(15_000));
    shared.record_read(millis(15_000), read_state(5, 1, millis(15_000)));
    assert_eq!(shared.steady_since(millis(16_000)), millis(15_000));
}

/// Finding 21: an instance that alone had lost its network took the time without reads for an outage of
/// the list, and kept endpoints that had been removed meanwhile.
#[test]
fn an_instance_that_alone_lost_its_network_assumes_no_outage() {
    let shared = shared_reads();
    shared.record_read(millis(20_000), read_state(5, 1, millis(20_000)));
    assert_eq!(shared.steady_since(millis(20_000)), millis(20_000));
    // The peer has read without a gap since 2 s by the local clock.
    let reported = ReadState {
        steady_since: millis(1_000),
        ..read_state(5, 1, millis(19_100))
    };
    let now = millis(20_200);
    let returned = Some(echo(millis(20_100), millis(100)));
    let _ = shared.merge_report(now, &peer_p(), reported, returned);
    assert_eq!(shared.steady_since(millis(20_200)), millis(2_000));
    // The next report came a little faster, which is no change.
    let nearly = ReadState {
        steady_since: millis(1_000),
        ..read_state(5, 1, millis(19_110))
    };
    let returned = Some(echo(millis(20_100), millis(90)));
    let _ = shared.merge_report(now, &peer_p(), nearly, returned);
    assert_eq!(shared.steady_since(millis(20_200)), millis(2_000));
}

#[test]
fn a_peer_that_has_not_read_since_an_outage_does_not_hide_it() {
    let shared = shared_reads();
    shared.record_read(millis(20_000), read_state(5, 1, millis(20_000)));
    let reported = ReadState {
        steady_since: millis(1_000),
        ..read_state(5, 1, millis(15_000))
    };
    let now = millis(20_200);
    let returned = Some(echo(millis(16_000), millis(4_200)));
    let _ = shared.merge_report(now, &peer_p(), reported, returned);
    assert_eq!(shared.steady_since(millis(20_200)), millis(20_000));
}

/// Status of an instance whose scheduler has applied `version`.
fn self_status(version: u64) -> SelfStatus {
    let settings = PolicySettings::new(&Settings::default(), INCARNATION);
    let mut scheduler = Scheduler::new(settings);
    let catalog = Event::Config(Arc::new(Catalog::new(version)));
    scheduler.step(millis(1), catalog, &mut Vec::new());
    SelfStatus::new(scheduler.tables(), millis(1))
}

/// Creates an instance that reports version 4 as in force and knows one other instance.
fn instance(
    name: &str,
    socket: UdpSocket,
    clock: Clock,
    other: (&str, &UdpSocket),
) -> TestInstance {
    let instance = TestInstance::new(name, socket, clock, Vec::new());
    instance.self_status.send_replace(self_status(4));
    let known = PeerRecord {
        millicores: 0,
        name: other.0.to_owned(),
        address: other.1.local_addr().expect("an address"),
        zone: "zone".to_owned(),
    };
    instance.directory.add_reported(known, clock.now());
    instance
}

/// Finding 16: nobody sends to an instance that stops, so it counts hardly any live peers. When its count
/// was used, every limit fell to a small part throughout a rolling restart.
#[tokio::test]
async fn live_counts_of_stopping_leads_and_of_other_groups_are_ignored() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let socket = bind_beacon_socket(any).await.expect("a socket");
    let to = socket.local_addr().expect("an address");
    let other = UdpSocket::bind(any).await.expect("a socket");
    let mut instance = instance("z", socket, Clock::new(), ("b", &other));
    instance.beacons.interval = Duration::from_mins(1);
    // Twenty live peers precede it in its group, so that it is no lead.
    for n in 0..20 {
        let address = ([127, 0, 0, 1], 1).into();
        let (directory, now) = (&instance.beacons.directory, instance.beacons.clock.now());
        let name = format!("m-{n}");
        directory.record_heartbeat(peer_info(&name, "zone", 0), address, now);
        let name = format!("m-{n}");
        directory.record_heartbeat(peer_info(&name, "zone", 0), address, now);
    }
    let key = Arc::clone(&instance.beacons.key);
    let (stop, stops) = watch::channel(false);
    let running = tokio::spawn(instance.beacons.run(stops));
    for (name, zone, draining, site_heard) in [
        ("far-lead", "elsewhere", false, 1),
        ("far-lead-that-stops", "elsewhere", true, 2),
        ("lead-that-stops", "zone", true, 3),
        ("lead", "zone", false, 40),
    ] {
        let beacon = Beacon {
            protocol: PROTOCOL,
            instance: name.to_owned(),
            heartbeat: Some(Heartbeat {
                zone: zone.to_owned(),
                draining,
                ..Heartbeat::default()
            }),
            group_heard: 20,
            site_heard,
            ..Beacon::default()
        };
        let sealed = seal(&key, datagram::Body::Beacon(beacon));
        other.send_to(&sealed, to).await.expect("it is sent");
    }
    tokio::time::sleep(millis(300)).await;
    stop.send_replace(true);
    running.await.expect("the task ends");
    let mut reach = Vec::new();
    while let Ok(input) = instance.events.try_recv() {
        if let firdock_node::Input::Event(Event::Reach(count)) = input {
            reach.push(count);
        }
    }
    assert_eq!(reach, [40]);
    drop(instance.self_status);
}

/// Work of accounts in other groups is taken from the leads of those groups alone. Values that are NaN or
/// negative are dropped: one of them would rank an account behind all others for good.
#[tokio::test]
async fn account_work_is_taken_from_leads_of_other_groups_alone() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let socket = bind_beacon_socket(any).await.expect("a socket");
    let to = socket.local_addr().expect("an address");
    let other = UdpSocket::bind(any).await.expect("a socket");
    let mut instance = instance("z", socket, Clock::new(), ("b", &other));
    instance.beacons.interval = Duration::from_mins(1);
    let key = Arc::clone(&instance.beacons.key);
    let (stop, stops) = watch::channel(false);
    let running = tokio::spawn(instance.beacons.run(stops));
    let work = |account: &str, secs: f64| message::AccountWork {
        account: account.to_owned(),
        pool: "pool".to_owned(),
        rank: 4,
        asked: 1.0,
        done: secs,
    };
    for (name, zone, group_heard) in [
        ("far", "elsewhere", 0),
        ("lead", "elsewhere", 20),
        ("near", "zone", 20),
    ] {
        let beacon = Beacon {
            protocol: PROTOCOL,
            instance: name.to_owned(),
            heartbeat: Some(Heartbeat {
                zone: zone.to_owned(),
                ..Heartbeat::default()
            }),
            group_heard,
            group_work: vec![work(name, 0.5), work("none", f64::NAN), work("less", -1.0)],
            ..Beacon::default()
        };
        let sealed = seal(&key, datagram::Body::Beacon(beacon));
        other.send_to(&sealed, to).await.expect("it is sent");
    }
    tokio::time::sleep(millis(300)).await;
    stop.send_replace(true);
    running.await.expect("the task ends");
    let mut received = Vec::new();
    while let Ok(input) = instance.events.try_recv() {
        if let firdock_node::Input::Event(Event::GroupWork(group)) = input {
            let accounts = group.work.into_iter().map(|w| w.account);
            received.push((group.zone, accounts.collect::<Vec<_>>()));
        }
    }
    assert_eq!(
        received,
        [("elsewhere".to_owned(), vec!["lead".to_owned()])]
    );
    drop(instance.self_status);
}

/// Leads that had all restarted at once received no heartbeat from each other for seconds if the first one
/// of a lead arrived before the receiver knew the sender.
#[tokio::test]
async fn a_first_heartbeat_is_answered() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let socket = bind_beacon_socket(any).await.expect("a socket");
    let to = socket.local_addr().expect("an address");
    let stranger = UdpSocket::bind(any).await.expect("a socket");
    // It knows another instance, but not the one that will send.
    let known = UdpSocket::bind(any).await.expect("a socket");
    let mut instance = instance("a", socket, Clock::new(), ("b", &known));
    instance.beacons.interval = Duration::from_mins(1);
    let key = Arc::clone(&instance.beacons.key);
    let (stop, stops) = watch::channel(false);
    let running = tokio::spawn(instance.beacons.run(stops));
    let first = Beacon {
        protocol: PROTOCOL,
        instance: "c".to_owned(),
        heartbeat: Some(Heartbeat::default()),
        ..Beacon::default()
    };
    let sealed = seal(&key, datagram::Body::Beacon(first));
    stranger.send_to(&sealed, to).await.expect("it is sent");
    let mut buffer = [0; 2_048];
    let answer = tokio::time::timeout(millis(2_000), stranger.recv_from(&mut buffer)).await;
    assert!(matches!(answer, Ok(Ok(_))), "no answer: {answer:?}");
    stop.send_replace(true);
    running.await.expect("the task ends");
    drop((instance.events, instance.self_status));
}

/// Finding 2: an instance that had just read version 19 reported the read with the version of its last
/// published heartbeat, 4. A peer that still had 4 took it as confirmed and accepted a revoked key.
#[tokio::test]
async fn a_read_is_reported_with_its_own_version_and_not_the_published_one() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let (a, b) = (bind_beacon_socket(any).await, bind_beacon_socket(any).await);
    let (a, b) = (a.expect("a socket"), b.expect("a socket"));
    let clock = Clock::new();
    let probe = UdpSocket::bind(any).await.expect("a socket");
    drop(probe);
    let (to_a, to_b) = (a.local_addr(), b.local_addr());
    let first = instance("a", a, clock, ("b", &b));
    let mut second = instance("b", b, clock, ("a", &first.beacons.socket));
    assert!(to_a.is_ok() && to_b.is_ok());
    let old = clock.now();
    second.reads.record_read(old, read_state(4, 1, old));
    // Far enough ahead to be visible despite the uncertainty of the peer's clock.
    let newer = clock.now() + millis(2_000);
    first.reads.record_read(newer, read_state(19, 1, newer));
    let (stop, stops) = watch::channel(false);
    let running = [
        tokio::spawn(first.beacons.run(stops.clone())),
        tokio::spawn(second.beacons.run(stops)),
    ];
    tokio::time::sleep(millis(300)).await;
    stop.send_replace(true);
    for task in running {
        task.await.expect("the task ends");
    }
    let mut heartbeats = 0;
    while let Ok(input) = second.events.try_recv() {
        let firdock_node::Input::Event(event) = input else {
            continue;
        };
        assert!(
            !matches!(event, Event::ConfigConfirmed(_)),
            "an old version is confirmed"
        );
        heartbeats += u32::from(matches!(event, Event::Peer(_)));
    }
    assert!(heartbeats > 0, "no heartbeat was received");
    assert_eq!(second.reads.own().config_at, old);
    drop((first.self_status, second.self_status));
}

fn changes(from: u64, next: u64) -> TopicRecords {
    TopicRecords {
        topic: Topic::Endpoints,
        from: Some(from),
        next,
        proved: true,
        read_at: millis(9_500),
        records: Vec::new(),
    }
}

#[tokio::test]
async fn changes_from_a_peer_are_applied_without_a_read() {
    let shared = shared_reads();
    shared.merge_changes(changes(1, 2));
    // Its heartbeat with the new offset causes no read, as the changes have already arrived.
    let returned = Some(echo(millis(10_500), millis(0)));
    let reported = read_state(5, 2, millis(9_500));
    let outcome = shared.merge_report(NOW, &peer_p(), reported, returned);
    assert!(!outcome.ask_state);
    let due = shared
        .due(Clock::new(), millis(60_000), ReadTurn::alone)
        .await;
    assert!(
        due.from_peers && due.endpoints.is_none() && due.config.is_none(),
        "{due:?}"
    );
    let records = shared.take_peer_records();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].read_at, Duration::ZERO, "no time of this clock");
    shared.record_from_peers(ReadState {
        config_at: Duration::ZERO,
        ..read_state(5, 2, records[0].read_at)
    });
    assert_eq!(shared.own().endpoints_at, millis(10_000));
    assert_eq!(shared.own().endpoints_next, 2);
    // The next heartbeat dates them.
    let _ = shared.merge_report(NOW, &peer_p(), reported, returned);
    assert_eq!(shared.own().endpoints_at, millis(10_500));
}

fn peer_info<'a>(name: &'a str, zone: &'a str, millicores: Millicores) -> PeerInfo<'a> {
    PeerInfo {
        name,
        zone,
        millicores,
    }
}

fn directory(me: &str, zone: &str, others: &[(&str, &str)], now: Duration) -> PeerDirectory {
    let directory = PeerDirectory::new(me.to_owned(), zone.to_owned());
    let address = "127.0.0.1:1".parse().expect("an address");
    for (name, zone) in others {
        directory.record_heartbeat(peer_info(name, zone, 0), address, now);
    }
    directory
}

#[test]
fn one_instance_reads_for_the_site_and_one_leads_each_group() {
    let names: Vec<(String, &str)> = (0..20)
        .map(|n| (format!("{n:02}"), if n % 2 == 0 { "east" } else { "west" }))
        .collect();
    let others = |me: &str| -> Vec<(&str, &str)> {
        let others = names.iter().filter(|(name, _)| name != me);
        others.map(|(name, zone)| (name.as_str(), *zone)).collect()
    };
    let now = millis(1_000);
    let role = |me: &str, zone: &str| directory(me, zone, &others(me), now).read_turn(now).role;
    assert_eq!(role("00", "east"), ReadRole::SiteLead);
    assert_eq!(role("01", "west"), ReadRole::GroupLead);
    assert_eq!(role("02", "east"), ReadRole::Member);
    assert_eq!(role("19", "west"), ReadRole::Member);
    let leads = directory("19", "west", &others("19"), now).group_leads(now);
    let expected = ["00", "01", "02", "03"].map(str::to_owned);
    assert_eq!(leads, expected.into());
    let few = directory("b", "west", &[("a", "east"), ("c", "west")], now);
    assert_eq!(few.read_turn(now).role, ReadRole::SingleGroupMember);
    // No heartbeat of the first one for longer than the timeout.
    assert_eq!(few.read_turn(now + millis(1_300)).role, ReadRole::SiteLead);
}
