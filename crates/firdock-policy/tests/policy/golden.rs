//! Golden sessions: recorded events and the resulting actions, as JSON lines in `golden/`.
//!
//! `FIRDOCK_BLESS=1` rewrites the files; the change is then reviewed with the commit.

use std::fmt::Write as _;
use std::path::PathBuf;

use firdock_policy::event::{
    DispatchUpdate, EndpointEvent, HandOverEvent, HandOverRefusal, ListedInstance, LoadReport,
    LogReading, Member, MemberView, PeerUpdate,
};
use firdock_policy::{Event, Policy as _, PolicySettings, Scheduler, Time};
use serde_json::json;
use uuid::Uuid;

use crate::fixtures::{LOG_START, catalog, id, millis, request, resources, settings, with_key};

/// A session that records its events and actions.
struct Session {
    scheduler: Scheduler,
    now: Time,
    lines: String,
}

impl Session {
    fn new(settings: PolicySettings) -> Self {
        let scheduler = Scheduler::new(settings);
        let mut session = Self {
            scheduler,
            now: millis(10_000),
            lines: String::new(),
        };
        session.step(catalog(1, resources()));
        session
    }

    fn step(&mut self, event: Event) -> &mut Self {
        let mut out = Vec::new();
        let line = json!({"at": self.now.as_millis() as u64, "in": event});
        let _ = writeln!(self.lines, "{line}");
        self.scheduler.step(self.now, event, &mut out);
        self.scheduler.check_invariants(self.now);
        for action in out {
            let _ = writeln!(self.lines, "{}", json!({"out": action}));
        }
        self
    }

    fn advance(&mut self, n: u64) -> &mut Self {
        self.now += millis(n);
        self.step(Event::Timer)
    }

    fn arrive(&mut self, n: u64, service: &str, account: &str) -> &mut Self {
        self.step(Event::Arrived(request(n, service, account)))
    }

    fn update_dispatch(&mut self, n: u64, dispatch: u32, update: DispatchUpdate) -> &mut Self {
        self.now += millis(1);
        self.step(Event::Endpoint(EndpointEvent {
            id: id(n),
            dispatch,
            update,
        }))
    }

    fn peer(&mut self, name: &str, held: &[u32]) -> &mut Self {
        self.step(Event::Peer(PeerUpdate {
            name: name.to_owned(),
            zone: "zone".to_owned(),
            held: held.to_vec(),
            demand: Vec::new(),
            draining: false,
            ..PeerUpdate::default()
        }))
    }

    fn log_read(&mut self, since_start: u64) -> &mut Self {
        let log_time = LOG_START + millis(since_start);
        self.step(Event::LogRead(LogReading {
            log_time,
            sent: self.now,
        }))
    }

    fn view(&mut self, number: u64, since: u64, members: &[Member]) -> &mut Self {
        self.step(Event::View(MemberView {
            since: LOG_START + millis(since),
            number,
            first: number == 1,
            members: members.to_vec(),
        }))
    }

    fn compare(&self, name: &str) {
        let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/policy/golden");
        let path = folder.join(format!("{name}.jsonl"));
        if std::env::var_os("FIRDOCK_BLESS").is_some() {
            std::fs::write(&path, &self.lines).expect("a golden file can be written");
        }
        let golden = std::fs::read_to_string(&path).expect("a golden file");
        for (n, (got, expected)) in self.lines.lines().zip(golden.lines()).enumerate() {
            assert_eq!(got, expected, "{name}.jsonl, line {}", n + 1);
        }
        assert_eq!(
            self.lines.lines().count(),
            golden.lines().count(),
            "{name}.jsonl ends"
        );
    }
}

const ENDED: DispatchUpdate = DispatchUpdate::Ended {
    prompt: 400,
    cached: 0,
    output: 20,
};
const STARTED: DispatchUpdate = DispatchUpdate::Started { head_sent: true };

fn me() -> Member {
    settings("a").member
}

fn other() -> Member {
    Member {
        name: "b".to_owned(),
        incarnation: Uuid::from_u64_pair(2, 0),
    }
}

#[test]
fn burst_of_all_tiers() {
    let mut s = Session::new(settings("a"));
    for n in 0..6 {
        s.arrive(3 * n + 1, "draft", "shop");
        s.arrive(3 * n + 2, "guide", if n % 2 == 0 { "shop" } else { "hall" });
        s.arrive(3 * n + 3, "tiles", "hall");
    }
    s.update_dispatch(3, 1, STARTED)
        .update_dispatch(3, 1, ENDED);
    s.update_dispatch(1, 1, STARTED)
        .update_dispatch(1, 1, ENDED);
    s.advance(1_000).advance(2_500);
    s.compare("burst_of_all_tiers");
}

#[test]
fn failing_engines() {
    let mut s = Session::new(settings("a"));
    s.arrive(1, "draft", "shop").arrive(2, "guide", "shop");
    s.update_dispatch(1, 1, STARTED).update_dispatch(
        1,
        1,
        DispatchUpdate::Tokens {
            delivered: 1,
            cached: 0,
        },
    );
    s.update_dispatch(1, 1, DispatchUpdate::Broke { delivered: 9 });
    s.update_dispatch(
        1,
        1,
        DispatchUpdate::Ended {
            prompt: 1,
            cached: 0,
            output: 9,
        },
    );
    s.update_dispatch(2, 1, DispatchUpdate::Refused { unreachable: true });
    s.advance(600);
    s.step(Event::Report(LoadReport {
        endpoint: "engine-1".to_owned(),
        age: millis(200),
        running: 1,
        waiting: 0,
        backlog: 100,
        leaving: true,
        gap: true,
        added: vec![1, 2],
        removed: vec![2],
    }));
    s.arrive(3, "draft", "hall").advance(500);
    s.update_dispatch(
        1,
        2,
        DispatchUpdate::Tokens {
            delivered: 10,
            cached: 128,
        },
    )
    .update_dispatch(1, 2, ENDED);
    s.arrive(4, "orders", "shop")
        .update_dispatch(4, 1, DispatchUpdate::Broke { delivered: 0 });
    s.step(Event::CallerLeft(id(3)));
    s.compare("failing_engines");
}

#[test]
fn keys_through_a_takeover() {
    let mut s = Session::new(settings("a"));
    let order = |n, key, minted| with_key(request(n, "orders", "shop"), key, minted);
    let at = |n| Some(LOG_START + millis(n));
    s.step(Event::Arrived(order(1, 1, at(0))));
    s.view(1, 0, &[me()]).log_read(10);
    s.step(Event::Arrived(order(2, 1, at(5))));
    s.step(Event::Arrived(order(3, 1, at(5))));
    s.update_dispatch(2, 1, STARTED)
        .update_dispatch(2, 1, ENDED);
    s.step(Event::Arrived(order(4, 1, at(5))));
    s.view(2, 1_000, &[other()]).log_read(1_010);
    s.step(Event::Arrived(order(5, 2, at(1_020))));
    s.step(Event::HandOver(HandOverEvent::Refused(HandOverRefusal {
        id: id(5),
        verdict: None,
        tried: Vec::new(),
    })));
    s.view(3, 2_000, &[me()]).log_read(2_010);
    s.step(Event::Arrived(order(6, 3, at(3_999))));
    s.step(Event::Arrived(order(7, 4, at(4_000))));
    s.advance(2_000).log_read(4_010);
    s.step(Event::Arrived(order(8, 5, at(4_000))));
    s.step(Event::Arrived(order(9, 6, None)));
    s.compare("keys_through_a_takeover");
}

#[test]
fn planned_stop() {
    let mut s = Session::new(settings("a"));
    for n in 1..=5 {
        s.arrive(n, "draft", "shop");
    }
    s.peer("b", &[0, 0, 0]).step(Event::Drain);
    s.step(Event::HandOver(HandOverEvent::Started(id(4))));
    s.step(Event::HandOver(HandOverEvent::Refused(HandOverRefusal {
        id: id(5),
        verdict: None,
        tried: Vec::new(),
    })));
    s.step(Event::HandOver(HandOverEvent::Ended(id(4))));
    for n in [1, 2, 3, 5] {
        s.update_dispatch(n, 1, STARTED)
            .update_dispatch(n, 1, ENDED);
    }
    s.advance(100);
    s.compare("planned_stop");
}

#[test]
fn leaving_endpoints() {
    let mut s = Session::new(settings("a"));
    let leave = |name: &str| ListedInstance {
        name: name.to_owned(),
        leaving: true,
    };
    s.arrive(1, "tiles", "shop");
    s.step(Event::Listed(vec![leave("plain-0")]));
    s.arrive(2, "tiles", "shop")
        .arrive(3, "tiles", "shop")
        .arrive(4, "tiles", "shop");
    s.update_dispatch(1, 1, STARTED)
        .update_dispatch(1, 1, ENDED);
    s.step(catalog(
        2,
        resources()
            .into_iter()
            .filter(|r| r.key().name != "plain-0")
            .collect(),
    ));
    s.update_dispatch(2, 1, STARTED)
        .update_dispatch(2, 1, ENDED);
    s.compare("leaving_endpoints");
}
