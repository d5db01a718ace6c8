//! Connects the driver with the exchange of permits for endpoints with rate limits.
//!
//! An instance without datagrams to its peers grants itself the permits of its even part of a limit.

use firdock_policy::Event;
use firdock_policy::permit::{PermitGrant, PermitHolder, PermitRequest};

use super::Driver;
use crate::endpoint::Dispatcher;
use crate::permits::PermitInput;

impl<B: Dispatcher> Driver<B> {
    /// Handles permits or requests for them that arrived by datagram.
    pub(super) fn handle_permits(&mut self, input: PermitInput) {
        let now = self.parts.clock.now();
        if let Some(placement) = &mut self.placement {
            let events = placement.handle_permits(now, input);
            self.apply_all(events);
        }
    }

    /// Requests permits from the instances that grant them.
    pub(super) fn request_permits(&mut self, requests: Vec<PermitRequest>) {
        let now = self.parts.clock.now();
        let events = match &mut self.placement {
            Some(placement) => placement.request_permits(now, requests),
            None => vec![Event::PermitsRequested(PermitHolder::default(), requests)],
        };
        self.queue_events(events);
    }

    /// Delivers permits that this instance granted.
    pub(super) fn deliver_grants(&mut self, holder: &PermitHolder, grants: Vec<PermitGrant>) {
        let now = self.parts.clock.now();
        let events = match &mut self.placement {
            Some(placement) => placement.deliver_grants(now, holder, grants),
            None => vec![Event::PermitsGranted(grants)],
        };
        self.queue_events(events);
    }

    /// Queues events that follow from an action, which is carried out while the scheduler's other
    /// actions wait.
    fn queue_events(&self, events: Vec<Event>) {
        for event in events {
            self.queue_event(event);
        }
    }
}
