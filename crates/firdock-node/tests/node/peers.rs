//! What instances tell each other by datagram: reads that they share, and clocks.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::Catalog;
use firdock_core::settings::Settings;
use firdock_node::clock::Clock;
use firdock_node::peer::{
    Millicores, PeerDirectory, PeerInfo, PeerProcess, PeerRecord, ReadRole, ReadState, ReadTurn,
    SelfStatus, SharedReads, Topic, TopicRecords, bind_beacon_socket, seal,
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

fn teller(name: &str, incarnation: Uuid) -> PeerProcess {
    let name = name.to_owned();
    PeerProcess { name, incarnation }
}

/// The peer whose clock is known.
fn p() -> PeerProcess {
    teller("p", INCARNATION)
}

/// The present time where it does not matter.
const NOW: Duration = Duration::from_mins(1);

fn reads(version: u64, endpoints_next: u64, at: Duration) -> ReadState {
    ReadState {
        version,
        endpoints_next,
        config_at: at,
        endpoints_at: at,
        ..ReadState::default()
    }
}

/// Reads of version 5 at 10 s, with the clock of peer `p` known to be no earlier than ours + 1 s.
fn shared() -> SharedReads {
    let shared = SharedReads::default();
    shared.record_read(millis(10_000), reads(5, 1, millis(10_000)));
    shared.take_clock("p", INCARNATION, millis(10_000), millis(9_000));
    shared
}

#[test]
fn a_peers_word_counts_from_the_earliest_time_that_it_can_mean() {
    let shared = shared();
    let heard = shared.merge_report(NOW, &p(), reads(5, 1, millis(9_400)));
    assert_eq!(heard.fresh, Some(millis(10_400)));
    assert_eq!(shared.own().config_at, millis(10_400));
}

#[test]
fn a_peer_with_another_version_makes_nothing_fresh() {
    let shared = shared();
    for version in [4, 6] {
        let heard = shared.merge_report(NOW, &p(), reads(version, 1, millis(9_400)));
        assert_eq!(heard.fresh, None);
    }
    assert_eq!(shared.own().config_at, millis(10_000));
}

#[test]
fn a_restarted_peers_clock_is_asked_for_anew() {
    let shared = shared();
    let heard = shared.merge_report(
        NOW,
        &teller("p", Uuid::from_u128(8)),
        reads(5, 1, millis(9_400)),
    );
    assert!(heard.ask_clock && heard.fresh.is_none());
}

#[test]
fn a_late_answer_to_a_question_about_the_clock_loosens_nothing() {
    let shared = shared();
    // Asked long ago and answered late: stands for an earlier time than what is known.
    shared.take_clock("p", INCARNATION, millis(10_500), millis(12_000));
    let heard = shared.merge_report(NOW, &p(), reads(5, 1, millis(9_400)));
    assert_eq!(heard.fresh, Some(millis(10_400)));
}

#[test]
fn instances_that_come_and_go_for_days_leave_room_for_the_clocks_of_new_ones() {
    let shared = shared();
    for n in 0..2_000 {
        let name = format!("front-{n}");
        shared.take_clock(&name, INCARNATION, millis(10_000), millis(9_000));
        let heard =
            shared.merge_report(NOW, &teller(&name, INCARNATION), reads(5, 1, millis(9_000)));
        assert!(!heard.ask_clock, "the clock of {name} is known");
    }
}

/// Finding 1: an instance that did not read took its own silence for an outage of the list, and kept
/// an endpoint that had been dropped.
#[test]
fn an_instance_whose_peers_read_for_it_takes_no_outage_for_granted() {
    let shared = shared();
    for second in 10..60 {
        let told = reads(5, 1, millis(second * 1_000 - 1_000));
        let _ = shared.merge_report(NOW, &p(), told);
    }
    assert_eq!(shared.steady_since(millis(60_000)), millis(10_000));
}

/// Finding 3: after an outage whose end a peer saw first, the grace began anew with the instance's
/// own next read, seconds later; an endpoint dropped meanwhile got requests for too long.
#[test]
fn an_outage_ends_with_the_first_read_of_any_instance() {
    let shared = shared();
    // Nobody reads from 10 s to 15 s; the peer does then, and this instance not before 18 s.
    for second in [15, 16, 17] {
        let told = reads(5, 1, millis(second * 1_000 - 1_000));
        let _ = shared.merge_report(NOW, &p(), told);
    }
    assert_eq!(shared.steady_since(millis(18_000)), millis(15_000));
}

#[test]
fn an_outage_that_only_this_instance_sees_the_end_of_ends_with_its_own_read() {
    let shared = shared();
    assert_eq!(shared.steady_since(millis(15_000)), millis(15_000));
    shared.record_read(millis(15_000), reads(5, 1, millis(15_000)));
    assert_eq!(shared.steady_since(millis(16_000)), millis(15_000));
}

/// Finding 21: an instance that was cut off alone took its silence for an outage of the list, and kept
/// endpoints that had been dropped meanwhile.
#[test]
fn an_instance_that_was_cut_off_alone_takes_its_silence_for_no_outage() {
    let shared = shared();
    shared.record_read(millis(20_000), reads(5, 1, millis(20_000)));
    assert_eq!(shared.steady_since(millis(20_000)), millis(20_000));
    // The peer has read all the while, since 2 s by our clock.
    let told = ReadState {
        steady_since: millis(1_000),
        ..reads(5, 1, millis(18_900))
    };
    let _ = shared.merge_report(NOW, &p(), told);
    assert_eq!(shared.steady_since(millis(20_200)), millis(2_000));
    // Its clock is known a little better at the next word, which is no news.
    let nearly = ReadState {
        steady_since: millis(990),
        ..told
    };
    let _ = shared.merge_report(NOW, &p(), nearly);
    assert_eq!(shared.steady_since(millis(20_200)), millis(2_000));
}

#[test]
fn a_peer_that_has_not_read_since_an_outage_does_not_tell_it_away() {
    let shared = shared();
    shared.record_read(millis(20_000), reads(5, 1, millis(20_000)));
    let told = ReadState {
        steady_since: millis(1_000),
        ..reads(5, 1, millis(15_000))
    };
    let _ = shared.merge_report(NOW, &p(), told);
    assert_eq!(shared.steady_since(millis(20_200)), millis(20_000));
}

/// News of a scheduler that has taken `version`.
fn news(version: u64) -> SelfStatus {
    let settings = PolicySettings::new(&Settings::default(), INCARNATION);
    let mut scheduler = Scheduler::new(settings);
    let catalog = Event::Config(Arc::new(Catalog::new(version)));
    scheduler.step(millis(1), catalog, &mut Vec::new());
    SelfStatus::new(scheduler.tables(), millis(1))
}

/// An instance that tells what version 4 is in force, and knows of another.
fn party(name: &str, socket: UdpSocket, clock: Clock, other: (&str, &UdpSocket)) -> TestInstance {
    let party = TestInstance::new(name, socket, clock, Vec::new());
    party.self_status.send_replace(news(4));
    let known = PeerRecord {
        millicores: 0,
        name: other.0.to_owned(),
        address: other.1.local_addr().expect("an address"),
        zone: "zone".to_owned(),
    };
    party.directory.add_reported(known, clock.now());
    party
}

/// Finding 16: an instance that stops is sent nothing any more, so that it hears hardly anyone; its
/// word on how many are heard cut every limit to a small part, all through a rolling restart.
#[tokio::test]
async fn a_lead_that_stops_or_is_of_another_group_does_not_tell_how_many_are_heard() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let socket = bind_beacon_socket(any).await.expect("a socket");
    let to = socket.local_addr().expect("an address");
    let other = UdpSocket::bind(any).await.expect("a socket");
    let mut party = party("z", socket, Clock::new(), ("b", &other));
    party.beacons.interval = Duration::from_mins(1);
    // So many of its group are heard before it that it does not lead.
    for n in 0..20 {
        let address = ([127, 0, 0, 1], 1).into();
        let (directory, now) = (&party.beacons.directory, party.beacons.clock.now());
        let name = format!("m-{n}");
        directory.record_heartbeat(word(&name, "zone", 0), address, now);
        let name = format!("m-{n}");
        directory.record_heartbeat(word(&name, "zone", 0), address, now);
    }
    let key = Arc::clone(&party.beacons.key);
    let (stop, stops) = watch::channel(false);
    let running = tokio::spawn(party.beacons.run(stops));
    for (name, zone, draining, site_heard) in [
        ("far-lead", "elsewhere", false, 1),
        ("far-lead-that-stops", "elsewhere", true, 2),
        ("lead-that-stops", "zone", true, 3),
        ("lead", "zone", false, 40),
    ] {
        let told = Beacon {
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
        let sealed = seal(&key, datagram::Body::Beacon(told));
        other.send_to(&sealed, to).await.expect("it is sent");
    }
    tokio::time::sleep(millis(300)).await;
    stop.send_replace(true);
    running.await.expect("the task ends");
    let mut reach = Vec::new();
    while let Ok(input) = party.events.try_recv() {
        if let firdock_node::Input::Event(Event::Reach(count)) = input {
            reach.push(count);
        }
    }
    assert_eq!(reach, [40]);
    drop(party.self_status);
}

/// What accounts had of other groups' places is heard from those groups' leads alone, and figures that
/// are none are left out: one of them would put an account behind all others for ever.
#[tokio::test]
async fn work_of_accounts_is_heard_from_leads_of_other_groups() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let socket = bind_beacon_socket(any).await.expect("a socket");
    let to = socket.local_addr().expect("an address");
    let other = UdpSocket::bind(any).await.expect("a socket");
    let mut party = party("z", socket, Clock::new(), ("b", &other));
    party.beacons.interval = Duration::from_mins(1);
    let key = Arc::clone(&party.beacons.key);
    let (stop, stops) = watch::channel(false);
    let running = tokio::spawn(party.beacons.run(stops));
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
        let told = Beacon {
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
        let sealed = seal(&key, datagram::Body::Beacon(told));
        other.send_to(&sealed, to).await.expect("it is sent");
    }
    tokio::time::sleep(millis(300)).await;
    stop.send_replace(true);
    running.await.expect("the task ends");
    let mut heard = Vec::new();
    while let Ok(input) = party.events.try_recv() {
        if let firdock_node::Input::Event(Event::GroupWork(group)) = input {
            let accounts = group.work.into_iter().map(|w| w.account);
            heard.push((group.zone, accounts.collect::<Vec<_>>()));
        }
    }
    assert_eq!(heard, [("elsewhere".to_owned(), vec!["lead".to_owned()])]);
    drop(party.self_status);
}

/// Leads that had all restarted at one moment did not hear each other for seconds, where the one's
/// first word came before the other knew of it.
#[tokio::test]
async fn a_first_heartbeat_is_answered() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let socket = bind_beacon_socket(any).await.expect("a socket");
    let to = socket.local_addr().expect("an address");
    let stranger = UdpSocket::bind(any).await.expect("a socket");
    // It knows of another instance, and not of the one that will send.
    let known = UdpSocket::bind(any).await.expect("a socket");
    let mut party = party("a", socket, Clock::new(), ("b", &known));
    party.beacons.interval = Duration::from_mins(1);
    let key = Arc::clone(&party.beacons.key);
    let (stop, stops) = watch::channel(false);
    let running = tokio::spawn(party.beacons.run(stops));
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
    drop((party.events, party.self_status));
}

/// Finding 2: an instance that had just read version 19 told it with the version of its last
/// published heartbeat, 4; a peer that still had 4 took it for fresh and let a revoked key in.
#[tokio::test]
async fn a_read_is_told_with_its_own_version_and_not_the_published_one() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let (a, b) = (bind_beacon_socket(any).await, bind_beacon_socket(any).await);
    let (a, b) = (a.expect("a socket"), b.expect("a socket"));
    let clock = Clock::new();
    let probe = UdpSocket::bind(any).await.expect("a socket");
    drop(probe);
    let (to_a, to_b) = (a.local_addr(), b.local_addr());
    let first = party("a", a, clock, ("b", &b));
    let mut second = party("b", b, clock, ("a", &first.beacons.socket));
    assert!(to_a.is_ok() && to_b.is_ok());
    let old = clock.now();
    second.reads.record_read(old, reads(4, 1, old));
    // Far enough ahead that the bound on the clock does not hide it.
    let newer = clock.now() + millis(2_000);
    first.reads.record_read(newer, reads(19, 1, newer));
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
    let mut heard = 0;
    while let Ok(input) = second.events.try_recv() {
        let firdock_node::Input::Event(event) = input else {
            continue;
        };
        assert!(
            !matches!(event, Event::ConfigConfirmed(_)),
            "an old version is fresh"
        );
        heard += u32::from(matches!(event, Event::Peer(_)));
    }
    assert!(heard > 0, "no heartbeat came");
    assert_eq!(second.reads.own().config_at, old);
    drop((first.self_status, second.self_status));
}

fn changes(from: u64, next: u64) -> TopicRecords {
    TopicRecords {
        topic: Topic::Endpoints,
        from: Some(from),
        next,
        read_at: millis(9_500),
        records: Vec::new(),
    }
}

#[tokio::test]
async fn changes_that_a_peer_read_are_taken_without_a_read() {
    let shared = shared();
    shared.merge_changes(&teller("stranger", INCARNATION), changes(1, 2));
    shared.merge_changes(&teller("p", Uuid::from_u128(8)), changes(1, 2));
    assert!(
        shared.take_peer_records().is_empty(),
        "a clock that is not known dates nothing"
    );
    shared.merge_changes(&p(), changes(1, 2));
    // Its heartbeat with the new offset asks for no read, since the changes are here.
    let heard = shared.merge_report(NOW, &p(), reads(5, 2, millis(9_500)));
    assert!(!heard.ask_state);
    let due = shared
        .due(Clock::new(), millis(60_000), ReadTurn::alone)
        .await;
    assert!(
        due.from_peers && due.endpoints.is_none() && due.config.is_none(),
        "{due:?}"
    );
    let told = shared.take_peer_records();
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].read_at, millis(10_500));
    shared.record_from_peers(ReadState {
        config_at: Duration::ZERO,
        ..reads(5, 2, told[0].read_at)
    });
    assert_eq!(shared.own().endpoints_at, millis(10_500));
    assert_eq!(shared.own().endpoints_next, 2);
}

fn word<'a>(name: &'a str, zone: &'a str, millicores: Millicores) -> PeerInfo<'a> {
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
        directory.record_heartbeat(word(name, zone, 0), address, now);
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
    let part = |me: &str, zone: &str| directory(me, zone, &others(me), now).read_turn(now).role;
    assert_eq!(part("00", "east"), ReadRole::SiteLead);
    assert_eq!(part("01", "west"), ReadRole::GroupLead);
    assert_eq!(part("02", "east"), ReadRole::Member);
    assert_eq!(part("19", "west"), ReadRole::Member);
    let leads = directory("19", "west", &others("19"), now).group_leads(now);
    let expected = ["00", "01", "02", "03"].map(str::to_owned);
    assert_eq!(leads, expected.into());
    let few = directory("b", "west", &[("a", "east"), ("c", "west")], now);
    assert_eq!(few.read_turn(now).role, ReadRole::SingleGroupMember);
    // The first one fell silent.
    assert_eq!(few.read_turn(now + millis(1_300)).role, ReadRole::SiteLead);
}
