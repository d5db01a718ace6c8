//! Members and their coordinator: words that are lost, members that fall silent, a new coordinator.

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

/// One engine of two places.
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

fn new(n: u64) -> NewRequest {
    NewRequest {
        id: id(n),
        service: "service".to_owned(),
        account: "account".to_owned(),
        prompt_tokens: 10,
        output_tokens: 10,
        ..NewRequest::default()
    }
}

fn wanted(n: u64) -> PlacementRequest {
    PlacementRequest {
        new_request: new(n),
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

fn paced(hundredths: u32, age: u64) -> EndpointPace {
    EndpointPace {
        endpoint: "engine".to_owned(),
        pace: Pace::from_hundredths(hundredths).expect("a pace within its bounds"),
        age: millis(age),
    }
}

fn asking(name: &str, ids: &[u64]) -> Report {
    Report {
        waiting: ids.iter().map(|n| wanted(*n)).collect(),
        ..report(name)
    }
}

/// Ids of the requests that were given places.
fn placed(coordinator: &mut Coordinator) -> Vec<RequestId> {
    let replies = coordinator.replies();
    replies
        .into_iter()
        .flat_map(|(_, reply)| reply.assignments)
        .map(|p| p.id)
        .collect()
}

#[test]
fn a_coordinator_knows_the_pace_that_a_member_was_told_with_its_time() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    let told = |name: &str, paces: Vec<EndpointPace>| Report {
        paces,
        ..report(name)
    };
    c.handle_report(now, told("a", vec![paced(300, 20)]), None);
    // A word that took longer is older than what another member told before.
    c.handle_report(now, told("b", vec![paced(750, 90)]), None);
    let row = c.endpoint("engine").expect("the engine is declared");
    assert_eq!(row.reported_pace.latest(), Some((3.0, millis(980))));
    c.check_invariants(now);
}

#[test]
fn a_pace_that_no_server_can_have_is_left_out_of_a_report() {
    let told = Report {
        paces: vec![paced(68, 0)],
        ..report("a")
    };
    let mut wire = write_report(&told);
    for hundredths in [0, 9, 5_001, u32::MAX] {
        wire.paces[0].hundredths = hundredths;
        assert!(read_report(wire.clone()).paces.is_empty());
    }
}

#[test]
fn a_place_comes_with_the_time_that_is_expected_there() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    c.handle_report(now, asking("a", &[1]), None);
    let replies = c.replies();
    let (_, reply) = &replies[0];
    assert!(reply.assignments[0].predicted > Duration::ZERO);
}

#[test]
fn a_place_whose_word_was_lost_is_told_again() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    c.handle_report(now, asking("a", &[1]), None);
    assert_eq!(placed(&mut c), vec![id(1)]);
    let whole = Report {
        full: true,
        ..asking("a", &[1])
    };
    c.handle_report(now + millis(100), whole, None);
    assert_eq!(placed(&mut c), vec![id(1)]);
    // It took one place all the same.
    c.handle_report(now + millis(110), asking("b", &[2, 3]), None);
    assert_eq!(placed(&mut c), vec![id(2)]);
}

#[test]
fn a_silent_members_places_are_free_again() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    c.handle_report(now, asking("a", &[1, 2]), None);
    c.handle_report(now, asking("b", &[3]), None);
    placed(&mut c);
    for n in 1..=12 {
        let later = now + millis(100 * n);
        let whole = Report {
            full: true,
            ..asking("b", &[3])
        };
        c.handle_report(later, whole, None);
        c.tick(later);
    }
    assert!(placed(&mut c).contains(&id(3)));
}

#[test]
fn a_restarted_member_runs_nothing_of_before() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    c.handle_report(now, asking("a", &[1, 2]), None);
    placed(&mut c);
    let restarted = Report {
        incarnation: Uuid::from_u128(6),
        ..asking("a", &[3])
    };
    c.handle_report(now + millis(10), restarted, None);
    assert_eq!(placed(&mut c), vec![id(3)]);
}

#[test]
fn what_a_whole_report_does_not_tell_of_is_over() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    c.handle_report(now, asking("a", &[1, 2]), None);
    c.handle_report(now, asking("b", &[3]), None);
    placed(&mut c);
    let whole = Report {
        full: true,
        running: vec![(wanted(2), "engine".to_owned())],
        ..report("a")
    };
    // Too soon: the words may be on their way.
    c.handle_report(now + millis(100), whole.clone(), None);
    assert!(placed(&mut c).is_empty());
    c.handle_report(now + millis(500), whole, None);
    assert_eq!(placed(&mut c), vec![id(3)]);
}

#[test]
fn nothing_is_over_because_a_report_has_no_room_for_it() {
    let ids: Vec<u64> = (0..400).collect();
    let whole = Report {
        full: true,
        ..asking("a", &ids)
    };
    let told = read_report(write_report(&whole));
    assert!(told.truncated && told.waiting.len() < 400);
    let now = millis(1_000);
    let mut c = coordinator(now);
    c.handle_report(now, asking("a", &[399]), None);
    c.handle_report(now, asking("b", &[1_001, 1_002]), None);
    assert_eq!(placed(&mut c).len(), 2);
    c.handle_report(now + millis(500), told, None);
    assert!(placed(&mut c).is_empty(), "request 399 still has its place");
}

#[test]
fn a_new_coordinator_learns_from_one_report_what_runs() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    let whole = Report {
        full: true,
        running: vec![
            (wanted(1), "engine".to_owned()),
            (wanted(2), "engine".to_owned()),
        ],
        ..report("a")
    };
    c.handle_report(now, whole, None);
    c.handle_report(now, asking("b", &[3]), None);
    assert!(placed(&mut c).is_empty(), "both places are taken");
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
    assert_eq!(placed(&mut c), vec![id(3)]);
    c.check_invariants(now + millis(10));
}

/// An instance `b` whose peers `a` and `c` were heard; `a` is the first of the group.
struct Asking {
    member: Membership,
    scheduler: Scheduler,
    directory: Arc<PeerDirectory>,
    now: Time,
}

impl Asking {
    fn new() -> Self {
        let directory = Arc::new(PeerDirectory::new("b".to_owned(), "zone".to_owned()));
        let me = Member {
            name: "b".to_owned(),
            incarnation: Uuid::from_u128(2),
        };
        let zone = "zone".to_owned();
        let member = Membership::new(me, zone, Arc::clone(&directory), discard_logger());
        let mut asking = Self {
            member,
            scheduler: Scheduler::new(policy()),
            directory,
            now: millis(1_000),
        };
        asking.step(catalog());
        asking.hear();
        asking
    }

    fn hear(&self) {
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

    /// Lets time pass by ticks; gives the whole reports and whether a coordinator is believed in.
    fn wait(&mut self, pause: Duration) -> Vec<Report> {
        let end = self.now + pause;
        let mut reports = Vec::new();
        while self.now < end {
            self.now += millis(25);
            self.hear();
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

    fn answer(&mut self, name: &str) {
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
fn a_coordinator_counts_only_once_it_answers() {
    let mut b = Asking::new();
    let reports = b.wait(millis(25));
    assert!(reports.len() == 1 && reports[0].full);
    assert_eq!(b.port(), Some(1));
    assert!(!b.coordinated());
    b.answer("c");
    assert!(!b.coordinated(), "a word of one that was not asked");
    b.answer("a");
    assert!(b.coordinated());
}

#[test]
fn a_coordinator_that_falls_silent_is_given_up_for_the_next_one() {
    let mut b = Asking::new();
    b.wait(millis(25));
    b.answer("a");
    b.step(Event::Arrived(new(1)));
    b.wait(millis(275));
    assert!(b.coordinated(), "two words may have been lost");
    b.wait(millis(200));
    assert!(!b.coordinated());
    // The next by name is this instance itself, which has no address to send to.
    assert_eq!(b.port(), None);
    b.wait(millis(3_100));
    assert_eq!(b.port(), Some(1), "it is asked again after a while");
}

#[test]
fn requests_that_wait_are_told_of_again_and_again() {
    let mut b = Asking::new();
    b.wait(millis(25));
    b.answer("a");
    b.step(Event::Arrived(new(1)));
    let first = b.member.report_updates(b.now, b.scheduler.tables());
    assert_eq!(first.expect("an ask").waiting.len(), 1);
    let whole = b.wait(millis(250));
    assert!(whole.len() >= 2, "{}", whole.len());
    assert!(whole.iter().all(|r| r.waiting.len() == 1));
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
    fn reports_arrive_as_they_were_sent(ids in prop::collection::vec(any::<u64>(), 0..20), progress in progress(), whole: bool) {
        let told = Report {
            full: whole,
            waiting: ids.iter().map(|n| wanted(*n)).collect(),
            running: ids.iter().map(|n| (wanted(*n), "engine".to_owned())).collect(),
            updates: ids.iter().map(|n| ProgressUpdate { id: id(*n), attempt: 3, progress }).collect(),
            paces: ids.iter().map(|n| paced(68 + (n % 900) as u32, 40)).collect(),
            ..report("a")
        };
        prop_assert_eq!(read_report(write_report(&told)), told);
    }

    #[test]
    fn a_coordinator_stands_whatever_is_reported(steps in prop::collection::vec((0..4_u64, 0..3_u32, 0..6_u8, any::<bool>()), 0..60)) {
        let mut now = millis(1_000);
        let mut c = coordinator(now);
        for (n, attempt, what, whole) in steps {
            now += millis(37);
            let wanted = PlacementRequest { attempt, ..wanted(n) };
            let name = if n % 2 == 0 { "a" } else { "b" };
            let mut told = Report { full: whole, ..report(name) };
            match what {
                0 | 1 => told.waiting.push(wanted),
                2 => told.running.push((wanted, "engine".to_owned())),
                3 => told.updates.push(ProgressUpdate { id: id(n), attempt, progress: Progress::FirstToken }),
                4 => told.updates.push(ProgressUpdate { id: id(n), attempt, progress: Progress::Broke }),
                _ => told.updates.push(ProgressUpdate { id: id(n), attempt, progress: Progress::Dropped }),
            }
            c.handle_report(now, told, None);
            c.tick(now);
            c.check_invariants(now);
            for (_, reply) in c.replies() {
                let back = read_reply(write_reply(&reply, "x"));
                prop_assert_eq!(back.assignments, reply.assignments);
            }
        }
    }
}

fn noticed(endpoint: &str, leaving: bool, backoff: Option<u64>) -> EndpointNotice {
    EndpointNotice {
        endpoint: endpoint.to_owned(),
        notice: Notice {
            leaving,
            backoff: backoff.map(millis),
        },
    }
}

/// An engine that wants nothing from one member takes the requests of the others, also those that wait
/// behind that member's; at the end of its time that member's go there as well.
#[test]
fn no_place_stays_empty_for_a_member_that_an_engine_wants_nothing_from() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    let shunned = Report {
        notices: vec![noticed("engine", false, Some(300))],
        ..asking("a", &[1, 2, 3])
    };
    c.handle_report(now, shunned, None);
    assert!(placed(&mut c).is_empty());
    c.handle_report(now, asking("b", &[4]), None);
    assert_eq!(placed(&mut c), [id(4)]);
    c.handle_report(now, asking("c", &[5, 6]), None);
    assert_eq!(placed(&mut c), [id(5)], "the other place of two");
    c.tick(now + millis(200));
    assert!(placed(&mut c).is_empty());
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
    assert_eq!(placed(&mut c), [id(1)], "the first that waits");
}

/// A member whose engines all want nothing for longer than a request can wait has it back at once.
#[test]
fn a_member_hears_at_once_that_its_request_cannot_wait_for_the_end() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    let mut hasty = wanted(1);
    hasty.remaining = Some(millis(500));
    let asks = Report {
        waiting: vec![hasty, wanted(2)],
        notices: vec![noticed("engine", false, Some(1_000))],
        ..report("a")
    };
    c.handle_report(now, asks, None);
    let replies = c.replies();
    let refused: Vec<_> = replies.iter().flat_map(|(_, r)| &r.refusals).collect();
    assert_eq!(refused.len(), 1);
    assert_eq!(
        (refused[0].id, refused[0].reason),
        (id(1), Reason::BackingOff)
    );
    assert!(refused[0].retry_after >= millis(1_000));
}

/// What a member was told that an engine leaves counts for all, as a peer's word does.
#[test]
fn an_engine_that_told_a_member_that_it_leaves_is_given_to_nobody() {
    let now = millis(1_000);
    let mut c = coordinator(now);
    let told = Report {
        notices: vec![noticed("engine", true, None)],
        ..report("a")
    };
    c.handle_report(now, told, None);
    c.handle_report(now, asking("b", &[1]), None);
    assert!(placed(&mut c).is_empty());
}

#[test]
fn notices_come_through_the_wire_as_they_were_told() {
    let told = Report {
        notices: vec![
            noticed("engine@1", true, None),
            noticed("engine@2", false, Some(1_250)),
            noticed("engine@3", true, Some(3)),
        ],
        ..report("a")
    };
    assert_eq!(read_report(write_report(&told)), told);
    let mut written = write_report(&told);
    written.notices[1].backoff_millis = u64::MAX;
    let read = read_report(written);
    assert_eq!(read.notices[1].notice.backoff, Some(Notice::MAX_BACKOFF));
}
