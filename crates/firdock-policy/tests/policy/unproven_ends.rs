//! Answers without a length or chunks that end with their connection: a process that is killed ends them like one that
//! has finished them.

mod plain;
mod series;

use firdock_core::resource::{Catalog, Endpoint, Resource, Service};
use firdock_policy::event::{
    BreakCause, ConnectFailure, DispatchUpdate, EndEvidence, EndVerdict, Liveness, LivenessResult,
    PeerUpdate, UnconfirmedStart,
};
use firdock_policy::notice::{Notice, NoticeReport};
use firdock_policy::{Action, Event, Time};

use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::millis;

/// Longest wait of an end, and a tick.
const MAX_WAIT: Time = Time::from_millis(275);

fn engine(name: &str) -> Resource {
    Resource::Endpoint(Endpoint {
        name: name.to_owned(),
        pool: "pool".to_owned(),
        slots: 32,
        ..Endpoint::default()
    })
}

/// Returns a service over the pool whose streams may be continued, or not.
fn stream_service(name: &str, resumable: bool) -> Resource {
    let mut all = resources().into_iter();
    let safe = all.find_map(|r| match r {
        Resource::Service(s) if s.name == "safe" => Some(s),
        _ => None,
    });
    Resource::Service(Service {
        name: name.to_owned(),
        matches: format!("/{name}"),
        streamed: true,
        resumable,
        repeatable: resumable,
        attempts: 0,
        timeout_millis: 60_000,
        ..safe.expect("the service")
    })
}

/// Returns a tier, accounts, services `safe` and `once`, the two services of streams and these endpoints.
fn resources_of(endpoints: &[&str]) -> Vec<Resource> {
    let mut all = resources();
    all.retain(|r| !matches!(r, Resource::Endpoint(_)));
    all.push(stream_service("stream", true));
    all.push(stream_service("run", false));
    all.extend(endpoints.iter().map(|name| engine(name)));
    all
}

/// Answers of the endpoint `e1`, beside which `e2` may continue them.
struct Answers {
    edge: EdgeScheduler,
}

impl Answers {
    /// Starts an answer for each service, of which the first events have arrived.
    fn of(services: &[&str]) -> Self {
        Self::with_resources(services, resources_of)
    }

    /// The same with the resources that belong to these endpoints.
    fn with_resources(services: &[&str], resources: impl Fn(&[&str]) -> Vec<Resource>) -> Self {
        let mut edge = EdgeScheduler::new(edge_settings("a"), resources(&["e1"]));
        for (n, service) in (1..).zip(services) {
            edge.arrive(request(n, service, "free"));
            edge.update_dispatch(n, 1, DispatchUpdate::Started { head_sent: true });
            let (delivered, cached) = (2, 0);
            edge.update_dispatch(n, 1, DispatchUpdate::Tokens { delivered, cached });
        }
        let catalog = Catalog::new(2).with_resources(resources(&["e1", "e2"]));
        edge.step(Event::Config(std::sync::Arc::new(catalog)));
        let mut answers = Self { edge };
        answers.pass(millis(100));
        answers
    }

    /// Passes time in steps as short as the timer's.
    fn pass(&mut self, time: Time) -> Vec<Action> {
        let end = self.edge.now + time;
        let mut actions = Vec::new();
        while self.edge.now < end {
            self.edge.now = (self.edge.now + millis(25)).min(end);
            actions.extend(self.edge.step(Event::ConfigConfirmed(self.edge.now)));
            actions.extend(self.edge.step(Event::Timer));
        }
        actions
    }

    /// The connection of an answer without framing closes in order.
    fn close(&mut self, n: u64) -> Vec<Action> {
        let last = DispatchUpdate::LastBytes(self.edge.now.saturating_sub(millis(1)));
        let mut actions = self.edge.update_dispatch(n, 1, last);
        actions.extend(self.edge.update_dispatch(n, 1, DispatchUpdate::Unproven));
        actions
    }

    /// The connection of an answer with framing closes before its end.
    fn break_off(&mut self, n: u64) -> Vec<Action> {
        let breaking = DispatchUpdate::Breaking(BreakCause::Closed);
        let mut actions = self.edge.update_dispatch(n, 1, breaking);
        let broke = DispatchUpdate::Broke { delivered: 2 };
        actions.extend(self.edge.update_dispatch(n, 1, broke));
        actions
    }

    /// A liveness check of the endpoint ends.
    fn check(&mut self, found: Liveness) -> Vec<Action> {
        self.check_at("e1", found)
    }

    fn check_at(&mut self, endpoint: &str, found: Liveness) -> Vec<Action> {
        let start = endpoint.to_owned();
        self.edge
            .step(Event::LivenessChecked(LivenessResult { start, found }))
    }
}

/// Returns the verdict on the end of a request's answer.
fn verdict_on(n: u64, actions: &[Action]) -> Option<EndVerdict> {
    let mut verdicts = actions.iter().filter_map(|action| match action {
        Action::JudgeEnd { id, verdict, .. } => (id.as_u128() == n.into()).then_some(*verdict),
        _ => None,
    });
    verdicts.next()
}

#[expect(clippy::unnecessary_wraps, reason = "compared with what was found")]
fn accepted(evidence: EndEvidence) -> Option<EndVerdict> {
    Some(EndVerdict::accepted(evidence))
}

#[expect(clippy::unnecessary_wraps, reason = "compared with what was found")]
fn rejected(evidence: EndEvidence) -> Option<EndVerdict> {
    Some(EndVerdict::rejected(evidence))
}

// Guards against a part of a stream that is passed on as a complete one when its endpoint was killed between two events.
#[test]
fn the_end_of_an_answer_whose_endpoint_refuses_connections_is_rejected() {
    for service in ["stream", "run"] {
        let mut answers = Answers::of(&[service]);
        let actions = answers.close(1);
        assert!(
            actions
                .iter()
                .any(|a| matches!(a, Action::CheckLiveness { .. })),
            "it is checked"
        );
        assert_eq!(verdict_on(1, &actions), None, "nothing is known yet");
        let verdict = verdict_on(1, &answers.check(Liveness::Ended));
        assert_eq!(verdict, rejected(EndEvidence::Refused), "{service}");
    }
}

#[test]
fn a_stream_whose_end_was_rejected_goes_on_at_another_endpoint() {
    let mut answers = Answers::of(&["stream"]);
    answers.close(1);
    answers.check(Liveness::Ended);
    let sent = crate::fixtures::dispatched(&answers.break_off(1));
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].1, "e2");
}

#[test]
fn the_end_of_an_answer_whose_endpoint_accepts_connections_counts_at_once() {
    for service in ["stream", "run", "safe", "once"] {
        let mut answers = Answers::of(&[service]);
        answers.close(1);
        let verdict = verdict_on(1, &answers.check(Liveness::Open));
        assert_eq!(verdict, accepted(EndEvidence::Open), "{service}");
    }
}

// Guards against complete answers that are told as broken when their endpoint stops in order: it stops listening first.
#[test]
fn an_end_counts_while_other_answers_of_the_endpoint_go_on() {
    for service in ["stream", "run"] {
        let mut answers = Answers::of(&[service, "stream"]);
        answers.close(1);
        assert_eq!(verdict_on(1, &answers.check(Liveness::Ended)), None);
        let verdict = verdict_on(1, &answers.pass(MAX_WAIT));
        assert_eq!(verdict, accepted(EndEvidence::OthersGoOn), "{service}");
    }
}

// Guards against a killed endpoint that is taken for a living one, since its other connections are seen to close later.
#[test]
fn answers_that_all_end_with_their_endpoint_are_rejected() {
    let mut answers = Answers::of(&["run", "stream", "run", "stream"]);
    let mut actions = answers.close(1);
    actions.extend(answers.check(Liveness::Ended));
    answers.pass(millis(30));
    actions.extend(answers.break_off(2));
    actions.extend(answers.close(3));
    actions.extend(answers.close(4));
    actions.extend(answers.check(Liveness::Ended));
    for n in [1, 3, 4] {
        let verdict = verdict_on(n, &actions).expect("a verdict");
        assert!(!verdict.accepted, "{n}: {verdict:?}");
    }
}

// Guards against a part that is passed on as complete, since the endpoint listens again by the time it is checked.
#[test]
fn an_answer_that_ends_when_the_only_other_one_breaks_is_rejected_without_a_check() {
    for service in ["stream", "run"] {
        let mut answers = Answers::of(&[service, "stream"]);
        answers.close(1);
        let verdict = verdict_on(1, &answers.break_off(2));
        assert_eq!(verdict, rejected(EndEvidence::OthersBroke), "{service}");
    }
}

// Guards against complete answers that are told as broken, as their endpoint broke off another one before.
#[test]
fn an_answer_that_broke_long_before_is_no_sign() {
    let mut answers = Answers::of(&["run", "stream"]);
    answers.break_off(2);
    answers.check(Liveness::Open);
    answers.pass(millis(100));
    answers.close(1);
    let verdict = verdict_on(1, &answers.check(Liveness::Open));
    assert_eq!(verdict, accepted(EndEvidence::Open));
}

/// Makes the endpoint refuse a connection, as a request that is sent there shows.
fn refuse_connection(answers: &mut Answers, n: u64) {
    answers.edge.arrive(request(n, "run", "free"));
    let refused = DispatchUpdate::ConnectFailed(ConnectFailure::Refused);
    answers.edge.update_dispatch(n, 1, refused);
    let unreachable = DispatchUpdate::Refused { unreachable: true };
    answers.edge.update_dispatch(n, 1, unreachable);
}

// Guards against complete answers that are told as broken, or run twice, when their endpoint stopped listening before.
#[test]
fn the_last_answer_of_an_endpoint_that_had_stopped_listening_counts() {
    for service in ["stream", "run"] {
        let mut edge = EdgeScheduler::new(edge_settings("a"), resources_of(&["e1"]));
        edge.arrive(request(1, service, "free"));
        edge.update_dispatch(1, 1, DispatchUpdate::Started { head_sent: true });
        let mut answers = Answers { edge };
        refuse_connection(&mut answers, 2);
        answers.pass(millis(200));
        answers.close(1);
        let verdict = verdict_on(1, &answers.check(Liveness::Ended));
        assert_eq!(
            verdict,
            accepted(EndEvidence::StoppedListening),
            "{service}"
        );
    }
}

// Guards against parts that are passed on as complete when an endpoint that stops is killed at the end of its grace.
#[test]
fn streams_that_end_together_at_an_endpoint_that_had_stopped_listening_are_continued() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources_of(&["e1"]));
    for n in [1, 2] {
        edge.arrive(request(n, "stream", "free"));
        edge.update_dispatch(n, 1, DispatchUpdate::Started { head_sent: true });
    }
    let mut answers = Answers { edge };
    refuse_connection(&mut answers, 3);
    answers.pass(millis(200));
    answers.close(1);
    answers.close(2);
    let actions = answers.check(Liveness::Ended);
    for n in [1, 2] {
        let verdict = verdict_on(n, &actions);
        assert_eq!(verdict, rejected(EndEvidence::EndedTogether), "{n}");
    }
}

// Guards against the last answers of a planned stop that cannot be repeated, and are told as broken.
#[test]
fn an_endpoint_that_leaves_is_expected_to_refuse_connections() {
    for (service, verdict) in [
        ("run", accepted(EndEvidence::StoppedListening)),
        ("stream", rejected(EndEvidence::Refused)),
    ] {
        let mut answers = Answers::of(&[service]);
        let leaving = true;
        answers.edge.step(Event::NoticeReported(NoticeReport {
            endpoint: "e1".to_owned(),
            member: String::new(),
            notice: Notice {
                leaving,
                ..Notice::default()
            },
            read: answers.edge.now,
        }));
        answers.close(1);
        let found = verdict_on(1, &answers.check(Liveness::Ended));
        assert_eq!(found, verdict, "{service}");
    }
}

// Guards against an end that waits for longer than callers bear when nothing answers the check.
#[test]
fn an_end_waits_no_longer_than_its_limit() {
    for (service, verdict) in [
        ("run", accepted(EndEvidence::Silent)),
        ("stream", rejected(EndEvidence::Silent)),
    ] {
        let mut answers = Answers::of(&[service]);
        answers.close(1);
        assert_eq!(verdict_on(1, &answers.pass(millis(225))), None, "{service}");
        let found = verdict_on(1, &answers.pass(millis(50)));
        assert_eq!(found, verdict, "{service}");
    }
}

// Guards against a part that is passed on as complete when its instance was suspended: the endpoint was replaced meanwhile.
#[test]
fn an_end_that_is_seen_after_a_suspension_is_not_proved_by_a_process_that_listens_now() {
    for (service, verdict) in [
        ("run", accepted(EndEvidence::SeenLate)),
        ("stream", rejected(EndEvidence::SeenLate)),
    ] {
        let mut answers = Answers::of(&[service]);
        answers.edge.now += millis(1_500);
        answers.close(1);
        let found = verdict_on(1, &answers.check(Liveness::Open));
        assert_eq!(found, verdict, "{service}");
    }
}

// Guards against a part that is passed on as complete when its instance stalled for less than a quarter of a second, before
// it saw the end or while it checked the endpoint: the endpoint was replaced meanwhile.
#[test]
fn an_end_is_not_proved_by_a_process_that_listens_after_a_short_stall() {
    let mut early = Vec::new();
    for (before, after) in [(150, 1), (1, 150)] {
        let mut answers = Answers::of(&["stream"]);
        answers.edge.now += millis(before);
        answers.close(1);
        answers.edge.now += millis(after);
        let found = verdict_on(1, &answers.check(Liveness::Open));
        early.extend((found != rejected(EndEvidence::SeenLate)).then_some((before, after, found)));
    }
    assert!(early.is_empty(), "{early:?}");
}

// Guards against whole answers that run twice, since the instance was throttled: it pauses for less than a tenth of a second
// and a tick.
#[test]
fn an_end_is_proved_by_a_process_that_listens_after_a_pause_of_a_throttled_instance() {
    let mut answers = Answers::of(&["stream"]);
    answers.edge.now += millis(120);
    answers.close(1);
    answers.pass(millis(50));
    answers.edge.now += millis(120);
    let found = verdict_on(1, &answers.check(Liveness::Open));
    assert_eq!(found, accepted(EndEvidence::Open));
}

// Guards against complete answers that run twice after a suspension of their instance, although they began later.
#[test]
fn an_answer_that_began_after_a_suspension_is_judged_by_the_check() {
    let mut answers = Answers::of(&["run"]);
    answers.edge.now += millis(1_500);
    answers.edge.step(Event::ConfigConfirmed(answers.edge.now));
    answers.edge.arrive(request(2, "stream", "free"));
    let head_sent = true;
    answers
        .edge
        .update_dispatch(2, 1, DispatchUpdate::Started { head_sent });
    answers.pass(millis(50));
    answers.close(2);
    let mut found = verdict_on(2, &answers.check_at("e1", Liveness::Open));
    found = found.or(verdict_on(2, &answers.check_at("e2", Liveness::Open)));
    assert_eq!(found, accepted(EndEvidence::Open));
}

// Guards against a check that began before the end and proves nothing of it.
#[test]
fn a_check_that_began_before_the_end_is_repeated() {
    let mut answers = Answers::of(&["stream", "stream"]);
    answers.close(1);
    answers.pass(millis(10));
    let actions = answers.close(2);
    let is_check = |a: &Action| matches!(a, Action::CheckLiveness { .. });
    assert!(!actions.iter().any(is_check), "one runs already");
    let actions = answers.check(Liveness::Open);
    assert_eq!(verdict_on(2, &actions), None);
    assert!(actions.iter().any(is_check), "it is repeated");
    let actions = answers.check(Liveness::Open);
    assert_eq!(verdict_on(2, &actions), accepted(EndEvidence::Open));
}

// Guards against parts that are passed on as complete, since a process that was ending accepted the connection of the first
// check.
#[test]
fn an_accepted_connection_proves_nothing_while_answers_that_ended_beside_it_are_unchecked() {
    for service in ["stream", "run"] {
        let mut answers = Answers::of(&[service, "run"]);
        answers.close(1);
        answers.edge.now += millis(1);
        answers.close(2);
        assert_eq!(verdict_on(1, &answers.check(Liveness::Open)), None);
        let actions = answers.check(Liveness::Ended);
        assert_eq!(
            verdict_on(1, &actions),
            rejected(EndEvidence::Refused),
            "{service}"
        );
        assert_eq!(verdict_on(2, &actions), rejected(EndEvidence::Refused));
    }
}

// Guards against a part that is passed on as complete, since the process that was ending closed each connection of the check.
#[test]
fn a_check_that_found_nothing_is_repeated_while_the_end_waits() {
    for nothing in [Liveness::Silent, Liveness::ClosesAtOnce] {
        let mut answers = Answers::of(&["run"]);
        answers.close(1);
        assert_eq!(verdict_on(1, &answers.check(nothing)), None);
        let actions = answers.pass(millis(25));
        let is_check = |a: &Action| matches!(a, Action::CheckLiveness { .. });
        assert!(actions.iter().any(is_check), "{nothing:?}");
        let verdict = verdict_on(1, &answers.check(Liveness::Ended));
        assert_eq!(verdict, rejected(EndEvidence::Refused), "{nothing:?}");
    }
}

// Guards against a part that is passed on as complete, since another process listens by the time of the second check: the
// address closed each connection of the first one.
#[test]
fn a_connection_that_is_accepted_after_others_were_closed_proves_nothing() {
    let ambiguous = EndEvidence::Ambiguous;
    for (service, expected) in [
        ("stream", rejected(ambiguous)),
        ("run", accepted(ambiguous)),
    ] {
        let mut answers = Answers::of(&[service]);
        answers.close(1);
        let found = answers.check(Liveness::ClosesAtOnce);
        assert_eq!(verdict_on(1, &found), None, "{service}");
        answers.pass(millis(25));
        let verdict = verdict_on(1, &answers.check(Liveness::Open));
        assert_eq!(verdict, expected, "{service}");
    }
}

// Guards against parts that are passed on as complete, since another process listens by the time of the second check: the
// first one found that the process which gave them had ended.
#[test]
fn a_connection_that_is_accepted_after_a_refusal_does_not_prove_earlier_answers() {
    let mut early = Vec::new();
    for service in ["stream", "run"] {
        let mut answers = Answers::of(&[service, service]);
        let mut actions = answers.close(1);
        actions.extend(answers.check(Liveness::Ended));
        assert_eq!(verdict_on(1, &actions), None, "another answer goes on");
        // Its last bytes came before the refusal; its close is seen late.
        let last = DispatchUpdate::LastBytes(answers.edge.now.saturating_sub(millis(1)));
        actions.extend(answers.pass(millis(75)));
        actions.extend(answers.edge.update_dispatch(2, 1, last));
        let unproven = DispatchUpdate::Unproven;
        actions.extend(answers.edge.update_dispatch(2, 1, unproven));
        actions.extend(answers.check(Liveness::Open));
        actions.extend(answers.pass(MAX_WAIT));
        let verdicts = [1, 2].map(|n| verdict_on(n, &actions).expect("a verdict"));
        early.extend(
            verdicts
                .into_iter()
                .filter(|v| v.accepted)
                .map(|v| (service, v)),
        );
    }
    assert!(early.is_empty(), "{early:?}");
}

// The same, where a request that was sent to the endpoint met the refusal, after the last bytes of the answer.
#[test]
fn a_connection_that_is_accepted_after_a_refused_request_does_not_prove_earlier_answers() {
    let mut early = Vec::new();
    for service in ["stream", "run"] {
        let mut edge = EdgeScheduler::new(edge_settings("a"), resources_of(&["e1"]));
        edge.arrive(request(1, service, "free"));
        edge.update_dispatch(1, 1, DispatchUpdate::Started { head_sent: true });
        let mut answers = Answers { edge };
        answers.pass(millis(100));
        let last = DispatchUpdate::LastBytes(answers.edge.now.saturating_sub(millis(1)));
        refuse_connection(&mut answers, 2);
        answers.pass(millis(25));
        let mut actions = answers.edge.update_dispatch(1, 1, last);
        actions.extend(answers.edge.update_dispatch(1, 1, DispatchUpdate::Unproven));
        actions.extend(answers.check(Liveness::Open));
        actions.extend(answers.pass(MAX_WAIT));
        let verdict = verdict_on(1, &actions).expect("a verdict");
        early.extend(verdict.accepted.then_some((service, verdict)));
    }
    assert!(early.is_empty(), "{early:?}");
}

/// Returns the requests among 24 of a service that are sent again, and those that are broken off, when all of their answers
/// end after a suspension; an end that is neither counts.
fn ends_after_suspension(service: &str) -> (Vec<u64>, Vec<u64>) {
    let services = [service; 24];
    let mut answers = Answers::of(&services);
    answers.edge.now += millis(1_500);
    for n in 1..=24 {
        answers.close(n);
    }
    let mut actions = answers.check(Liveness::Open);
    actions.extend(answers.check(Liveness::Open));
    actions.extend(answers.pass(MAX_WAIT));
    let (mut sent, mut cut) = (Vec::new(), Vec::new());
    for n in 1..=24 {
        let verdict = verdict_on(n, &actions).expect("a verdict");
        if !verdict.accepted {
            let broken = answers.break_off(n);
            let is_cut = |a: &Action| matches!(a, Action::Cut { .. });
            let list = if broken.iter().any(is_cut) {
                &mut cut
            } else {
                &mut sent
            };
            list.push(n);
        }
    }
    (sent, cut)
}

// Guards against complete answers that are broken off after a suspension, since more of them are to be continued than the
// retry budget admits: without a budget for it, the end of an answer counts whose caller cannot ask for the rest.
#[test]
fn no_more_ends_are_rejected_for_want_of_evidence_than_the_retry_budget_admits() {
    let (sent, cut) = ends_after_suspension("safe");
    assert!(cut.is_empty(), "{cut:?}");
    assert!(sent.len() < 24, "{sent:?}");
}

// Guards against parts of streams that are passed on as complete after a suspension, since more of them are to be continued
// than the retry budget admits: their callers ask for the rest.
#[test]
fn streams_are_broken_off_for_want_of_evidence_where_the_retry_budget_is_spent() {
    let (sent, cut) = ends_after_suspension("stream");
    assert_eq!(sent.len() + cut.len(), 24, "{sent:?}, {cut:?}");
    assert!(!cut.is_empty(), "all were sent again: {sent:?}");
}

// Guards against parts that are passed on as complete when an endpoint that stops is killed at the end of its grace: answers
// that may run once and end within the same milliseconds.
#[test]
fn answers_that_run_once_and_end_together_at_an_endpoint_that_had_stopped_listening_are_rejected() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources_of(&["e1"]));
    for n in 1..=6 {
        edge.arrive(request(n, "run", "free"));
        edge.update_dispatch(n, 1, DispatchUpdate::Started { head_sent: true });
    }
    let mut answers = Answers { edge };
    refuse_connection(&mut answers, 7);
    answers.pass(millis(200));
    for n in 1..=6 {
        answers.close(n);
    }
    let mut actions = answers.check(Liveness::Ended);
    actions.extend(answers.pass(MAX_WAIT));
    for n in 1..=6 {
        let verdict = verdict_on(n, &actions).expect("a verdict");
        assert!(!verdict.accepted, "{n}: {verdict:?}");
    }
}

// Guards against an endpoint that is known to live and is ejected for many seconds after a suspension of the instance, since
// the ends of its answers were rejected for want of evidence.
#[test]
fn ends_that_are_rejected_for_want_of_evidence_do_not_eject_an_endpoint_that_lives() {
    let mut answers = Answers::of(&["stream"; 8]);
    answers.edge.now += millis(1_500);
    for n in 1..=8 {
        answers.close(n);
    }
    let mut actions = answers.check(Liveness::Open);
    actions.extend(answers.check(Liveness::Open));
    for n in 1..=8 {
        let verdict = verdict_on(n, &actions);
        assert_eq!(verdict, rejected(EndEvidence::SeenLate), "{n}");
    }
    for n in 1..=8 {
        answers.break_off(n);
    }
    let t = answers.edge.scheduler.tables();
    let at = t.endpoints.find("e1").expect("it is listed");
    let e = t.endpoints.get(at);
    assert!(e.is_healthy(), "{:?} at {:?}", e.health, answers.edge.now);
}

// Guards against complete answers of an endpoint that stops in order which are told as broken, or run twice, although others
// of it are under way: a short plain answer, and a stream before its first event, are not passed on yet.
#[test]
fn an_end_counts_while_answers_that_are_not_passed_on_yet_go_on() {
    let mut broken = Vec::new();
    for (service, other) in [("once", "once"), ("run", "stream"), ("run", "once")] {
        let mut edge = EdgeScheduler::new(edge_settings("a"), resources_of(&["e1"]));
        edge.arrive(request(1, service, "free"));
        if service == "run" {
            edge.update_dispatch(1, 1, DispatchUpdate::Started { head_sent: true });
        }
        edge.arrive(request(2, other, "free"));
        let mut answers = Answers { edge };
        answers.pass(millis(100));
        let mut actions = answers.close(1);
        actions.extend(answers.check(Liveness::Ended));
        actions.extend(answers.pass(MAX_WAIT));
        let verdict = verdict_on(1, &actions).expect("a verdict");
        broken.extend((!verdict.accepted).then_some((service, other, verdict)));
    }
    assert!(broken.is_empty(), "{broken:?}");
}

// Guards against complete answers that run again, since an endpoint at its limit of connections resets those of the checks,
// or since the instance was suspended: another answer that was sent before goes on, so that the process lives.
#[test]
fn an_end_counts_while_other_answers_go_on_whatever_the_check_found() {
    let mut broken = Vec::new();
    let limited = Liveness::ClosesAtOnce;
    for (found, pause) in [(Liveness::Silent, 0), (limited, 0), (Liveness::Open, 1_500)] {
        let mut answers = Answers::of(&["stream", "stream"]);
        answers.edge.now += millis(pause);
        let mut actions = answers.close(1);
        for _ in 0..12 {
            actions.extend(answers.check(found));
            actions.extend(answers.pass(millis(25)));
        }
        let verdict = verdict_on(1, &actions).expect("a verdict");
        broken.extend((!verdict.accepted).then_some((found, verdict)));
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// Returns two endpoints that declare when they started, and the start of the first.
fn started_endpoints() -> (Vec<Resource>, String) {
    let mut all = resources_of(&["e1", "e2"]);
    let mut first = String::new();
    for resource in &mut all {
        if let Resource::Endpoint(e) = resource {
            e.started = Some(std::time::Duration::from_secs(1));
            if e.name == "e1" {
                first.clone_from(&e.start_id());
            }
        }
    }
    (all, first)
}

// Guards against a part that is passed on as complete although a peer's check was refused at once: the answer whose end waits
// is not under way, and does not contradict the peer.
#[test]
fn a_stream_whose_end_waits_is_continued_when_a_peer_reports_a_refusal() {
    let (all, start) = started_endpoints();
    let first = all
        .iter()
        .filter(|r| !matches!(r, Resource::Endpoint(e) if e.name == "e2"));
    let mut edge = EdgeScheduler::new(edge_settings("a"), first.cloned().collect());
    edge.arrive(request(1, "stream", "free"));
    edge.update_dispatch(1, 1, DispatchUpdate::Started { head_sent: true });
    let (delivered, cached) = (2, 0);
    edge.update_dispatch(1, 1, DispatchUpdate::Tokens { delivered, cached });
    let catalog = firdock_core::resource::Catalog::new(2).with_resources(all);
    edge.step(Event::Config(std::sync::Arc::new(catalog)));
    let mut answers = Answers { edge };
    answers.pass(millis(100));
    let mut actions = answers.close(1);
    answers.edge.now += millis(1);
    let refused = UnconfirmedStart {
        start: start.clone(),
        since: answers.edge.now,
        last_break: answers.edge.now,
    };
    actions.extend(answers.edge.step(Event::Peer(PeerUpdate {
        name: "b".to_owned(),
        unconfirmed: vec![refused],
        ..PeerUpdate::default()
    })));
    actions.extend(answers.check_at(&start, Liveness::Open));
    actions.extend(answers.pass(MAX_WAIT));
    let verdict = verdict_on(1, &actions);
    assert_eq!(verdict, rejected(EndEvidence::OthersBroke));
}
