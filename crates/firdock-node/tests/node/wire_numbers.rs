//! Numbers at the ends of their ranges in datagrams of peers.

use std::io::Read as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use firdock_core::MAX_OFFSET;
use firdock_node::clock::Clock;
use firdock_node::peer::{SharedReads, TopicRecords, bind_beacon_socket, seal};
use firdock_wire::PROTOCOL;
use firdock_wire::message::{
    Beacon, Entries, Entry, FragilePool, Heartbeat, KnownState, ReadEcho, Reads, StateAnswer,
    Topic, TopicImage, TopicRecords as Changes, UnconfirmedStart, datagram,
};
use flate2::Compression;
use flate2::read::DeflateEncoder;
use proptest::prelude::*;
use proptest::strategy::ValueTree as _;
use proptest::test_runner::TestRunner;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::test_instance::TestInstance;

/// Time within which a datagram on one machine is handled, however busy it is.
const HANDLED_WITHIN: Duration = Duration::from_secs(5);
const CASES: u32 = 64;

fn deflate(content: &impl prost::Message) -> Vec<u8> {
    let plain = content.encode_to_vec();
    let mut encoder = DeflateEncoder::new(plain.as_slice(), Compression::fast());
    let mut deflated = Vec::new();
    encoder.read_to_end(&mut deflated).expect("bytes in memory");
    deflated
}

/// Returns numbers near those at which sums, conversions or positions end.
fn number() -> impl Strategy<Value = u64> {
    let edges = vec![0, 1, MAX_OFFSET, MAX_OFFSET + 1, i64::MAX as u64, u64::MAX];
    prop_oneof![prop::sample::select(edges), 0_u64..100_000, any::<u64>()]
}

fn reads(n: &[u64]) -> Reads {
    Reads {
        version: n[0],
        config_next: n[1],
        endpoints_next: n[2],
        config_at: n[3],
        endpoints_at: n[4],
        steady_since: n[5],
    }
}

fn heartbeat(n: &[u64]) -> Heartbeat {
    Heartbeat {
        zone: "zone".to_owned(),
        version: n[0],
        held: vec![n[1] as u32; 3],
        fragile: vec![FragilePool {
            pool: "pool".to_owned(),
            limit: n[2] as u32,
            age_millis: n[3],
        }],
        unconfirmed: vec![UnconfirmedStart {
            since_age_millis: n[4],
            break_age_millis: n[5],
            ..UnconfirmedStart::default()
        }],
        ..Heartbeat::default()
    }
}

fn beacon(n: &[u64], receiver: &[u8]) -> datagram::Body {
    datagram::Body::Beacon(Beacon {
        protocol: PROTOCOL,
        instance: "other".to_owned(),
        heartbeat: Some(heartbeat(&n[6..])),
        reads: Some(reads(n)),
        group_heard: n[6] as u32,
        site_heard: n[7] as u32,
        group_known: n[8] as u32,
        site_known: n[9] as u32,
        sent_at: n[10],
        read_echo: Some(ReadEcho {
            incarnation: receiver.to_vec(),
            config_after: n[11],
            endpoints_after: n[0],
            config_age_millis: n[1],
            endpoints_age_millis: n[2],
        }),
        ..Beacon::default()
    })
}

fn changes(from: u64, next: u64, read_at: u64) -> datagram::Body {
    let entry = Entry {
        name: "a".to_owned(),
        value: Some(b"{}".to_vec()),
        offset: from,
    };
    datagram::Body::TopicRecords(Changes {
        instance: "other".to_owned(),
        topic: Topic::Endpoints.into(),
        from,
        next,
        read_at,
        entries: deflate(&Entries {
            entries: vec![entry],
        }),
        ..Changes::default()
    })
}

fn reply(n: &[u64]) -> datagram::Body {
    let image = TopicImage {
        topic: Topic::Config.into(),
        next: n[6],
        entries: Vec::new(),
    };
    datagram::Body::StateAnswer(StateAnswer {
        instance: "other".to_owned(),
        asked: n[7],
        clock: n[8],
        reads: Some(reads(n)),
        state: deflate(&KnownState {
            topics: vec![image],
            instances: Vec::new(),
        }),
        part: 0,
        parts: 1,
        known: n[9] as u32,
        ..StateAnswer::default()
    })
}

/// Sends datagrams to an instance.
struct Peer {
    socket: UdpSocket,
    key: Arc<[u8]>,
    to: SocketAddr,
}

impl Peer {
    async fn send(&self, body: datagram::Body) {
        let sealed = seal(&self.key, body);
        let sent = self.socket.send_to(&sealed, self.to).await;
        sent.expect("it is sent");
    }

    /// Sends sound changes up to `next`, and returns the records that the instance has taken until then.
    async fn taken_until(&self, reads: &SharedReads, next: u64) -> Option<Vec<TopicRecords>> {
        self.send(changes(next - 1, next, 1)).await;
        let began = Instant::now();
        let mut taken = Vec::new();
        while began.elapsed() < HANDLED_WITHIN {
            taken.extend(reads.take_peer_records());
            if taken.last().is_some_and(|records| records.next == next) {
                return Some(taken);
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        None
    }
}

/// Guards against a number of a peer that ends the process, or a position that no log can have and that is taken.
#[tokio::test]
async fn no_number_of_a_peer_panics_or_is_taken_beyond_its_range() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let socket = bind_beacon_socket(any).await.expect("a socket");
    let to = socket.local_addr().expect("an address");
    let mut instance = TestInstance::new("one", socket, Clock::new(), Vec::new());
    let reads = Arc::clone(&instance.reads);
    let peer = Peer {
        socket: UdpSocket::bind(any).await.expect("a socket"),
        key: Arc::clone(&instance.beacons.key),
        to,
    };
    let receiver = *instance.beacons.member.incarnation.as_bytes();
    let (_stop, stops) = watch::channel(false);
    let running = tokio::spawn(instance.beacons.run(stops));
    let mut runner = TestRunner::default();
    let numbers = prop::collection::vec(number(), 12);
    for case in 0..CASES {
        let n = numbers.new_tree(&mut runner).expect("numbers").current();
        for body in [beacon(&n, &receiver), changes(n[0], n[1], n[2]), reply(&n)] {
            peer.send(body).await;
        }
        while instance.events.try_recv().is_ok() {}
        let taken = peer.taken_until(&reads, 1_000_000 + u64::from(case)).await;
        let taken = taken.unwrap_or_else(|| panic!("sound changes are not taken after {n:?}"));
        for records in taken {
            assert!(records.next <= MAX_OFFSET, "{records:?} of {n:?}");
            assert!(records.from <= Some(records.next), "{records:?} of {n:?}");
        }
        let own = reads.own();
        assert!(own.config_at < Duration::from_mins(1), "{own:?} of {n:?}");
        let _ = reads.report_for(Duration::from_mins(1), "other");
    }
    assert!(!running.is_finished());
    drop(instance.self_status);
}
