//! Reports of requests during which endpoints exited, as they are sent to peers.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::Content;
use firdock_core::settings::Settings;
use firdock_node::peer::SelfStatus;
use firdock_policy::suspect::{ReportedExit, SuspectKind, SuspectReport};
use firdock_policy::{Event, Policy as _, PolicySettings, Scheduler};
use prost::Message as _;
use uuid::Uuid;

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
