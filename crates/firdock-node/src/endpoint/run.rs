//! What driving a dispatch needs, whatever kind of endpoint it goes to.
//!
//! A [`DispatchRun`] is the way to the caller and to the scheduler, so that no kind of endpoint has its own
//! rules for a caller who does not read or for a key whose confirmation lapsed.

use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use firdock_core::settings::Endpoints;
use firdock_core::{InstanceId, RequestId, StartId};
use firdock_policy::Event;
use firdock_policy::action::Dispatch;
use firdock_policy::buffers::CALLER_STALL;
use firdock_policy::event::{BreakCause, DispatchUpdate, EndpointEvent};
use firdock_policy::load::{Pace, PaceReport};
use firdock_policy::notice::NoticeReport;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use super::ending::{AnswerEnd, BodyState, Completeness, Ending, Framing, assess_completeness};
use super::{EndpointBody, HeadNotice, Target};
use crate::clock::Clock;
use crate::exchange::{AnswerPart, Delivered, Exchange};
use crate::input::Input;
use crate::telemetry::{LogKind, TraceContext};

/// Time limits of a dispatch.
#[derive(Debug, Clone, Copy)]
pub struct DispatchLimits {
    /// Longest time for a connect.
    pub connect: Duration,
    /// Longest silence of an endpoint.
    pub silence: Duration,
    /// Longest time that a caller may leave parts of the answer unread.
    pub caller_stall: Duration,
}

impl DispatchLimits {
    /// Takes the limits from the endpoints' part of the settings.
    #[must_use]
    pub fn new(endpoints: &Endpoints) -> Self {
        Self {
            connect: Duration::from_millis(endpoints.connect_millis),
            silence: Duration::from_millis(endpoints.silence_millis),
            caller_stall: CALLER_STALL,
        }
    }
}

/// What every driver of a dispatch needs.
#[derive(Debug, Clone)]
pub struct DispatchRun {
    /// The request and the way back to its caller.
    pub exchange: Arc<Exchange>,
    /// The order.
    pub dispatch: Dispatch,
    /// Where the endpoint is.
    pub target: Target,
    /// Start of the endpoint that is meant.
    pub start: StartId,
    /// Time limits.
    pub limits: DispatchLimits,
    /// Way to the scheduler.
    pub inputs: mpsc::Sender<Input>,
    /// Clock, for the last look at the key's confirmation.
    pub clock: Clock,
    /// Trace of this hop.
    pub trace: TraceContext,
    /// What has become of the endpoint since.
    pub since: watch::Receiver<EndpointChange>,
}

/// What has become of a dispatch's endpoint since it was chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointChange {
    /// Nothing that changes the choice.
    #[default]
    Unchanged,
    /// It said that it wants nothing new: what is not written yet is given back.
    Closed,
    /// It has started again, so that nothing more comes of this run.
    Restarted,
}

/// How a step of a dispatch ended it early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchError {
    /// The caller does not read or is gone.
    CallerGone,
    /// The endpoint was lost.
    EndpointFailed(BreakCause),
}

impl DispatchRun {
    /// Tells the scheduler something about this dispatch.
    pub async fn tell(&self, news: DispatchUpdate) {
        let (id, dispatch) = (self.dispatch.id, self.dispatch.dispatch);
        let event = Event::Endpoint(EndpointEvent {
            id,
            dispatch,
            update: news,
        });
        let _ = self.inputs.send(Input::Event(event)).await;
    }

    /// Tells the scheduler how long work takes at the endpoint now.
    pub async fn tell_pace(&self, pace: Pace) {
        let told = PaceReport {
            endpoint: self.target.name.clone(),
            pace,
            read: self.clock.now(),
        };
        let _ = self
            .inputs
            .send(Input::Event(Event::PaceReported(told)))
            .await;
    }

    /// Tells the scheduler what the head of an answer said of the endpoint, if it said anything.
    ///
    /// A task of its own tells it: this one is ended at any moment when its caller leaves, and the word
    /// would be lost with it where the way to the scheduler is full.
    pub async fn tell_notice(&self, head: &HeadNotice) {
        if let Some(malformed) = &head.malformed {
            self.tell_unread(LogKind::BadNotice, malformed.clone())
                .await;
        }
        if head.notice.is_empty() {
            return;
        }
        let told = NoticeReport {
            endpoint: self.start.clone(),
            member: InstanceId::new(),
            notice: head.notice,
            read: self.clock.now(),
        };
        let inputs = self.inputs.clone();
        let telling = async move { inputs.send(Input::Event(Event::NoticeReported(told))).await };
        let _ = tokio::spawn(telling).await;
    }

    /// Tells that what the endpoint says can't be read; it is passed over.
    pub async fn tell_unread(&self, kind: LogKind, told: String) {
        let input = Input::Malformed(kind, self.target.name.clone(), told);
        let _ = self.inputs.send(input).await;
    }

    /// Passes a part on; a caller who does not read for too long counts as gone.
    ///
    /// It waits for the caller only where no budget of bytes is set for answers.
    ///
    /// # Errors
    ///
    /// Fails with [`DispatchError::CallerGone`].
    pub async fn pass(&self, part: AnswerPart) -> Result<(), DispatchError> {
        let sending = timeout(self.limits.caller_stall, self.exchange.reply.send(part)).await;
        match sending {
            Ok(Ok(())) => Ok(()),
            _ => Err(DispatchError::CallerGone),
        }
    }

    /// Tells the scheduler that the caller is gone.
    pub async fn tell_caller_left(&self) {
        let event = Event::CallerLeft(self.id());
        let _ = self.inputs.send(Input::Event(event)).await;
    }

    /// Tells the scheduler that the answer will not come whole, and how that came about; gives a word
    /// on it for the trace.
    pub async fn tell_broken(&self, cause: BreakCause) -> &'static str {
        let delivered = self.delivered().tokens;
        self.tell(DispatchUpdate::Breaking(cause)).await;
        self.tell(DispatchUpdate::Broke { delivered }).await;
        cause.as_str()
    }

    /// Tells the scheduler that the request did not run; gives a word on why for the trace.
    pub async fn not_sent(&self, unreachable: bool) -> &'static str {
        self.tell(DispatchUpdate::Refused { unreachable }).await;
        if unreachable {
            "unreachable"
        } else {
            "refused"
        }
    }

    /// Looks one last time, right before the write, whether the request may be sent; where it may not,
    /// gives it back and a word on why for the trace.
    ///
    /// Each way to an endpoint passes here, a relay's after its connect, so that what became known while
    /// that took its time, or while the process stood still, counts.
    pub async fn stopped_before_write(&self) -> Option<&'static str> {
        if self.lapsed().await {
            return Some("lapsed");
        }
        let since = *self.since.borrow();
        match since {
            EndpointChange::Unchanged => None,
            EndpointChange::Closed => {
                self.tell(DispatchUpdate::Withheld).await;
                Some("withheld")
            }
            // The start that was meant is gone, and its successor has not got the request.
            EndpointChange::Restarted => Some(self.not_sent(true).await),
        }
    }

    /// Waits for the endpoint, for as long as the start lives that the request was sent to.
    ///
    /// Only waiting ends: what was read is passed on whole, so that another endpoint goes on after it.
    ///
    /// # Errors
    ///
    /// Fails once the endpoint has started again.
    pub async fn while_alive<T>(&self, wait: impl Future<Output = T>) -> Result<T, Ending> {
        let mut since = self.since.clone();
        tokio::select! {
            biased;
            got = wait => Ok(got),
            Ok(_) = since.wait_for(|s| *s == EndpointChange::Restarted) => Err(Ending::Restarted),
        }
    }

    /// Reads on in an answer for as long as its endpoint lives.
    ///
    /// # Errors
    ///
    /// Gives how the answer ended.
    pub(super) async fn read(&self, body: &mut EndpointBody) -> Result<Bytes, Ending> {
        let bytes = self.while_alive(body.next()).await.flatten()?;
        self.note_bytes(&bytes);
        Ok(bytes)
    }

    /// Notes that the head of this dispatch's answer came.
    pub(super) fn note_head(&self, framing: Framing) {
        self.delivered().end = Some(AnswerEnd::new(framing));
    }

    /// Notes bytes of the body that were read.
    pub(super) fn note_bytes(&self, bytes: &[u8]) {
        if let Some(end) = &mut self.delivered().end {
            end.bytes += bytes.len() as u64;
        }
    }

    /// Notes how the answer ended, decides whether it is whole, and tells the scheduler where nobody knows.
    ///
    /// # Errors
    ///
    /// Fails with [`Stop::Endpoint`] where it is not.
    pub(super) async fn settle(
        &self,
        framing: Framing,
        ending: Ending,
        shape: BodyState,
    ) -> Result<(), DispatchError> {
        if let Some(end) = &mut self.delivered().end {
            end.ending = Some(ending);
        }
        match assess_completeness(framing, ending, shape) {
            // An earlier head promised an end that would claim more than is known.
            Completeness::Unproven if self.delivered().framed => {
                Err(DispatchError::EndpointFailed(BreakCause::Closed))
            }
            Completeness::Unproven => {
                self.tell(DispatchUpdate::Unproven).await;
                Ok(())
            }
            Completeness::Complete => Ok(()),
            Completeness::Broken(cause) => Err(DispatchError::EndpointFailed(cause)),
        }
    }

    /// Looks at the key's confirmation one last time, right before the write.
    ///
    /// Tells whether it lapsed; the scheduler has been told then.
    async fn lapsed(&self) -> bool {
        let lapsed = self
            .dispatch
            .confirm_by
            .is_some_and(|until| until <= self.clock.now());
        if lapsed {
            self.tell(DispatchUpdate::Lapsed).await;
        }
        lapsed
    }

    /// Gives the request's id.
    pub(super) fn id(&self) -> RequestId {
        self.dispatch.id
    }

    /// Gives how much of the answer has been passed on, over all dispatches.
    pub(super) fn delivered(&self) -> MutexGuard<'_, Delivered> {
        self.exchange.delivered()
    }
}
