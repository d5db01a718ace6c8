//! Placement of requests on engines by a coordinator, one instance per group.
//!
//! Every instance is a member of a group and can act as its coordinator; the first live member in
//! the group's order of election does (`docs/design/peers.md`). Members report waiting and running
//! requests and their progress as changes occur, and send full reports several times a second, so
//! that a new coordinator is complete after one report from each member. The protocol does not
//! depend on there being a single coordinator: two at once only overfill the engines' queues for a
//! moment (`docs/design/placement.md`).

mod codec;
mod coordinator;
mod member;
mod report;
mod snapshot;

pub use codec::{read_build, read_reply, read_report, write_build, write_reply, write_report};
pub use coordinator::Coordinator;
pub use member::Membership;
pub use report::{
    Assignment, EndpointNotice, EndpointPace, PlacementRequest, Progress, ProgressUpdate, Refusal,
    Reply, Report,
};

use std::net::SocketAddr;
use std::sync::Arc;

use firdock_core::{InstanceId, RequestId};
use firdock_policy::event::{AccountWork, EndpointEvent, Grant};
use firdock_policy::load::PaceReport;
use firdock_policy::notice::NoticeReport;
use firdock_policy::permit::{PermitGrant, PermitHolder, PermitRequest};
use firdock_policy::table::Tables;
use firdock_policy::{Event, Scheduler, Time, work_report};
use firdock_wire::message::datagram;
use slog::{Logger, debug};
use tokio::net::UdpSocket;

use crate::peer::seal;
use crate::permits::{PermitInput, PermitRouter};

/// Datagram link to the other instances.
#[derive(Debug, Clone)]
pub struct DatagramLink {
    socket: Arc<UdpSocket>,
    key: Arc<[u8]>,
    log: Logger,
}

impl DatagramLink {
    /// Creates a link from an open socket and the key shared by all instances.
    #[must_use]
    pub fn new(socket: Arc<UdpSocket>, key: Arc<[u8]>, log: Logger) -> Self {
        Self { socket, key, log }
    }

    /// Sends without waiting. Lost datagrams are made up for by the next full report.
    pub(crate) fn send(&self, body: datagram::Body, address: SocketAddr) {
        let sealed = seal(&self.key, body);
        if let Err(e) = self.socket.try_send_to(&sealed, address) {
            debug!(self.log, "datagram not sent"; "to" => address.to_string(), "error" => e.to_string());
        }
    }
}

/// A placement message received by this instance.
#[derive(Debug)]
pub enum PlacementInput {
    /// A member's report, with the address for the reply.
    Report(Box<Report>, SocketAddr),
    /// The coordinator's reply.
    Reply(Reply),
}

/// The member and coordinator sides of one instance.
#[derive(Debug)]
pub struct Placement {
    member: Membership,
    coordinator: Coordinator,
    permits: PermitRouter,
    link: DatagramLink,
}

impl Placement {
    /// Creates both sides. `scheduler` holds the coordinator's tables.
    #[must_use]
    pub fn new(member: Membership, scheduler: Scheduler, link: DatagramLink) -> Self {
        Self {
            coordinator: Coordinator::new(scheduler),
            permits: member.permit_router(link.clone()),
            member,
            link,
        }
    }

    /// Passes on events that also concern the coordinator's tables.
    pub fn observe(&mut self, now: Time, event: &Event) {
        if matches!(
            event,
            Event::Config(_)
                | Event::Peer(_)
                | Event::PeersKnown(_)
                | Event::GroupDemand(_)
                | Event::GroupWork(_)
                | Event::ConfigConfirmed(_)
        ) {
            self.coordinator.observe(now, event.clone());
        }
    }

    /// Handles a datagram and returns the events for this instance's own scheduler.
    pub fn handle_input(&mut self, now: Time, input: PlacementInput) -> Vec<Event> {
        match input {
            PlacementInput::Report(report, from) => {
                self.coordinator.handle_report(now, *report, Some(from));
                self.send_replies()
            }
            PlacementInput::Reply(reply) => self.member.handle_reply(reply),
        }
    }

    /// Handles a permit datagram and returns the events for this instance's own scheduler.
    pub fn handle_permits(&mut self, now: Time, input: PermitInput) -> Vec<Event> {
        match input {
            PermitInput::Requests(message) => {
                let holder = message.holder.clone();
                let own = self.permits.receive_requests(now, message);
                requested(holder, own)
            }
            PermitInput::Grants {
                coordinates,
                grants,
            } => self.apply_grants(now, coordinates, grants),
        }
    }

    /// Sends requests of this instance's own scheduler for permits. Returns the event with those
    /// that it grants itself.
    pub fn request_permits(&mut self, now: Time, requests: Vec<PermitRequest>) -> Vec<Event> {
        self.route_requests(now, false, requests)
    }

    /// Passes on permits that this instance granted, and returns the events for its own scheduler.
    pub fn deliver_grants(
        &mut self,
        now: Time,
        holder: &PermitHolder,
        grants: Vec<PermitGrant>,
    ) -> Vec<Event> {
        if holder.instance.is_empty() {
            return self.apply_grants(now, holder.coordinates, grants);
        }
        self.permits.send_grants(holder, &grants);
        Vec::new()
    }

    fn apply_grants(
        &mut self,
        now: Time,
        coordinates: bool,
        grants: Vec<PermitGrant>,
    ) -> Vec<Event> {
        let granted = Event::PermitsGranted(grants);
        if !coordinates {
            return vec![granted];
        }
        self.coordinator.observe(now, granted);
        self.send_replies()
    }

    fn route_requests(
        &mut self,
        now: Time,
        coordinates: bool,
        requests: Vec<PermitRequest>,
    ) -> Vec<Event> {
        let own = self.permits.send_requests(now, coordinates, requests);
        let holder = PermitHolder {
            instance: InstanceId::new(),
            coordinates,
        };
        requested(holder, own)
    }

    /// Returns the coordinator's tables.
    #[must_use]
    pub fn tables(&self) -> &Tables {
        self.coordinator.tables()
    }

    /// Returns the work that engines recently did per account, as far as it was placed here.
    #[must_use]
    pub fn account_work(&self, now: Time) -> Vec<AccountWork> {
        work_report(self.coordinator.tables(), now)
    }

    /// Queues a request for placement.
    pub fn request_placement(&mut self, id: RequestId) {
        self.member.request_placement(id);
    }

    /// Reports that an assignment was declined.
    pub fn decline(&mut self, t: &Tables, grant: &Grant) {
        self.member.decline(t, grant);
    }

    /// Records the progress of a request. Must be called before its row is removed.
    pub fn record_progress(&mut self, t: &Tables, event: &EndpointEvent) {
        self.member.record_progress(t, event);
    }

    /// Records an endpoint's pace.
    pub fn record_pace(&mut self, t: &Tables, report: &PaceReport) {
        self.member.record_pace(t, report);
    }

    /// Records an endpoint's notice about itself.
    pub fn record_notice(&mut self, report: &NoticeReport) {
        self.member.record_notice(report);
    }

    /// Records that a caller left. Must be called before the request's row is removed.
    pub fn record_caller_left(&mut self, t: &Tables, id: RequestId) {
        self.member.record_caller_left(t, id);
    }

    /// Sends pending changes to the coordinator. If the coordinator is this instance, returns the
    /// resulting events.
    pub fn send_updates(&mut self, now: Time, t: &Tables) -> Vec<Event> {
        match self.member.report_updates(now, t) {
            Some(report) => self.deliver(now, report),
            None => Vec::new(),
        }
    }

    /// Runs the timers of both sides: drops silent members and sends full reports that are due.
    pub fn tick(&mut self, now: Time, t: &Tables) -> Vec<Event> {
        self.coordinator.sync_tables(now, t);
        self.coordinator.tick(now);
        self.permits.set_draining(t.draining);
        let mut events = self.member.select_coordinator(now, t.draining);
        let requests = self.coordinator.take_permit_requests();
        events.extend(self.route_requests(now, true, requests));
        if let Some(report) = self.member.report_full(now, t) {
            events.extend(self.deliver(now, report));
        }
        events.extend(self.send_replies());
        events
    }

    /// Checks the invariants between the coordinator's tables.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub fn check_invariants(&self, now: Time) {
        self.coordinator.check_invariants(now);
    }

    fn deliver(&mut self, now: Time, report: Report) -> Vec<Event> {
        let Some(address) = self.member.address() else {
            self.coordinator.handle_report(now, report, None);
            return self.send_replies();
        };
        let body = datagram::Body::PlacementReport(write_report(&report));
        self.link.send(body, address);
        Vec::new()
    }

    /// Sends the coordinator's replies and returns the events of the reply to this instance itself.
    fn send_replies(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        for (address, reply) in self.coordinator.replies() {
            if let Some(address) = address {
                let body = datagram::Body::PlacementReply(write_reply(&reply, self.member.name()));
                self.link.send(body, address);
            } else {
                events.extend(self.member.handle_reply(reply));
            }
        }
        events
    }
}

/// Returns the event with requests for permits that this instance grants, if there are any.
fn requested(holder: PermitHolder, requests: Vec<PermitRequest>) -> Vec<Event> {
    if requests.is_empty() {
        return Vec::new();
    }
    vec![Event::PermitsRequested(holder, requests)]
}
