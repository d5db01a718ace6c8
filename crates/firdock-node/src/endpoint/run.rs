//! State and operations that all kinds of dispatches share.
//!
//! A [`DispatchRun`] connects a dispatch to the caller and to the scheduler, so that slow callers
//! and expired key confirmations are handled the same way for every kind of endpoint.

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
use firdock_policy::notice::{LimitNotice, NoticeReport};
use firdock_policy::request::StreamOrigin;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use super::ending::{AnswerEnd, BodyState, Completeness, Ending, assess_completeness};
use super::{EndpointBody, Framing, HeadNotice, Target};
use crate::clock::Clock;
use crate::exchange::{AnswerPart, Delivered, Exchange};
use crate::input::Input;
use crate::streams::{RecordedOrigin, SharedStreams, StreamKey, StreamRecord};
use crate::telemetry::{LogKind, TraceContext};

/// Time limits of a dispatch.
#[derive(Debug, Clone, Copy)]
pub struct DispatchLimits {
    /// Time limit of a connection attempt.
    pub connect: Duration,
    /// Longest time without data from an endpoint.
    pub idle_timeout: Duration,
    /// Longest time for which a caller may leave parts of the answer unread.
    pub caller_stall: Duration,
}

impl DispatchLimits {
    /// Takes the limits from the `endpoints` section of the settings.
    #[must_use]
    pub fn new(endpoints: &Endpoints) -> Self {
        Self {
            connect: endpoints.connect_timeout,
            idle_timeout: endpoints.silence_timeout,
            caller_stall: CALLER_STALL,
        }
    }
}

/// Everything that running one dispatch needs.
#[derive(Debug, Clone)]
pub struct DispatchRun {
    /// The request and the channel to its caller.
    pub exchange: Arc<Exchange>,
    /// The scheduler's dispatch action.
    pub dispatch: Dispatch,
    /// Name and address of the endpoint.
    pub target: Target,
    /// Process of the endpoint that the dispatch is meant for.
    pub start: StartId,
    /// Origin of a stream that begins there.
    pub origin: StreamOrigin,
    /// Streams that callers may continue.
    pub streams: SharedStreams,
    /// Time limits.
    pub limits: DispatchLimits,
    /// Channel to the scheduler.
    pub inputs: mpsc::Sender<Input>,
    /// Clock for the final check of the key's confirmation.
    pub clock: Clock,
    /// Trace context of this hop.
    pub trace: TraceContext,
    /// Changes of the endpoint since it was chosen.
    pub change: watch::Receiver<EndpointChange>,
}

/// What has happened to a dispatch's endpoint since it was chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointChange {
    /// Nothing that affects the dispatch.
    #[default]
    Unchanged,
    /// The endpoint has announced that it accepts no new requests. A request that has not been
    /// written yet is returned to the scheduler.
    Closed,
    /// The endpoint has restarted, so that no more data will arrive.
    Restarted,
    /// The answer that ended with its connection is complete, as far as can be known.
    EndAccepted,
    /// That answer is broken: its endpoint's process ended, or cannot be told to have lived on.
    EndRejected,
}

impl EndpointChange {
    /// Returns what a dispatch is told once another change follows this one.
    ///
    /// A restart and a verdict are final. A dispatch may read neither before the next change comes.
    #[must_use]
    pub fn followed_by(self, next: Self) -> Self {
        match self {
            Self::Unchanged | Self::Closed => next,
            Self::Restarted | Self::EndAccepted | Self::EndRejected => self,
        }
    }
}

/// Longest time for which a dispatch waits for the verdict on the end of its answer. The scheduler decides sooner.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a dispatch ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchError {
    /// The caller has disconnected or does not read.
    CallerGone,
    /// The endpoint failed.
    EndpointFailed(BreakCause),
}

impl DispatchRun {
    /// Reports an update of this dispatch to the scheduler.
    pub async fn report(&self, update: DispatchUpdate) {
        let (id, dispatch) = (self.dispatch.id, self.dispatch.dispatch);
        let event = Event::Endpoint(EndpointEvent {
            id,
            dispatch,
            update,
        });
        let _ = self.inputs.send(Input::Event(event)).await;
    }

    /// Reports the endpoint's pace to the scheduler.
    pub async fn report_pace(&self, pace: Pace) {
        let report = PaceReport {
            endpoint: self.target.name.clone(),
            pace,
            read: self.clock.now(),
        };
        let _ = self
            .inputs
            .send(Input::Event(Event::PaceReported(report)))
            .await;
    }

    /// Reports a notice in the head of an answer to the scheduler, if there is any.
    ///
    /// The report is sent by a task of its own. The current task can be aborted at any time when
    /// its caller leaves, and the notice would be lost with it if the channel to the scheduler is
    /// full.
    pub async fn report_notice(&self, head: &HeadNotice) {
        if let Some(malformed) = &head.malformed {
            self.report_malformed(LogKind::BadNotice, malformed.clone())
                .await;
        }
        let mut notice = head.notice;
        // Only a request that was sent under a limit can show that it ended: answers to earlier ones
        // may arrive after those that named it.
        if notice.limit == LimitNotice::Unlimited && !self.dispatch.limited {
            notice.limit = LimitNotice::Unknown;
        }
        if notice.is_empty() {
            return;
        }
        let report = NoticeReport {
            endpoint: self.start.clone(),
            member: InstanceId::new(),
            notice,
            read: self.clock.now(),
        };
        let inputs = self.inputs.clone();
        let sending = async move {
            inputs
                .send(Input::Event(Event::NoticeReported(report)))
                .await
        };
        let _ = tokio::spawn(sending).await;
    }

    /// Reports that a header of the endpoint is malformed. The header is ignored.
    pub async fn report_malformed(&self, kind: LogKind, value: String) {
        let input = Input::Malformed(kind, self.target.name.clone(), value);
        let _ = self.inputs.send(input).await;
    }

    /// Forwards a part of the answer to the caller. A caller who does not read for too long counts
    /// as gone.
    ///
    /// Waits for the caller only if no byte budget is set for answers.
    ///
    /// # Errors
    ///
    /// Fails with [`DispatchError::CallerGone`].
    pub async fn forward(&self, part: AnswerPart) -> Result<(), DispatchError> {
        let sending = timeout(self.limits.caller_stall, self.exchange.reply.send(part)).await;
        match sending {
            Ok(Ok(())) => Ok(()),
            _ => Err(DispatchError::CallerGone),
        }
    }

    /// Records that the caller gets the first event of its stream from this endpoint.
    ///
    /// An attempt that continues a stream keeps the id of the one that began it.
    pub(super) fn record_stream(&self) {
        let payload = &self.exchange.payload;
        let terms = &payload.terms;
        let attempt = terms.resumes.as_ref().or(terms.caller_id.as_ref());
        let key = attempt.and_then(|id| StreamKey::new(&payload.account, id));
        if let (Some(key), Some(origin)) = (key, RecordedOrigin::new(&self.origin)) {
            let began = self.clock.now();
            self.streams.begin(StreamRecord { key, origin, began });
        }
    }

    /// Reports to the scheduler that the caller is gone.
    pub async fn report_caller_left(&self) {
        let event = Event::CallerLeft(self.id());
        let _ = self.inputs.send(Input::Event(event)).await;
    }

    /// Reports to the scheduler that the answer is incomplete, and why. Returns the result for the
    /// trace.
    pub async fn report_broken(&self, cause: BreakCause) -> &'static str {
        let delivered = self.delivered().tokens;
        self.report_last_bytes().await;
        self.report(DispatchUpdate::Breaking(cause)).await;
        self.report(DispatchUpdate::Broke { delivered }).await;
        cause.as_str()
    }

    /// Reports to the scheduler when the last bytes of the answer arrived.
    pub(super) async fn report_last_bytes(&self) {
        let last_bytes = self.delivered().end.and_then(|end| end.last_bytes);
        if let Some(at) = last_bytes {
            self.report(DispatchUpdate::LastBytes(at)).await;
        }
    }

    /// Reports to the scheduler that the request did not run. Returns the result for the trace.
    pub async fn report_not_run(&self, unreachable: bool) -> &'static str {
        self.report(DispatchUpdate::Refused { unreachable }).await;
        if unreachable {
            "unreachable"
        } else {
            "refused"
        }
    }

    /// Checks right before the write whether the request may still be sent. If not, returns it to
    /// the scheduler and the result for the trace.
    ///
    /// Every dispatch passes this check, a relayed one after connecting, so that changes during the
    /// connect, or while the process was suspended, are taken into account.
    pub async fn check_before_write(&self) -> Option<&'static str> {
        if self.confirmation_expired().await {
            return Some("lapsed");
        }
        let change = *self.change.borrow();
        match change {
            EndpointChange::Unchanged
            | EndpointChange::EndAccepted
            | EndpointChange::EndRejected => None,
            EndpointChange::Closed => {
                self.report(DispatchUpdate::Withheld).await;
                Some("withheld")
            }
            // The intended process is gone, and its successor has not received the request.
            EndpointChange::Restarted => Some(self.report_not_run(true).await),
        }
    }

    /// Waits for the endpoint for as long as the process that received the request lives.
    ///
    /// Only the wait is cancelled. Data that was already read is forwarded completely, so that
    /// another endpoint can resume after it.
    ///
    /// # Errors
    ///
    /// Fails once the endpoint has restarted.
    pub async fn until_restart<T>(&self, wait: impl Future<Output = T>) -> Result<T, Ending> {
        let mut change = self.change.clone();
        tokio::select! {
            biased;
            got = wait => Ok(got),
            Ok(_) = change.wait_for(|s| *s == EndpointChange::Restarted) => Err(Ending::Restarted),
        }
    }

    /// Reads the next bytes of an answer while its endpoint lives.
    ///
    /// # Errors
    ///
    /// Returns how the answer ended.
    pub(super) async fn read(&self, body: &mut EndpointBody) -> Result<Bytes, Ending> {
        let bytes = self.until_restart(body.next()).await.flatten()?;
        self.record_bytes(&bytes);
        Ok(bytes)
    }

    /// Records that the head of this dispatch's answer arrived.
    pub(super) fn record_head(&self, framing: Framing) {
        self.delivered().end = Some(AnswerEnd::new(framing));
    }

    /// Records bytes of the body that were read.
    pub(super) fn record_bytes(&self, bytes: &[u8]) {
        if let Some(end) = &mut self.delivered().end {
            end.bytes += bytes.len() as u64;
            end.last_bytes = Some(self.clock.now());
        }
    }

    /// Records how the answer ended and decides whether it is complete. If that is unknown, reports
    /// so to the scheduler.
    ///
    /// # Errors
    ///
    /// Fails with [`DispatchError::EndpointFailed`] if the answer is incomplete.
    pub(super) async fn finish_answer(
        &self,
        framing: Framing,
        ending: Ending,
        state: BodyState,
    ) -> Result<(), DispatchError> {
        if let Some(end) = &mut self.delivered().end {
            end.ending = Some(ending);
        }
        match assess_completeness(framing, ending, state) {
            // The head sent earlier declared a framing, and ending the answer by it would claim
            // that it is complete.
            Completeness::Unproven if self.delivered().framed => {
                self.report(DispatchUpdate::Unproven).await;
                Err(DispatchError::EndpointFailed(BreakCause::Closed))
            }
            Completeness::Unproven => {
                self.report_last_bytes().await;
                self.report(DispatchUpdate::Unproven).await;
                self.wait_for_verdict().await
            }
            Completeness::Complete => Ok(()),
            Completeness::Broken(cause) => Err(DispatchError::EndpointFailed(cause)),
        }
    }

    /// Waits until the scheduler knows whether the endpoint's process outlived the answer.
    async fn wait_for_verdict(&self) -> Result<(), DispatchError> {
        let mut change = self.change.clone();
        let is_verdict = |change: &EndpointChange| {
            use EndpointChange::{EndAccepted, EndRejected, Restarted};
            matches!(change, EndAccepted | EndRejected | Restarted)
        };
        let verdict = timeout(VERDICT_TIMEOUT, change.wait_for(is_verdict)).await;
        match verdict.map(|change| change.map(|change| *change)) {
            Ok(Ok(EndpointChange::EndRejected)) => {
                Err(DispatchError::EndpointFailed(BreakCause::Closed))
            }
            Ok(Ok(EndpointChange::Restarted)) => {
                Err(DispatchError::EndpointFailed(BreakCause::Restarted))
            }
            Ok(Ok(_)) => Ok(()),
            // The scheduler has dropped the request.
            Ok(Err(_)) => Err(DispatchError::CallerGone),
            Err(_) => Err(DispatchError::EndpointFailed(BreakCause::Closed)),
        }
    }

    /// Checks right before the write whether the key's confirmation has expired, and reports it to
    /// the scheduler if so.
    async fn confirmation_expired(&self) -> bool {
        let confirmation_expired = self
            .dispatch
            .confirm_by
            .is_some_and(|until| until <= self.clock.now());
        if confirmation_expired {
            self.report(DispatchUpdate::Lapsed).await;
        }
        confirmation_expired
    }

    /// Returns the request ID.
    pub(super) fn id(&self) -> RequestId {
        self.dispatch.id
    }

    /// Returns what has been forwarded of the answer, over all dispatches.
    pub(super) fn delivered(&self) -> MutexGuard<'_, Delivered> {
        self.exchange.delivered()
    }
}
