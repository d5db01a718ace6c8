//! Ends of answers that wait for a verdict while something else happens to their request, endpoint or instance.

use std::sync::Arc;

use firdock_core::resource::{Catalog, Endpoint, Resource, Service};
use firdock_policy::event::{
    ConnectFailure, DispatchUpdate, EndEvidence, EndVerdict, Liveness, LivenessResult, PeerUpdate,
    PoolLinks,
};
use firdock_policy::{Action, Event, NewRequest, PolicySettings, Time};

use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::{dispatched, id, millis};

/// Longest wait of an end, and a tick.
const MAX_WAIT: Time = Time::from_millis(275);
/// Time in which an accepted end is reported.
const REPORT_TIME: Time = Time::from_millis(10);
/// Unix time at which the instance's clock was zero.
const UNIX_ZERO: Time = Time::from_secs(1_000_000);
const ENDED: DispatchUpdate = DispatchUpdate::Ended {
    prompt: 0,
    cached: 0,
    output: 0,
};

/// Returns the resources, whose services are streams: those of `safe` may be continued.
fn streams() -> Vec<Resource> {
    let mut all = resources();
    for resource in &mut all {
        if let Resource::Service(service) = resource {
            *service = Service {
                streamed: true,
                resumable: service.repeatable,
                ..service.clone()
            };
        }
    }
    all
}

fn without_endpoint(name: &str) -> Vec<Resource> {
    let mut all = streams();
    all.retain(|r| !matches!(r, Resource::Endpoint(e) if e.name == name));
    all
}

/// An answer whose head and first events have been passed on.
struct Answer {
    edge: EdgeScheduler,
    endpoint: String,
}

impl Answer {
    fn start(settings: PolicySettings, new: NewRequest) -> Self {
        let mut edge = EdgeScheduler::new(settings, streams());
        if edge.scheduler.tables().settings.routes_by_peers {
            edge.step(Event::Peer(heartbeat("b")));
        }
        let sent = dispatched(&edge.arrive(new));
        let endpoint = sent[0].1.clone();
        Self { edge, endpoint }
    }

    fn of(service: &str) -> Self {
        let mut answer = Self::start(edge_settings("a"), request(1, service, "free"));
        answer.begin();
        answer
    }

    fn begin(&mut self) {
        self.update(DispatchUpdate::Started { head_sent: true });
        let (delivered, cached) = (2, 0);
        self.update(DispatchUpdate::Tokens { delivered, cached });
    }

    fn update(&mut self, update: DispatchUpdate) -> Vec<Action> {
        self.edge.update_dispatch(1, 1, update)
    }

    /// The connection closes in order.
    fn close(&mut self) -> Vec<Action> {
        let last = self.edge.now;
        self.update(DispatchUpdate::LastBytes(last));
        self.update(DispatchUpdate::Unproven)
    }

    /// The connection closes in order, and time passes until there is a verdict or the request is forgotten.
    fn close_and_wait(&mut self) -> Vec<Action> {
        let mut actions = self.close();
        while verdict_of(&actions).is_none() && !self.is_forgotten() {
            actions.extend(self.pass(millis(25)));
        }
        actions
    }

    fn check(&mut self, found: Liveness) -> Vec<Action> {
        let start = self.endpoint.clone();
        self.edge
            .step(Event::LivenessChecked(LivenessResult { start, found }))
    }

    /// A liveness check through a peer ends.
    fn check_through(&mut self, found: Liveness) -> Vec<Action> {
        let start = self.endpoint.clone();
        let result = LivenessResult { start, found };
        self.edge.step(Event::LivenessCheckedThrough(result))
    }

    /// Ends the liveness check that was started.
    fn check_start(&mut self, started: &[Action], found: Liveness) -> Vec<Action> {
        let start = started.iter().find_map(|a| match a {
            Action::CheckLiveness { start, .. } => Some(start.clone()),
            _ => None,
        });
        let start = start.expect("a liveness check");
        self.edge
            .step(Event::LivenessChecked(LivenessResult { start, found }))
    }

    /// Passes time in steps of the timer.
    fn pass(&mut self, time: Time) -> Vec<Action> {
        let end = self.edge.now + time;
        let mut actions = Vec::new();
        while self.edge.now < end {
            self.edge.step(Event::ConfigConfirmed(self.edge.now));
            actions.extend(self.edge.advance(millis(25)));
        }
        actions
    }

    /// Returns whether any state of the request or of its end is left.
    fn is_forgotten(&self) -> bool {
        let t = self.edge.scheduler.tables();
        t.unproven_ends.is_empty() && t.requests.get(id(1)).is_none()
    }
}

/// Returns a word of a peer that passes connections on and reaches all endpoints.
pub fn heartbeat(name: &str) -> PeerUpdate {
    PeerUpdate {
        name: name.to_owned(),
        passes_on: true,
        links: vec![PoolLinks {
            pool: "pool".to_owned(),
            reached: 2,
            failing: 0,
        }],
        ..PeerUpdate::default()
    }
}

fn verdict_of(actions: &[Action]) -> Option<EndVerdict> {
    actions.iter().find_map(|action| match action {
        Action::JudgeEnd { verdict, .. } => Some(*verdict),
        _ => None,
    })
}

fn is_cut(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Cut { .. }))
}

/// Guards against a verdict on, or a second try of, a request whose caller left while its end waited.
#[test]
fn an_end_whose_caller_leaves_is_forgotten() {
    for service in ["safe", "once"] {
        let mut answer = Answer::of(service);
        answer.close();
        let left = answer.edge.step(Event::CallerLeft(id(1)));
        assert!(left.iter().any(|a| matches!(a, Action::Cancel { .. })));
        let mut later = answer.check(Liveness::Ended);
        later.extend(answer.pass(MAX_WAIT));
        assert_eq!(verdict_of(&later), None, "{service}");
        assert!(dispatched(&later).is_empty(), "{service}");
        assert!(answer.is_forgotten(), "{service}");
    }
}

/// Guards against an answer that is there and is cut at its deadline, because nothing was found out of its endpoint.
#[test]
fn an_end_is_judged_before_the_deadline_of_its_request() {
    for service in ["safe", "once"] {
        for before in [30, 60, 100, 200] {
            let new = NewRequest {
                deadline: Some(millis(101_000)),
                ..request(1, service, "free")
            };
            let mut answer = Answer::start(edge_settings("a"), new);
            answer.begin();
            answer.pass(millis(1_000 - before));
            // Its events have no IDs, so that its caller cannot ask for the rest.
            answer.update(DispatchUpdate::Unresumable);
            let actions = answer.close_and_wait();
            let verdict = verdict_of(&actions);
            let case = format!("{service}, {before} ms before its deadline: {verdict:?}");
            assert!(verdict.is_some_and(|v| v.accepted), "{case}");
            assert!(!is_cut(&actions), "{case}");
            answer.edge.now += REPORT_TIME;
            answer.edge.step(Event::Timer);
            answer.update(ENDED);
            assert!(answer.is_forgotten(), "{case}");
            let outcomes = &answer.edge.scheduler.tables().stats.outcomes;
            assert_eq!(outcomes[&firdock_core::Outcome::Answered], 1, "{case}");
        }
    }
}

/// Guards against a part of a stream that is passed on as complete, since its endpoint was killed right before the deadline and
/// no check could find that out: its caller can ask for the rest.
#[test]
fn a_stream_without_a_verdict_at_its_deadline_is_broken_off() {
    for before in [30, 60, 100] {
        let new = NewRequest {
            deadline: Some(millis(101_000)),
            ..request(1, "safe", "free")
        };
        let mut answer = Answer::start(edge_settings("a"), new);
        answer.begin();
        answer.pass(millis(1_000 - before));
        let actions = answer.close_and_wait();
        let verdict = verdict_of(&actions);
        let rejected = Some(EndVerdict::rejected(EndEvidence::Silent));
        assert_eq!(verdict, rejected, "{before} ms before its deadline");
        let mut broken = answer.update(DispatchUpdate::Broke { delivered: 2 });
        broken.extend(answer.pass(millis(before)));
        assert!(
            is_cut(&broken),
            "{before} ms before its deadline: {broken:?}"
        );
    }
}

/// Guards against a planned stop that cuts an end which waits, or that is reported as finished before it.
#[test]
fn a_stopping_instance_waits_for_the_verdict_on_an_end() {
    for found in [Liveness::Open, Liveness::Ended] {
        let mut answer = Answer::of("safe");
        answer.close();
        let mut actions = answer.edge.step(Event::Drain);
        actions.extend(answer.pass(millis(25)));
        assert!(!actions.iter().any(|a| matches!(a, Action::Drained)));
        let judged = answer.check(found);
        let verdict = verdict_of(&judged).expect("a verdict");
        assert_eq!(verdict.accepted, found == Liveness::Open);
        if !verdict.accepted {
            // It is continued by this instance, which has its caller.
            let broke = answer.update(DispatchUpdate::Broke { delivered: 2 });
            assert_eq!(dispatched(&broke).len(), 1, "{broke:?}");
            continue;
        }
        let ended = answer.update(ENDED);
        assert!(ended.iter().any(|a| matches!(a, Action::Drained)));
    }
}

/// Guards against an answer that is there and is cut since its key was revoked while its end waited.
#[test]
fn an_end_that_waits_is_judged_after_its_access_was_withdrawn() {
    for found in [Liveness::Open, Liveness::Ended] {
        for begun in [true, false] {
            let mut answer = Answer::start(edge_settings("a"), request(1, "safe", "free"));
            if begun {
                answer.begin();
            }
            answer.close();
            let withdrawn = answer.edge.step(Event::AccessChanged(id(1)));
            assert!(!is_cut(&withdrawn));
            let judged = answer.check(found);
            let verdict = verdict_of(&judged).expect("a verdict");
            assert_eq!(verdict.accepted, found == Liveness::Open);
            if verdict.accepted {
                answer.update(ENDED);
            } else {
                let broke = answer.update(DispatchUpdate::Broke { delivered: 2 });
                assert!(dispatched(&broke).is_empty(), "{broke:?}");
                assert_eq!(is_cut(&broke), begun, "{broke:?}");
            }
            assert!(answer.is_forgotten());
        }
    }
}

/// Guards against an end without a verdict when its service, account or endpoint leaves the configuration.
#[test]
fn an_end_is_judged_after_its_entries_are_gone() {
    let kept: [fn(&Resource) -> bool; 3] = [
        |r| !matches!(r, Resource::Service(_)),
        |r| !matches!(r, Resource::Account(_)),
        |r| !matches!(r, Resource::Endpoint(_)),
    ];
    for (n, is_kept) in kept.into_iter().enumerate() {
        for service in ["safe", "once"] {
            let mut answer = Answer::of(service);
            answer.close();
            let all = streams().into_iter().filter(is_kept);
            let catalog = Catalog::new(2).with_resources(all.collect::<Vec<_>>());
            let changed = answer.edge.step(Event::Config(Arc::new(catalog)));
            assert!(!is_cut(&changed), "{n} {service}");
            let judged = answer.check(Liveness::Open);
            let verdict = verdict_of(&judged);
            let open = EndVerdict::accepted(EndEvidence::Open);
            assert_eq!(verdict, Some(open), "{n} {service}");
            answer.update(ENDED);
            assert!(answer.is_forgotten(), "{n} {service}");
        }
    }
}

/// Lists a start of the answer's endpoint that began at a time of the instance's clock.
fn list_start(answer: &mut Answer, began: Time) -> Vec<Action> {
    let mut all = without_endpoint(&answer.endpoint);
    all.push(Resource::Endpoint(Endpoint {
        name: answer.endpoint.clone(),
        pool: "pool".to_owned(),
        slots: 2,
        started: Some(UNIX_ZERO + began),
        ..Endpoint::default()
    }));
    let catalog = Catalog::new(2).with_resources(all);
    answer.edge.step(Event::Config(Arc::new(catalog)))
}

fn with_starts(service: &str) -> Answer {
    let settings = edge_settings("a").with_unix_zero(UNIX_ZERO);
    let mut answer = Answer::start(settings, request(1, service, "free"));
    answer.begin();
    answer.pass(millis(500));
    answer
}

/// Guards against a part that looks whole where the entry of a later start shows that its endpoint's process ended.
#[test]
fn an_end_is_rejected_by_the_entry_of_a_later_start() {
    for service in ["safe", "once"] {
        let mut answer = with_starts(service);
        answer.close();
        let began = answer.edge.now;
        answer.pass(millis(50));
        let actions = list_start(&mut answer, began);
        let verdict = verdict_of(&actions);
        let restarted = EndVerdict::rejected(EndEvidence::Restarted);
        assert_eq!(verdict, Some(restarted), "{service}");
    }
}

/// Guards against a whole answer that is broken off since the entry of the start that gave it was read after it was sent.
#[test]
fn an_end_is_not_rejected_by_the_entry_of_the_start_that_it_is_from() {
    for service in ["safe", "once"] {
        let mut answer = with_starts(service);
        let began = answer.edge.now.saturating_sub(millis(2_000));
        let listed = list_start(&mut answer, began);
        let given_up = |a: &Action| matches!(a, Action::GiveUpDispatch { .. });
        assert!(!listed.iter().any(given_up), "{service}");
        answer.pass(millis(500));
        let closed = answer.close();
        assert_eq!(verdict_of(&closed), None, "{service}");
        let open = answer.check_start(&closed, Liveness::Open);
        let accepted = EndVerdict::accepted(EndEvidence::Open);
        assert_eq!(verdict_of(&open), Some(accepted), "{service}");
    }
}

/// Starts an answer of an instance whose clock had stood still for a time before it was sent.
fn sent_after_standstill(service: &str, stood_still: Time) -> Answer {
    let settings = edge_settings("a").with_unix_zero(UNIX_ZERO);
    let mut edge = EdgeScheduler::new(settings, streams());
    edge.step(Event::UnixZeroRead(UNIX_ZERO + stood_still));
    let sent = dispatched(&edge.arrive(request(1, service, "free")));
    let endpoint = sent[0].1.clone();
    let mut answer = Answer { edge, endpoint };
    answer.begin();
    answer
}

/// Guards against a whole answer that is broken off, since its instance's clock had stood still, so that the start that gave it
/// seems to have begun after it was sent.
#[test]
fn an_end_counts_for_the_start_that_gave_it_after_the_clock_stood_still() {
    for service in ["safe", "once"] {
        let stood_still = millis(700);
        let mut answer = sent_after_standstill(service, stood_still);
        let began = answer.edge.now + stood_still.saturating_sub(millis(200));
        answer.pass(millis(50));
        list_start(&mut answer, began);
        let closed = answer.close();
        assert_eq!(verdict_of(&closed), None, "{service}");
        let open = answer.check_start(&closed, Liveness::Open);
        let accepted = EndVerdict::accepted(EndEvidence::Open);
        assert_eq!(verdict_of(&open), Some(accepted), "{service}");
    }
}

/// Guards against a part that looks whole, since its instance's clock stood still after it was sent, so that the start after
/// the one that gave it seems to have begun before.
#[test]
fn an_end_of_the_earlier_start_is_rejected_if_the_clock_stood_still_after_it_was_sent() {
    for service in ["safe", "once"] {
        let mut answer = with_starts(service);
        let stood_still = millis(1_000);
        let zero = Event::UnixZeroRead(UNIX_ZERO + stood_still);
        answer.edge.step(zero);
        let began = answer.edge.now + stood_still.saturating_sub(millis(100));
        let mut actions = answer.close();
        answer.edge.now += millis(10);
        actions.extend(list_start(&mut answer, began));
        actions.extend(answer.check(Liveness::Open));
        actions.extend(answer.pass(MAX_WAIT));
        let verdict = verdict_of(&actions).expect("a verdict");
        assert!(!verdict.accepted, "{service}: {verdict:?}");
    }
}

/// Guards against a part of a stream that looks whole, since the clock of its endpoint is some milliseconds behind: the start after
/// the one that gave it seems to have begun before it was sent.
#[test]
fn an_end_is_not_accepted_by_the_order_of_clocks_that_may_differ() {
    let settings = edge_settings("a").with_unix_zero(UNIX_ZERO);
    let mut answer = Answer::start(settings, request(1, "safe", "free"));
    let began = answer.edge.now.saturating_sub(millis(30));
    answer.begin();
    answer.edge.now += millis(20);
    let mut actions = answer.close();
    answer.edge.now += millis(10);
    actions.extend(list_start(&mut answer, began));
    actions.extend(answer.pass(millis(25)));
    actions.extend(answer.check_start(&actions.clone(), Liveness::Open));
    actions.extend(answer.pass(MAX_WAIT));
    let ambiguous = EndVerdict::rejected(EndEvidence::Ambiguous);
    assert_eq!(verdict_of(&actions), Some(ambiguous));
}

/// Guards against a whole answer that is broken off, since the clock of its endpoint is some milliseconds ahead: the start that gave it
/// seems to have begun after it was sent, although the answer went on for long after that.
#[test]
fn an_answer_that_went_on_after_the_next_start_began_is_of_that_start() {
    for service in ["safe", "once"] {
        let mut answer = with_starts(service);
        let began = answer.edge.now.saturating_sub(millis(480));
        let mut actions = answer.close();
        answer.edge.now += millis(10);
        actions.extend(list_start(&mut answer, began));
        assert_eq!(verdict_of(&actions), None, "{service}");
        actions.extend(answer.pass(millis(25)));
        let open = answer.check_start(&[actions.pop().expect("a check")], Liveness::Open);
        let accepted = EndVerdict::accepted(EndEvidence::Open);
        assert_eq!(verdict_of(&open), Some(accepted), "{service}");
    }
}

/// Starts an answer whose connection goes through a peer, since the own link is cut.
fn passed_on(service: &str) -> Answer {
    let settings = edge_settings("a").with_routes_by_peers();
    let mut answer = Answer::start(settings, request(1, service, "free"));
    answer.update(DispatchUpdate::ConnectFailed(ConnectFailure::Refused));
    answer.update(DispatchUpdate::PassedOn);
    answer.begin();
    answer
}

/// Guards against whole answers that are broken off, and endpoints that are ejected, because the instance's own link to an
/// endpoint is cut while its answers come through a peer.
#[test]
fn the_own_link_does_not_judge_an_answer_that_came_through_a_peer() {
    for service in ["safe", "once"] {
        for found in [Liveness::Ended, Liveness::Silent] {
            let mut answer = passed_on(service);
            let closed = answer.close();
            let own = closed
                .iter()
                .any(|a| matches!(a, Action::CheckLiveness { .. }));
            assert!(!own, "{service}: the own link is asked");
            let told = answer.check(found);
            assert_eq!(verdict_of(&told), None, "{service} {found:?}");
        }
    }
}

/// Guards against a part that looks whole, or a whole answer that does not, where the peer through which an answer came would
/// have told whether its endpoint lives.
#[test]
fn an_answer_that_came_through_a_peer_is_judged_by_what_that_peer_reaches() {
    for service in ["safe", "once"] {
        for (found, expected) in [
            (Liveness::Open, EndVerdict::accepted(EndEvidence::Open)),
            (Liveness::Ended, EndVerdict::rejected(EndEvidence::Refused)),
        ] {
            let mut answer = passed_on(service);
            // The own link has refused connections for long.
            answer.pass(millis(500));
            let closed = answer.close();
            let checked = closed.iter().find_map(|a| match a {
                Action::CheckLivenessThrough { start, peer, .. } => Some((start, peer)),
                _ => None,
            });
            let (start, peer) = checked.expect("a check");
            assert_eq!((start, peer.as_str()), (&answer.endpoint, "b"));
            let told = answer.check_through(found);
            assert_eq!(verdict_of(&told), Some(expected), "{service}");
        }
    }
}

/// Guards against a whole answer that is broken off, and an endpoint that is ejected, since its instance's link was cut while
/// the answer was under way: connections live on while new ones are refused.
#[test]
fn a_refusal_of_the_own_link_is_confirmed_by_a_peer() {
    let open = EndVerdict::accepted(EndEvidence::Open);
    let refused = EndVerdict::rejected(EndEvidence::Refused);
    for service in ["safe", "once"] {
        for (found, expected) in [
            (Liveness::Open, open),
            (Liveness::Ended, refused),
            (Liveness::Silent, refused),
        ] {
            let settings = edge_settings("a").with_routes_by_peers();
            let mut answer = Answer::start(settings, request(1, service, "free"));
            answer.begin();
            answer.close();
            let told = answer.check(Liveness::Ended);
            assert_eq!(verdict_of(&told), None, "{service}");
            let ejections = |a: &Answer| a.edge.scheduler.tables().stats.ejections;
            assert_eq!(ejections(&answer), 0, "{service}");
            let mut told = answer.check_through(found);
            if found == Liveness::Open {
                assert_eq!(verdict_of(&told), None, "{service}");
                told = answer.check_start(&told, Liveness::Ended);
            }
            assert_eq!(verdict_of(&told), Some(expected), "{service} {found:?}");
            let is_ended = found != Liveness::Open;
            assert_eq!(
                ejections(&answer),
                u64::from(is_ended),
                "{service} {found:?}"
            );
        }
        // A peer that does not answer at all.
        let settings = edge_settings("a").with_routes_by_peers();
        let mut answer = Answer::start(settings, request(1, service, "free"));
        answer.begin();
        answer.close();
        answer.check(Liveness::Ended);
        let told = answer.pass(MAX_WAIT);
        assert_eq!(verdict_of(&told), Some(refused), "{service}");
    }
}

/// Guards against a part that is passed on as complete, since a peer was asked late of an endpoint that refused the own link:
/// it reached the next process.
#[test]
fn a_peer_that_reaches_the_next_process_does_not_refute_a_refusal_of_the_own_link() {
    let open = EndVerdict::accepted(EndEvidence::Open);
    let refused = EndVerdict::rejected(EndEvidence::Refused);
    for service in ["safe", "once"] {
        for (again, expected) in [
            (Some(Liveness::Open), refused),
            (Some(Liveness::Ended), open),
            (None, open),
        ] {
            let settings = edge_settings("a").with_routes_by_peers();
            let mut answer = Answer::start(settings, request(1, service, "free"));
            answer.begin();
            answer.close();
            answer.check(Liveness::Ended);
            answer.pass(millis(100));
            let told = answer.check_through(Liveness::Open);
            assert_eq!(verdict_of(&told), None, "{service}");
            let told = match again {
                Some(found) => answer.check_start(&told, found),
                None => answer.pass(MAX_WAIT),
            };
            assert_eq!(verdict_of(&told), Some(expected), "{service} {again:?}");
        }
    }
}

/// Guards against an instance that aborts, since the start that gave an answer, and was listed after it was sent, is replaced as
/// well while the end waits for what a peer reaches: nothing else refers to its row, which is removed.
#[test]
fn an_end_outlives_the_later_start_that_gave_its_answer() {
    for service in ["safe", "once"] {
        for is_passed_on in [true, false] {
            let settings = edge_settings("a").with_unix_zero(UNIX_ZERO);
            let settings = settings.with_routes_by_peers();
            let mut answer = Answer::start(settings, request(1, service, "free"));
            if is_passed_on {
                answer.update(DispatchUpdate::ConnectFailed(ConnectFailure::Refused));
                answer.update(DispatchUpdate::PassedOn);
            }
            answer.begin();
            answer.pass(millis(500));
            let began = answer.edge.now.saturating_sub(millis(2_000));
            list_start(&mut answer, began);
            let closed = answer.close();
            if !is_passed_on {
                answer.check_start(&closed, Liveness::Ended);
            }
            answer.pass(millis(50));
            let next_began = answer.edge.now;
            let replaced = list_start(&mut answer, next_began);
            let restarted = EndVerdict::rejected(EndEvidence::Restarted);
            let case = format!("{service}, passed on: {is_passed_on}");
            assert_eq!(verdict_of(&replaced), Some(restarted), "{case}");
        }
    }
}

/// Guards against a whole answer that is told as broken, since the start that gave it, and was listed after it was sent, leaves the
/// configuration while its end waits: nothing else refers to its row, which is removed.
#[test]
fn an_end_is_judged_after_the_entry_of_its_later_start_is_gone() {
    for service in ["safe", "once"] {
        for found in [Liveness::Open, Liveness::Ended] {
            let mut answer = with_starts(service);
            let began = answer.edge.now.saturating_sub(millis(2_000));
            list_start(&mut answer, began);
            let closed = answer.close();
            let rest = without_endpoint(&answer.endpoint);
            let catalog = Catalog::new(2).with_resources(rest);
            let removed = answer.edge.step(Event::Config(Arc::new(catalog)));
            assert_eq!(verdict_of(&removed), None, "{service} {found:?}");
            let judged = answer.check_start(&closed, found);
            let verdict = verdict_of(&judged).expect("a verdict");
            assert_eq!(verdict.accepted, found == Liveness::Open, "{service}");
        }
    }
}

/// Guards against a check through a peer that began before an answer ended, and is taken for one after it.
#[test]
fn a_check_through_a_peer_covers_no_end_that_came_later() {
    let settings = edge_settings("a").with_routes_by_peers();
    let mut answer = Answer::start(settings, request(1, "once", "free"));
    let second = loop {
        let n = answer.edge.scheduler.tables().requests.iter().count() as u64 + 1;
        let sent = dispatched(&answer.edge.arrive(request(n, "once", "free")));
        if sent[0].1 == answer.endpoint {
            break n;
        }
    };
    for n in [1, second] {
        answer.edge.update_dispatch(n, 1, DispatchUpdate::PassedOn);
        let started = DispatchUpdate::Started { head_sent: true };
        answer.edge.update_dispatch(n, 1, started);
    }
    answer.close();
    // Longer than the time within which answers end together.
    answer.pass(millis(75));
    let unproven = DispatchUpdate::Unproven;
    answer.edge.update_dispatch(second, 1, unproven);
    let told = answer.check_through(Liveness::Open);
    let judged = |a: &&Action| matches!(a, Action::JudgeEnd { id: of, .. } if *of == id(1));
    assert_eq!(told.iter().filter(judged).count(), 1);
    let again =
        |a: &Action| matches!(a, Action::CheckLivenessThrough { id: of, .. } if *of == id(second));
    assert!(told.iter().any(again), "{told:?}");
}

/// Guards against a coordinator, which has no connections, that waits for a verdict.
#[test]
fn a_coordinator_judges_no_ends() {
    let settings = PolicySettings {
        coordinates: true,
        ..edge_settings("a")
    };
    let mut edge = EdgeScheduler::new(settings, streams());
    edge.step(Event::Adopted(request(1, "safe", "free"), "e1".to_owned()));
    let mut actions = edge.update_dispatch(1, 1, DispatchUpdate::Unproven);
    actions.extend(edge.advance(MAX_WAIT));
    assert!(actions.is_empty(), "{actions:?}");
    assert!(edge.scheduler.tables().unproven_ends.is_empty());
    edge.update_dispatch(1, 1, ENDED);
    assert!(edge.scheduler.tables().requests.get(id(1)).is_none());
}
