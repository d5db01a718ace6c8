//! The datagram service of one instance, on its own socket, without the rest of the instance.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use firdock_node::clock::Clock;
use firdock_node::peer::{BeaconService, PeerDirectory, SelfStatus, SharedReads};
use firdock_node::streams::SharedStreams;
use firdock_node::telemetry::{ReadLog, discard_logger};
use firdock_policy::event::Member;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use uuid::Uuid;

/// Inputs that are queued until the test reads them.
const INPUT_QUEUE_CAPACITY: usize = 256;

pub struct TestInstance {
    pub beacons: BeaconService,
    pub directory: Arc<PeerDirectory>,
    pub reads: Arc<SharedReads>,
    pub events: mpsc::Receiver<firdock_node::Input>,
    pub self_status: watch::Sender<SelfStatus>,
}

impl TestInstance {
    /// Creates an instance that asks `seeds` for the state when it starts; with no seeds it asks nobody.
    pub fn new(name: &str, socket: UdpSocket, clock: Clock, seeds: Vec<SocketAddr>) -> Self {
        let directory = Arc::new(PeerDirectory::new(name.to_owned(), "zone".to_owned()));
        let reads = SharedReads::default().with_asks_peers_first(!seeds.is_empty());
        let reads = Arc::new(reads);
        let (inputs, events) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (self_status, status_updates) = watch::channel(SelfStatus::default());
        let beacons = BeaconService {
            socket: Arc::new(socket),
            member: Member {
                name: name.to_owned(),
                incarnation: Uuid::now_v7(),
            },
            key: Arc::from(b"a key that all share".as_slice()),
            directory: Arc::clone(&directory),
            reads: Arc::clone(&reads),
            self_status: status_updates,
            changes: mpsc::channel(1).1,
            seeds,
            sums: Mutex::default(),
            partial_replies: Mutex::default(),
            send_times: Mutex::default(),
            read_log: ReadLog::new(Arc::default(), Arc::default(), discard_logger()),
            log_limiter: Arc::default(),
            streams: SharedStreams::default(),
            inputs,
            interval: Duration::from_millis(20),
            link_mbits: 0.0,
            clock,
            log: discard_logger(),
        };
        Self {
            beacons,
            directory,
            reads,
            events,
            self_status,
        }
    }
}
