//! Distributed tracing: one span per hop, with W3C trace context in and out.
//!
//! A span is written as a log line when it ends, so that a collector can assemble traces from the
//! logs without a further protocol.

use std::time::Duration;

use rand::Rng as _;
use slog::{Logger, info};

/// Length of a `traceparent` of version 00.
const TRACEPARENT_BYTES: usize = 55;

/// Trace context, as carried by the `traceparent` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceContext {
    trace: u128,
    span: u64,
    sampled: bool,
}

impl TraceContext {
    /// Starts a new trace.
    #[must_use]
    pub fn start() -> Self {
        Self {
            trace: rand::rng().random(),
            span: rand::rng().random(),
            sampled: true,
        }
    }

    /// Parses a `traceparent` header; returns `None` if it is not valid.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != TRACEPARENT_BYTES || !text.is_ascii() || !text.starts_with("00-") {
            return None;
        }
        let mut parts = text[3..].split('-');
        let trace = u128::from_str_radix(parts.next()?, 16)
            .ok()
            .filter(|t| *t != 0)?;
        let span = u64::from_str_radix(parts.next()?, 16)
            .ok()
            .filter(|s| *s != 0)?;
        let flags = u8::from_str_radix(parts.next()?, 16).ok()?;
        Some(Self {
            trace,
            span,
            sampled: flags & 1 == 1,
        })
    }

    /// Parses a `traceparent` header, or starts a new trace if it is absent or not valid.
    #[must_use]
    pub fn parse_or_start(text: Option<&str>) -> Self {
        text.and_then(Self::parse).unwrap_or_else(Self::start)
    }

    /// Returns the value of the `traceparent` header.
    #[must_use]
    pub fn header(&self) -> String {
        format!(
            "00-{:032x}-{:016x}-{:02x}",
            self.trace,
            self.span,
            u8::from(self.sampled)
        )
    }

    /// Returns the trace id in hexadecimal.
    #[must_use]
    pub fn trace_id(&self) -> String {
        format!("{:032x}", self.trace)
    }

    /// Creates the context of a child span.
    #[must_use]
    pub fn child(&self) -> Self {
        Self {
            span: rand::rng().random(),
            ..*self
        }
    }
}

/// A span that has not ended.
#[derive(Debug)]
pub struct Span {
    /// Context of this span, to be propagated to the next hop.
    pub context: TraceContext,
    parent: u64,
    name: &'static str,
    started: Duration,
}

impl Span {
    /// Starts a child span of `parent`.
    #[must_use]
    pub fn start(name: &'static str, parent: &TraceContext, now: Duration) -> Self {
        Self {
            context: parent.child(),
            parent: parent.span,
            name,
            started: now,
        }
    }

    /// Ends the span and logs it if the trace is sampled.
    pub fn end(self, log: &Logger, now: Duration, request: &str, result: &str) {
        if !self.context.sampled {
            return;
        }
        info!(log, # "span", "span";
            "span" => self.name,
            "trace_id" => self.context.trace_id(),
            "span_id" => format!("{:016x}", self.context.span),
            "parent_id" => format!("{:016x}", self.parent),
            "request_id" => request,
            "micros" => u64::try_from((now.saturating_sub(self.started)).as_micros()).unwrap_or(0),
            "result" => result,
        );
    }
}
