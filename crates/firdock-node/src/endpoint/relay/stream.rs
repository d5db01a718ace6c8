//! Relays event streams by complete events, and resumes them after the last event that the caller
//! has received.

use firdock_policy::Time;
use firdock_policy::event::{BreakCause, DispatchUpdate};
use firdock_policy::suspect::BEGIN_TIME;
use hyper::header;

use super::finish;
use crate::endpoint::events::{CompleteEvents, EventSplitter};
use crate::endpoint::run::{DispatchError, DispatchRun};
use crate::endpoint::{BodyState, Ending, EndpointBody, Framing};
use crate::exchange::{AnswerHead, AnswerPart};

/// Header with the ID of the last event that a caller has, as the format of server-sent events defines it.
const LAST_EVENT_ID: &str = "last-event-id";

/// An event stream being forwarded to the caller.
pub(super) struct Stream<'a> {
    run: &'a DispatchRun,
    /// Head of the answer, until it is forwarded.
    head: Option<AnswerHead>,
    event_tokens: u32,
    /// ID of the event after which this dispatch continues the stream.
    continues_after: Option<String>,
    progress: Progress,
}

/// What the scheduler knows of a dispatch's events.
///
/// It is told of the first one, and once more when the answer has been under way for long enough to speak for its prompt
/// (`docs/design/suspects.md`).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Nothing,
    Begun(Time),
    UnderWay,
}

impl Progress {
    /// Returns what is to be reported when an event arrives, if anything.
    fn after_event(self, now: Time) -> Option<Self> {
        match self {
            Self::Nothing => Some(Self::Begun(now)),
            Self::Begun(began) => (began + BEGIN_TIME <= now).then_some(Self::UnderWay),
            Self::UnderWay => None,
        }
    }
}

impl<'a> Stream<'a> {
    /// Creates the stream of a run whose answer head has arrived.
    ///
    /// Removes the content length from repeatable requests: events from several endpoints together
    /// differ in length from what the first one declared.
    pub(super) fn new(run: &'a DispatchRun, mut head: AnswerHead, event_tokens: u32) -> Self {
        let payload = &run.exchange.payload;
        if payload.terms.repeatable {
            head.headers.remove(header::CONTENT_LENGTH);
        }
        let delivered = run.delivered().last_event.clone();
        let given = || payload.headers.get(LAST_EVENT_ID)?.to_str().ok();
        let continues_after = delivered.or_else(|| given().map(str::to_owned));
        Self {
            run,
            head: Some(head),
            event_tokens,
            continues_after: continues_after.filter(|_| payload.terms.repeatable),
            progress: Progress::Nothing,
        }
    }

    pub(super) async fn forward(mut self, body: EndpointBody) -> &'static str {
        let framing = body.framing();
        let read = self.forward_body(body).await;
        if self.is_unresumable() {
            // Reported before the end is judged: what nobody can ask for again is not broken off for want of evidence.
            self.run.report(DispatchUpdate::Unresumable).await;
        }
        let result = match read {
            Ok((splitter, ending)) => self.finish_stream(splitter, framing, ending).await,
            Err(error) => Err(error),
        };
        if result.is_ok() {
            self.run.report_last_bytes().await;
        }
        let output = self.run.delivered().tokens;
        finish(self.run, result, output).await
    }

    /// Forwards complete events, and returns what is left of the body and how it ended.
    async fn forward_body(
        &mut self,
        mut body: EndpointBody,
    ) -> Result<(EventSplitter, Ending), DispatchError> {
        let mut splitter = EventSplitter::continuing_after(self.continues_after.clone());
        loop {
            let bytes = match self.run.read(&mut body).await {
                Ok(bytes) => bytes,
                Err(ending) => return Ok((splitter, ending)),
            };
            let complete = splitter
                .push(&bytes)
                .map_err(|_too_long| DispatchError::EndpointFailed(BreakCause::Foreign))?;
            if let Some(events) = complete {
                self.forward_events(events).await?;
            }
            if splitter.is_foreign() {
                return Err(DispatchError::EndpointFailed(BreakCause::Foreign));
            }
        }
    }

    /// Ends the answer if it is complete.
    async fn finish_stream(
        &mut self,
        splitter: EventSplitter,
        framing: Framing,
        ending: Ending,
    ) -> Result<(), DispatchError> {
        // A stream that is continued after its last event, here or by its caller, has no more events.
        let begun = splitter.has_begun() || self.continues_after.is_some();
        let (rest, left) = splitter.finish();
        if let Some(end) = &mut self.run.delivered().end {
            end.leftover = rest.len();
        }
        let state = BodyState::Events { begun, left };
        self.run.finish_answer(framing, ending, state).await?;
        self.begin().await?;
        if rest.is_empty() {
            return Ok(());
        }
        self.run.forward(AnswerPart::Data(rest)).await
    }

    async fn forward_events(&mut self, events: CompleteEvents) -> Result<(), DispatchError> {
        self.begin().await?;
        let first = self.run.delivered().tokens == 0 && events.count > 0;
        if first && self.run.exchange.payload.terms.repeatable {
            self.run.record_stream();
        }
        self.record(events.count, events.last_id);
        self.run.forward(AnswerPart::Data(events.bytes)).await?;
        if let Some(progress) = self.progress.after_event(self.run.clock.now()) {
            self.progress = progress;
            let delivered = self.run.delivered().tokens;
            let cached = 0;
            self.run
                .report(DispatchUpdate::Tokens { delivered, cached })
                .await;
        }
        Ok(())
    }

    /// Records how far the answer has come, before its events are forwarded.
    fn record(&self, events: u32, last_id: Option<String>) {
        let mut delivered = self.run.delivered();
        delivered.tokens += events * self.event_tokens;
        if let Some(end) = &mut delivered.end {
            end.events += events;
        }
        if events > 0 {
            delivered.last_event = last_id;
        }
    }

    /// Whether the caller has received events after which no other endpoint can resume, because the
    /// last one has no ID. Resuming after an earlier ID would send events twice.
    fn is_unresumable(&self) -> bool {
        let delivered = self.run.delivered();
        delivered.head_sent && delivered.last_event.is_none()
    }

    /// Records that a head is forwarded and returns whether it is the first one.
    fn record_head_sent(&self, head: &AnswerHead) -> bool {
        let mut delivered = self.run.delivered();
        if delivered.head_sent {
            return false;
        }
        delivered.head_sent = true;
        delivered.framed = !head.unframed;
        true
    }

    /// Forwards the head, once over all dispatches of the request.
    async fn begin(&mut self) -> Result<(), DispatchError> {
        let Some(head) = self.head.take() else {
            return Ok(());
        };
        self.run
            .report(DispatchUpdate::Started { head_sent: true })
            .await;
        if !self.record_head_sent(&head) {
            return Ok(());
        }
        self.run.forward(AnswerPart::Head(head)).await
    }
}
