//! Placement of requests on engines by a coordinator: one instance of each group that all others ask.
//!
//! Every instance is a member of a group and may be its coordinator; the first by name that is heard
//! is. Members tell it what waits, what runs and what became of it, and tell everything again a
//! few times a second, so that a new coordinator knows all after one report of each. Nothing
//! depends on there being just one: two of them at a time only fill engines' queues for a moment
//! (`docs/design/placement.md`).

mod codec;
mod coordinator;
mod member;
mod report;
mod snapshot;

pub use codec::{read_reply, read_report, write_reply, write_report};
pub use coordinator::Coordinator;
pub use member::Membership;
pub use report::{
    Assignment, EndpointNotice, EndpointPace, PlacementRequest, Progress, ProgressUpdate, Refusal,
    Reply, Report,
};

use std::net::SocketAddr;
use std::sync::Arc;

use firdock_core::RequestId;
use firdock_policy::event::{AccountWork, EndpointEvent, Grant};
use firdock_policy::load::PaceReport;
use firdock_policy::notice::NoticeReport;
use firdock_policy::table::Tables;
use firdock_policy::{Event, Scheduler, Time, work_report};
use firdock_wire::message::datagram;
use slog::{Logger, debug};
use tokio::net::UdpSocket;

use crate::peer::seal;

/// Way to the other instances, by datagram.
#[derive(Debug, Clone)]
pub struct DatagramLink {
    socket: Arc<UdpSocket>,
    key: Arc<[u8]>,
    log: Logger,
}

impl DatagramLink {
    /// Makes the way from an open socket and the key that all instances share.
    #[must_use]
    pub fn new(socket: Arc<UdpSocket>, key: Arc<[u8]>, log: Logger) -> Self {
        Self { socket, key, log }
    }

    /// Sends without waiting: what is lost is told again with the next whole report.
    fn send(&self, body: datagram::Body, address: SocketAddr) {
        let sealed = seal(&self.key, body);
        if let Err(e) = self.socket.try_send_to(&sealed, address) {
            debug!(self.log, "placement not sent"; "to" => address.to_string(), "error" => e.to_string());
        }
    }
}

/// What an instance receives about placements.
#[derive(Debug)]
pub enum PlacementInput {
    /// A member's report, and where its answer goes.
    Report(Box<Report>, SocketAddr),
    /// The coordinator's answer.
    Reply(Reply),
}

/// Both sides of placement at one instance.
#[derive(Debug)]
pub struct Placement {
    member: Membership,
    coordinator: Coordinator,
    link: DatagramLink,
}

impl Placement {
    /// Makes both sides; `scheduler` holds the tables of the coordinator.
    #[must_use]
    pub fn new(member: Membership, scheduler: Scheduler, link: DatagramLink) -> Self {
        Self {
            member,
            coordinator: Coordinator::new(scheduler),
            link,
        }
    }

    /// Takes an event that concerns the tables of the coordinator as well.
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

    /// Takes a datagram; gives the events that follow for this instance's own scheduler.
    pub fn handle_input(&mut self, now: Time, input: PlacementInput) -> Vec<Event> {
        match input {
            PlacementInput::Report(report, from) => {
                self.coordinator.handle_report(now, *report, Some(from));
                self.send_replies()
            }
            PlacementInput::Reply(reply) => self.member.handle_reply(reply),
        }
    }

    /// Gives the coordinator's tables, to read.
    #[must_use]
    pub fn tables(&self) -> &Tables {
        self.coordinator.tables()
    }

    /// Gives what engines did lately for accounts, by what was placed here.
    #[must_use]
    pub fn work(&self, now: Time) -> Vec<AccountWork> {
        work_report(self.coordinator.tables(), now)
    }

    /// Notes that a request waits for a place.
    pub fn request_placement(&mut self, id: RequestId) {
        self.member.request_placement(id);
    }

    /// Notes that a place is given back.
    pub fn decline(&mut self, t: &Tables, grant: &Grant) {
        self.member.decline(t, grant);
    }

    /// Notes what became of a request, while its row is still there.
    pub fn note(&mut self, t: &Tables, event: &EndpointEvent) {
        self.member.note(t, event);
    }

    /// Notes what an endpoint told of its pace.
    pub fn note_pace(&mut self, t: &Tables, told: &PaceReport) {
        self.member.note_pace(t, told);
    }

    /// Notes what an endpoint said of itself.
    pub fn note_notice(&mut self, told: &NoticeReport) {
        self.member.note_notice(told);
    }

    /// Notes that a caller left, while the request's row is still there.
    pub fn note_left(&mut self, t: &Tables, id: RequestId) {
        self.member.note_left(t, id);
    }

    /// Tells the coordinator what is new; gives the events that follow here, if it is this instance.
    pub fn exchange(&mut self, now: Time, t: &Tables) -> Vec<Event> {
        match self.member.report_updates(now, t) {
            Some(report) => self.deliver(now, report),
            None => Vec::new(),
        }
    }

    /// Tells the coordinator everything when that is due, and ends what silent members had.
    pub fn tick(&mut self, now: Time, t: &Tables) -> Vec<Event> {
        self.coordinator.follow(now, t);
        self.coordinator.tick(now);
        let mut events = self.member.select_coordinator(now, t.draining);
        if let Some(report) = self.member.report_full(now, t) {
            events.extend(self.deliver(now, report));
        }
        events.extend(self.send_replies());
        events
    }

    /// Checks everything that must hold between the coordinator's tables.
    ///
    /// # Panics
    ///
    /// Panics where an invariant is broken.
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

    /// Sends the coordinator's replies; gives the events of the one to this instance itself.
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
