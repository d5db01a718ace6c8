//! Words on requests under which endpoints ended, as they go on the wire.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::Content;
use firdock_core::settings::Settings;
use firdock_node::peer::SelfStatus;
use firdock_policy::suspect::{ReportedExit, SuspectReport};
use firdock_policy::{Event, Policy as _, PolicySettings, Scheduler};
use prost::Message as _;
use uuid::Uuid;

const NOW: Duration = Duration::from_mins(1);

fn told(n: usize, ends: usize) -> SuspectReport {
    let end = |e: usize| ReportedExit {
        start: format!("an-endpoint-with-a-long-name-{n}-{e}@1796279291159"),
        sent_ago: Duration::from_millis(200),
        ended_ago: Duration::from_millis(100),
        void: false,
    };
    SuspectReport {
        content: Arc::new(Content::new("account", "POST", "/path", &n.to_be_bytes())),
        account: format!("an account with a long name {}", n % 7),
        service: "a service with a long name".to_owned(),
        exits: (0..ends).map(end).collect(),
    }
}

fn news(suspects: Vec<SuspectReport>) -> SelfStatus {
    let settings = PolicySettings::new(&Settings::default(), Uuid::nil());
    let mut scheduler = Scheduler::new(settings);
    scheduler.step(NOW, Event::SuspectsReported(suspects), &mut Vec::new());
    SelfStatus::new(scheduler.tables(), NOW)
}

/// A datagram that is too long is not sent, and its sender would pass for silent: whatever is known of
/// suspects, there is room for the rest of a heartbeat.
#[test]
fn words_on_suspects_never_fill_a_datagram() {
    let many = (0..900).map(|n| told(n, 16)).collect();
    for news in [news(many), news(vec![told(1, 1)])] {
        for full in [news.in_full(), news.as_lead(), news.clone()] {
            let beat = full.message(NOW, 0);
            assert!(beat.encoded_len() < 24 << 10, "{}", beat.encoded_len());
            assert!(!beat.suspects.is_empty());
        }
    }
}

/// A word that waits to be sent gets older meanwhile: what followed an end would seem to come before it.
#[test]
fn ages_are_those_of_the_moment_of_sending() {
    let news = news(vec![told(1, 1)]);
    let beat = news.message(NOW + Duration::from_millis(150), 0);
    let end = &beat.suspects[0].ends[0];
    assert_eq!((end.sent_ago, end.ended_ago), (350, 250));
}
