//! Streams of events: passed on by whole events, and taken up after the last one that the caller has.

use firdock_policy::event::{BreakCause, DispatchUpdate};
use hyper::header;

use super::finish;
use crate::endpoint::events::{CompleteEvents, EventSplitter};
use crate::endpoint::run::{DispatchError, DispatchRun};
use crate::endpoint::{BodyState, EndpointBody};
use crate::exchange::{AnswerHead, AnswerPart};

/// A stream of events on its way to the caller.
pub(super) struct Stream<'a> {
    run: &'a DispatchRun,
    /// Head of the answer, until it is passed on.
    head: Option<AnswerHead>,
    event_tokens: u32,
    started: bool,
}

impl<'a> Stream<'a> {
    /// Makes the stream of a run whose answer began with a head.
    ///
    /// Events that come from several endpoints have another length together than the first one told.
    pub(super) fn new(run: &'a DispatchRun, mut head: AnswerHead, event_tokens: u32) -> Self {
        if run.exchange.payload.terms.repeatable {
            head.headers.remove(header::CONTENT_LENGTH);
        }
        Self {
            run,
            head: Some(head),
            event_tokens,
            started: false,
        }
    }

    pub(super) async fn pass(mut self, body: EndpointBody) -> &'static str {
        let passed = self.pass_events(body).await;
        if passed.is_err() && self.is_unresumable() {
            self.run.tell(DispatchUpdate::Unresumable).await;
        }
        let output = self.run.delivered().tokens;
        finish(self.run, passed, output).await
    }

    async fn pass_events(&mut self, mut body: EndpointBody) -> Result<(), DispatchError> {
        let mut cutter = EventSplitter::default();
        let ending = loop {
            let bytes = match self.run.read(&mut body).await {
                Ok(bytes) => bytes,
                Err(ending) => break ending,
            };
            let whole = cutter
                .push(&bytes)
                .map_err(|_too_long| DispatchError::EndpointFailed(BreakCause::Foreign))?;
            if let Some(events) = whole {
                self.pass_whole(events).await?;
            }
        };
        // A stream that goes on after its last event has no more.
        let begun = cutter.has_begun() || self.run.delivered().last_event.is_some();
        let (rest, left) = cutter.finish();
        if let Some(end) = &mut self.run.delivered().end {
            end.leftover = rest.len();
        }
        let shape = BodyState::Events { begun, left };
        self.run.settle(body.framing(), ending, shape).await?;
        self.begin().await?;
        if rest.is_empty() {
            return Ok(());
        }
        self.run.pass(AnswerPart::Data(rest)).await
    }

    async fn pass_whole(&mut self, events: CompleteEvents) -> Result<(), DispatchError> {
        self.begin().await?;
        self.note(events.count, events.last_id);
        self.run.pass(AnswerPart::Data(events.bytes)).await?;
        if !self.started {
            self.started = true;
            let delivered = self.run.delivered().tokens;
            let cached = 0;
            self.run
                .tell(DispatchUpdate::Tokens { delivered, cached })
                .await;
        }
        Ok(())
    }

    /// Notes how far the answer has come, before its events are passed on.
    fn note(&self, events: u32, last_id: Option<String>) {
        let mut delivered = self.run.delivered();
        delivered.tokens += events * self.event_tokens;
        if let Some(end) = &mut delivered.end {
            end.events += events;
        }
        if events > 0 {
            delivered.last_event = last_id;
        }
    }

    /// Tells whether the caller has events after which no other endpoint can go on, since the last one has
    /// no id: one that began after an earlier id would send them again.
    fn is_unresumable(&self) -> bool {
        let delivered = self.run.delivered();
        delivered.head_sent && delivered.last_event.is_none()
    }

    /// Notes that a head is passed on; tells whether it is the first one.
    fn note_begun(&self, head: &AnswerHead) -> bool {
        let mut delivered = self.run.delivered();
        if delivered.head_sent {
            return false;
        }
        delivered.head_sent = true;
        delivered.framed = !head.unframed;
        true
    }

    /// Passes the head on, once over all dispatches of the request.
    async fn begin(&mut self) -> Result<(), DispatchError> {
        let Some(head) = self.head.take() else {
            return Ok(());
        };
        self.run
            .tell(DispatchUpdate::Started { head_sent: true })
            .await;
        if !self.note_begun(&head) {
            return Ok(());
        }
        self.run.pass(AnswerPart::Head(head)).await
    }
}
