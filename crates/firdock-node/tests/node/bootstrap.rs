//! Starts before thousands of endpoints: what is known of them passes down a tree of each zone.
//!
//! The load is that of 300 instances before 3,000 endpoints that all start at one moment: what one tells
//! another is 35 KB deflated (3,000 entries as the platform's endpoints write them), and most links
//! carry 10 Mbit/s. Three that the platform names would take three seconds to send it to 100 each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use firdock_node::clock::Clock;
use firdock_node::peer::{
    KeyedRecord, Millicores, PeerDirectory, PeerRecord, ReadState, Topic, TopicRecords,
    bind_beacon_socket,
};
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::test_instance::TestInstance;

const START: Duration = Duration::from_secs(10);
/// Bytes of what is told.
const STATE_BYTES: f64 = 35_000.0;
/// Bytes a second of a link.
const LINK: f64 = 10e6 / 8.0 * 0.7;
/// Time in which an instance with an eighth of a core takes over what it was told, by reckoning from 2 to 3
/// ms at 3,000 endpoints and the reading of as many entries.
const TAKING: f64 = 0.25;

pub fn address(n: usize) -> SocketAddr {
    let [high, low] = u16::try_from(n).expect("few instances").to_be_bytes();
    ([127, 1, high, low], 7_600).into()
}

/// Gives instance `n`; one in nine is four times as strong as the others.
fn instance(n: usize) -> PeerRecord {
    PeerRecord {
        name: format!("front-{n:04}"),
        address: address(n),
        zone: format!("zone-{}", n % 4),
        millicores: millicores(n),
    }
}

fn millicores(n: usize) -> Millicores {
    if n.is_multiple_of(9) { 500 } else { 120 }
}

/// Gives whom instance `n` of `size` asks, nearest first.
fn above(n: usize, size: usize) -> Vec<String> {
    let me = instance(n);
    let directory = PeerDirectory::new(me.name, me.zone).with_millicores(me.millicores);
    for other in (0..size).filter(|other| *other != n) {
        directory.add_reported(instance(other), START);
    }
    directory.ancestors().into_iter().map(|p| p.name).collect()
}

#[test]
fn nobody_is_asked_by_more_than_nine_and_few_steps_reach_all() {
    for (size, deepest) in [(300, 2), (500, 3)] {
        let mut children: BTreeMap<String, usize> = BTreeMap::new();
        let mut roots = 0;
        for n in 0..size {
            let above = above(n, size);
            assert!(above.len() <= deepest, "{n}: {above:?}");
            match above.first() {
                Some(parent) => *children.entry(parent.clone()).or_default() += 1,
                None => roots += 1,
            }
        }
        assert_eq!(
            roots, 4,
            "one of each zone asks those that the platform names"
        );
        assert!(children.values().all(|n| *n <= 9), "{children:?}");
    }
}

#[test]
fn three_hundred_know_three_thousand_endpoints_within_two_seconds() {
    const SIZE: usize = 300;
    // By when each knows: its parent sends to its children one after another.
    let mut known: BTreeMap<String, f64> = BTreeMap::new();
    let mut order: Vec<(usize, Vec<String>)> = (0..SIZE).map(|n| (n, above(n, SIZE))).collect();
    order.sort_by_key(|(n, above)| (above.len(), *n));
    let mut sent: BTreeMap<String, u32> = BTreeMap::new();
    let sending = STATE_BYTES / LINK;
    for (n, above) in order {
        let name = instance(n).name;
        let parent = above.first().cloned().unwrap_or_default();
        let turn = sent.entry(parent.clone()).or_default();
        *turn += 1;
        let from = known.get(&parent).copied().unwrap_or_default();
        known.insert(name, from + f64::from(*turn) * sending + TAKING);
    }
    let last = known.values().copied().fold(0.0, f64::max);
    assert!(last < 2.0, "{last} s");
    assert!(sending * SIZE as f64 / 3.0 > 3.0, "what it is against");
}

/// Records of so many endpoints, as long as the platform's.
fn entries(topic: Topic, count: u32) -> TopicRecords {
    let record = |n: u32| {
        let noise = n.wrapping_mul(2_654_435_761);
        let value = format!(
            "{{\"service\":\"pool\",\"address\":\"10.{}.{}.{}:8080\",\"zone\":\"zone\",\"n\":{noise}}}",
            noise >> 24,
            (noise >> 16) & 255,
            (noise >> 8) & 255
        );
        KeyedRecord {
            key: format!("i-{noise:08x}"),
            value: Some(value.into()),
            offset: 0,
        }
    };
    TopicRecords {
        topic,
        from: None,
        next: 9,
        read_at: START,
        records: (0..count).map(record).collect(),
    }
}

fn knows(party: &TestInstance, endpoints: u32, clock: Clock) {
    let read_at = clock.now();
    for (topic, count) in [(Topic::Config, 1), (Topic::Endpoints, endpoints)] {
        let _ = party.reads.apply_records(&TopicRecords {
            read_at,
            ..entries(topic, count)
        });
    }
    party.reads.record_read(
        read_at,
        ReadState {
            version: 5,
            config_next: 9,
            endpoints_next: 9,
            config_at: read_at,
            endpoints_at: read_at,
            steady_since: Duration::ZERO,
        },
    );
    party.directory.mark_listed();
}

async fn socket() -> (UdpSocket, SocketAddr) {
    let any = "127.0.0.1:0".parse().expect("an address");
    let socket = bind_beacon_socket(any).await.expect("a socket");
    let address = socket.local_addr().expect("an address");
    (socket, address)
}

/// Plays the start of one that asks `seed`, which knows of one that is stronger in the starter's zone;
/// gives what the starter was told, and whether the stronger one was asked.
async fn start(endpoints: u32, parent_knows: bool) -> (Vec<TopicRecords>, bool) {
    let clock = Clock::new();
    let (seed_socket, seed_at) = socket().await;
    let (parent_socket, parent_at) = socket().await;
    let (starter_socket, _) = socket().await;
    let seed = TestInstance::new("seed", seed_socket, clock, Vec::new());
    let parent = TestInstance::new("parent", parent_socket, clock, Vec::new());
    let starter = TestInstance::new("starter", starter_socket, clock, vec![seed_at]);
    knows(&seed, endpoints, clock);
    for n in 0..20 {
        // Others, so that the site is no small one; they are in other zones.
        seed.directory.add_reported(instance(n), clock.now());
    }
    let stronger = PeerRecord {
        name: "parent".to_owned(),
        address: parent_at,
        zone: "zone".to_owned(),
        millicores: 500,
    };
    seed.directory.add_reported(stronger, clock.now());
    if parent_knows {
        knows(&parent, endpoints, clock);
    }
    let (stop, stops) = watch::channel(false);
    let running = [seed.beacons, parent.beacons, starter.beacons]
        .map(|beacons| tokio::spawn(beacons.run(stops.clone())));
    let mut told = Vec::new();
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        told.extend(starter.reads.take_peer_records());
        if !told.is_empty() {
            break;
        }
    }
    let asked = starter.reads.is_large();
    stop.send_replace(true);
    for task in running {
        task.await.expect("the task ends");
    }
    drop((seed.events, parent.events, starter.events));
    (told, asked)
}

fn endpoints_told(told: &[TopicRecords]) -> Option<usize> {
    let endpoints = told.iter().find(|t| t.topic == Topic::Endpoints);
    endpoints.map(|t| t.records.len())
}

#[tokio::test]
async fn few_endpoints_are_told_by_whoever_is_asked() {
    let (told, large) = start(60, false).await;
    assert_eq!(endpoints_told(&told), Some(60));
    assert!(!large);
}

#[tokio::test]
async fn thousands_are_told_by_one_of_the_own_zone() {
    let (told, large) = start(2_000, true).await;
    assert_eq!(endpoints_told(&told), Some(2_000));
    assert!(large);
}

/// What deflates to more than a datagram holds was not told, and every instance of a large site read the
/// store for itself.
#[tokio::test]
async fn more_than_a_datagram_holds_is_told_in_parts() {
    for endpoints in [6_000, 24_000] {
        let (told, _) = start(endpoints, true).await;
        assert_eq!(endpoints_told(&told), Some(endpoints as usize));
    }
}

#[tokio::test]
async fn where_that_one_knows_nothing_those_that_are_named_tell_all_the_same() {
    let (told, large) = start(2_000, false).await;
    assert_eq!(endpoints_told(&told), Some(2_000));
    assert!(large);
}
