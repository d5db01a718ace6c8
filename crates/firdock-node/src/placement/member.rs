//! A member's side: whom it asks, what it tells, and when it gives the coordinator up.

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

use super::report::{
    Assignment, EndpointNotice, EndpointPace, PlacementRequest, Progress, ProgressUpdate, Refusal,
    Reply, Report,
};
use super::snapshot::{
    engine_of, next_attempt, noticed, notices, progress, running, waits, wanted,
};
use crate::peer::PeerDirectory;

/// Pause between two whole reports.
const WHOLE_PAUSE: Duration = Duration::from_millis(200);
/// The same while requests wait, whose places or words may have been lost.
const WAITING_PAUSE: Duration = Duration::from_millis(100);
/// Time without a reply after which a coordinator is given up: two reports or replies in a row were
/// lost, or it stands still. It takes a third of the shortest target of a first token.
const PATIENCE: Duration = Duration::from_millis(300);
/// Time for which a coordinator that was given up is not asked: shorter, and one that is slow would
/// be asked and given up by turns.
const SHUNNED: Duration = Duration::from_secs(3);

/// The instance that is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Lead {
    name: InstanceId,
    /// `None` where it is this instance.
    address: Option<SocketAddr>,
}

/// A member of a group.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    zone: ZoneId,
    directory: Arc<PeerDirectory>,
    lead: Option<Lead>,
    shunned: BTreeMap<InstanceId, Time>,
    /// Whether the coordinator answers.
    answers: bool,
    /// Since when it owes an answer.
    owed_since: Option<Time>,
    /// Number and time of the last whole report.
    number: u64,
    whole_at: Time,
    asked: Vec<RequestId>,
    updates: Vec<ProgressUpdate>,
    /// What engines told of their pace since the last report.
    paces: BTreeMap<EndpointId, (Pace, Time)>,
    /// Starts of engines that said something of themselves since.
    noticed: BTreeSet<StartId>,
    log: Logger,
}

impl Membership {
    /// Makes a member that has asked nobody yet.
    #[must_use]
    pub fn new(me: Member, zone: ZoneId, directory: Arc<PeerDirectory>, log: Logger) -> Self {
        Self {
            me,
            zone,
            directory,
            lead: None,
            shunned: BTreeMap::new(),
            answers: false,
            owed_since: None,
            number: 0,
            whole_at: Time::ZERO,
            asked: Vec::new(),
            updates: Vec::new(),
            paces: BTreeMap::new(),
            noticed: BTreeSet::new(),
            log,
        }
    }

    /// Gives this instance's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.me.name
    }

    /// Gives where the coordinator takes reports; `None` where it is this instance.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.lead.as_ref().and_then(|lead| lead.address)
    }

    /// Notes that a request waits for a place.
    pub fn request_placement(&mut self, id: RequestId) {
        self.asked.push(id);
    }

    /// Notes that a place is given back.
    pub fn decline(&mut self, t: &Tables, grant: &Grant) {
        // A request that ended here is dropped by the next whole report.
        if let Some(row) = t.requests.get(grant.id) {
            self.tell(grant.id, next_attempt(row), Progress::Dropped);
        }
    }

    /// Notes what became of a request, while its row is still there.
    pub fn note(&mut self, t: &Tables, event: &EndpointEvent) {
        let row = t
            .requests
            .get(event.id)
            .filter(|r| r.dispatch == event.dispatch);
        let Some(row) = row.filter(|r| engine_of(t, r).is_some()) else {
            return;
        };
        if let Some(progress) = progress(row, event.update) {
            self.tell(event.id, event.dispatch, progress);
        }
    }

    /// Notes what an engine told of its pace; it goes with the next report, which is never long off.
    pub fn note_pace(&mut self, t: &Tables, told: &PaceReport) {
        let at = t.endpoints.find(&told.endpoint);
        let engine = at.is_some_and(|at| t.endpoints.get(at).is_engine());
        if engine && self.lead.is_some() {
            self.paces
                .insert(told.endpoint.clone(), (told.pace, told.read));
        }
    }

    /// Notes that an engine said something of itself; it goes with the next report, as its pace does.
    pub fn note_notice(&mut self, told: &NoticeReport) {
        if self.lead.is_some() {
            self.noticed.insert(told.endpoint.clone());
        }
    }

    fn take_notices(&mut self, now: Time, t: &Tables) -> Vec<EndpointNotice> {
        let starts = std::mem::take(&mut self.noticed).into_iter();
        let rows = starts.filter_map(|start| t.endpoints.find_start(&start));
        let engines = rows.map(|at| t.endpoints.get(at)).filter(|e| e.is_engine());
        engines.filter_map(|e| noticed(now, e)).collect()
    }

    fn take_paces(&mut self, now: Time) -> Vec<EndpointPace> {
        let paces = std::mem::take(&mut self.paces).into_iter();
        let told = |(endpoint, (pace, read)): (EndpointId, (Pace, Time))| EndpointPace {
            endpoint,
            pace,
            age: now.saturating_sub(read),
        };
        paces.map(told).collect()
    }

    /// Notes that a caller left, while the request's row is still there.
    pub fn note_left(&mut self, t: &Tables, id: RequestId) {
        let Some(row) = t.requests.get(id) else {
            return;
        };
        let attempt = if row.phase == Phase::Held {
            next_attempt(row)
        } else {
            row.dispatch
        };
        if row.placement == PlacementState::Requested || engine_of(t, row).is_some() {
            self.tell(id, attempt, Progress::Dropped);
        }
    }

    fn tell(&mut self, id: RequestId, attempt: u32, progress: Progress) {
        if self.lead.is_some() {
            self.updates.push(ProgressUpdate {
                id,
                attempt,
                progress,
            });
        }
    }

    /// Takes the coordinator's reply; gives the events that follow.
    pub fn handle_reply(&mut self, reply: Reply) -> Vec<Event> {
        let own = reply.instance.is_empty();
        let lead = self.lead.as_ref();
        if !own && lead.is_none_or(|lead| lead.name != reply.instance) {
            return Vec::new();
        }
        let mut events = Vec::new();
        self.owed_since = None;
        if !self.answers {
            self.answers = true;
            self.write_belief("answers", "silent");
            events.push(Event::Coordinated(true));
        }
        events.extend(reply.assignments.into_iter().map(granted));
        events.extend(reply.refusals.into_iter().map(not_granted));
        events
    }

    /// Looks whom to ask, and gives a coordinator up that does not answer.
    pub fn select_coordinator(&mut self, now: Time, draining: bool) -> Vec<Event> {
        self.shunned.retain(|_, until| *until > now);
        let mut events = Vec::new();
        if self.owed_since.is_some_and(|since| since + PATIENCE <= now) {
            self.give_up(now, &mut events);
        }
        let lead = self.pick(now, draining);
        if lead != self.lead {
            self.lead = lead;
            self.owed_since = None;
            self.whole_at = Time::ZERO;
            if self.lead.is_none() && std::mem::take(&mut self.answers) {
                events.push(Event::Coordinated(false));
            }
        }
        events
    }

    fn give_up(&mut self, now: Time, events: &mut Vec<Event>) {
        if let Some(lead) = &self.lead {
            self.shunned.insert(lead.name.clone(), now + SHUNNED);
        }
        self.owed_since = None;
        if std::mem::take(&mut self.answers) {
            self.write_belief("silent", "answers");
            events.push(Event::Coordinated(false));
        }
    }

    fn pick(&self, now: Time, draining: bool) -> Option<Lead> {
        let open = |name: &str| !self.shunned.contains_key(name);
        let other = self.directory.first_of_group(now, open);
        let own = !draining;
        match other {
            Some((peer, before)) if !own || before => Some(Lead {
                name: peer.name,
                address: Some(peer.address),
            }),
            _ if own => Some(Lead {
                name: self.me.name.clone(),
                address: None,
            }),
            _ => None,
        }
    }

    /// Gives a report of what is new, if there is any.
    pub fn report_updates(&mut self, now: Time, t: &Tables) -> Option<Report> {
        if self.asked.is_empty() && self.updates.is_empty() {
            return None;
        }
        let asked = std::mem::take(&mut self.asked);
        let updates = std::mem::take(&mut self.updates);
        self.lead.as_ref()?;
        let rows = asked.iter().filter_map(|id| t.requests.get(*id));
        let held = rows.filter(|r| r.phase == Phase::Held);
        let waiting: Vec<PlacementRequest> =
            held.map(|r| wanted(now, t, r, next_attempt(r))).collect();
        Some(Report {
            waiting,
            updates,
            paces: self.take_paces(now),
            notices: self.take_notices(now, t),
            ..self.empty_report()
        })
    }

    /// Gives a report of everything, if one is due.
    pub fn report_full(&mut self, now: Time, t: &Tables) -> Option<Report> {
        self.lead.as_ref()?;
        if !self.is_whole_due(now, t) {
            return None;
        }
        self.whole_at = now;
        self.number += 1;
        self.owed_since = self.owed_since.or(Some(now));
        self.asked.clear();
        self.noticed.clear();
        let held = t.requests.iter().filter(|r| waits(r));
        let waiting = held.map(|r| wanted(now, t, r, next_attempt(r))).collect();
        let running = t.requests.iter().filter_map(|r| running(now, t, r));
        Some(Report {
            full: true,
            waiting,
            running: running.collect(),
            updates: std::mem::take(&mut self.updates),
            paces: self.take_paces(now),
            notices: notices(now, t),
            ..self.empty_report()
        })
    }

    /// Tells whether a whole report is due; the first one to a lead is at once.
    fn is_whole_due(&self, now: Time, t: &Tables) -> bool {
        let pause = if t.requests.iter().any(waits) {
            WAITING_PAUSE
        } else {
            WHOLE_PAUSE
        };
        self.whole_at == Time::ZERO || self.whole_at + pause <= now
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

    fn write_belief(&self, is: &str, before: &str) {
        let name = self.lead.as_ref().map_or("", |lead| &lead.name);
        info!(self.log, "belief changed"; "what" => "coordinator", "is" => is, "before" => before,
            "coordinator" => name, "reports" => self.number);
    }
}

fn granted(assignment: Assignment) -> Event {
    Event::Granted(Grant {
        id: assignment.id,
        endpoint: assignment.endpoint,
        predicted: assignment.predicted,
    })
}

fn not_granted(refusal: Refusal) -> Event {
    let verdict = Verdict {
        outcome: Outcome::NotRun,
        reason: refusal.reason,
        retry_after: Some(refusal.retry_after),
    };
    Event::NotGranted(refusal.id, verdict)
}
