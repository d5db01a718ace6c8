//! Hundreds of instances that share one store: which of them read it, who gets the records from a peer, and
//! which lead.

use std::time::Duration;

use firdock_node::clock::Clock;
use firdock_node::peer::{
    EchoedRead, KeyedRecord, Millicores, PeerDirectory, PeerInfo, PeerProcess, ReadEcho,
    ReadReason, ReadRole, ReadState, ReadTurn, SharedReads, Topic, TopicRecords, TopicSnapshot,
    bind_beacon_socket,
};
use firdock_state::directory::GRACE;
use tokio::sync::watch;
use uuid::Uuid;

use crate::test_instance::TestInstance;

/// Time between two reads, as the deployments set it.
const READ_INTERVAL: Duration = Duration::from_millis(600);
/// Present time at which instances have been running for long.
const START: Duration = Duration::from_secs(5_000);

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn read_state(version: u64, next: u64, at: Duration) -> ReadState {
    ReadState {
        version,
        endpoints_next: next,
        config_at: at,
        endpoints_at: at,
        ..ReadState::default()
    }
}

/// The group's lead.
fn lead() -> PeerProcess {
    PeerProcess {
        name: "lead".to_owned(),
        incarnation: Uuid::from_u128(7),
    }
}

/// Returns the echo of a heartbeat sent at `now`, whose sender had received the time `at` before it read.
fn echo(now: Duration, at: Duration) -> ReadEcho {
    let read = EchoedRead {
        after: at,
        age: now.saturating_sub(at),
    };
    ReadEcho {
        config: read,
        endpoints: read,
    }
}

fn member_turn(index: usize, group_size: usize) -> ReadTurn {
    let role = ReadRole::Member;
    ReadTurn {
        role,
        index,
        group_size,
        hears_earlier: true,
    }
}

/// Simulates an outage of the store of `secs` seconds for a group of `size` instances. Returns the number of
/// read attempts of all of them, and the age of the state at the first attempt.
fn outage(size: usize, secs: u64) -> (usize, Duration) {
    let group: Vec<SharedReads> = (0..size).map(|_| SharedReads::default()).collect();
    for member in &group {
        member.record_read(START, read_state(5, 1, START));
    }
    let (mut attempts, mut first) = (0, Duration::MAX);
    for tick in 0..secs * 100 {
        let now = START + millis(tick * 10);
        for (index, member) in group.iter().enumerate().skip(1) {
            let (due, _) = member.due_at(now, READ_INTERVAL, member_turn(index, size));
            if due.config.is_some() {
                attempts += 1;
                first = first.min(millis(tick * 10));
                member.record_failure(now, millis(1_000));
            }
        }
    }
    (attempts, first)
}

#[test]
fn read_attempts_in_an_outage_grow_with_its_duration_and_not_with_the_group() {
    let (attempts, first) = outage(50, 8);
    assert!(
        first < millis(2_200),
        "the first attempt is made after {first:?}"
    );
    assert!(
        (30..=80).contains(&attempts),
        "{attempts} attempts in eight seconds"
    );
    let (twice, _) = outage(100, 8);
    assert!(
        twice <= attempts + 10,
        "{twice} attempts by twice as many instances"
    );
}

#[test]
fn a_member_with_a_live_lead_never_reads() {
    let shared = SharedReads::default();
    shared.record_read(START, read_state(5, 1, START));
    let lead = lead();
    for tick in 0..600 {
        let now = START + millis(tick * 100);
        // The lead reads every 600 ms and reports its newest read in each heartbeat.
        let read_at = START + millis(tick / 6 * 600);
        let reported = read_state(5, 1, read_at);
        let outcome = shared.merge_report(now, &lead, reported, Some(echo(now, read_at)));
        assert!(!outcome.ask_state);
        let (due, _) = shared.due_at(now, READ_INTERVAL, member_turn(1, 50));
        assert_eq!(due.config.or(due.endpoints), None, "at {now:?}");
    }
}

/// Guards against a process that has just started and waits for the next regular read until it may serve.
#[test]
fn a_lead_reads_soon_for_a_process_that_has_just_started() {
    let due = |turn: ReadTurn, arrives: bool| {
        let shared = SharedReads::default();
        shared.record_read(START, read_state(5, 1, START));
        // Long after its own start, at which all others are new.
        let _ = shared.due_at(
            START.saturating_sub(Duration::from_mins(1)),
            READ_INTERVAL,
            turn,
        );
        if arrives {
            shared.record_clock(START + millis(200), &lead(), Duration::from_hours(1));
        }
        shared
            .due_at(START + millis(250), READ_INTERVAL, turn)
            .0
            .config
    };
    assert_eq!(due(ReadTurn::alone(), true), Some(ReadReason::Arrival));
    assert_eq!(due(ReadTurn::alone(), false), None, "nobody has started");
    for role in [
        ReadRole::GroupLead,
        ReadRole::Member,
        ReadRole::SingleGroupMember,
    ] {
        let turn = ReadTurn {
            role,
            ..member_turn(1, 16)
        };
        assert_eq!(due(turn, true), None, "{role:?}");
    }
}

/// Guards against a process that serves by a configuration which was out of date when a peer sent it.
#[test]
fn a_process_that_starts_knows_content_but_no_date_until_a_read_is_confirmed() {
    let shared = SharedReads::default().with_asks_peers_first(true);
    shared.record_from_peers(read_state(5, 1, START));
    assert!(shared.is_complete(), "peers can be answered");
    assert_eq!(shared.own().config_at, Duration::ZERO);
    let now = START + millis(500);
    let (due, _) = shared.due_at(now, READ_INTERVAL, member_turn(1, 50));
    assert_eq!(due.config, None, "a read of the peer is known");
    let outcome = shared.merge_report(now, &lead(), read_state(5, 1, now), Some(echo(now, now)));
    assert_eq!(outcome.fresh, Some(now));
}

#[test]
fn a_newer_state_is_requested_from_the_peer_before_the_store_is_read() {
    let shared = SharedReads::default();
    shared.record_read(START, read_state(5, 1, START));
    let lead = lead();
    let now = START + millis(600);
    let outcome = shared.merge_report(now, &lead, read_state(6, 1, now), Some(echo(now, now)));
    assert!(outcome.ask_state);
    assert!(
        !shared
            .merge_report(now, &lead, read_state(6, 1, now), Some(echo(now, now)))
            .ask_state,
        "already requested"
    );
    assert_eq!(
        shared
            .due_at(now, READ_INTERVAL, member_turn(1, 50))
            .0
            .config,
        None
    );
    // Without a reply, the store is read early enough for a change to be in force in time.
    let later = now + millis(400);
    let (due, _) = shared.due_at(later, READ_INTERVAL, member_turn(1, 50));
    assert_eq!(due.config, Some(ReadReason::PeerAhead));
    assert_eq!(due.endpoints, None, "no peer reported newer endpoints");
}

#[test]
fn a_starting_instance_asks_its_peers_before_it_reads_the_store() {
    let alone = SharedReads::default();
    let (due, _) = alone.due_at(START, READ_INTERVAL, ReadTurn::alone());
    assert_eq!(
        due.config,
        Some(ReadReason::Start),
        "there is no peer to ask"
    );
    let asking = SharedReads::default().with_asks_peers_first(true);
    assert_eq!(
        asking
            .due_at(START, READ_INTERVAL, ReadTurn::alone())
            .0
            .config,
        None
    );
    let (due, _) = asking.due_at(START + millis(800), READ_INTERVAL, ReadTurn::alone());
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
        proved: true,
        read_at: START,
        records: records.to_vec(),
    }
}

/// When the store discards its history, its readers have to list it again. One instance lists it and sends the
/// others the difference alone.
#[test]
fn a_listing_is_forwarded_as_the_difference_to_the_state_before() {
    let mut snapshot = TopicSnapshot::default();
    let first = [record("a", Some("1")), record("b", Some("2"))];
    assert_eq!(snapshot.take(&records(None, 7, &first), false), None);
    let listed = [record("b", Some("3")), record("c", Some("4"))];
    let changes = snapshot
        .take(&records(None, 9, &listed), true)
        .expect("changes");
    assert_eq!((changes.from, changes.next), (Some(7), 9));
    let mut expected = listed.to_vec();
    expected.push(record("a", None));
    assert_eq!(changes.records, expected);
    assert_eq!(snapshot.records().count(), 2);
    assert!(changes.follows(Some(7)) && changes.follows(Some(8)) && !changes.follows(Some(6)));
}

/// Guards against content that a spoilt listing left at one instance and that passes for what all know at the same offset.
#[test]
fn a_listing_whose_end_nothing_proves_neither_confirms_peers_nor_is_confirmed_by_them() {
    let shared = SharedReads::default();
    let peer = lead();
    let apply = |proved, content: &[KeyedRecord]| {
        let _ = shared.apply_records(&TopicRecords {
            proved,
            ..records(None, 7, content)
        });
    };
    let confirms = |now| {
        shared.record_read(now, read_state(5, 7, now));
        let (_, echo) = shared.report_for(now, &peer.name);
        echo.expect("an echo").1.endpoints.after > Duration::ZERO
    };
    let is_confirmed = |now: Duration| {
        let _ = shared.merge_report(now, &peer, read_state(5, 7, now), Some(echo(now, now)));
        shared.own().endpoints_at == now
    };
    let content = [record("a", Some("1")), record("b", Some("2"))];
    shared.record_clock(START, &peer, START);
    apply(true, &content);
    assert!(confirms(START + millis(100)) && is_confirmed(START + millis(200)));
    apply(false, &content[..1]);
    assert!(!confirms(START + millis(300)) && !is_confirmed(START + millis(400)));
    assert!(shared.snapshots().is_empty(), "no peer is told of it");
    apply(true, &content);
    assert!(confirms(START + millis(500)) && is_confirmed(START + millis(600)));
    assert_eq!(shared.snapshots().len(), 1);
}

/// Guards against peers that read the store each by itself, since one of them cannot prove what all know.
#[test]
fn a_listing_whose_end_nothing_proves_confirms_peers_if_nothing_changed() {
    let content = [record("a", Some("1"))];
    let unproved = TopicRecords {
        proved: false,
        ..records(None, 7, &content)
    };
    let mut snapshot = TopicSnapshot::default();
    for known in [false, true] {
        assert_eq!(snapshot.take(&unproved, known), None);
        assert!(!snapshot.differs());
    }
}

/// All instances start at once: the one that the others ask reads the store, and answers them once it has the
/// whole state.
#[tokio::test]
async fn starting_instances_get_the_whole_state_from_the_one_that_they_ask() {
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
    seed.reads.record_read(read_at, read_state(5, 9, read_at));
    seed.directory.mark_listed();
    tokio::time::sleep(millis(600)).await;
    let received = starter.reads.take_peer_records();
    // Nothing applies the records here, so the starter asked again and may hold them twice.
    assert!(
        Topic::ALL
            .iter()
            .all(|topic| received.iter().any(|t| t.topic == *topic))
    );
    assert!(received.iter().all(|t| t.from.is_none() && t.next == 9));
    let early = received[0].read_at <= read_at && read_at < received[0].read_at + millis(700);
    assert!(early, "{:?} of {read_at:?}", received[0].read_at);
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

/// One instance in sixteen has four times the processor of the others; it leads wherever its name sorts.
#[test]
fn the_instance_with_the_most_processor_leads_whatever_its_name() {
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
            .expect("a live peer");
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
    // Once its heartbeats have stopped, the next one leads. The lead does not change while they arrive.
    assert_eq!(
        second.read_turn(START + millis(1_300)).role,
        ReadRole::SiteLead
    );
}

/// Guards against an endpoint that gets requests because its entry, which went while no instance reached the store, is
/// kept: an instance owes the removal again three seconds after it is back in touch.
#[test]
fn an_entry_that_went_in_an_outage_counts_as_gone_once_the_instance_is_in_touch() {
    const CONTACT: Duration = Duration::from_secs(3);
    for outage in (4_000..7_000).step_by(50) {
        let shared = SharedReads::default();
        shared.record_read(START, read_state(5, 1, START));
        let back = START + millis(outage);
        let mut now = START;
        let first_read = loop {
            let (due, next) = shared.due_at(now, READ_INTERVAL, ReadTurn::alone());
            if due.endpoints.is_none() {
                now = next;
                continue;
            }
            // A call that was sent before hangs; another one is sent beside it after the interval of reads.
            let sent_again = now + READ_INTERVAL;
            if now >= back {
                break now;
            }
            if sent_again >= back {
                break sent_again;
            }
            now = sent_again + READ_INTERVAL;
            shared.record_failure(sent_again, READ_INTERVAL);
        };
        shared.record_read(first_read, read_state(5, 2, first_read));
        let dropped = shared.steady_since(first_read) + GRACE;
        assert!(
            dropped <= back + CONTACT,
            "an outage of {outage} ms: kept until {:?} after its end",
            dropped.saturating_sub(back)
        );
    }
}
