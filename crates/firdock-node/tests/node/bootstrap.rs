//! Starts of instances at sites with thousands of endpoints: the state passes down a tree in each availability
//! zone.
//!
//! The load is that of 300 instances that all start at once at a site with 3,000 endpoints. A state is 35 KB
//! deflated (3,000 entries as the platform's endpoints write them), and most links carry 10 Mbit/s. The three
//! instances that the platform names would take three seconds to send it to 100 others each.

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
/// Bytes of a deflated state.
const STATE_BYTES: f64 = 35_000.0;
/// Usable bytes per second of a 10 Mbit/s link.
const LINK_BYTES_PER_SEC: f64 = 10e6 / 8.0 * 0.7;
/// Seconds in which an instance with an eighth of a core applies a received state: an estimate from 2 to 3 ms
/// at 3,000 endpoints and the parsing of as many entries.
const APPLY_SECS: f64 = 0.25;

pub fn address(n: usize) -> SocketAddr {
    let [high, low] = u16::try_from(n).expect("few instances").to_be_bytes();
    ([127, 1, high, low], 7_600).into()
}

/// Creates instance `n`; one in nine has four times the processor of the others.
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

/// Returns the instances that instance `n` of `size` asks for the state, nearest first.
fn ancestors(n: usize, size: usize) -> Vec<String> {
    let me = instance(n);
    let directory = PeerDirectory::new(me.name, me.zone).with_millicores(me.millicores);
    for other in (0..size).filter(|other| *other != n) {
        directory.add_reported(instance(other), START);
    }
    directory.ancestors().into_iter().map(|p| p.name).collect()
}

#[test]
fn no_instance_has_more_than_nine_children_and_the_tree_is_shallow() {
    for (size, deepest) in [(300, 2), (500, 3)] {
        let mut children: BTreeMap<String, usize> = BTreeMap::new();
        let mut roots = 0;
        for n in 0..size {
            let ancestors = ancestors(n, size);
            assert!(ancestors.len() <= deepest, "{n}: {ancestors:?}");
            match ancestors.first() {
                Some(parent) => *children.entry(parent.clone()).or_default() += 1,
                None => roots += 1,
            }
        }
        assert_eq!(
            roots, 4,
            "one instance of each zone asks those that the platform names"
        );
        assert!(children.values().all(|n| *n <= 9), "{children:?}");
    }
}

#[test]
fn three_hundred_instances_know_three_thousand_endpoints_within_two_seconds() {
    const SIZE: usize = 300;
    // Time at which each instance has the state: a parent sends to its children one after another.
    let mut known_at: BTreeMap<String, f64> = BTreeMap::new();
    let mut by_depth: Vec<(usize, Vec<String>)> =
        (0..SIZE).map(|n| (n, ancestors(n, SIZE))).collect();
    by_depth.sort_by_key(|(n, ancestors)| (ancestors.len(), *n));
    let mut sent: BTreeMap<String, u32> = BTreeMap::new();
    let sending = STATE_BYTES / LINK_BYTES_PER_SEC;
    for (n, ancestors) in by_depth {
        let name = instance(n).name;
        let parent = ancestors.first().cloned().unwrap_or_default();
        let turn = sent.entry(parent.clone()).or_default();
        *turn += 1;
        let from = known_at.get(&parent).copied().unwrap_or_default();
        known_at.insert(name, from + f64::from(*turn) * sending + APPLY_SECS);
    }
    let last = known_at.values().copied().fold(0.0, f64::max);
    assert!(last < 2.0, "{last} s");
    assert!(
        sending * SIZE as f64 / 3.0 > 3.0,
        "the three named instances alone take more than three seconds"
    );
}

/// Creates `count` records of the size that the platform's records of endpoints have.
fn entries(topic: Topic, count: u32) -> TopicRecords {
    let record = |n: u32| {
        let hash = n.wrapping_mul(2_654_435_761);
        let value = format!(
            "{{\"service\":\"pool\",\"address\":\"10.{}.{}.{}:8080\",\"zone\":\"zone\",\"n\":{hash}}}",
            hash >> 24,
            (hash >> 16) & 255,
            (hash >> 8) & 255
        );
        KeyedRecord {
            key: format!("i-{hash:08x}"),
            value: Some(value.into()),
            offset: 0,
        }
    };
    TopicRecords {
        topic,
        from: None,
        next: 9,
        proved: true,
        read_at: START,
        records: (0..count).map(record).collect(),
    }
}

fn set_state(instance: &TestInstance, endpoints: u32, clock: Clock) {
    let read_at = clock.now();
    for (topic, count) in [(Topic::Config, 1), (Topic::Endpoints, endpoints)] {
        let _ = instance.reads.apply_records(&TopicRecords {
            read_at,
            ..entries(topic, count)
        });
    }
    instance.reads.record_read(
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
    instance.directory.mark_listed();
}

async fn socket() -> (UdpSocket, SocketAddr) {
    let any = "127.0.0.1:0".parse().expect("an address");
    let socket = bind_beacon_socket(any).await.expect("a socket");
    let address = socket.local_addr().expect("an address");
    (socket, address)
}

/// Runs the start of an instance that asks `seed`, which knows a stronger instance in the starter's availability
/// zone. Returns the records that the starter received, and whether the stronger instance was asked.
async fn start(endpoints: u32, parent_has_state: bool) -> (Vec<TopicRecords>, bool) {
    let clock = Clock::new();
    let (seed_socket, seed_at) = socket().await;
    let (parent_socket, parent_at) = socket().await;
    let (starter_socket, _) = socket().await;
    let seed = TestInstance::new("seed", seed_socket, clock, Vec::new());
    let parent = TestInstance::new("parent", parent_socket, clock, Vec::new());
    let starter = TestInstance::new("starter", starter_socket, clock, vec![seed_at]);
    set_state(&seed, endpoints, clock);
    for n in 0..20 {
        // Instances of other availability zones, so that the site has more than a single group.
        seed.directory.add_reported(instance(n), clock.now());
    }
    let stronger = PeerRecord {
        name: "parent".to_owned(),
        address: parent_at,
        zone: "zone".to_owned(),
        millicores: 500,
    };
    seed.directory.add_reported(stronger, clock.now());
    if parent_has_state {
        set_state(&parent, endpoints, clock);
    }
    let (stop, stops) = watch::channel(false);
    let running = [seed.beacons, parent.beacons, starter.beacons]
        .map(|beacons| tokio::spawn(beacons.run(stops.clone())));
    let mut received = Vec::new();
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        received.extend(starter.reads.take_peer_records());
        if !received.is_empty() {
            break;
        }
    }
    let asked = starter.reads.is_large();
    stop.send_replace(true);
    for task in running {
        task.await.expect("the task ends");
    }
    drop((seed.events, parent.events, starter.events));
    (received, asked)
}

fn count_endpoints(received: &[TopicRecords]) -> Option<usize> {
    let endpoints = received.iter().find(|t| t.topic == Topic::Endpoints);
    endpoints.map(|t| t.records.len())
}

#[tokio::test]
async fn few_endpoints_are_sent_by_the_instance_that_is_asked() {
    let (received, large) = start(60, false).await;
    assert_eq!(count_endpoints(&received), Some(60));
    assert!(!large);
}

#[tokio::test]
async fn thousands_of_endpoints_are_sent_by_an_instance_of_the_own_zone() {
    let (received, large) = start(2_000, true).await;
    assert_eq!(count_endpoints(&received), Some(2_000));
    assert!(large);
}

/// A state that deflates to more than a datagram holds was not sent, and every instance of a large site read
/// the store itself.
#[tokio::test]
async fn a_state_larger_than_a_datagram_is_sent_in_parts() {
    for endpoints in [6_000, 24_000] {
        let (received, _) = start(endpoints, true).await;
        assert_eq!(count_endpoints(&received), Some(endpoints as usize));
    }
}

#[tokio::test]
async fn the_named_instances_send_a_large_state_if_the_one_of_the_zone_has_none() {
    let (received, large) = start(2_000, false).await;
    assert_eq!(count_endpoints(&received), Some(2_000));
    assert!(large);
}
