//! Messages of the simulation: writes, endpoints, hand-overs, and the actions of schedulers.

use firdock_core::{Outcome, Reason, RequestId};
use firdock_policy::action::Dispatch;
use firdock_policy::event::{
    BreakCause, DispatchUpdate, EndpointEvent, Grant, HandOverEvent, HandOverRefusal, Liveness,
    LivenessResult,
};
use firdock_policy::notice::{Notice, NoticeReport};
use firdock_policy::{Action, Event, Origin, Policy as _, Verdict};
use rand::Rng as _;
use uuid::Uuid;

use super::{ENDPOINTS, Message, Simulation, endpoint_event, endpoint_index, instance_index};
use crate::fixtures::millis;

/// Duration of a liveness check of an endpoint.
const LIVENESS_CHECK_TIME: std::time::Duration = std::time::Duration::from_millis(2);

impl Simulation {
    pub(super) fn handle_message(&mut self, message: Message) {
        match message {
            Message::Event(i, incarnation, event) => {
                if self.is_current(i, incarnation)
                    && !self.defer_if_paused(i, &Message::Event(i, incarnation, event.clone()))
                {
                    self.step(i, event);
                }
            }
            Message::Write(i, incarnation, dispatch) => {
                let message = Message::Write(i, incarnation, dispatch.clone());
                if self.is_current(i, incarnation) && !self.defer_if_paused(i, &message) {
                    self.write(i, incarnation, dispatch);
                }
            }
            Message::AtEndpoint(i, incarnation, dispatch) => {
                self.at_endpoint(i, incarnation, dispatch);
            }
            Message::EndpointDone(i, incarnation, dispatch) => {
                let broken = self.faults[endpoint_index(&dispatch.endpoint)] == 3;
                let ended = DispatchUpdate::Ended {
                    prompt: 0,
                    cached: 0,
                    output: 20,
                };
                let broke = DispatchUpdate::Broke {
                    delivered: dispatch.resume_from + 1,
                };
                let closed = DispatchUpdate::Breaking(BreakCause::Closed);
                let updates = if broken {
                    vec![closed, broke]
                } else {
                    vec![ended]
                };
                let delay = self.random_delay();
                for update in updates {
                    let event = endpoint_event(&dispatch, update);
                    self.send(delay, Message::Event(i, incarnation, event));
                }
            }
        }
    }

    pub(super) fn is_current(&self, i: usize, incarnation: Uuid) -> bool {
        self.instances[i].member.incarnation == incarnation
    }

    /// Delays a message while its instance is paused; returns whether it was delayed.
    pub(super) fn defer_if_paused(&mut self, i: usize, message: &Message) -> bool {
        if self.instances[i].paused {
            self.send(millis(20), message.clone());
        }
        self.instances[i].paused
    }

    /// Checks a last time that the dispatch is still confirmed, and writes it.
    pub(super) fn write(&mut self, i: usize, incarnation: Uuid, dispatch: Dispatch) {
        if dispatch.confirm_by.is_some_and(|until| until <= self.now) {
            self.update_dispatch(i, incarnation, &dispatch, DispatchUpdate::Lapsed);
            return;
        }
        let run = (incarnation, dispatch.id, dispatch.dispatch);
        if self.cancelled.contains(&run) {
            // Its task was cancelled before the write.
            return;
        }
        if self.given_up.contains(&run) {
            let update = DispatchUpdate::Refused { unreachable: true };
            self.update_dispatch(i, incarnation, &dispatch, update);
            return;
        }
        if self.withheld.contains(&run) {
            let start = self.start_of(i, &dispatch.endpoint);
            self.dispatched.remove(&(dispatch.id, start));
            self.update_dispatch(i, incarnation, &dispatch, DispatchUpdate::Withheld);
            return;
        }
        let endpoints = &self.instances[i].scheduler.tables().endpoints;
        let known = endpoints.find(&dispatch.endpoint);
        let notices = known.map(|at| &endpoints.get(at).notices);
        assert!(
            notices.is_none_or(|n| !n.any_in_effect(self.now)),
            "{} is written to {}, which accepts no new requests",
            dispatch.id,
            dispatch.endpoint
        );
        let content = self.requests[&dispatch.id].content.as_ref();
        let suspects = &self.instances[i].scheduler.tables().suspects;
        assert!(
            content.is_none_or(|content| !suspects.is_quarantined(content.id)),
            "{} is written to {} while its content is in quarantine",
            dispatch.id,
            dispatch.endpoint
        );
        let delay = self.random_delay();
        self.send(delay, Message::AtEndpoint(i, incarnation, dispatch));
    }

    fn start_of(&self, i: usize, endpoint: &str) -> String {
        let endpoints = &self.instances[i].scheduler.tables().endpoints;
        let at = endpoints.find(endpoint).expect("it is known");
        endpoints.get(at).start_id.clone()
    }

    /// Reports the notice that an endpoint sends with its answer to a dispatch, before the answer's effect on
    /// the request.
    fn notice(&mut self, i: usize, incarnation: Uuid, endpoint: &str) {
        let fault = self.faults[endpoint_index(endpoint)];
        if !matches!(fault, 5 | 6) || !self.is_current(i, incarnation) {
            return;
        }
        let report = NoticeReport {
            endpoint: self.start_of(i, endpoint),
            member: String::new(),
            notice: Notice {
                leaving: fault == 6,
                backoff: (fault == 5).then(|| millis(300)),
                ..Notice::default()
            },
            read: self.now,
        };
        let event = Event::NoticeReported(report);
        self.send(millis(0), Message::Event(i, incarnation, event));
    }

    pub(super) fn at_endpoint(&mut self, i: usize, incarnation: Uuid, dispatch: Dispatch) {
        let fault = self.faults[endpoint_index(&dispatch.endpoint)];
        self.notice(i, incarnation, &dispatch.endpoint);
        match fault {
            1 => self.update_dispatch(
                i,
                incarnation,
                &dispatch,
                DispatchUpdate::Refused { unreachable: true },
            ),
            2 | 5 => self.update_dispatch(
                i,
                incarnation,
                &dispatch,
                DispatchUpdate::Refused { unreachable: false },
            ),
            _ => {
                self.record_run(&dispatch);
                if fault == 4 {
                    let broke = DispatchUpdate::Broke {
                        delivered: dispatch.resume_from,
                    };
                    let event = endpoint_event(&dispatch, broke);
                    self.send(millis(500), Message::Event(i, incarnation, event));
                    return;
                }
                let head_sent = self.rng.random_bool(0.5);
                self.update_dispatch(
                    i,
                    incarnation,
                    &dispatch,
                    DispatchUpdate::Started { head_sent },
                );
                let work = millis(self.rng.random_range(30..400));
                self.send(work, Message::EndpointDone(i, incarnation, dispatch));
            }
        }
    }

    pub(super) fn record_run(&mut self, dispatch: &Dispatch) {
        let key = self.requests[&dispatch.id].key.map(|k| k.hash);
        self.executions.push((self.now, dispatch.id, key));
    }

    pub(super) fn update_dispatch(
        &mut self,
        i: usize,
        incarnation: Uuid,
        dispatch: &Dispatch,
        update: DispatchUpdate,
    ) {
        let delay = self.random_delay();
        self.send(
            delay,
            Message::Event(i, incarnation, endpoint_event(dispatch, update)),
        );
    }

    pub(super) fn step(&mut self, i: usize, event: Event) {
        let ended = match &event {
            Event::Endpoint(e) if matches!(e.update, DispatchUpdate::Ended { .. }) => Some(e.id),
            Event::HandOver(HandOverEvent::Ended(id)) => Some(*id),
            _ => None,
        };
        let now = self.now;
        let instance = &mut self.instances[i];
        let existed =
            ended.is_some_and(|id| instance.scheduler.tables().requests.get(id).is_some());
        let mut out = Vec::new();
        instance.scheduler.step(now, event, &mut out);
        instance.scheduler.check_invariants(now);
        if let Some(id) = ended.filter(|_| existed) {
            let finished = self.instances[i]
                .scheduler
                .tables()
                .requests
                .get(id)
                .is_none();
            if finished {
                self.record_result(i, id, "answered", None);
            }
        }
        for action in out {
            self.execute(i, action);
        }
    }

    pub(super) fn execute(&mut self, i: usize, action: Action) {
        let incarnation = self.instances[i].member.incarnation;
        match action {
            Action::Dispatch(dispatch) => {
                let endpoints = &self.instances[i].scheduler.tables().endpoints;
                let at = endpoints.find(&dispatch.endpoint).expect("it is known");
                let pair = (dispatch.id, endpoints.get(at).start_id.clone());
                assert!(
                    self.dispatched.insert(pair),
                    "{} went to {} twice",
                    dispatch.id,
                    dispatch.endpoint
                );
                let delay = self.random_delay();
                self.send(delay, Message::Write(i, incarnation, dispatch));
            }
            Action::Withhold { id, dispatch } => {
                self.withheld.insert((incarnation, id, dispatch));
            }
            Action::GiveUpDispatch { id, dispatch } => {
                self.given_up.insert((incarnation, id, dispatch));
                let update = DispatchUpdate::Broke { delivered: 0 };
                let event = Event::Endpoint(EndpointEvent {
                    id,
                    dispatch,
                    update,
                });
                let delay = self.random_delay();
                self.send(delay, Message::Event(i, incarnation, event));
            }
            Action::CheckLiveness { endpoint, start } => {
                let found = self.check_liveness(&endpoint);
                let event = Event::LivenessChecked(LivenessResult { start, found });
                self.send(LIVENESS_CHECK_TIME, Message::Event(i, incarnation, event));
            }
            Action::Quarantine(_) => self.quarantined += 1,
            Action::Ask { id } => self.answer_placement(i, id),
            Action::HandOver { id, peer, .. } => self.hand_over(i, id, &peer),
            Action::CancelHandOver { id, peer } => {
                let to = instance_index(&peer);
                self.handed_over.remove(&(to, id));
                let there = self.instances[to].member.incarnation;
                let delay = self.random_delay();
                self.send(delay, Message::Event(to, there, Event::CallerLeft(id)));
            }
            Action::Answer { id, verdict } => {
                let result = if verdict.outcome == Outcome::NotRun {
                    "not-run"
                } else {
                    "unknown"
                };
                self.record_result(i, id, result, Some(verdict));
            }
            Action::RefuseHandOver { id, verdict, tried } => {
                let Some(from) = self.handed_over.remove(&(i, id)) else {
                    return;
                };
                self.refused.insert(id, self.now);
                let refusal = HandOverRefusal {
                    id,
                    verdict: Some(verdict),
                    tried,
                };
                self.deliver(from, Event::HandOver(HandOverEvent::Refused(refusal)));
            }
            Action::Cut { id, .. } => self.record_result(i, id, "cut", None),
            Action::PassFailure { id } => self.record_result(i, id, "failed", None),
            Action::Replay { id, earlier } => {
                assert!(
                    self.executions.iter().any(|(_, ran, _)| *ran == earlier),
                    "replay of a request that did not run"
                );
                self.record_result(i, id, "replayed", None);
            }
            Action::TransferKeys { peer, transfer } => {
                // Some transfers are lost, as when a connection breaks.
                if self.rng.random_bool(0.8) {
                    self.deliver(instance_index(&peer), Event::KeyTransfer(transfer));
                }
            }
            Action::Cancel { id, dispatch, .. } => {
                self.cancelled.insert((incarnation, id, dispatch));
            }
            // The simulated endpoints name no rate limits.
            Action::RequestPermits(_)
            | Action::GrantPermits { .. }
            | Action::ProbeLink { .. }
            | Action::Watch { .. }
            | Action::Decline(_)
            | Action::Forget { .. }
            | Action::Record(_)
            | Action::RecordBuilds(_)
            | Action::JudgeEnd { .. }
            | Action::CheckLivenessThrough { .. }
            | Action::Drained => {}
        }
    }

    /// Returns what a liveness check of an endpoint finds.
    fn check_liveness(&mut self, endpoint: &str) -> Liveness {
        let at = endpoint_index(endpoint);
        if self.faults[at] != 3 {
            return Liveness::Open;
        }
        if self.starts.iter().any(|starts| *starts > 0) {
            // In runs in which starts are listed, it restarts.
            self.starts[at] += 1;
            self.version += 1;
        }
        Liveness::Ended
    }

    /// Answers like a coordinator with little information: one or two placements anywhere, a refusal, or an
    /// answer that is lost.
    fn answer_placement(&mut self, i: usize, id: RequestId) {
        let count = self.rng.random_range(0..4);
        if count == 3 {
            let verdict = Verdict {
                outcome: Outcome::NotRun,
                reason: Reason::Overload,
                retry_after: Some(millis(100)),
            };
            self.deliver(i, Event::NotGranted(id, verdict));
            return;
        }
        for _ in 0..count {
            let endpoint = ENDPOINTS[self.rng.random_range(0..ENDPOINTS.len())].to_owned();
            self.deliver(
                i,
                Event::Granted(Grant {
                    id,
                    endpoint,
                    predicted: millis(0),
                    permitted: false,
                }),
            );
        }
    }

    pub(super) fn deliver(&mut self, i: usize, event: Event) {
        let incarnation = self.instances[i].member.incarnation;
        let delay = self.random_delay();
        self.send(delay, Message::Event(i, incarnation, event));
    }

    pub(super) fn hand_over(&mut self, from: usize, id: RequestId, peer: &str) {
        let to = instance_index(peer);
        if self.rng.random_bool(0.2) {
            let refusal = HandOverRefusal {
                id,
                verdict: None,
                tried: Vec::new(),
            };
            self.deliver(from, Event::HandOver(HandOverEvent::Refused(refusal)));
            return;
        }
        let mut new = self.requests[&id].clone();
        new.origin = Origin::Peer(self.instances[from].member.name.clone());
        let row = self.instances[from].scheduler.tables().requests.get(id);
        new.tried = row.map(|r| r.tried.clone()).unwrap_or_default();
        self.handed_over.insert((to, id), from);
        self.deliver(to, Event::Arrived(new));
    }

    /// Records that a request ended at an instance, for its caller or the peer that handed it over.
    pub(super) fn record_result(
        &mut self,
        i: usize,
        id: RequestId,
        result: &'static str,
        verdict: Option<Verdict>,
    ) {
        if let Some(from) = self.handed_over.remove(&(i, id)) {
            let event = match (result, verdict) {
                ("answered" | "replayed", _) => HandOverEvent::Ended(id),
                ("cut", _) | (_, None) => HandOverEvent::Broke(id),
                (_, Some(verdict)) => HandOverEvent::Unknown(id, verdict),
            };
            self.deliver(from, Event::HandOver(event));
            return;
        }
        if let Some(caller) = self.callers.get_mut(&id).filter(|t| t.instance == i) {
            caller.results.push((self.now, result));
        }
    }
}
