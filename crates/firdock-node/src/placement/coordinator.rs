//! The coordinator's side: the scheduler of a whole group, whose dispatches are placements.

mod apply_report;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use firdock_core::{InstanceId, RequestId};
use firdock_policy::action::Dispatch;
use firdock_policy::request::RequestRow;
use firdock_policy::table::Tables;
use firdock_policy::table::endpoint::EndpointRow;
use firdock_policy::table::rollout::RolloutRow;
use firdock_policy::table::suspects::Revision;
use firdock_policy::{Action, Event, Policy as _, Scheduler, Time, Verdict};
use uuid::Uuid;

use crate::clock::millis;

use super::report::{Assignment, Refusal, Reply, Report};

/// Silence after which a member is taken for gone, with all that it ran: five of its reports.
const SILENCE: Duration = Duration::from_secs(1);
/// Time in which a placement may still be on its way, so that a report that does not tell of it says
/// nothing: more than two reports are apart.
const ON_ITS_WAY: Duration = Duration::from_millis(400);

/// Pause between two runs of the timed systems while nobody reports: what is silent is forgotten.
const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// A member that reports here.
#[derive(Debug)]
struct Member {
    address: Option<SocketAddr>,
    incarnation: Uuid,
    heard: Time,
    reply: Reply,
    /// Whether there is something to reply.
    due: bool,
}

impl Member {
    /// Makes a member that is heard for the first time.
    fn new(now: Time, report: &Report, address: Option<SocketAddr>) -> Self {
        Self {
            address,
            incarnation: report.incarnation,
            heard: now,
            reply: Reply::default(),
            due: false,
        }
    }

    /// Gives the next reply, to be added to; it is due then.
    fn reply(&mut self) -> &mut Reply {
        self.due = true;
        &mut self.reply
    }

    /// Gives the reply that is due; the next one confirms the same report.
    fn take_reply(&mut self) -> Reply {
        self.due = false;
        let next = Reply {
            number: self.reply.number,
            ..Reply::default()
        };
        std::mem::replace(&mut self.reply, next)
    }
}

/// Tells whether two tables try a new version with the same part of requests.
fn same_ratio(a: &RolloutRow, b: &RolloutRow) -> bool {
    (a.ratio - b.ratio).abs() < f64::EPSILON
}

/// Gives the time to the first token that is expected of a placed request, as exactly as it is told.
fn predicted(row: &RequestRow) -> Duration {
    Duration::from_millis(millis(row.predicted))
}

/// Whose a request is.
#[derive(Debug)]
struct Owner {
    member: InstanceId,
    attempt: u32,
    /// When it was placed or first told of.
    since: Time,
}

/// Places the requests of its members.
#[derive(Debug)]
pub struct Coordinator {
    scheduler: Scheduler,
    members: BTreeMap<InstanceId, Member>,
    owners: HashMap<RequestId, Owner>,
    actions: Vec<Action>,
    /// When the timed systems ran last.
    timed: Time,
    /// Configuration that is to be taken as soon as a member reports.
    config: Option<Event>,
    /// Which state of the own tables' suspects was taken over.
    suspected: Revision,
}

impl Coordinator {
    /// Makes a coordinator without members.
    #[must_use]
    pub fn new(scheduler: Scheduler) -> Self {
        Self {
            scheduler,
            members: BTreeMap::new(),
            owners: HashMap::new(),
            actions: Vec::new(),
            timed: Time::ZERO,
            config: None,
            suspected: Revision::default(),
        }
    }

    /// Takes an event that concerns the tables.
    ///
    /// While nobody reports, only the newest configuration is kept: to take each costs time that most
    /// instances, which coordinate nothing, need for something else.
    pub fn observe(&mut self, now: Time, event: Event) {
        match event {
            Event::Config(_) if self.members.is_empty() => self.config = Some(event),
            // The next one comes with the next heartbeat.
            Event::ConfigConfirmed(_) if self.members.is_empty() => {}
            event => self.step(now, event),
        }
    }

    /// Follows what this instance's own tables know that hear of it from all others: roll-outs, and
    /// requests under which endpoints ended.
    pub fn follow(&mut self, now: Time, own: &Tables) {
        self.follow_suspects(now, own);
        for row in own.rollouts.rows.values() {
            let known = self.scheduler.tables().rollouts.of(&row.declared.pool);
            if known.is_some_and(|k| k.stage < row.stage || !same_ratio(k, row)) {
                self.step(now, Event::Rollout(row.status(now)));
            }
        }
    }

    fn follow_suspects(&mut self, now: Time, own: &Tables) {
        let revision = own.suspects.revision();
        if std::mem::replace(&mut self.suspected, revision) != revision {
            let told = own.suspects.iter().map(|s| s.report(now)).collect();
            self.step(now, Event::SuspectsReported(told));
        }
    }

    /// Takes a member's report; `address` is where its reply goes, `None` for this instance itself.
    pub fn handle_report(&mut self, now: Time, report: Report, address: Option<SocketAddr>) {
        if let Some(config) = self.config.take() {
            self.step(now, config);
        }
        self.register_member(now, &report, address);
        let name = report.instance;
        // Before the news, which let what they free be placed anew.
        for notice in report.notices {
            self.apply_notice(now, &name, notice);
        }
        // Likewise, for they are learned from by the pace that was told with them.
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

    /// Runs the timed systems, and drops what silent members had.
    pub fn tick(&mut self, now: Time) {
        let due = self.timed + IDLE_PAUSE <= now;
        if self.members.is_empty() && !due {
            return;
        }
        self.timed = now;
        self.step(now, Event::Timer);
        let silent = |m: &Member| m.heard + SILENCE <= now;
        let gone: Vec<InstanceId> = self
            .members
            .iter()
            .filter(|(_, m)| silent(m))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.remove(now, &name);
        }
    }

    /// Gives the replies that are due, with their addresses; `None` stands for this instance.
    pub fn replies(&mut self) -> Vec<(Option<SocketAddr>, Reply)> {
        let due = self.members.values_mut().filter(|m| m.due);
        due.map(|m| (m.address, m.take_reply())).collect()
    }

    /// Gives what is known of an endpoint, to read.
    #[must_use]
    pub fn endpoint(&self, name: &str) -> Option<&EndpointRow> {
        let endpoints = &self.scheduler.tables().endpoints;
        endpoints.find(name).map(|at| endpoints.get(at))
    }

    /// Gives the tables, to read.
    #[must_use]
    pub fn tables(&self) -> &Tables {
        self.scheduler.tables()
    }

    /// Checks everything that must hold between tables.
    ///
    /// # Panics
    ///
    /// Panics where an invariant is broken.
    pub fn check_invariants(&self, now: Time) {
        self.scheduler.check_invariants(now);
    }

    fn step(&mut self, now: Time, event: Event) {
        self.scheduler.step(now, event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.carry_out(now, action);
        }
    }

    /// Turns dispatches and answers into replies; all else is for the members to do.
    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.place(now, &dispatch),
            Action::Answer { id, verdict } => self.refuse(id, verdict),
            _ => {}
        }
    }

    fn place(&mut self, now: Time, dispatch: &Dispatch) {
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
