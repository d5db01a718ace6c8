//! The coordinator's side: runs one scheduler for the whole group and turns its dispatches into
//! assignments.

mod apply_report;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use firdock_core::{InstanceId, RequestId};
use firdock_policy::action::Dispatch;
use firdock_policy::permit::PermitRequest;
use firdock_policy::request::RequestRow;
use firdock_policy::table::endpoint::EndpointRow;
use firdock_policy::table::rollout::RolloutRow;
use firdock_policy::table::{Revision, Tables};
use firdock_policy::{
    Action, Event, Policy as _, Scheduler, Time, Verdict, fragile_pools, limit_reports,
};
use uuid::Uuid;

use crate::clock::millis;

use super::report::{Assignment, Refusal, Reply, Report};

/// A member that has not reported for this long is removed with all its requests. It equals five
/// report intervals.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(1);
/// An assignment younger than this may not have reached its member yet, so its absence from a
/// report is ignored. It is longer than the time between two reports.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(400);
/// Interval at which the values of endpoints' rate limits are copied: that of heartbeats, which
/// report them.
const LIMITS_COPY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of the timer systems while no member reports, so that state of silent peers still
/// expires.
const IDLE_TIMER_INTERVAL: Duration = Duration::from_secs(1);

/// A member that reports to this coordinator.
#[derive(Debug)]
struct Member {
    address: Option<SocketAddr>,
    incarnation: Uuid,
    last_seen: Time,
    reply: Reply,
    /// Whether the reply has to be sent.
    due: bool,
}

impl Member {
    /// Creates the entry of a member from its first report.
    fn new(now: Time, report: &Report, address: Option<SocketAddr>) -> Self {
        Self {
            address,
            incarnation: report.incarnation,
            last_seen: now,
            reply: Reply::default(),
            due: false,
        }
    }

    /// Returns the pending reply for additions and marks it as due.
    fn reply(&mut self) -> &mut Reply {
        self.due = true;
        &mut self.reply
    }

    /// Takes the due reply. Its successor acknowledges the same report.
    fn take_reply(&mut self) -> Reply {
        self.due = false;
        let next = Reply {
            number: self.reply.number,
            ..Reply::default()
        };
        std::mem::replace(&mut self.reply, next)
    }
}

/// Whether two tables expose a new version to the same ratio of requests.
fn same_ratio(a: &RolloutRow, b: &RolloutRow) -> bool {
    (a.ratio - b.ratio).abs() < f64::EPSILON
}

/// Returns the predicted time to the first token of a placed request, rounded as it is on the wire.
fn predicted(row: &RequestRow) -> Duration {
    Duration::from_millis(millis(row.predicted))
}

/// The member that a request belongs to.
#[derive(Debug)]
struct Owner {
    member: InstanceId,
    attempt: u32,
    /// When the request was assigned or first reported.
    since: Time,
}

/// Assigns the members' requests to engines.
#[derive(Debug)]
pub struct Coordinator {
    scheduler: Scheduler,
    members: BTreeMap<InstanceId, Member>,
    owners: HashMap<RequestId, Owner>,
    actions: Vec<Action>,
    /// When the timer systems last ran.
    timers_ran_at: Time,
    /// Configuration to apply as soon as a member reports.
    config: Option<Event>,
    /// Revision of this instance's suspects that was last copied.
    suspects_revision: Revision,
    /// Revision of the rate limits of endpoints that was last copied.
    limits_revision: Revision,
    limits_copied_at: Time,
    /// Requests for permits that were not sent yet.
    permit_requests: Vec<PermitRequest>,
}

impl Coordinator {
    /// Creates a coordinator without members.
    #[must_use]
    pub fn new(scheduler: Scheduler) -> Self {
        Self {
            scheduler,
            members: BTreeMap::new(),
            owners: HashMap::new(),
            actions: Vec::new(),
            timers_ran_at: Time::ZERO,
            config: None,
            suspects_revision: Revision::default(),
            limits_revision: Revision::default(),
            limits_copied_at: Time::ZERO,
            permit_requests: Vec::new(),
        }
    }

    /// Handles an event that concerns the tables.
    ///
    /// While no member reports, only the latest configuration is stored. Applying each one would
    /// cost processor time on most instances, which coordinate nothing.
    pub fn observe(&mut self, now: Time, event: Event) {
        match event {
            Event::Config(_) if self.members.is_empty() => self.config = Some(event),
            // Dropped: the next heartbeat brings another one.
            Event::ConfigConfirmed(_) if self.members.is_empty() => {}
            Event::Config(_) => {
                self.step(now, event);
                self.limits_revision = Revision::default();
            }
            event => self.step(now, event),
        }
    }

    /// Copies roll-outs and suspect requests from this instance's own tables, which receive them
    /// from all peers.
    pub fn sync_tables(&mut self, now: Time, own: &Tables) {
        self.sync_suspects(now, own);
        self.sync_limits(now, own);
        self.sync_fragile(now, own);
        for row in own.rollouts.rows.values() {
            let known = self.scheduler.tables().rollouts.of(&row.declared.pool);
            if known.is_some_and(|k| k.stage < row.stage || !same_ratio(k, row)) {
                self.step(now, Event::Rollout(row.status(now)));
            }
        }
    }

    fn sync_suspects(&mut self, now: Time, own: &Tables) {
        let revision = own.suspects.revision();
        if std::mem::replace(&mut self.suspects_revision, revision) != revision {
            let reports = own.suspects.iter().map(|s| s.report(now)).collect();
            self.step(now, Event::SuspectsReported(reports));
        }
    }

    /// Copies the rate limits of endpoints: their beginnings and ends at once, changed values soon
    /// after.
    fn sync_limits(&mut self, now: Time, own: &Tables) {
        let revision = own.limits.revision;
        let changed = std::mem::replace(&mut self.limits_revision, revision) != revision;
        let due = own.limits.named && self.limits_copied_at + LIMITS_COPY_INTERVAL <= now;
        if changed || due {
            self.limits_copied_at = now;
            self.step(now, Event::LimitsReported(limit_reports(own, now)));
        }
    }

    /// Copies which pools are fragile. They are few, and remain so for seconds.
    fn sync_fragile(&mut self, now: Time, own: &Tables) {
        let pools = fragile_pools(own, now);
        if !pools.is_empty() {
            self.step(now, Event::FragilePoolsReported(pools));
        }
    }

    /// Takes the requests for permits that are to be sent.
    pub fn take_permit_requests(&mut self) -> Vec<PermitRequest> {
        std::mem::take(&mut self.permit_requests)
    }

    /// Handles a member's report. `address` is where the reply goes; `None` stands for this
    /// instance.
    pub fn handle_report(&mut self, now: Time, report: Report, address: Option<SocketAddr>) {
        if let Some(config) = self.config.take() {
            self.step(now, config);
            self.limits_revision = Revision::default();
        }
        self.register_member(now, &report, address);
        let name = report.instance;
        // Applied before the updates, which free slots and so trigger new assignments.
        for notice in report.notices {
            self.apply_notice(now, &name, notice);
        }
        // Also applied before the updates, so that completed requests are evaluated with the pace
        // reported along with them.
        for pace in report.paces {
            self.apply_pace(now, pace);
        }
        for update in report.updates {
            self.apply_update(now, &name, update);
        }
        let mut reported = HashSet::new();
        for (request, endpoint) in report.running {
            reported.insert(request.new_request.id);
            self.adopt_running(now, &name, request, endpoint);
        }
        for mut request in report.waiting {
            reported.insert(request.new_request.id);
            request.new_request.zone.clone_from(&report.zone);
            request.new_request.member.clone_from(&name);
            self.enqueue_waiting(now, &name, request);
        }
        if report.full && !report.truncated {
            self.drop_unreported(now, &name, &reported);
        }
        if let Some(member) = self.members.get_mut(&name).filter(|_| report.full) {
            member.reply().number = report.number;
        }
    }

    /// Runs the timer systems and removes silent members.
    pub fn tick(&mut self, now: Time) {
        let due = self.timers_ran_at + IDLE_TIMER_INTERVAL <= now;
        if self.members.is_empty() && !due {
            return;
        }
        self.timers_ran_at = now;
        self.step(now, Event::Timer);
        let is_silent = |m: &Member| m.last_seen + MEMBER_TIMEOUT <= now;
        let expired: Vec<InstanceId> = self
            .members
            .iter()
            .filter(|(_, m)| is_silent(m))
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.remove_member(now, &name);
        }
    }

    /// Returns the due replies with their addresses. `None` stands for this instance.
    pub fn replies(&mut self) -> Vec<(Option<SocketAddr>, Reply)> {
        let due = self.members.values_mut().filter(|m| m.due);
        due.map(|m| (m.address, m.take_reply())).collect()
    }

    /// Returns the row of an endpoint.
    #[must_use]
    pub fn endpoint(&self, name: &str) -> Option<&EndpointRow> {
        let endpoints = &self.scheduler.tables().endpoints;
        endpoints.find(name).map(|at| endpoints.get(at))
    }

    /// Returns the tables.
    #[must_use]
    pub fn tables(&self) -> &Tables {
        self.scheduler.tables()
    }

    /// Checks the invariants between the tables.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub fn check_invariants(&self, now: Time) {
        self.scheduler.check_invariants(now);
    }

    fn step(&mut self, now: Time, event: Event) {
        self.scheduler.step(now, event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.carry_out(now, action);
        }
    }

    /// Turns dispatches and answers into replies. The members carry out all other actions
    /// themselves.
    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.assign(now, &dispatch),
            Action::Answer { id, verdict } => self.refuse(id, verdict),
            Action::RequestPermits(requests) => self.permit_requests.extend(requests),
            _ => {}
        }
    }

    fn assign(&mut self, now: Time, dispatch: &Dispatch) {
        let t = self.scheduler.tables();
        let Some(at) = t.endpoints.find(&dispatch.endpoint) else {
            return;
        };
        let endpoint = t.endpoints.get(at).start_id.clone();
        let predicted = t.requests.get(dispatch.id).map(predicted);
        let Some(owner) = self.owners.get_mut(&dispatch.id) else {
            return;
        };
        owner.since = now;
        let assignment = Assignment {
            id: dispatch.id,
            attempt: owner.attempt,
            endpoint,
            predicted: predicted.unwrap_or_default(),
            permitted: dispatch.limited,
        };
        if let Some(member) = self.members.get_mut(&owner.member) {
            member.reply().assignments.push(assignment);
        }
    }

    fn refuse(&mut self, id: RequestId, verdict: Verdict) {
        let Some(owner) = self.owners.remove(&id) else {
            return;
        };
        let refusal = Refusal {
            id,
            attempt: owner.attempt,
            reason: verdict.reason,
            retry_after: verdict.retry_after.unwrap_or_default(),
        };
        if let Some(member) = self.members.get_mut(&owner.member) {
            member.reply().refusals.push(refusal);
        }
    }
}
