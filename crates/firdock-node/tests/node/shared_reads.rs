//! Hundreds of instances before one store: who reads it, who is told, and who leads.

use std::time::Duration;

use firdock_node::clock::Clock;
use firdock_node::peer::{
    KeyedRecord, Millicores, PeerDirectory, PeerInfo, PeerProcess, ReadReason, ReadRole, ReadState,
    ReadTurn, SharedReads, Topic, TopicRecords, TopicSnapshot, bind_beacon_socket,
};
use tokio::sync::watch;
use uuid::Uuid;

use crate::test_instance::TestInstance;

/// Pause between two reads, as the deployments set it.
const PAUSE: Duration = Duration::from_millis(600);
/// A time at which instances have run for long.
const START: Duration = Duration::from_secs(5_000);

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn known(version: u64, next: u64, at: Duration) -> ReadState {
    ReadState {
        version,
        endpoints_next: next,
        config_at: at,
        endpoints_at: at,
        ..ReadState::default()
    }
}

/// The lead of the instance's group, whose clock is known to be the same.
fn lead_of(shared: &SharedReads) -> PeerProcess {
    let lead = PeerProcess {
        name: "lead".to_owned(),
        incarnation: Uuid::from_u128(7),
    };
    shared.take_clock(&lead.name, lead.incarnation, START, START);
    lead
}

fn member(index: usize, group_size: usize) -> ReadTurn {
    let role = ReadRole::Member;
    ReadTurn {
        role,
        index,
        group_size,
    }
}

/// Goes through an outage of the store of so many seconds that a group of instances sees; gives the
/// tries of all of them, and how old the state was at the first one.
fn outage(size: usize, secs: u64) -> (usize, Duration) {
    let group: Vec<SharedReads> = (0..size).map(|_| SharedReads::default()).collect();
    for one in &group {
        one.record_read(START, known(5, 1, START));
    }
    let (mut tries, mut first) = (0, Duration::MAX);
    for tick in 0..secs * 100 {
        let now = START + millis(tick * 10);
        for (place, one) in group.iter().enumerate().skip(1) {
            let (due, _) = one.due_at(now, PAUSE, member(place, size));
            if due.config.is_some() {
                tries += 1;
                first = first.min(millis(tick * 10));
                one.record_failure(now, millis(1_000));
            }
        }
    }
    (tries, first)
}

#[test]
fn an_outage_costs_a_group_tries_by_time_and_not_by_instances() {
    let (tries, first) = outage(50, 8);
    assert!(first < millis(2_200), "the first one waits {first:?}");
    assert!((30..=80).contains(&tries), "{tries} tries in eight seconds");
    let (twice, _) = outage(100, 8);
    assert!(twice <= tries + 10, "{twice} tries of twice as many");
}

#[test]
fn a_member_that_hears_its_lead_never_reads() {
    let shared = SharedReads::default();
    shared.record_read(START, known(5, 1, START));
    let lead = lead_of(&shared);
    for tick in 0..600 {
        let now = START + millis(tick * 100);
        // Every 600 ms the lead reads, and tells of it with each heartbeat.
        let read_at = START + millis(tick / 6 * 600);
        let heard = shared.merge_report(now, &lead, known(5, 1, read_at));
        assert!(!heard.ask_state && !heard.ask_clock);
        let (due, _) = shared.due_at(now, PAUSE, member(1, 50));
        assert_eq!(due.config.or(due.endpoints), None, "at {now:?}");
    }
}

#[test]
fn what_a_peer_has_newer_is_asked_of_it_before_the_store_is_read() {
    let shared = SharedReads::default();
    shared.record_read(START, known(5, 1, START));
    let lead = lead_of(&shared);
    let now = START + millis(600);
    let heard = shared.merge_report(now, &lead, known(6, 1, now));
    assert!(heard.ask_state);
    assert!(
        !shared.merge_report(now, &lead, known(6, 1, now)).ask_state,
        "asked"
    );
    assert_eq!(shared.due_at(now, PAUSE, member(1, 50)).0.config, None);
    // No answer comes: the store is read in time for a change to be in force.
    let later = now + millis(400);
    let (due, _) = shared.due_at(later, PAUSE, member(1, 50));
    assert_eq!(due.config, Some(ReadReason::PeerAhead));
    assert_eq!(due.endpoints, None, "of these nothing newer was told");
}

#[test]
fn a_start_reads_the_store_only_after_its_peers_were_asked() {
    let alone = SharedReads::default();
    let (due, _) = alone.due_at(START, PAUSE, ReadTurn::alone());
    assert_eq!(due.config, Some(ReadReason::Start), "nobody can be asked");
    let asking = SharedReads::default().with_asks_peers_first(true);
    assert_eq!(
        asking.due_at(START, PAUSE, ReadTurn::alone()).0.config,
        None
    );
    let (due, _) = asking.due_at(START + millis(800), PAUSE, ReadTurn::alone());
    assert_eq!(due.endpoints, Some(ReadReason::Start));
}

fn record(key: &str, value: Option<&'static str>) -> KeyedRecord {
    KeyedRecord {
        key: key.to_owned(),
        value: value.map(Into::into),
        offset: 0,
    }
}

fn records(from: Option<u64>, next: u64, records: &[KeyedRecord]) -> TopicRecords {
    TopicRecords {
        topic: Topic::Endpoints,
        from,
        next,
        read_at: START,
        records: records.to_vec(),
    }
}

/// The store forgets its history, and all that were reading it have to list it anew: one lists it, and
/// the others are told of the difference.
#[test]
fn a_listing_is_passed_on_as_what_changed_by_it() {
    let mut image = TopicSnapshot::default();
    let first = [record("a", Some("1")), record("b", Some("2"))];
    assert_eq!(image.take(&records(None, 7, &first), false), None);
    let listed = [record("b", Some("3")), record("c", Some("4"))];
    let told = image
        .take(&records(None, 9, &listed), true)
        .expect("changes");
    assert_eq!((told.from, told.next), (Some(7), 9));
    let mut expected = listed.to_vec();
    expected.push(record("a", None));
    assert_eq!(told.records, expected);
    assert_eq!(image.records().count(), 2);
    assert!(told.follows(Some(7)) && told.follows(Some(8)) && !told.follows(Some(6)));
}

/// All instances start at one moment: the one that the others ask reads the store, and answers them
/// once it knows all.
#[tokio::test]
async fn instances_that_start_are_told_all_by_the_one_that_they_ask() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let socket = bind_beacon_socket(any).await.expect("a socket");
    let to = socket.local_addr().expect("an address");
    let clock = Clock::new();
    let seed = TestInstance::new("seed", socket, clock, Vec::new());
    let socket = bind_beacon_socket(any).await.expect("a socket");
    let starter = TestInstance::new("starter", socket, clock, vec![to]);
    let (stop, stops) = watch::channel(false);
    let running = [
        tokio::spawn(seed.beacons.run(stops.clone())),
        tokio::spawn(starter.beacons.run(stops)),
    ];
    tokio::time::sleep(millis(100)).await;
    assert!(!starter.directory.is_listed(), "nothing is known yet");
    let read_at = clock.now();
    for topic in Topic::ALL {
        let value = [record("key", Some("a value"))];
        let new = TopicRecords {
            topic,
            read_at,
            ..records(None, 9, &value)
        };
        let _ = seed.reads.apply_records(&new);
    }
    seed.reads.record_read(read_at, known(5, 9, read_at));
    seed.directory.mark_listed();
    tokio::time::sleep(millis(600)).await;
    let told = starter.reads.take_peer_records();
    // Nobody takes them here, so that it asked again.
    assert!(
        Topic::ALL
            .iter()
            .all(|topic| told.iter().any(|t| t.topic == *topic))
    );
    assert!(told.iter().all(|t| t.from.is_none() && t.next == 9));
    let early = told[0].read_at <= read_at && read_at < told[0].read_at + millis(700);
    assert!(early, "{:?} of {read_at:?}", told[0].read_at);
    assert!(starter.directory.is_listed());
    stop.send_replace(true);
    for task in running {
        task.await.expect("the task ends");
    }
    drop((seed.events, starter.events));
}

fn directory(
    me: &str,
    millicores: Millicores,
    others: &[(&str, Millicores)],
    now: Duration,
) -> PeerDirectory {
    let directory =
        PeerDirectory::new(me.to_owned(), "zone".to_owned()).with_millicores(millicores);
    let address = "127.0.0.1:1".parse().expect("an address");
    for (name, millicores) in others {
        let (zone, millicores) = ("zone", *millicores);
        directory.record_heartbeat(
            PeerInfo {
                name,
                zone,
                millicores,
            },
            address,
            now,
        );
    }
    directory
}

/// One instance in sixteen has four times the processor of the others, and its name says nothing.
#[test]
fn the_strongest_leads_whatever_its_name() {
    for (size, at) in [(300, 299), (300, 150), (500, 3)] {
        let names: Vec<String> = (0..size).map(|n| format!("front-{n:04}")).collect();
        let millicores = |n: usize| if n == at { 500 } else { 120 };
        let others = |me: usize| -> Vec<(&str, Millicores)> {
            let all = names.iter().enumerate();
            let others = all.filter(|(n, _)| *n != me);
            others
                .map(|(n, name)| (name.as_str(), millicores(n)))
                .collect()
        };
        let weak = usize::from(at == 0);
        let strong_directory = directory(&names[at], millicores(at), &others(at), START);
        assert_eq!(strong_directory.read_turn(START).role, ReadRole::SiteLead);
        let weak_directory = directory(&names[weak], millicores(weak), &others(weak), START);
        assert_eq!(weak_directory.read_turn(START).role, ReadRole::Member);
        let (first, before) = weak_directory
            .first_of_group(START, |_| true)
            .expect("heard");
        assert!(first.name == names[at] && before);
        assert!(weak_directory.group_leads(START).contains(&names[at]));
    }
}

#[test]
fn among_equals_the_first_by_name_leads() {
    let first = directory("a", 120, &[("b", 120), ("c", 120)], START);
    assert_eq!(first.read_turn(START).role, ReadRole::SiteLead);
    let second = directory("b", 120, &[("a", 120), ("c", 120)], START);
    assert_eq!(second.read_turn(START).index, 1);
    // It falls silent: the next one leads, and nobody goes back and forth while it is heard.
    assert_eq!(
        second.read_turn(START + millis(1_300)).role,
        ReadRole::SiteLead
    );
}
