//! Reports of requests during which endpoints exited, as they are sent to peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::Content;
use firdock_core::settings::Settings;
use firdock_node::Input;
use firdock_node::clock::Clock;
use firdock_node::peer::{PeerRecord, SelfStatus, bind_beacon_socket};
use firdock_policy::suspect::{ReportedExit, SuspectKind, SuspectReport};
use firdock_policy::{Event, Policy as _, PolicySettings, Scheduler};
use prost::Message as _;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use uuid::Uuid;

use crate::test_instance::TestInstance;

const NOW: Duration = Duration::from_mins(1);

fn report(n: usize, exits: usize) -> SuspectReport {
    let exit = |e: usize| ReportedExit {
        start: format!("an-endpoint-with-a-long-name-{n}-{e}@1796279291159"),
        sent_ago: Duration::from_millis(200),
        ended_ago: Duration::from_millis(100),
        void: false,
    };
    SuspectReport {
        kind: SuspectKind::Request,
        content: Arc::new(Content::new("account", "POST", "/path", &n.to_be_bytes())),
        account: format!("an account with a long name {}", n % 7),
        service: "a service with a long name".to_owned(),
        exits: (0..exits).map(exit).collect(),
    }
}

fn status(suspects: Vec<SuspectReport>) -> SelfStatus {
    let settings = PolicySettings::new(&Settings::default(), Uuid::nil());
    let mut scheduler = Scheduler::new(settings);
    scheduler.step(NOW, Event::SuspectsReported(suspects), &mut Vec::new());
    SelfStatus::new(scheduler.tables(), NOW)
}

/// A datagram that is too long is not sent, and its sender would count as silent. So reports of suspects leave
/// space for the rest of a heartbeat, however many there are.
#[test]
fn suspect_reports_never_fill_a_datagram() {
    let many = (0..900).map(|n| report(n, 16)).collect();
    for status in [status(many), status(vec![report(1, 1)])] {
        for full in [status.in_full(), status.as_lead(), status.clone()] {
            let heartbeat = full.message(NOW, 0);
            assert!(
                heartbeat.encoded_len() < 24 << 10,
                "{}",
                heartbeat.encoded_len()
            );
            assert!(!heartbeat.suspects.is_empty());
        }
    }
}

/// Ages grow while a report waits to be sent. With its ages at creation, an event after an exit would seem to
/// precede it.
#[test]
fn ages_are_those_of_the_moment_of_sending() {
    let status = status(vec![report(1, 1)]);
    let heartbeat = status.message(NOW + Duration::from_millis(150), 0);
    let exit = &heartbeat.suspects[0].ends[0];
    assert_eq!((exit.sent_ago, exit.ended_ago), (350, 250));
}

/// Starts an instance that knows `other` and sends heartbeats every 20 ms.
async fn start(name: &str, other: Option<SocketAddr>) -> TestInstance {
    let any = "127.0.0.1:0".parse().expect("an address");
    let socket = bind_beacon_socket(any).await.expect("a socket");
    let clock = Clock::new();
    let instance = TestInstance::new(name, socket, clock, Vec::new());
    if let Some(address) = other {
        let known = PeerRecord {
            name: "lasting".to_owned(),
            address,
            zone: "zone".to_owned(),
            millicores: 0,
        };
        instance.directory.add_reported(known, clock.now());
    }
    instance
}

/// Waits until one heartbeat reports this many suspects.
async fn hears_suspects(events: &mut mpsc::Receiver<Input>, count: usize) -> bool {
    let hearing = async {
        while let Some(input) = events.recv().await {
            if let Input::Event(Event::Peer(update)) = input
                && update.suspects.len() == count
            {
                return true;
            }
        }
        false
    };
    timeout(Duration::from_secs(1), hearing)
        .await
        .unwrap_or(false)
}

/// Guards against an instance that starts again under its name and sends what its peers know not to be sent: they took
/// it for the process that they had told everything.
#[tokio::test]
async fn an_instance_that_starts_again_hears_of_all_suspects_at_once() {
    const SUSPECTS: usize = 12;
    let mut lasting = start("lasting", None).await;
    lasting.beacons.interval = Duration::from_mins(1);
    let address = lasting.beacons.socket.local_addr().expect("an address");
    let reports = (0..SUSPECTS).map(|n| report(n, 3)).collect();
    lasting.self_status.send_replace(status(reports));
    let (_stop, stops) = watch::channel(false);
    tokio::spawn(lasting.beacons.run(stops.clone()));
    for life in 0..2 {
        let TestInstance {
            beacons,
            mut events,
            self_status: _status,
            ..
        } = start("restarted", Some(address)).await;
        let running = tokio::spawn(beacons.run(stops.clone()));
        assert!(hears_suspects(&mut events, SUSPECTS).await, "life {life}");
        // Like a killed process, it says no good-bye.
        running.abort();
    }
}
