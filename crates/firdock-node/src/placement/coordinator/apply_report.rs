//! Applies a member's report to the coordinator's tables.

use std::collections::HashSet;
use std::net::SocketAddr;

use firdock_core::{RequestId, StartId};
use firdock_policy::event::{DispatchUpdate, EndpointEvent};
use firdock_policy::load::PaceReport;
use firdock_policy::notice::NoticeReport;
use firdock_policy::request::Phase;
use firdock_policy::{Event, NewRequest, Time};

use super::{Coordinator, IN_FLIGHT_TIME, Member, Owner, predicted};
use crate::placement::report::{
    Assignment, EndpointNotice, EndpointPace, PlacementRequest, Progress, ProgressUpdate, Report,
};

impl Coordinator {
    /// Registers a member or refreshes its last report time. If its process has restarted, all
    /// requests of the earlier process are dropped.
    pub(super) fn register_member(
        &mut self,
        now: Time,
        report: &Report,
        address: Option<SocketAddr>,
    ) {
        let known = self.members.get(&report.instance);
        if known.is_some_and(|m| m.incarnation != report.incarnation) {
            self.remove_member(now, &report.instance);
        }
        let member = self
            .members
            .entry(report.instance.clone())
            .or_insert_with(|| Member::new(now, report, address));
        member.address = address;
        member.last_seen = now;
    }

    pub(super) fn apply_update(&mut self, now: Time, name: &str, update: ProgressUpdate) {
        let owner = self.owners.get(&update.id);
        let current = owner.is_some_and(|o| o.member == name && o.attempt == update.attempt);
        let row = self.scheduler.tables().requests.get(update.id);
        let Some(row) = row.filter(|_| current) else {
            return;
        };
        let dispatch = row.dispatch;
        let Some(change) = dispatch_update(update.progress) else {
            self.drop_request(now, update.id);
            return;
        };
        let event = EndpointEvent {
            id: update.id,
            dispatch,
            update: change,
        };
        self.step(now, Event::Endpoint(event));
        self.forget_if_ended(update.id);
    }

    /// Applies an engine's pace.
    pub(super) fn apply_pace(&mut self, now: Time, pace: EndpointPace) {
        let report = PaceReport {
            endpoint: pace.endpoint,
            pace: pace.pace,
            read: now.saturating_sub(pace.age),
        };
        self.step(now, Event::PaceReported(report));
    }

    /// Applies an engine's notice. A back-off affects only the member that received it.
    pub(super) fn apply_notice(&mut self, now: Time, name: &str, notice: EndpointNotice) {
        let report = NoticeReport {
            endpoint: notice.endpoint,
            member: name.to_owned(),
            notice: notice.notice,
            read: now,
        };
        self.step(now, Event::NoticeReported(report));
    }

    /// Adopts a running request that was assigned by another coordinator, or by the member itself.
    pub(super) fn adopt_running(
        &mut self,
        now: Time,
        name: &str,
        request: PlacementRequest,
        endpoint: StartId,
    ) {
        let id = request.new_request.id;
        if self.is_current(&id, request.attempt) {
            return;
        }
        self.drop_request(now, id);
        let attempt = request.attempt;
        self.step(now, Event::Adopted(to_new_request(now, request), endpoint));
        if self.scheduler.tables().requests.get(id).is_some() {
            self.add_owner(now, name, id, attempt);
        }
    }

    pub(super) fn enqueue_waiting(&mut self, now: Time, name: &str, request: PlacementRequest) {
        let id = request.new_request.id;
        if self.is_current(&id, request.attempt) {
            self.resend_assignment(name, id, request.attempt);
            return;
        }
        self.drop_request(now, id);
        // Registered before it arrives, since it may be assigned or refused immediately.
        self.add_owner(now, name, id, request.attempt);
        self.step(now, Event::Arrived(to_new_request(now, request)));
        self.forget_if_ended(id);
    }

    fn is_current(&self, id: &RequestId, attempt: u32) -> bool {
        self.owners.get(id).is_some_and(|o| o.attempt == attempt)
    }

    /// Repeats an assignment that the member does not know of, because it was lost or is still in
    /// transit.
    fn resend_assignment(&mut self, name: &str, id: RequestId, attempt: u32) {
        let t = self.scheduler.tables();
        let Some(row) = t.requests.get(id) else {
            return;
        };
        let Phase::Dispatching(at) = row.phase else {
            return;
        };
        let endpoint = t.endpoints.get(at).start_id.clone();
        let assignment = Assignment {
            id,
            attempt,
            endpoint,
            predicted: predicted(row),
            permitted: row.permit.is_some(),
        };
        if let Some(member) = self.members.get_mut(name) {
            member.reply().assignments.push(assignment);
        }
    }

    fn add_owner(&mut self, now: Time, name: &str, id: RequestId, attempt: u32) {
        let owner = Owner {
            member: name.to_owned(),
            attempt,
            since: now,
        };
        self.owners.insert(id, owner);
    }

    /// Drops the requests of a member that its full report does not list.
    pub(super) fn drop_unreported(&mut self, now: Time, name: &str, reported: &HashSet<RequestId>) {
        let unreported = self.owners.iter().filter(|(id, o)| {
            o.member == name && o.since + IN_FLIGHT_TIME <= now && !reported.contains(id)
        });
        let ids: Vec<RequestId> = unreported.map(|(id, _)| *id).collect();
        for id in ids {
            self.drop_request(now, id);
        }
    }

    /// Removes a member and drops all its requests.
    pub(super) fn remove_member(&mut self, now: Time, name: &str) {
        self.members.remove(name);
        let owned = self.owners.iter().filter(|(_, o)| o.member == name);
        let ids: Vec<RequestId> = owned.map(|(id, _)| *id).collect();
        for id in ids {
            self.drop_request(now, id);
        }
    }

    fn drop_request(&mut self, now: Time, id: RequestId) {
        if self.owners.remove(&id).is_some() {
            self.step(now, Event::CallerLeft(id));
        }
    }

    fn forget_if_ended(&mut self, id: RequestId) {
        if self.scheduler.tables().requests.get(id).is_none() {
            self.owners.remove(&id);
        }
    }
}

/// Maps the progress of a request to an update of its dispatch, or `None` if it was dropped.
fn dispatch_update(progress: Progress) -> Option<DispatchUpdate> {
    Some(match progress {
        Progress::Dropped => return None,
        Progress::FirstToken => DispatchUpdate::Tokens {
            delivered: 1,
            cached: 0,
        },
        Progress::Ended { prompt, output } => DispatchUpdate::Ended {
            prompt,
            cached: 0,
            output,
        },
        Progress::Broke => DispatchUpdate::Broke { delivered: 0 },
        Progress::Refused => DispatchUpdate::Refused { unreachable: false },
        Progress::Unreachable => DispatchUpdate::Refused { unreachable: true },
    })
}

/// Converts a placement request, with its deadline on this instance's clock.
fn to_new_request(now: Time, request: PlacementRequest) -> NewRequest {
    NewRequest {
        deadline: request.remaining.map(|left| now + left),
        ..request.new_request
    }
}
