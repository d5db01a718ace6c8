//! A member's side: selects the coordinator, reports to it, and falls back when it does not reply.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::{EndpointId, InstanceId, Outcome, RequestId, StartId, ZoneId};
use firdock_policy::event::{EndpointEvent, Grant, Member};
use firdock_policy::load::{Pace, PaceReport};
use firdock_policy::notice::NoticeReport;
use firdock_policy::request::{Phase, PlacementState};
use firdock_policy::table::Tables;
use firdock_policy::{Event, Time, Verdict};
use slog::{Logger, info};

use super::DatagramLink;
use super::report::{
    Assignment, EndpointNotice, EndpointPace, PlacementRequest, Progress, ProgressUpdate, Refusal,
    Reply, Report,
};
use super::snapshot::{
    awaits_assignment, endpoint_notice, endpoint_notices, engine_of, next_attempt,
    placement_request, progress, running_request,
};
use crate::peer::PeerDirectory;
use crate::permits::PermitRouter;

/// Interval between two full reports.
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two full reports while requests wait, since their assignments or reports may
/// have been lost.
const WAITING_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// A coordinator that has not replied for this long is abandoned: two reports or replies in a row
/// were lost, or it has stalled. The wait costs a third of the shortest first-token target.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an abandoned coordinator is not selected again. With a shorter time, a slow
/// coordinator would be selected and abandoned in turns.
const EXCLUSION_TIME: Duration = Duration::from_secs(3);

/// The instance selected as coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SelectedCoordinator {
    name: InstanceId,
    /// `None` if it is this instance.
    address: Option<SocketAddr>,
}

/// A member of a group.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    zone: ZoneId,
    directory: Arc<PeerDirectory>,
    coordinator: Option<SelectedCoordinator>,
    excluded: BTreeMap<InstanceId, Time>,
    /// Whether the coordinator replies.
    is_responsive: bool,
    /// Time of the oldest full report that has not been answered.
    unanswered_since: Option<Time>,
    /// Number of the last full report.
    number: u64,
    full_report_at: Time,
    pending: Vec<RequestId>,
    updates: Vec<ProgressUpdate>,
    /// Paces that engines reported since the last report.
    paces: BTreeMap<EndpointId, (Pace, Time)>,
    /// Engine processes with notices since the last report.
    noticed_starts: BTreeSet<StartId>,
    log: Logger,
}

impl Membership {
    /// Creates a member that has not selected a coordinator yet.
    #[must_use]
    pub fn new(me: Member, zone: ZoneId, directory: Arc<PeerDirectory>, log: Logger) -> Self {
        Self {
            me,
            zone,
            directory,
            coordinator: None,
            excluded: BTreeMap::new(),
            is_responsive: false,
            unanswered_since: None,
            number: 0,
            full_report_at: Time::ZERO,
            pending: Vec::new(),
            updates: Vec::new(),
            paces: BTreeMap::new(),
            noticed_starts: BTreeSet::new(),
            log,
        }
    }

    /// Returns this instance's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.me.name
    }

    /// Creates the router for permits of this instance.
    #[must_use]
    pub fn permit_router(&self, link: DatagramLink) -> PermitRouter {
        PermitRouter::new(self.me.name.clone(), Arc::clone(&self.directory), link)
    }

    /// Returns the coordinator's address, or `None` if it is this instance.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.coordinator
            .as_ref()
            .and_then(|coordinator| coordinator.address)
    }

    /// Queues a request for placement with the next report.
    pub fn request_placement(&mut self, id: RequestId) {
        self.pending.push(id);
    }

    /// Reports that an assignment was declined.
    pub fn decline(&mut self, t: &Tables, grant: &Grant) {
        // If the request has already ended here, the next full report drops it.
        if let Some(row) = t.requests.get(grant.id) {
            self.push_update(grant.id, next_attempt(row), Progress::Dropped);
        }
    }

    /// Records the progress of a request. Must be called before its row is removed.
    pub fn record_progress(&mut self, t: &Tables, event: &EndpointEvent) {
        let row = t
            .requests
            .get(event.id)
            .filter(|r| r.dispatch == event.dispatch);
        let Some(row) = row.filter(|r| engine_of(t, r).is_some()) else {
            return;
        };
        if let Some(progress) = progress(row, event.update) {
            self.push_update(event.id, event.dispatch, progress);
        }
    }

    /// Records an engine's pace for the next report, which follows shortly.
    pub fn record_pace(&mut self, t: &Tables, report: &PaceReport) {
        let at = t.endpoints.find(&report.endpoint);
        let engine = at.is_some_and(|at| t.endpoints.get(at).is_engine());
        if engine && self.coordinator.is_some() {
            self.paces
                .insert(report.endpoint.clone(), (report.pace, report.read));
        }
    }

    /// Records that an engine sent a notice about itself, for the next report.
    pub fn record_notice(&mut self, report: &NoticeReport) {
        if self.coordinator.is_some() {
            self.noticed_starts.insert(report.endpoint.clone());
        }
    }

    fn drain_notices(&mut self, now: Time, t: &Tables) -> Vec<EndpointNotice> {
        let starts = std::mem::take(&mut self.noticed_starts).into_iter();
        let rows = starts.filter_map(|start| t.endpoints.find_start(&start));
        let engines = rows.map(|at| t.endpoints.get(at)).filter(|e| e.is_engine());
        engines.filter_map(|e| endpoint_notice(now, e)).collect()
    }

    fn drain_paces(&mut self, now: Time) -> Vec<EndpointPace> {
        let paces = std::mem::take(&mut self.paces).into_iter();
        let to_entry = |(endpoint, (pace, read)): (EndpointId, (Pace, Time))| EndpointPace {
            endpoint,
            pace,
            age: now.saturating_sub(read),
        };
        paces.map(to_entry).collect()
    }

    /// Records that a caller left. Must be called before the request's row is removed.
    pub fn record_caller_left(&mut self, t: &Tables, id: RequestId) {
        let Some(row) = t.requests.get(id) else {
            return;
        };
        let attempt = if row.phase == Phase::Held {
            next_attempt(row)
        } else {
            row.dispatch
        };
        if row.placement == PlacementState::Requested || engine_of(t, row).is_some() {
            self.push_update(id, attempt, Progress::Dropped);
        }
    }

    fn push_update(&mut self, id: RequestId, attempt: u32, progress: Progress) {
        if self.coordinator.is_some() {
            self.updates.push(ProgressUpdate {
                id,
                attempt,
                progress,
            });
        }
    }

    /// Handles the coordinator's reply and returns the events for this instance's scheduler.
    pub fn handle_reply(&mut self, reply: Reply) -> Vec<Event> {
        let own = reply.instance.is_empty();
        let coordinator = self.coordinator.as_ref();
        if !own && coordinator.is_none_or(|coordinator| coordinator.name != reply.instance) {
            return Vec::new();
        }
        let mut events = Vec::new();
        self.unanswered_since = None;
        if !self.is_responsive {
            self.is_responsive = true;
            self.log_state_change("answers", "silent");
            events.push(Event::Coordinated(true));
        }
        events.extend(reply.assignments.into_iter().map(grant_event));
        events.extend(reply.refusals.into_iter().map(refusal_event));
        events
    }

    /// Selects the coordinator and abandons one that does not reply. Returns the events for this
    /// instance's scheduler.
    pub fn select_coordinator(&mut self, now: Time, draining: bool) -> Vec<Event> {
        self.excluded.retain(|_, until| *until > now);
        let mut events = Vec::new();
        if self
            .unanswered_since
            .is_some_and(|since| since + REPLY_TIMEOUT <= now)
        {
            self.abandon_coordinator(now, &mut events);
        }
        let coordinator = self.choose_coordinator(now, draining);
        if coordinator != self.coordinator {
            self.coordinator = coordinator;
            self.unanswered_since = None;
            self.full_report_at = Time::ZERO;
            if self.coordinator.is_none() && std::mem::take(&mut self.is_responsive) {
                events.push(Event::Coordinated(false));
            }
        }
        events
    }

    fn abandon_coordinator(&mut self, now: Time, events: &mut Vec<Event>) {
        if let Some(coordinator) = &self.coordinator {
            self.excluded
                .insert(coordinator.name.clone(), now + EXCLUSION_TIME);
        }
        self.unanswered_since = None;
        if std::mem::take(&mut self.is_responsive) {
            self.log_state_change("silent", "answers");
            events.push(Event::Coordinated(false));
        }
    }

    fn choose_coordinator(&self, now: Time, draining: bool) -> Option<SelectedCoordinator> {
        let is_eligible = |name: &str| !self.excluded.contains_key(name);
        let other = self.directory.first_of_group(now, is_eligible);
        let can_coordinate = !draining;
        match other {
            Some((peer, precedes_self)) if !can_coordinate || precedes_self => {
                Some(SelectedCoordinator {
                    name: peer.name,
                    address: Some(peer.address),
                })
            }
            _ if can_coordinate => Some(SelectedCoordinator {
                name: self.me.name.clone(),
                address: None,
            }),
            _ => None,
        }
    }

    /// Returns a report of all changes since the last one, if there are any.
    pub fn report_updates(&mut self, now: Time, t: &Tables) -> Option<Report> {
        if self.pending.is_empty() && self.updates.is_empty() {
            return None;
        }
        let pending = std::mem::take(&mut self.pending);
        let updates = std::mem::take(&mut self.updates);
        self.coordinator.as_ref()?;
        let rows = pending.iter().filter_map(|id| t.requests.get(*id));
        let held = rows.filter(|r| r.phase == Phase::Held);
        let waiting: Vec<PlacementRequest> = held
            .map(|r| placement_request(now, t, r, next_attempt(r)))
            .collect();
        Some(Report {
            waiting,
            updates,
            paces: self.drain_paces(now),
            notices: self.drain_notices(now, t),
            ..self.empty_report()
        })
    }

    /// Returns a full report if one is due.
    pub fn report_full(&mut self, now: Time, t: &Tables) -> Option<Report> {
        self.coordinator.as_ref()?;
        if !self.is_full_report_due(now, t) {
            return None;
        }
        self.full_report_at = now;
        self.number += 1;
        self.unanswered_since = self.unanswered_since.or(Some(now));
        self.pending.clear();
        self.noticed_starts.clear();
        let held = t.requests.iter().filter(|r| awaits_assignment(r));
        let waiting = held
            .map(|r| placement_request(now, t, r, next_attempt(r)))
            .collect();
        let running = t.requests.iter().filter_map(|r| running_request(now, t, r));
        Some(Report {
            full: true,
            waiting,
            running: running.collect(),
            updates: std::mem::take(&mut self.updates),
            paces: self.drain_paces(now),
            notices: endpoint_notices(now, t),
            ..self.empty_report()
        })
    }

    /// Whether a full report is due. The first one to a new coordinator is due at once.
    fn is_full_report_due(&self, now: Time, t: &Tables) -> bool {
        let pause = if t.requests.iter().any(awaits_assignment) {
            WAITING_REPORT_INTERVAL
        } else {
            FULL_REPORT_INTERVAL
        };
        self.full_report_at == Time::ZERO || self.full_report_at + pause <= now
    }

    fn empty_report(&self) -> Report {
        Report {
            instance: self.me.name.clone(),
            incarnation: self.me.incarnation,
            zone: self.zone.clone(),
            number: self.number,
            full: false,
            waiting: Vec::new(),
            running: Vec::new(),
            updates: Vec::new(),
            paces: Vec::new(),
            notices: Vec::new(),
            truncated: false,
        }
    }

    fn log_state_change(&self, is: &str, before: &str) {
        let name = self
            .coordinator
            .as_ref()
            .map_or("", |coordinator| &coordinator.name);
        info!(self.log, "belief changed"; "what" => "coordinator", "is" => is, "before" => before,
            "coordinator" => name, "reports" => self.number);
    }
}

fn grant_event(assignment: Assignment) -> Event {
    Event::Granted(Grant {
        id: assignment.id,
        endpoint: assignment.endpoint,
        predicted: assignment.predicted,
        permitted: assignment.permitted,
    })
}

fn refusal_event(refusal: Refusal) -> Event {
    let verdict = Verdict {
        outcome: Outcome::NotRun,
        reason: refusal.reason,
        retry_after: Some(refusal.retry_after),
    };
    Event::NotGranted(refusal.id, verdict)
}
