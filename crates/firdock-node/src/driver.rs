//! The driver owns the scheduler's tables and carries out its actions.
//!
//! All other tasks send inputs over one bounded channel. The scheduler runs on each input and on a
//! short timer, so that latency-critical requests never wait for a tick.

mod answer;
mod endpoint_watch;
mod liveness;
mod permits;
mod placement;
mod send;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use firdock_core::{EndpointId, RequestId};
use firdock_policy::event::{DispatchUpdate, EndpointEvent, HandOverEvent};
use firdock_policy::request::{NewRequest, StreamOrigin};
use firdock_policy::table::Revision;
use firdock_policy::{Action, Event, Policy as _, Scheduler, Time};
use slog::{Logger, warn};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::answer_cache::AnswerCache;
use crate::clock::Clock;
use crate::endpoint::Dispatcher;
use crate::endpoint::run::{DispatchLimits, EndpointChange};
use crate::exchange::{AnswerBudget, AnswerPart, BodyBudget, Exchange};
use crate::input::Input;
use crate::peer::{self, Dialer, SelfStatus};
use crate::placement::Placement;
use crate::site::{EndpointLocation, Site};
use crate::source::PendingRecords;
use crate::streams::SharedStreams;
use crate::telemetry::decisions::{LastDispatch, RequestContext};
use crate::telemetry::restarts;
use crate::telemetry::{
    DecisionLog, LogLimiter, Metrics, RolloutLog, ShareLog, StateChangeLog, SuspectLog,
    SuspensionLog,
};

/// Interval between two runs of the timer systems.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Least change between the clock and the time of day that the scheduler is told of.
const CLOCK_CHANGE: Duration = Duration::from_millis(20);
/// Number of ticks between two publications of counters, with a check of the invariants.
const TICKS_PER_PUBLICATION: u32 = 8;

/// What the driver needs in addition to the scheduler.
#[derive(Debug)]
pub struct DriverParts<B> {
    /// Runs dispatches at endpoints.
    pub dispatcher: B,
    /// Connects to peers.
    pub dialer: Dialer,
    /// Configuration in force.
    pub site: Arc<Site>,
    /// Answers kept for repeated requests.
    pub answer_cache: AnswerCache,
    /// Byte budget of the answers that callers have not read yet.
    pub answer_budget: AnswerBudget,
    /// Budget for bodies of requests.
    pub body_budget: BodyBudget,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Time limits of dispatches.
    pub limits: DispatchLimits,
    /// Streams that callers may continue.
    pub streams: SharedStreams,
    /// Clock.
    pub clock: Clock,
    /// Logger.
    pub log: Logger,
    /// Rate limit of log lines.
    pub log_limiter: Arc<LogLimiter>,
    /// Runtime for the tasks that carry out actions.
    pub runtime: Handle,
    /// Channel for their results, back to the driver.
    pub inputs: mpsc::Sender<Input>,
    /// What peers are told about this instance.
    pub self_status: watch::Sender<SelfStatus>,
    /// Roll-out states to write to the platform's store.
    pub records: watch::Sender<PendingRecords>,
    /// Becomes true once a stopping instance has nothing left to do.
    pub drained: watch::Sender<bool>,
}

/// Owner of the scheduler's tables.
#[derive(Debug)]
pub struct Driver<B> {
    scheduler: Scheduler,
    parts: DriverParts<B>,
    active: HashMap<RequestId, ActiveRequest>,
    actions: Vec<Action>,
    ticks: u32,
    decisions: DecisionLog,
    state_changes: StateChangeLog,
    rollout_log: RolloutLog,
    shares: ShareLog,
    suspects: SuspectLog,
    suspensions: SuspensionLog,
    /// Revision of the rate limits of endpoints that was last published.
    limits_revision: Revision,
    unconfirmed_starts: u64,
    /// Unix time at zero of the clock that the scheduler knows.
    unix_zero: Duration,
    placement: Option<Placement>,
}

/// A request that has not ended.
#[derive(Debug)]
struct ActiveRequest {
    exchange: Arc<Exchange>,
    arrived: Time,
    /// Last dispatch, for the log line about the request's end.
    sent: Option<LastDispatch>,
    /// Where the last dispatch was sent: its end may have to be checked after the endpoint's entry is gone.
    target: Option<(EndpointId, EndpointLocation)>,
    task: Option<AbortHandle>,
    /// Notifies the current dispatch of changes of its endpoint.
    change: Option<watch::Sender<EndpointChange>>,
}

impl ActiveRequest {
    /// Returns the data for the log lines about the request's end.
    fn log_context(&self) -> RequestContext<'_> {
        RequestContext {
            exchange: &self.exchange,
            arrived: self.arrived,
            last_dispatch: self.sent.as_ref(),
        }
    }
}

impl<B: Dispatcher> Driver<B> {
    /// Creates a driver.
    #[must_use]
    pub fn new(scheduler: Scheduler, parts: DriverParts<B>) -> Self {
        let decisions = DecisionLog::new(parts.log.clone(), Arc::clone(&parts.log_limiter));
        let list = parts.metrics.endpoints();
        let state_changes =
            StateChangeLog::new(parts.log.clone(), Arc::clone(&parts.log_limiter), list);
        let rollout_log = RolloutLog::new(parts.log.clone());
        let shares = ShareLog::new(parts.log.clone(), Arc::clone(&parts.metrics));
        let suspects = SuspectLog::new(
            parts.log.clone(),
            Arc::clone(&parts.log_limiter),
            Arc::clone(&parts.metrics),
        );
        let suspensions =
            SuspensionLog::new(parts.log.clone(), Arc::clone(&parts.metrics), parts.clock);
        Self {
            scheduler,
            parts,
            active: HashMap::new(),
            actions: Vec::new(),
            ticks: 0,
            decisions,
            state_changes,
            rollout_log,
            shares,
            suspects,
            suspensions,
            limits_revision: Revision::default(),
            unconfirmed_starts: 0,
            unix_zero: Duration::ZERO,
            placement: None,
        }
    }

    /// Enables placement of requests on engines by the coordinator of the instance's group.
    #[must_use]
    pub fn with_placement(mut self, placement: Placement) -> Self {
        self.placement = Some(placement);
        self
    }

    /// Runs until all senders of inputs are gone or `stop` becomes true.
    pub async fn run(mut self, mut rx: mpsc::Receiver<Input>, mut stop: watch::Receiver<bool>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = rx.recv() => match input {
                    Some(input) => {
                        self.handle_input(input);
                        // The effects of inputs that arrived together are sent together.
                        if rx.is_empty() {
                            self.send_placement_updates();
                        }
                    }
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
                _ = stop.wait_for(|s| *s) => return,
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Arrived(new, exchange) => {
                let id = new.id;
                let admitted = exchange.payload.is_admitted_by(&self.parts.site.view());
                self.active.insert(
                    id,
                    ActiveRequest {
                        exchange,
                        arrived: self.parts.clock.now(),
                        sent: None,
                        target: None,
                        task: None,
                        change: None,
                    },
                );
                let infers_build = new.stream_origin == StreamOrigin::Unknown;
                let new = NewRequest {
                    access_changed: !admitted,
                    ..new
                };
                self.step(Event::Arrived(new));
                if infers_build {
                    self.log_inferred_build(id);
                }
                self.drop_if_ended(id);
            }
            Input::Placement(input) => self.handle_placement(input),
            Input::Permits(input) => self.handle_permits(input),
            Input::Malformed(kind, endpoint, value) => {
                let now = self.parts.clock.now();
                self.decisions
                    .malformed_report(now, kind, &endpoint, &value);
            }
            Input::Event(event) => self.handle_event(event),
        }
    }

    fn handle_event(&mut self, event: Event) {
        self.notify_placement(&event);
        let mut access_changed = false;
        match &event {
            Event::Config(catalog) => {
                let now = self.parts.clock.now();
                let (log, log_limiter) = (&self.parts.log, &self.parts.log_limiter);
                restarts::log_restarts(log, log_limiter, now, self.scheduler.tables(), catalog);
                access_changed = self.parts.site.set(catalog);
            }
            Event::ConfigConfirmed(at) => self.parts.site.set_fresh(*at),
            Event::Endpoint(update) => self.log_dispatch_update(update),
            Event::CallerLeft(id) => self.log_caller_left(*id),
            Event::LivenessChecked(result) | Event::LivenessCheckedThrough(result) => self
                .decisions
                .liveness_checked(self.parts.clock.now(), result),
            Event::NoticeReported(report) => {
                self.decisions
                    .endpoint_notice(self.parts.clock.now(), report);
            }
            _ => {}
        }
        self.apply(event);
        if access_changed {
            self.withdraw_unadmitted();
        }
    }

    /// Handles an event and drops its request if the event ended it.
    fn apply(&mut self, event: Event) {
        let id = request_of(&event);
        self.step(event);
        if let Some(id) = id {
            self.drop_if_ended(id);
        }
    }

    /// Withdraws the requests that a changed configuration does not admit as they were admitted.
    fn withdraw_unadmitted(&mut self) {
        let view = self.parts.site.view();
        let active = self.active.iter();
        let lost = active.filter(|(_, request)| !request.exchange.payload.is_admitted_by(&view));
        let lost: Vec<RequestId> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            self.apply(Event::AccessChanged(id));
        }
    }

    /// Logs an update of a dispatch. Must be called before the request's row is removed.
    fn log_dispatch_update(&self, event: &EndpointEvent) {
        let row = self.scheduler.tables().requests.get(event.id);
        let row = row.filter(|r| r.dispatch == event.dispatch);
        let (Some(row), Some(request)) = (row, self.active.get(&event.id)) else {
            return;
        };
        let now = self.parts.clock.now();
        if let DispatchUpdate::Ended { .. } | DispatchUpdate::Broke { .. } = event.update {
            let end = request.exchange.delivered().end;
            if let Some(end) = end {
                self.parts.metrics.count_answer_end(end);
            }
        }
        let failed = match event.update {
            DispatchUpdate::Ended { .. } => {
                self.parts.metrics.observe_answer(now, row);
                self.decisions
                    .answered(now, self.scheduler.tables(), row, &request.exchange);
                return;
            }
            DispatchUpdate::Started { .. }
            | DispatchUpdate::Tokens { .. }
            | DispatchUpdate::ConnectFailed(_)
            | DispatchUpdate::PassedOn
            | DispatchUpdate::Failed
            | DispatchUpdate::FailureKept
            | DispatchUpdate::Unproven
            | DispatchUpdate::Unresumable
            | DispatchUpdate::LastBytes(_)
            | DispatchUpdate::Breaking(_) => return,
            DispatchUpdate::Refused { unreachable: true } => "unreachable",
            DispatchUpdate::Refused { unreachable: false } => "refused",
            DispatchUpdate::Lapsed => "lapsed",
            DispatchUpdate::Withheld => "withheld",
            DispatchUpdate::NotPassedOn => "not-passed-on",
            DispatchUpdate::Broke { .. } => "broke",
        };
        self.decisions.dispatch_failed(
            now,
            self.scheduler.tables(),
            row,
            failed,
            &request.exchange,
        );
    }

    /// Logs the build that was inferred for a stream, unless the request ended.
    fn log_inferred_build(&self, id: RequestId) {
        let t = self.scheduler.tables();
        if let (Some(row), Some(request)) = (t.requests.get(id), self.active.get(&id)) {
            let now = self.parts.clock.now();
            self.decisions
                .build_inferred(now, t, row, &request.exchange);
        }
    }

    /// Logs that a caller left before its answer was complete.
    fn log_caller_left(&self, id: RequestId) {
        if let Some(request) = self.active.get(&id) {
            let now = self.parts.clock.now();
            self.decisions.caller_left(now, request.log_context());
        }
    }

    /// Tells the scheduler if the clock and the time of day have gone apart.
    fn read_unix_zero(&mut self) {
        let read = self.parts.clock.unix_zero();
        if read.abs_diff(self.unix_zero) >= CLOCK_CHANGE {
            self.unix_zero = read;
            self.step(Event::UnixZeroRead(read));
        }
    }

    fn tick(&mut self) {
        self.read_unix_zero();
        self.step(Event::Timer);
        self.tick_placement();
        if let Some(room) = self.parts.body_budget.maintain() {
            self.step(Event::RoomWanted(room));
        }
        self.ticks += 1;
        let now = self.parts.clock.now();
        let changed = self.rollout_log.record(now, self.scheduler.tables());
        if changed
            | self.log_suspects(now)
            | self.limits_changed()
            | self.unconfirmed_starts_found()
        {
            self.publish();
        }
        if self.ticks.is_multiple_of(TICKS_PER_PUBLICATION) {
            self.scheduler.check_invariants(now);
            if let Some(placement) = &self.placement {
                placement.check_invariants(now);
                self.shares.record(now, placement.tables());
            } else {
                self.shares.record(now, self.scheduler.tables());
            }
            self.state_changes.record(now, self.scheduler.tables());
            self.publish();
        }
        self.drop_expired();
    }

    /// Logs changes of the suspects and returns whether there were any. Suspects that were released
    /// from quarantine are removed from the platform's store.
    fn log_suspects(&mut self, now: Time) -> bool {
        let released = self.suspects.record(now, self.scheduler.tables());
        let Some(released) = released else {
            return false;
        };
        for content in released {
            self.parts
                .records
                .send_modify(|pending| pending.release(content));
        }
        true
    }

    /// Returns whether a rate limit of an endpoint began or ended since the last call.
    fn limits_changed(&mut self) -> bool {
        let revision = self.scheduler.tables().limits.revision;
        std::mem::replace(&mut self.limits_revision, revision) != revision
    }

    /// Returns whether this instance found starts of endpoints since the last call that it cannot confirm.
    fn unconfirmed_starts_found(&mut self) -> bool {
        let found = self.scheduler.tables().stats.unconfirmed_starts;
        std::mem::replace(&mut self.unconfirmed_starts, found) != found
    }

    fn step(&mut self, event: Event) {
        let started = Instant::now();
        let now = self.parts.clock.now();
        self.suspensions
            .check(now, self.scheduler.tables().config_confirmed_at);
        self.scheduler.step(now, event, &mut self.actions);
        self.parts.metrics.observe_decision(started.elapsed());
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn drop_if_ended(&mut self, id: RequestId) {
        if self.scheduler.tables().requests.get(id).is_none() {
            self.active.remove(&id);
        }
    }

    /// Drops requests that ended by a timer.
    fn drop_expired(&mut self) {
        let requests = &self.scheduler.tables().requests;
        if self.active.len() > requests.len() {
            self.active.retain(|id, _| requests.get(*id).is_some());
        }
    }

    fn publish(&self) {
        let t = self.scheduler.tables();
        let mut held = std::collections::BTreeMap::new();
        for (_, s) in t.services.iter() {
            *held.entry(s.tier.name.clone()).or_insert(0) += s.queue.len() as u32;
        }
        let held: Vec<(String, u32)> = held.into_iter().collect();
        self.parts.metrics.publish(&t.stats, t.version, &held);
        let now = self.parts.clock.now();
        let placement = self.placement.as_ref();
        let work = placement.map_or_else(Vec::new, |p| p.account_work(now));
        let self_status = SelfStatus::new(t, now).with_work(work);
        self.parts.self_status.send_replace(self_status);
        self.parts.answer_budget.maintain();
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(dispatch),
            Action::Cancel {
                id,
                endpoint,
                dispatch,
            } => self.cancel(id, &endpoint, dispatch),
            Action::GiveUpDispatch { id, dispatch } => {
                self.notify_dispatch(id, dispatch, EndpointChange::Restarted);
            }
            Action::JudgeEnd {
                id,
                dispatch,
                verdict,
            } => self.judge_end(id, dispatch, verdict),
            Action::CheckLiveness { endpoint, start } => self.check_liveness(&endpoint, start),
            Action::Watch { endpoint } => self.watch_endpoint(endpoint),
            Action::CheckLivenessThrough {
                endpoint,
                start,
                peer,
                id,
            } => self.check_liveness_through(&endpoint, start, (peer, id)),
            Action::ProbeLink { endpoint, start } => self.probe_link(&endpoint, start),
            Action::Withhold { id, dispatch } => {
                self.notify_dispatch(id, dispatch, EndpointChange::Closed);
            }
            Action::Ask { id } => self.request_placement(id),
            Action::Decline(grant) => self.decline_placement(&grant),
            Action::RequestPermits(requests) => self.request_permits(requests),
            Action::GrantPermits { holder, grants } => self.deliver_grants(&holder, grants),
            Action::HandOver { id, peer, cause } => self.hand_over(id, peer, cause),
            Action::CancelHandOver { id, .. } => self.abort(id),
            Action::Answer { id, verdict } => self.answer(id, verdict),
            Action::RefuseHandOver { id, verdict, tried } => {
                self.reply(id, AnswerPart::Refusal(verdict, tried));
            }
            Action::Cut { id, reason } => self.cut(id, reason),
            Action::PassFailure { id } => self.forward_failure(id),
            Action::Replay { id, earlier } => self.replay(id, earlier),
            Action::Forget { id } => self.parts.answer_cache.remove(id),
            Action::TransferKeys { peer, transfer } => {
                let sending = peer::transfer_keys(self.parts.dialer.clone(), peer, transfer);
                self.parts.runtime.spawn(sending);
            }
            Action::Quarantine(suspect) => {
                let now = self.parts.clock.now();
                self.suspects.quarantined(now, &suspect);
                self.parts
                    .records
                    .send_modify(|pending| pending.quarantine(now, suspect));
            }
            Action::Record(record) => {
                self.parts
                    .records
                    .send_modify(|pending| pending.add(record));
            }
            Action::RecordBuilds(builds) => {
                self.parts
                    .records
                    .send_modify(|pending| pending.set_builds(builds));
            }
            Action::Drained => {
                self.parts.drained.send_replace(true);
            }
        }
    }

    /// Queues an event for the scheduler behind the inputs that already wait.
    fn queue_event(&self, event: Event) {
        let inputs = self.parts.inputs.clone();
        self.parts.runtime.spawn(async move {
            let _ = inputs.send(Input::Event(event)).await;
        });
    }

    fn exchange(&self, id: RequestId) -> Option<Arc<Exchange>> {
        let request = self.active.get(&id);
        if request.is_none() {
            warn!(self.parts.log, "action for an unknown request"; "request_id" => id.to_string());
        }
        request.map(|r| Arc::clone(&r.exchange))
    }

    fn set_task(&mut self, id: RequestId, task: AbortHandle) {
        if let Some(request) = self.active.get_mut(&id) {
            request.task = Some(task);
        }
    }

    fn abort(&mut self, id: RequestId) {
        if let Some(task) = self.active.get_mut(&id).and_then(|r| r.task.take()) {
            task.abort();
        }
    }
}

/// Returns the request that an event concerns.
fn request_of(event: &Event) -> Option<RequestId> {
    match event {
        Event::CallerLeft(id) | Event::AccessChanged(id) | Event::NotGranted(id, _) => Some(*id),
        Event::Endpoint(e) => Some(e.id),
        Event::Granted(grant) => Some(grant.id),
        Event::HandOver(e) => Some(match e {
            HandOverEvent::Refused(r) => r.id,
            HandOverEvent::Started(id)
            | HandOverEvent::Ended(id)
            | HandOverEvent::Unknown(id, _)
            | HandOverEvent::Broke(id) => *id,
        }),
        _ => None,
    }
}
