//! Log lines for each decision on a request.
//!
//! Each line has the request id, the inputs of the decision with their age or version, and the
//! outcome, so that a complaint can be traced from the logs alone (`docs/OPERATIONS.md`).

use std::sync::Arc;

use firdock_core::{EndpointId, Reason};
use firdock_policy::action::Dispatch;
use firdock_policy::event::{BreakCause, ConnectFailure, EndVerdict, LivenessResult};
use firdock_policy::notice::NoticeReport;
use firdock_policy::rate::RequestRate;
use firdock_policy::request::{Phase, RequestRow};
use firdock_policy::table::Tables;
use firdock_policy::table::build_history::ServedBuild;
use firdock_policy::table::endpoint::EndpointRow;
use firdock_policy::{Time, Verdict};
use hyper::StatusCode;
use slog::{KV, Logger, Record, Serializer, info, warn};

use super::endpoints::unavailable_endpoints;
use super::log::excerpt;
use super::log_limiter::{LogKind, LogLimiter};
use crate::clock::{age_millis, millis};
use crate::endpoint::{AnswerEnd, Ending, Framing};
use crate::exchange::Exchange;

/// The last dispatch of a request: endpoint, number and time.
#[derive(Debug, Clone)]
pub struct LastDispatch {
    endpoint: EndpointId,
    dispatch: u32,
    at: Time,
}

impl LastDispatch {
    /// Records a dispatch made at `now`.
    #[must_use]
    pub fn new(now: Time, dispatch: &Dispatch) -> Self {
        Self {
            endpoint: dispatch.endpoint.clone(),
            dispatch: dispatch.dispatch,
            at: now,
        }
    }

    /// Returns whether this is the dispatch of that number.
    #[must_use]
    pub fn is(&self, dispatch: u32) -> bool {
        self.dispatch == dispatch
    }
}

/// What the lines on the end of a request log about it. The line on its dispatch may have been
/// suppressed, so these lines repeat where it was sent.
#[derive(Debug, Clone, Copy)]
pub struct RequestContext<'a> {
    /// The request.
    pub exchange: &'a Exchange,
    /// When it arrived.
    pub arrived: Time,
    /// Its last dispatch, if there was one.
    pub last_dispatch: Option<&'a LastDispatch>,
}

/// Logs the decisions of one scheduler.
#[derive(Debug)]
pub struct DecisionLog {
    log: Logger,
    limiter: Arc<LogLimiter>,
}

impl DecisionLog {
    /// Creates a writer whose lines are limited by `limiter`.
    #[must_use]
    pub fn new(log: Logger, limiter: Arc<LogLimiter>) -> Self {
        Self { log, limiter }
    }

    /// Logs the dispatch of a request to an endpoint.
    pub fn dispatched(&self, now: Time, t: &Tables, dispatch: &Dispatch, exchange: &Exchange) {
        if !self.limiter.allow(&self.log, now, LogKind::Dispatched) {
            return;
        }
        let Some(row) = t.requests.get(dispatch.id) else {
            return;
        };
        let at = t.endpoints.find(&dispatch.endpoint);
        let endpoint = at.map(|at| t.endpoints.get(at));
        info!(self.log, "dispatched";
            "request_id" => dispatch.id.to_string(),
            "call" => call(exchange),
            "service" => &exchange.payload.service,
            "account" => &exchange.payload.account,
            "rank" => row.rank,
            "endpoint" => &dispatch.endpoint,
            "software" => endpoint.map(|e| &e.declared.version),
            "resumes" => resumed_attempt(exchange),
            "dispatch" => dispatch.dispatch,
            "content" => exchange.content.id.to_string(),
            "segments" => segments(exchange),
            "resumed" => row.head_sent(),
            "held_millis" => millis(now.saturating_sub(row.arrived)),
            "predicted_millis" => millis(row.predicted),
            "pace_told" => endpoint.and_then(reported_pace),
            "pace_age_millis" => endpoint.and_then(|e| pace_age(now, e)),
            "prompt_tokens" => row.new.prompt_tokens,
            "placed_by" => placed_by(t),
            "route" => dispatch.route.as_str(),
            "peer" => dispatch.route.peer(),
            "running" => endpoint.map_or(0, |e| e.running),
            "budget" => endpoint.map_or(0, |e| e.budget),
            "left_millis" => row.deadline.map(|by| millis(by.saturating_sub(now))),
            "passed_over" => unavailable_endpoints(now, t, &exchange.payload.service),
            "version" => t.version,
            "config_age_millis" => config_age(t, now),
        );
    }

    /// Logs that a report of an endpoint could not be parsed and is ignored.
    pub fn malformed_report(&self, now: Time, kind: LogKind, endpoint: &EndpointId, report: &str) {
        if self.limiter.allow(&self.log, now, kind) {
            warn!(self.log, "{}", kind.as_str(); "endpoint" => endpoint, "told" => excerpt(report));
        }
    }

    /// Logs a notice that an endpoint sent about itself with an answer to this instance.
    pub fn endpoint_notice(&self, now: Time, report: &NoticeReport) {
        if self.limiter.allow(&self.log, now, LogKind::Notice) {
            info!(self.log, "endpoint notice";
                "endpoint" => &report.endpoint,
                "source" => "answer",
                "leaving" => report.notice.leaving,
                "backoff_millis" => report.notice.backoff.map(millis),
                "limit_per_second" => report.notice.limit.rate().map(RequestRate::per_second),
                "refusal_limit" => report.notice.refusal_limit,
                "age_millis" => millis(now.saturating_sub(report.read)),
            );
        }
    }

    /// Logs the result of the liveness check of an endpoint whose connection ended early.
    pub fn liveness_checked(&self, now: Time, result: &LivenessResult) {
        if self.limiter.allow(&self.log, now, LogKind::LivenessCheck) {
            info!(self.log, "endpoint looked at";
                "endpoint" => &result.start, "found" => result.found.as_str());
        }
    }

    /// Logs whether the end of an answer that proved nothing counts, and why.
    pub fn end_judged(
        &self,
        now: Time,
        t: &Tables,
        row: &RequestRow,
        exchange: &Exchange,
        verdict: EndVerdict,
    ) {
        if !self.limiter.allow(&self.log, now, LogKind::Unframed) {
            return;
        }
        let (_, end) = answer_end(exchange);
        let last_bytes = row.last_bytes.unwrap_or(row.dispatched);
        info!(self.log, "end of answer judged";
            "request_id" => row.new.id.to_string(),
            "call" => call(exchange),
            "endpoint" => endpoint_of(t, row),
            "dispatch" => row.dispatch,
            "accepted" => verdict.accepted,
            "evidence" => verdict.evidence.as_str(),
            "since_last_bytes_millis" => millis(now.saturating_sub(last_bytes)),
            AnswerEndFields(end),
        );
    }

    /// Logs that a whole answer was passed on; `row` is the request's row before it ended.
    pub fn answered(&self, now: Time, t: &Tables, row: &RequestRow, exchange: &Exchange) {
        let (output, end) = answer_end(exchange);
        let unframed = end.is_some_and(|e| e.framing == Framing::Connection);
        let kind = if unframed {
            LogKind::Unframed
        } else {
            LogKind::Answered
        };
        if !self.limiter.allow(&self.log, now, kind) {
            return;
        }
        let first = row.first.unwrap_or(now);
        info!(self.log, "answered";
            "request_id" => row.new.id.to_string(),
            "call" => call(exchange),
            "service" => &exchange.payload.service,
            "account" => &exchange.payload.account,
            "endpoint" => endpoint_of(t, row),
            "dispatches" => row.dispatch,
            "held_millis" => millis(row.dispatched.saturating_sub(row.arrived)),
            "predicted_millis" => millis(row.predicted),
            "first_millis" => millis(first.saturating_sub(row.arrived)),
            "target_millis" => millis(t.services.get(row.service).tier.target()),
            "total_millis" => millis(now.saturating_sub(row.arrived)),
            "prompt_tokens" => row.new.prompt_tokens,
            "output_tokens" => output,
            "most_tokens" => row.new.output_tokens,
            "caller_end" => if unframed { "closed" } else { "whole" },
            AnswerEndFields(end),
        );
    }

    /// Logs a verdict, firdock's own final answer to a request, with the inputs that decided it.
    pub fn verdict(&self, now: Time, t: &Tables, context: RequestContext<'_>, verdict: Verdict) {
        if !self.limiter.allow(&self.log, now, LogKind::Failed) {
            return;
        }
        let exchange = context.exchange;
        warn!(self.log, "request given up";
            "request_id" => exchange.id.to_string(),
            "call" => call(exchange),
            "service" => &exchange.payload.service,
            "account" => &exchange.payload.account,
            "content" => exchange.content.id.to_string(),
            "segments" => segments(exchange),
            "quarantine" => quarantined(t, exchange),
            "outcome" => verdict.outcome.as_str(),
            "reason" => verdict.reason.as_str(),
            "retry_millis" => verdict.retry_after.map(millis),
            "waited_millis" => millis(now.saturating_sub(context.arrived)),
            "endpoint" => context.last_dispatch.map(|last| &last.endpoint),
            "dispatches" => context.last_dispatch.map_or(0, |last| last.dispatch),
            "placed_by" => placed_by(t),
            "passed_over" => unavailable_endpoints(now, t, &exchange.payload.service),
            "held" => t.requests.held(),
            "version" => t.version,
            "config_age_millis" => config_age(t, now),
            "builds" => (verdict.reason == Reason::VersionUnknown).then(|| served_builds(now, t)),
            "builds_known_millis" => (verdict.reason == Reason::VersionUnknown)
                .then(|| builds_known(now, t)),
        );
    }

    /// Logs that the build of a stream that no instance knows was inferred from the builds that served.
    pub fn build_inferred(&self, now: Time, t: &Tables, row: &RequestRow, exchange: &Exchange) {
        if !self.limiter.allow(&self.log, now, LogKind::ContinuedStream) {
            return;
        }
        let build = row.new.stream_origin.build();
        info!(self.log, "build of a stream inferred";
            "request_id" => exchange.id.to_string(),
            "call" => call(exchange),
            "resumes" => resumed_attempt(exchange),
            "pool" => build.map(|b| &b.pool),
            "software" => build.map(|b| &b.version),
            "builds" => served_builds(now, t),
            "builds_known_millis" => builds_known(now, t),
        );
    }

    /// Logs that the error response of the last endpoint is passed on to the caller.
    pub fn failure_forwarded(&self, now: Time, context: RequestContext<'_>, status: StatusCode) {
        if !self.limiter.allow(&self.log, now, LogKind::Failed) {
            return;
        }
        let exchange = context.exchange;
        warn!(self.log, "failure passed on";
            "request_id" => exchange.id.to_string(),
            "call" => call(exchange),
            "service" => &exchange.payload.service,
            "account" => &exchange.payload.account,
            "content" => exchange.content.id.to_string(),
            "status" => status.as_u16(),
            "waited_millis" => millis(now.saturating_sub(context.arrived)),
            "endpoint" => context.last_dispatch.map(|last| &last.endpoint),
            "dispatches" => context.last_dispatch.map_or(0, |last| last.dispatch),
        );
    }

    /// Logs that an answer that had begun could not be completed.
    pub fn cut(&self, now: Time, context: RequestContext<'_>, reason: Reason) {
        if self.limiter.allow(&self.log, now, LogKind::Failed) {
            self.broken_off(now, "answer cut", context, reason);
        }
    }

    /// Logs that a caller disconnected before its answer was complete, so that its work is cancelled.
    pub fn caller_left(&self, now: Time, context: RequestContext<'_>) {
        if self.limiter.allow(&self.log, now, LogKind::CallerLeft) {
            self.broken_off(now, "caller left", context, Reason::CallerLeft);
        }
    }

    fn broken_off(
        &self,
        now: Time,
        what: &'static str,
        context: RequestContext<'_>,
        reason: Reason,
    ) {
        let exchange = context.exchange;
        let after = context
            .last_dispatch
            .map(|last| millis(now.saturating_sub(last.at)));
        let (delivered, end) = answer_end(exchange);
        let caller_end = match reason {
            Reason::CallerLeft => "left",
            _ => "broken",
        };
        warn!(self.log, "{}", what;
            "request_id" => exchange.id.to_string(),
            "call" => call(exchange),
            "service" => &exchange.payload.service,
            "account" => &exchange.payload.account,
            "content" => exchange.content.id.to_string(),
            "reason" => reason.as_str(),
            "caller_end" => caller_end,
            "waited_millis" => millis(now.saturating_sub(context.arrived)),
            "endpoint" => context.last_dispatch.map(|last| &last.endpoint),
            "dispatches" => context.last_dispatch.map_or(0, |last| last.dispatch),
            "after_millis" => after,
            "delivered_tokens" => delivered,
            AnswerEndFields(end),
        );
    }

    /// Logs that a dispatch ended without an answer: refused, lapsed or broken.
    pub fn dispatch_failed(
        &self,
        now: Time,
        t: &Tables,
        row: &RequestRow,
        update: &str,
        exchange: &Exchange,
    ) {
        if !self.limiter.allow(&self.log, now, LogKind::Failed) {
            return;
        }
        let (_, end) = answer_end(exchange);
        warn!(self.log, "dispatch failed";
            "request_id" => row.new.id.to_string(),
            "call" => call(exchange),
            "endpoint" => endpoint_of(t, row),
            "dispatch" => row.dispatch,
            "content" => exchange.content.id.to_string(),
            "segments" => segments(exchange),
            "news" => update,
            "cause" => failure_cause(row),
            "after_millis" => millis(now.saturating_sub(row.dispatched)),
            "delivered_tokens" => row.delivered,
            AnswerEndFields(end),
        );
    }
}

/// Returns the content or segment of a request that is in quarantine, if one is.
fn quarantined(t: &Tables, exchange: &Exchange) -> Option<String> {
    let mut all = std::iter::once(&exchange.content).chain(&exchange.segments);
    let held = all.find(|content| t.suspects.is_quarantined(content.id));
    held.map(|content| content.id.to_string())
}

/// Returns the shared segments of the prompt, if there are any.
fn segments(exchange: &Exchange) -> Option<String> {
    let segments = &exchange.payload.terms.segments;
    (!segments.is_empty()).then(|| excerpt(&segments.join(",")).to_owned())
}

/// Returns why the last dispatch failed, as far as it is known.
fn failure_cause(row: &RequestRow) -> Option<&'static str> {
    let unconnected = row.connect_failure.map(ConnectFailure::as_str);
    row.breaking.map(BreakCause::as_str).or(unconnected)
}

/// Returns the tokens that have been passed on, and how the answer of the last dispatch ended.
fn answer_end(exchange: &Exchange) -> (u32, Option<AnswerEnd>) {
    let delivered = exchange.delivered();
    (delivered.tokens, delivered.end)
}

/// Log fields on the framing and the end of an endpoint's answer; empty if no answer began.
struct AnswerEndFields(Option<AnswerEnd>);

impl KV for AnswerEndFields {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let Some(end) = self.0 else {
            return Ok(());
        };
        serializer.emit_str("framing", end.framing.as_str())?;
        serializer.emit_str("ending", end.ending.map_or("unread", Ending::as_str))?;
        serializer.emit_u64("answer_bytes", end.bytes)?;
        serializer.emit_u32("answer_events", end.events)?;
        serializer.emit_usize("leftover_bytes", end.leftover)
    }
}

/// Returns the endpoint to which a request is dispatched.
fn endpoint_of<'a>(t: &'a Tables, row: &RequestRow) -> Option<&'a EndpointId> {
    let (Phase::Dispatching(at) | Phase::Running(at)) = row.phase else {
        return None;
    };
    Some(&t.endpoints.get(at).declared.name)
}

/// Lists the builds that serve or served, with the time since each ended.
fn served_builds(now: Time, t: &Tables) -> String {
    let describe = |served: ServedBuild| {
        let ended = served.ended.map(|at| millis(now.saturating_sub(at)));
        let ended = ended.map_or_else(String::new, |age| format!(" ended {age} ms ago"));
        format!("{} {}{ended}", served.build.pool, served.build.version)
    };
    t.builds.iter().map(describe).collect::<Vec<_>>().join("; ")
}

/// Returns for how long this instance has known which builds serve; `None` if it knows those of before its start too.
fn builds_known(now: Time, t: &Tables) -> Option<u64> {
    let since = t.builds.observed_since()?;
    Some(millis(now.saturating_sub(since)))
}

/// Returns the request id that the caller gave, if any.
fn call(exchange: &Exchange) -> Option<&str> {
    exchange.payload.terms.caller_id.as_deref().map(excerpt)
}

/// Returns the attempt that a caller continues, if any.
fn resumed_attempt(exchange: &Exchange) -> Option<&str> {
    exchange.payload.terms.resumes.as_deref().map(excerpt)
}

/// Returns who currently places requests on engines.
fn placed_by(t: &Tables) -> &'static str {
    if t.coordinated {
        "coordinator"
    } else {
        "instance"
    }
}

/// Returns the time in milliseconds since the configuration was last confirmed to be the newest; `None` if
/// it never was.
pub(super) fn config_age(t: &Tables, now: Time) -> Option<i64> {
    t.config_confirmed_at.map(|at| age_millis(now, at))
}

/// Returns the pace that an endpoint reported last, as a percentage of its usual time.
fn reported_pace(e: &EndpointRow) -> Option<u64> {
    e.reported_pace
        .latest()
        .map(|(pace, _)| (100.0 * pace).round() as u64)
}

/// Returns the age of an endpoint's pace report in milliseconds.
fn pace_age(now: Time, e: &EndpointRow) -> Option<u64> {
    let (_, read) = e.reported_pace.latest()?;
    Some(millis(now.saturating_sub(read)))
}
