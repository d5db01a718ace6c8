//! What a member's report changes: who is there, what waits, what runs, and what became of it.

use std::collections::HashSet;
use std::net::SocketAddr;

use firdock_core::{RequestId, StartId};
use firdock_policy::event::{DispatchUpdate, EndpointEvent};
use firdock_policy::load::PaceReport;
use firdock_policy::notice::NoticeReport;
use firdock_policy::request::Phase;
use firdock_policy::{Event, NewRequest, Time};

use super::{Coordinator, Member, ON_ITS_WAY, Owner, predicted};
use crate::placement::report::{Course, News, Noticed, Paced, Placed, Report, Wanted};

impl Coordinator {
    /// Notes that a member was heard; what an earlier process of it ran is over.
    pub(super) fn meet(&mut self, now: Time, report: &Report, address: Option<SocketAddr>) {
        let known = self.members.get(&report.instance);
        if known.is_some_and(|m| m.incarnation != report.incarnation) {
            self.remove(now, &report.instance);
        }
        let member = self
            .members
            .entry(report.instance.clone())
            .or_insert_with(|| Member::new(now, report, address));
        member.address = address;
        member.heard = now;
    }

    pub(super) fn take_news(&mut self, now: Time, name: &str, news: News) {
        let owner = self.owners.get(&news.id);
        let current = owner.is_some_and(|o| o.member == name && o.attempt == news.attempt);
        let row = self.scheduler.tables().requests.get(news.id);
        let Some(row) = row.filter(|_| current) else {
            return;
        };
        let dispatch = row.dispatch;
        let Some(told) = dispatch_news(news.course) else {
            self.drop_request(now, news.id);
            return;
        };
        let event = EndpointEvent {
            id: news.id,
            dispatch,
            update: told,
        };
        self.step(now, Event::Endpoint(event));
        self.forget_if_ended(news.id);
    }

    /// Takes what an engine told a member of its pace.
    pub(super) fn take_pace(&mut self, now: Time, paced: Paced) {
        let told = PaceReport {
            endpoint: paced.endpoint,
            pace: paced.pace,
            read: now.saturating_sub(paced.age),
        };
        self.step(now, Event::PaceReported(told));
    }

    /// Takes what an engine said of itself to a member, which alone may not send there now.
    pub(super) fn take_notice(&mut self, now: Time, name: &str, noticed: Noticed) {
        let told = NoticeReport {
            endpoint: noticed.endpoint,
            member: name.to_owned(),
            notice: noticed.notice,
            read: now,
        };
        self.step(now, Event::NoticeReported(told));
    }

    /// Takes a request that runs and was placed by another coordinator, or by the member itself.
    pub(super) fn take_running(
        &mut self,
        now: Time,
        name: &str,
        wanted: Wanted,
        endpoint: StartId,
    ) {
        let id = wanted.new.id;
        if self.is_current(&id, wanted.attempt) {
            return;
        }
        self.drop_request(now, id);
        let attempt = wanted.attempt;
        self.step(now, Event::Adopted(dated(now, wanted), endpoint));
        if self.scheduler.tables().requests.get(id).is_some() {
            self.own(now, name, id, attempt);
        }
    }

    pub(super) fn take_waiting(&mut self, now: Time, name: &str, wanted: Wanted) {
        let id = wanted.new.id;
        if self.is_current(&id, wanted.attempt) {
            self.place_again(name, id, wanted.attempt);
            return;
        }
        self.drop_request(now, id);
        // Before it arrives, since it may be placed or refused at once.
        self.own(now, name, id, wanted.attempt);
        self.step(now, Event::Arrived(dated(now, wanted)));
        self.forget_if_ended(id);
    }

    fn is_current(&self, id: &RequestId, attempt: u32) -> bool {
        self.owners.get(id).is_some_and(|o| o.attempt == attempt)
    }

    /// Tells a place once more that the member does not know of: its word was lost, or is on its way.
    fn place_again(&mut self, name: &str, id: RequestId, attempt: u32) {
        let t = self.scheduler.tables();
        let Some(row) = t.requests.get(id) else {
            return;
        };
        let Phase::Dispatching(at) = row.phase else {
            return;
        };
        let endpoint = t.endpoints.get(at).start_id.clone();
        let placed = Placed {
            id,
            attempt,
            endpoint,
            predicted: predicted(row),
        };
        if let Some(member) = self.members.get_mut(name) {
            member.reply().placed.push(placed);
        }
    }

    fn own(&mut self, now: Time, name: &str, id: RequestId, attempt: u32) {
        let owner = Owner {
            member: name.to_owned(),
            attempt,
            since: now,
        };
        self.owners.insert(id, owner);
    }

    /// Drops the requests of a member that its whole report does not tell of.
    pub(super) fn drop_untold(&mut self, now: Time, name: &str, told: &HashSet<RequestId>) {
        let untold = self.owners.iter().filter(|(id, o)| {
            o.member == name && o.since + ON_ITS_WAY <= now && !told.contains(id)
        });
        let ids: Vec<RequestId> = untold.map(|(id, _)| *id).collect();
        for id in ids {
            self.drop_request(now, id);
        }
    }

    /// Removes a member with all that it had.
    pub(super) fn remove(&mut self, now: Time, name: &str) {
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

/// Gives what became of a request as news of its dispatch; `None` where it was dropped.
fn dispatch_news(course: Course) -> Option<DispatchUpdate> {
    Some(match course {
        Course::Dropped => return None,
        Course::Began => DispatchUpdate::Tokens {
            delivered: 1,
            cached: 0,
        },
        Course::Ended { prompt, output } => DispatchUpdate::Ended {
            prompt,
            cached: 0,
            output,
        },
        Course::Broke => DispatchUpdate::Broke { delivered: 0 },
        Course::Refused => DispatchUpdate::Refused { unreachable: false },
        Course::Unreachable => DispatchUpdate::Refused { unreachable: true },
    })
}

/// Gives a request with its deadline by this instance's clock.
fn dated(now: Time, wanted: Wanted) -> NewRequest {
    NewRequest {
        deadline: wanted.left.map(|left| now + left),
        ..wanted.new
    }
}
