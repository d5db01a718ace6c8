//! What operators are told is in force is what the scheduler has taken over, not what was read of the log.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::Offset;
use firdock_core::resource::{Kind, ResourceKey};
use firdock_node::clock::Clock;
use firdock_node::config::{Hub, HubState, WriteError, write};
use firdock_node::operator::{OperatorServer, Status, Watchers, serve_operators};
use firdock_node::platform::{LogClient, PlatformError};
use firdock_node::telemetry::discard_logger;
use firdock_state::{Batch, Change, FoldOutcome, Record, State};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

const VERSION: u64 = 5;

/// A log whose records are read back at once, while the scheduler takes over nothing.
#[derive(Debug, Clone)]
struct ReadBackLog(Arc<Hub>);

impl LogClient for ReadBackLog {
    fn read(&self, _from: Offset, _max: usize) -> Result<Batch, PlatformError> {
        Err(PlatformError::Refused { status: 503 })
    }

    fn append(&self, body: &str) -> Result<Offset, PlatformError> {
        let record: Record = serde_json::from_str(body).expect("a record");
        let accepted = FoldOutcome::Accepted { version: VERSION };
        self.0
            .update(|h| h.record_results(vec![(record.id, accepted)]));
        // A wait for something else ends at once.
        self.0.close();
        Ok(VERSION - 1)
    }
}

fn read(hub: &mut HubState) {
    hub.state = Arc::new(State {
        next: VERSION,
        version: VERSION,
        ..State::new()
    });
}

fn change() -> Change {
    Change {
        key: ResourceKey::new(Kind::Tier, "guide"),
        base: 0,
        resource: None,
    }
}

// Guards against a status that says `converged` while callers are still refused by the configuration before.
#[test]
fn a_configuration_that_the_scheduler_has_not_taken_over_is_not_in_force() {
    let mut hub = HubState::default();
    read(&mut hub);
    let status = Status::new("node-0", "zone-a", Duration::ZERO, &hub);
    assert_eq!(status.version, VERSION);
    assert_eq!(status.instances["node-0"].version, 0);
    assert!(!status.converged);
}

#[test]
fn a_configuration_that_the_scheduler_has_taken_over_is_in_force() {
    let mut hub = HubState::default();
    read(&mut hub);
    hub.in_force = VERSION;
    let status = Status::new("node-0", "zone-a", Duration::ZERO, &hub);
    assert_eq!(status.instances["node-0"].version, VERSION);
    assert!(status.converged);
}

// Guards against a write that is reported as in force before requests are decided by it.
#[test]
fn a_write_succeeds_only_once_the_scheduler_has_taken_it_over() {
    let hub = Arc::new(Hub::default());
    let log = ReadBackLog(Arc::clone(&hub));
    let early = write(&log, &hub, &discard_logger(), change());
    assert!(
        matches!(early, Err(WriteError::Unsettled { .. })),
        "{early:?}"
    );
    hub.update(|h| h.in_force = VERSION);
    let settled = write(&log, &hub, &discard_logger(), change());
    assert_eq!(settled.expect("a version"), VERSION);
}

// Guards against an instance that is ready, so that callers are sent to it, and refuses their keys.
#[tokio::test]
async fn an_instance_is_ready_once_its_first_configuration_is_in_force() {
    let hub = Arc::new(Hub::default());
    hub.update(read);
    let server = OperatorServer {
        log_client: ReadBackLog(Arc::clone(&hub)),
        hub: Arc::clone(&hub),
        metrics: Arc::default(),
        clock: Clock::new(),
        log: discard_logger(),
        instance: "node-0".to_owned(),
        zone: "zone-a".to_owned(),
        watchers: Watchers::default(),
        inputs: mpsc::channel(1).0,
    };
    let (_stop, stops) = watch::channel(false);
    let any = "127.0.0.1:0".parse().expect("an address");
    let address = serve_operators(any, server, stops).expect("a listener");
    let ready = async || {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let call = "GET /readyz HTTP/1.1\r\nhost: firdock\r\nconnection: close\r\n\r\n";
        let sent = stream.write_all(call.as_bytes()).await;
        sent.expect("the call is sent");
        let mut answer = String::new();
        let received = stream.read_to_string(&mut answer).await;
        received.expect("the answer is received");
        answer.starts_with("HTTP/1.1 200")
    };
    assert!(!ready().await);
    hub.update(|h| h.in_force = VERSION);
    assert!(ready().await);
}
