//! Placement by a coordinator: lost messages, silent members, and a change of the coordinator.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::{Account, Catalog, Endpoint, PoolWeight, Resource, Service, Tier};
use firdock_core::settings::Settings;
use firdock_core::{Reason, RequestId};
use firdock_node::peer::{PeerDirectory, PeerInfo};
use firdock_node::placement::{
    Coordinator, EndpointNotice, EndpointPace, Membership, PlacementRequest, Progress,
    ProgressUpdate, Report, read_reply, read_report, write_reply, write_report,
};
use firdock_node::telemetry::discard_logger;
use firdock_policy::event::Member;
use firdock_policy::load::Pace;
use firdock_policy::notice::Notice;
use firdock_policy::{
    Action, Event, Mechanisms, NewRequest, Policy as _, PolicySettings, Scheduler, Time,
};
use proptest::prelude::*;
use uuid::Uuid;

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn id(n: u64) -> RequestId {
    Uuid::from_u64_pair(1, n)
}

fn policy() -> PolicySettings {
    PolicySettings::new(&Settings::default(), Uuid::from_u128(1)).with_mechanisms(Mechanisms::EDGE)
}

/// Creates a catalog with one engine of two slots.
fn catalog() -> Event {
    let service = Service {
        name: "service".to_owned(),
        tier: "tier".to_owned(),
        matches: "/service".to_owned(),
        split: vec![PoolWeight {
            pool: "pool".to_owned(),
            weight: 1,
        }],
        ..Service::default()
    };
    let resources = vec![
        Resource::Tier(Tier {
            name: "tier".to_owned(),
            ..Tier::default()
        }),
        Resource::Account(Account {
            name: "account".to_owned(),
            ..Account::default()
        }),
        Resource::Service(service),
        Resource::Endpoint(Endpoint {
            name: "engine".to_owned(),
            pool: "pool".to_owned(),
            slots: 2,
            ..Endpoint::default()
        }),
    ];
    Event::Config(Arc::new(Catalog::new(1).with_resources(resources)))
}

fn coordinator(now: Time) -> Coordinator {
    let mut coordinator = Coordinator::new(Scheduler::new(policy().with_coordination()));
    coordinator.observe(now, catalog());
    coordinator
}

fn new_request(n: u64) -> NewRequest {
    NewRequest {
        id: id(n),
        service: "service".to_owned(),
        account: "account".to_owned(),
        prompt_tokens: 10,
        output_tokens: 10,
        ..NewRequest::default()
    }
}

fn request(n: u64) -> PlacementRequest {
    PlacementRequest {
        new_request: new_request(n),
        attempt: 1,
        remaining: None,
    }
}

fn report(name: &str) -> Report {
    Report {
        instance: name.to_owned(),
        incarnation: Uuid::from_u128(5),
        zone: "zone".to_owned(),
        number: 1,
        full: false,
        waiting: Vec::new(),
        running: Vec::new(),
        updates: Vec::new(),
        paces: Vec::new(),
        notices: Vec::new(),
        truncated: false,
    }
}

fn endpoint_pace(hundredths: u32, age: u64) -> EndpointPace {
    EndpointPace {
        endpoint: "engine".to_owned(),
        pace: Pace::from_hundredths(hundredths).expect("a pace within its bounds"),
        age: millis(age),
    }
}

fn report_waiting(name: &str, ids: &[u64]) -> Report {
    Report {
        waiting: ids.iter().map(|n| request(*n)).collect(),
        ..report(name)
    }
}

/// Takes the coordinator's replies and returns the ids of the requests that they assign.
fn take_assigned(coordinator: &mut Coordinator) -> Vec<RequestId> {
    let replies = coordinator.replies();
    replies
        .into_iter()
        .flat_map(|(_, reply)| reply.assignments)
        .map(|p| p.id)
        .collect()
}

#[test]
fn a_coordinator_keeps_the_newest_pace_that_members_report() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    let with_paces = |name: &str, paces: Vec<EndpointPace>| Report {
        paces,
        ..report(name)
    };
    c.handle_report(now, with_paces("a", vec![endpoint_pace(300, 20)]), None);
    // A pace that arrives later but was read earlier does not replace the one of another member.
    c.handle_report(now, with_paces("b", vec![endpoint_pace(750, 90)]), None);
    let row = c.endpoint("engine").expect("the engine is declared");
    assert_eq!(row.reported_pace.latest(), Some((3.0, millis(980))));
    c.check_invariants(now);
}

#[test]
fn a_pace_out_of_bounds_is_dropped_from_a_report() {
    let sent = Report {
        paces: vec![endpoint_pace(68, 0)],
        ..report("a")
    };
    let mut wire = write_report(&sent);
    for hundredths in [0, 9, 5_001, u32::MAX] {
        wire.paces[0].hundredths = hundredths;
        assert!(read_report(wire.clone()).paces.is_empty());
    }
}

#[test]
fn an_assignment_carries_the_expected_time_to_the_first_token() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    c.handle_report(now, report_waiting("a", &[1]), None);
    let replies = c.replies();
    let (_, reply) = &replies[0];
    assert!(reply.assignments[0].predicted > Duration::ZERO);
}

#[test]
fn a_lost_assignment_is_sent_again() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    c.handle_report(now, report_waiting("a", &[1]), None);
    assert_eq!(take_assigned(&mut c), vec![id(1)]);
    let full = Report {
        full: true,
        ..report_waiting("a", &[1])
    };
    c.handle_report(now + millis(100), full, None);
    assert_eq!(take_assigned(&mut c), vec![id(1)]);
    // It occupies one slot only.
    c.handle_report(now + millis(110), report_waiting("b", &[2, 3]), None);
    assert_eq!(take_assigned(&mut c), vec![id(2)]);
}

#[test]
fn the_slots_of_a_silent_member_are_released() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    c.handle_report(now, report_waiting("a", &[1, 2]), None);
    c.handle_report(now, report_waiting("b", &[3]), None);
    take_assigned(&mut c);
    for n in 1..=12 {
        let later = now + millis(100 * n);
        let full = Report {
            full: true,
            ..report_waiting("b", &[3])
        };
        c.handle_report(later, full, None);
        c.tick(later);
    }
    assert!(take_assigned(&mut c).contains(&id(3)));
}

#[test]
fn a_restarted_member_runs_no_earlier_requests() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    c.handle_report(now, report_waiting("a", &[1, 2]), None);
    take_assigned(&mut c);
    let restarted = Report {
        incarnation: Uuid::from_u128(6),
        ..report_waiting("a", &[3])
    };
    c.handle_report(now + millis(10), restarted, None);
    assert_eq!(take_assigned(&mut c), vec![id(3)]);
}

#[test]
fn requests_missing_from_a_full_report_are_over() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    c.handle_report(now, report_waiting("a", &[1, 2]), None);
    c.handle_report(now, report_waiting("b", &[3]), None);
    take_assigned(&mut c);
    let full = Report {
        full: true,
        running: vec![(request(2), "engine".to_owned())],
        ..report("a")
    };
    // Too early: the assignments may still be in flight.
    c.handle_report(now + millis(100), full.clone(), None);
    assert!(take_assigned(&mut c).is_empty());
    c.handle_report(now + millis(500), full, None);
    assert_eq!(take_assigned(&mut c), vec![id(3)]);
}

#[test]
fn requests_left_out_of_a_truncated_report_are_not_over() {
    let ids: Vec<u64> = (0..400).collect();
    let full = Report {
        full: true,
        ..report_waiting("a", &ids)
    };
    let received = read_report(write_report(&full));
    assert!(received.truncated && received.waiting.len() < 400);
    let now = millis(1_000);
    let mut c = coordinator(now);
    c.handle_report(now, report_waiting("a", &[399]), None);
    c.handle_report(now, report_waiting("b", &[1_001, 1_002]), None);
    assert_eq!(take_assigned(&mut c).len(), 2);
    c.handle_report(now + millis(500), received, None);
    assert!(
        take_assigned(&mut c).is_empty(),
        "request 399 still has its slot"
    );
}

#[test]
fn a_new_coordinator_learns_the_running_requests_from_one_full_report() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    let full = Report {
        full: true,
        running: vec![
            (request(1), "engine".to_owned()),
            (request(2), "engine".to_owned()),
        ],
        ..report("a")
    };
    c.handle_report(now, full, None);
    c.handle_report(now, report_waiting("b", &[3]), None);
    assert!(take_assigned(&mut c).is_empty(), "both slots are in use");
    let ended = Report {
        updates: vec![ProgressUpdate {
            id: id(1),
            attempt: 1,
            progress: Progress::Ended {
                prompt: 10,
                output: 10,
            },
        }],
        ..report("a")
    };
    c.handle_report(now + millis(10), ended, None);
    assert_eq!(take_assigned(&mut c), vec![id(3)]);
    c.check_invariants(now + millis(10));
}

/// Member `b` with the live peers `a` and `c`; `a` is the first of the group.
struct TestMember {
    member: Membership,
    scheduler: Scheduler,
    directory: Arc<PeerDirectory>,
    now: Time,
}

impl TestMember {
    fn new() -> Self {
        let directory = Arc::new(PeerDirectory::new("b".to_owned(), "zone".to_owned()));
        let me = Member {
            name: "b".to_owned(),
            incarnation: Uuid::from_u128(2),
        };
        let zone = "zone".to_owned();
        let member = Membership::new(me, zone, Arc::clone(&directory), discard_logger());
        let mut test_member = Self {
            member,
            scheduler: Scheduler::new(policy()),
            directory,
            now: millis(1_000),
        };
        test_member.step(catalog());
        test_member.record_heartbeats();
        test_member
    }

    fn record_heartbeats(&self) {
        for (name, port) in [("a", 1), ("c", 3)] {
            let address = ([127, 0, 0, 1], port).into();
            let zone = "zone";
            let millicores = 0;
            self.directory.record_heartbeat(
                PeerInfo {
                    name,
                    zone,
                    millicores,
                },
                address,
                self.now,
            );
        }
    }

    fn step(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.step(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Ask { id } = action {
                self.member.request_placement(*id);
            }
        }
        actions
    }

    /// Advances the time in ticks for as long as `pause`; returns the full reports that were due.
    fn wait(&mut self, pause: Duration) -> Vec<Report> {
        let end = self.now + pause;
        let mut reports = Vec::new();
        while self.now < end {
            self.now += millis(25);
            self.record_heartbeats();
            for event in self.member.select_coordinator(self.now, false) {
                self.step(event);
            }
            reports.extend(self.member.report_full(self.now, self.scheduler.tables()));
        }
        reports
    }

    fn coordinated(&self) -> bool {
        self.scheduler.tables().coordinated
    }

    fn port(&self) -> Option<u16> {
        self.member.address().map(|a| a.port())
    }

    fn reply_from(&mut self, name: &str) {
        let reply = firdock_node::placement::Reply {
            instance: name.to_owned(),
            ..firdock_node::placement::Reply::default()
        };
        for event in self.member.handle_reply(reply) {
            self.step(event);
        }
    }
}

#[test]
fn a_coordinator_is_in_force_only_once_it_replies() {
    let mut b = TestMember::new();
    let reports = b.wait(millis(25));
    assert!(reports.len() == 1 && reports[0].full);
    assert_eq!(b.port(), Some(1));
    assert!(!b.coordinated());
    b.reply_from("c");
    assert!(
        !b.coordinated(),
        "a reply of an instance that was not asked"
    );
    b.reply_from("a");
    assert!(b.coordinated());
}

#[test]
fn a_silent_coordinator_is_replaced_by_the_next_instance() {
    let mut b = TestMember::new();
    b.wait(millis(25));
    b.reply_from("a");
    b.step(Event::Arrived(new_request(1)));
    b.wait(millis(275));
    assert!(b.coordinated(), "two replies may have been lost");
    b.wait(millis(200));
    assert!(!b.coordinated());
    // The next by name is this instance itself, which has no address to send to.
    assert_eq!(b.port(), None);
    b.wait(millis(3_100));
    assert_eq!(b.port(), Some(1), "it is asked again after a while");
}

#[test]
fn waiting_requests_are_reported_repeatedly() {
    let mut b = TestMember::new();
    b.wait(millis(25));
    b.reply_from("a");
    b.step(Event::Arrived(new_request(1)));
    let first = b.member.report_updates(b.now, b.scheduler.tables());
    assert_eq!(first.expect("an ask").waiting.len(), 1);
    let full = b.wait(millis(250));
    assert!(full.len() >= 2, "{}", full.len());
    assert!(full.iter().all(|r| r.waiting.len() == 1));
}

fn progress() -> impl Strategy<Value = Progress> {
    prop_oneof![
        Just(Progress::FirstToken),
        (any::<u32>(), any::<u32>())
            .prop_map(|(prompt, output)| Progress::Ended { prompt, output }),
        Just(Progress::Broke),
        Just(Progress::Refused),
        Just(Progress::Unreachable),
        Just(Progress::Dropped),
    ]
}

proptest! {
    #[test]
    fn reports_arrive_as_they_were_sent(ids in prop::collection::vec(any::<u64>(), 0..20), progress in progress(), full: bool) {
        let sent = Report {
            full,
            waiting: ids.iter().map(|n| request(*n)).collect(),
            running: ids.iter().map(|n| (request(*n), "engine".to_owned())).collect(),
            updates: ids.iter().map(|n| ProgressUpdate { id: id(*n), attempt: 3, progress }).collect(),
            paces: ids.iter().map(|n| endpoint_pace(68 + (n % 900) as u32, 40)).collect(),
            ..report("a")
        };
        prop_assert_eq!(read_report(write_report(&sent)), sent);
    }

    #[test]
    fn a_coordinator_keeps_its_invariants_whatever_is_reported(steps in prop::collection::vec((0..4_u64, 0..3_u32, 0..6_u8, any::<bool>()), 0..60)) {
        let mut now = millis(1_000);
        let mut c = coordinator(now);
        for (n, attempt, kind, full) in steps {
            now += millis(37);
            let request = PlacementRequest { attempt, ..request(n) };
            let name = if n % 2 == 0 { "a" } else { "b" };
            let mut sent = Report { full, ..report(name) };
            match kind {
                0 | 1 => sent.waiting.push(request),
                2 => sent.running.push((request, "engine".to_owned())),
                3 => sent.updates.push(ProgressUpdate { id: id(n), attempt, progress: Progress::FirstToken }),
                4 => sent.updates.push(ProgressUpdate { id: id(n), attempt, progress: Progress::Broke }),
                _ => sent.updates.push(ProgressUpdate { id: id(n), attempt, progress: Progress::Dropped }),
            }
            c.handle_report(now, sent, None);
            c.tick(now);
            c.check_invariants(now);
            for (_, reply) in c.replies() {
                let decoded = read_reply(write_reply(&reply, "x"));
                prop_assert_eq!(decoded.assignments, reply.assignments);
            }
        }
    }
}

fn endpoint_notice(endpoint: &str, leaving: bool, backoff: Option<u64>) -> EndpointNotice {
    EndpointNotice {
        endpoint: endpoint.to_owned(),
        notice: Notice {
            leaving,
            backoff: backoff.map(millis),
            ..Notice::default()
        },
    }
}

/// An engine that asked one member to back off takes the requests of the others, also those that are queued
/// behind that member's. After the backoff, that member's requests go there as well.
#[test]
fn no_slot_stays_empty_because_an_engine_asked_one_member_to_back_off() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    let backing_off = Report {
        notices: vec![endpoint_notice("engine", false, Some(300))],
        ..report_waiting("a", &[1, 2, 3])
    };
    c.handle_report(now, backing_off, None);
    assert!(take_assigned(&mut c).is_empty());
    c.handle_report(now, report_waiting("b", &[4]), None);
    assert_eq!(take_assigned(&mut c), [id(4)]);
    c.handle_report(now, report_waiting("c", &[5, 6]), None);
    assert_eq!(take_assigned(&mut c), [id(5)], "the other slot of two");
    c.tick(now + millis(200));
    assert!(take_assigned(&mut c).is_empty());
    let ended = |n: u64| ProgressUpdate {
        id: id(n),
        attempt: 1,
        progress: Progress::Ended {
            prompt: 10,
            output: 10,
        },
    };
    let free = |name: &str, n: u64| Report {
        updates: vec![ended(n)],
        ..report(name)
    };
    c.handle_report(now + millis(310), free("b", 4), None);
    assert_eq!(take_assigned(&mut c), [id(1)], "the first in the queue");
}

/// A request is refused at once if all engines back off from its member for longer than it can wait.
#[test]
fn a_request_that_cannot_wait_for_the_end_of_the_backoff_is_refused_at_once() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    let mut urgent = request(1);
    urgent.remaining = Some(millis(500));
    let waiting = Report {
        waiting: vec![urgent, request(2)],
        notices: vec![endpoint_notice("engine", false, Some(1_000))],
        ..report("a")
    };
    c.handle_report(now, waiting, None);
    let replies = c.replies();
    let refused: Vec<_> = replies.iter().flat_map(|(_, r)| &r.refusals).collect();
    assert_eq!(refused.len(), 1);
    assert_eq!(
        (refused[0].id, refused[0].reason),
        (id(1), Reason::BackingOff)
    );
    assert!(refused[0].retry_after >= millis(1_000));
}

/// The notice of a leaving engine to one member counts for all members, as the report of a peer does.
#[test]
fn an_engine_that_notified_one_member_that_it_leaves_is_assigned_to_nobody() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    let sent = Report {
        notices: vec![endpoint_notice("engine", true, None)],
        ..report("a")
    };
    c.handle_report(now, sent, None);
    c.handle_report(now, report_waiting("b", &[1]), None);
    assert!(take_assigned(&mut c).is_empty());
}

#[test]
fn notices_are_decoded_as_they_were_encoded() {
    let sent = Report {
        notices: vec![
            endpoint_notice("engine@1", true, None),
            endpoint_notice("engine@2", false, Some(1_250)),
            endpoint_notice("engine@3", true, Some(3)),
        ],
        ..report("a")
    };
    assert_eq!(read_report(write_report(&sent)), sent);
    let mut written = write_report(&sent);
    written.notices[1].backoff_millis = u64::MAX;
    let read = read_report(written);
    assert_eq!(read.notices[1].notice.backoff, Some(Notice::MAX_BACKOFF));
}
