//! What the driver does for the placement of requests by coordinators.
//!
//! Each is nothing where requests are placed by the instance's own scheduler alone.

use firdock_core::RequestId;
use firdock_policy::Event;
use firdock_policy::event::Grant;

use super::Driver;
use crate::endpoint::Dispatcher;
use crate::placement::PlacementInput;

impl<B: Dispatcher> Driver<B> {
    /// Takes a report or a reply that came by datagram.
    pub(super) fn take_placement(&mut self, input: PlacementInput) {
        let now = self.parts.clock.now();
        if let Some(placement) = &mut self.placement {
            let events = placement.handle_input(now, input);
            self.apply_all(events);
        }
    }

    /// Tells the placement of requests what an event means for it, before the event is taken.
    pub(super) fn note_placement(&mut self, event: &Event) {
        let Some(placement) = &mut self.placement else {
            return;
        };
        let t = self.scheduler.tables();
        match event {
            Event::Endpoint(news) => placement.record_progress(t, news),
            Event::CallerLeft(id) => placement.record_caller_left(t, *id),
            Event::PaceReported(told) => placement.record_pace(t, told),
            Event::NoticeReported(told) => placement.record_notice(told),
            _ => placement.observe(self.parts.clock.now(), event),
        }
    }

    /// Asks for a place for a request with the next report.
    pub(super) fn ask_placement(&mut self, id: RequestId) {
        if let Some(placement) = &mut self.placement {
            placement.request_placement(id);
        }
    }

    /// Gives back a place that a request was given.
    pub(super) fn decline_placement(&mut self, grant: &Grant) {
        if let Some(placement) = &mut self.placement {
            placement.decline(self.scheduler.tables(), grant);
        }
    }

    /// Runs what placement does by time.
    pub(super) fn tick_placement(&mut self) {
        let Some(placement) = &mut self.placement else {
            return;
        };
        let events = placement.tick(self.parts.clock.now(), self.scheduler.tables());
        self.apply_all(events);
        self.send_placement_updates();
    }

    /// Tells the coordinator what is new, and takes what it answers at once where it runs here.
    pub(super) fn send_placement_updates(&mut self) {
        let now = self.parts.clock.now();
        while let Some(placement) = &mut self.placement {
            let events = placement.send_updates(now, self.scheduler.tables());
            if events.is_empty() {
                break;
            }
            self.apply_all(events);
        }
    }

    fn apply_all(&mut self, events: Vec<Event>) {
        for event in events {
            self.apply(event);
        }
    }
}
