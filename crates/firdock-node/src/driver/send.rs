//! Actions that send requests: dispatches to endpoints and hand-overs to peers.

use std::sync::Arc;

use firdock_core::{InstanceId, RequestId, StartId};
use firdock_policy::Event;
use firdock_policy::action::{Dispatch, HandOverCause};
use firdock_policy::event::{
    DispatchUpdate, EndVerdict, EndpointEvent, HandOverEvent, HandOverRefusal,
};
use firdock_policy::request::StreamOrigin;
use tokio::sync::watch;

use super::Driver;
use crate::endpoint::run::{DispatchRun, EndpointChange};
use crate::endpoint::{Dispatcher, Target};
use crate::exchange::Exchange;
use crate::peer;
use crate::site::EndpointLocation;
use crate::telemetry::Span;
use crate::telemetry::decisions::LastDispatch;

impl<B: Dispatcher> Driver<B> {
    pub(super) fn dispatch(&mut self, dispatch: Dispatch) {
        let Some(exchange) = self.exchange(dispatch.id) else {
            return;
        };
        let id = dispatch.id;
        if exchange.reply.is_closed() {
            // The event of the caller's departure is still queued, so the request is not sent.
            self.queue_event(Event::CallerLeft(id));
            return;
        }
        let Some(location) = self.parts.site.view().location(&dispatch.endpoint) else {
            self.return_dispatch(&dispatch);
            return;
        };
        let (now, t) = (self.parts.clock.now(), self.scheduler.tables());
        self.decisions.dispatched(now, t, &dispatch, &exchange);
        exchange.delivered().end = None;
        let (change, change_receiver) = watch::channel(EndpointChange::Unchanged);
        if let Some(request) = self.active.get_mut(&id) {
            request.sent = Some(LastDispatch::new(now, &dispatch));
            request.target = Some((dispatch.endpoint.clone(), location));
            request.change = Some(change);
        }
        let run = self.make_run(exchange, dispatch, location, change_receiver);
        let dispatcher = self.parts.dispatcher.clone();
        let (log, clock) = (self.parts.log.clone(), self.parts.clock);
        let task = self.parts.runtime.spawn(async move {
            let span = Span::start("endpoint", &run.exchange.trace, clock.now());
            let run = DispatchRun {
                trace: span.context,
                ..run
            };
            let result = dispatcher.run(location, run).await;
            span.end(&log, clock.now(), &id.to_string(), result);
        });
        self.set_task(id, task.abort_handle());
    }

    fn make_run(
        &self,
        exchange: Arc<Exchange>,
        dispatch: Dispatch,
        location: EndpointLocation,
        change: watch::Receiver<EndpointChange>,
    ) -> DispatchRun {
        let trace = exchange.trace;
        let endpoints = &self.scheduler.tables().endpoints;
        let found = endpoints.find(&dispatch.endpoint);
        let endpoint = found.map(|at| endpoints.get(at));
        let row = self.scheduler.tables().requests.get(dispatch.id);
        DispatchRun {
            start: endpoint.map_or_else(StartId::new, |e| e.start_id.clone()),
            origin: row.map_or(StreamOrigin::New, |row| row.dispatched_to.clone()),
            streams: Arc::clone(&self.parts.streams),
            target: Target {
                name: dispatch.endpoint.clone(),
                address: location.address,
            },
            exchange,
            dispatch,
            limits: self.parts.limits,
            inputs: self.parts.inputs.clone(),
            clock: self.parts.clock,
            trace,
            change,
        }
    }

    /// Returns a dispatch whose endpoint no longer has an address. Nothing was sent.
    fn return_dispatch(&self, dispatch: &Dispatch) {
        let update = DispatchUpdate::Refused { unreachable: true };
        let event = EndpointEvent {
            id: dispatch.id,
            dispatch: dispatch.dispatch,
            update,
        };
        self.queue_event(Event::Endpoint(event));
    }

    pub(super) fn cancel(&mut self, id: RequestId, endpoint: &str, dispatch: u32) {
        self.abort(id);
        let Some(location) = self.parts.site.view().location(endpoint) else {
            return;
        };
        let dispatcher = self.parts.dispatcher.clone();
        let cancelling = async move { dispatcher.cancel(location, id, dispatch).await };
        self.parts.runtime.spawn(cancelling);
    }

    /// Notifies a dispatch of a change of its endpoint. The dispatch then reports how far it got.
    pub(super) fn notify_dispatch(&mut self, id: RequestId, dispatch: u32, change: EndpointChange) {
        let request = self.active.get(&id);
        let request = request.filter(|l| l.sent.as_ref().is_some_and(|s| s.is(dispatch)));
        if let Some(sender) = request.and_then(|l| l.change.as_ref()) {
            sender.send_modify(|told| *told = told.followed_by(change));
        }
    }

    /// Tells a dispatch the verdict on the end of its answer.
    pub(super) fn judge_end(&mut self, id: RequestId, dispatch: u32, verdict: EndVerdict) {
        let row = self.scheduler.tables().requests.get(id);
        if let (Some(row), Some(request)) = (row, self.active.get(&id)) {
            let (now, t) = (self.parts.clock.now(), self.scheduler.tables());
            self.decisions
                .end_judged(now, t, row, &request.exchange, verdict);
        }
        let change = if verdict.accepted {
            EndpointChange::EndAccepted
        } else {
            EndpointChange::EndRejected
        };
        self.notify_dispatch(id, dispatch, change);
    }

    pub(super) fn hand_over(&mut self, id: RequestId, peer: InstanceId, cause: HandOverCause) {
        let Some(exchange) = self.exchange(id) else {
            return;
        };
        let Some(order) = self.hand_over_order(id, exchange, peer, cause) else {
            self.return_hand_over(id);
            return;
        };
        let (dialer, log, clock) = (
            self.parts.dialer.clone(),
            self.parts.log.clone(),
            self.parts.clock,
        );
        let task = self.parts.runtime.spawn(async move {
            let span = Span::start("peer", &order.exchange.trace, clock.now());
            let result = peer::hand_over(dialer, order, span.context).await;
            span.end(&log, clock.now(), &id.to_string(), result);
        });
        self.set_task(id, task.abort_handle());
    }

    /// Builds a hand-over, or returns `None` if the peer has no address.
    fn hand_over_order(
        &self,
        id: RequestId,
        exchange: Arc<Exchange>,
        peer: InstanceId,
        cause: HandOverCause,
    ) -> Option<peer::HandOverOrder> {
        let row = self.scheduler.tables().requests.get(id);
        let tried = row.map(|r| r.tried.clone()).unwrap_or_default();
        let address = self.parts.dialer.address(&peer)?;
        Some(peer::HandOverOrder {
            exchange,
            peer,
            address,
            cause,
            tried,
            inputs: self.parts.inputs.clone(),
            caller_stall: self.parts.limits.caller_stall,
        })
    }

    /// Returns a hand-over whose peer has no address. Nothing was sent.
    fn return_hand_over(&self, id: RequestId) {
        let refusal = HandOverRefusal {
            id,
            verdict: None,
            tried: Vec::new(),
        };
        self.queue_event(Event::HandOver(HandOverEvent::Refused(refusal)));
    }
}
