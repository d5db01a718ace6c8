//! Connects the driver with placement by coordinators.
//!
//! All methods do nothing if the instance's own scheduler places its requests alone.

use firdock_core::RequestId;
use firdock_policy::Event;
use firdock_policy::event::Grant;

use super::Driver;
use crate::endpoint::Dispatcher;
use crate::placement::PlacementInput;

impl<B: Dispatcher> Driver<B> {
    /// Handles a report or a reply that arrived by datagram.
    pub(super) fn handle_placement(&mut self, input: PlacementInput) {
        let now = self.parts.clock.now();
        if let Some(placement) = &mut self.placement {
            let events = placement.handle_input(now, input);
            self.apply_all(events);
        }
    }

    /// Passes an event on to placement. Must be called before the scheduler handles the event.
    pub(super) fn notify_placement(&mut self, event: &Event) {
        let Some(placement) = &mut self.placement else {
            return;
        };
        let t = self.scheduler.tables();
        match event {
            Event::Endpoint(update) => placement.record_progress(t, update),
            Event::CallerLeft(id) => placement.record_caller_left(t, *id),
            Event::PaceReported(report) => placement.record_pace(t, report),
            Event::NoticeReported(report) => placement.record_notice(report),
            _ => placement.observe(self.parts.clock.now(), event),
        }
    }

    /// Queues a request for placement with the next report.
    pub(super) fn request_placement(&mut self, id: RequestId) {
        if let Some(placement) = &mut self.placement {
            placement.request_placement(id);
        }
    }

    /// Declines the assignment of a request.
    pub(super) fn decline_placement(&mut self, grant: &Grant) {
        if let Some(placement) = &mut self.placement {
            placement.decline(self.scheduler.tables(), grant);
        }
    }

    /// Runs the timers of placement.
    pub(super) fn tick_placement(&mut self) {
        let Some(placement) = &mut self.placement else {
            return;
        };
        let events = placement.tick(self.parts.clock.now(), self.scheduler.tables());
        self.apply_all(events);
        self.send_placement_updates();
    }

    /// Sends pending changes to the coordinator. If it runs on this instance, applies its reply
    /// immediately.
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

    pub(super) fn apply_all(&mut self, events: Vec<Event>) {
        for event in events {
            self.apply(event);
        }
    }
}
