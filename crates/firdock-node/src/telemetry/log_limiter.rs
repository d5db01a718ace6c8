//! Rate limits for log lines: a number of each kind per second, and a count of suppressed lines.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_policy::Time;
use slog::{Logger, warn};

/// Length of the window after which the counts start again.
const PERIOD: Duration = Duration::from_secs(1);

/// Kinds of log lines that have separate limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogKind {
    /// A request was sent to an endpoint.
    Dispatched,
    /// A whole answer was passed on.
    Answered,
    /// A whole answer was passed on that had neither a length nor chunks.
    Unframed,
    /// A caller disconnected before its answer was complete.
    CallerLeft,
    /// A request ended without a whole answer.
    Failed,
    /// The assumed state of the configuration, an endpoint or a peer changed.
    StateChange,
    /// An endpoint's load report could not be parsed.
    BadLoad,
    /// Result of the liveness check of an endpoint whose connection ended early.
    LivenessCheck,
    /// A request was quarantined or released.
    Quarantine,
    /// An endpoint sent a notice about itself with an answer.
    Notice,
    /// An endpoint's notice could not be parsed.
    BadNotice,
    /// A connection of a peer to an endpoint was passed on.
    Tunnel,
    /// The platform's store was called.
    StoreCall,
    /// An entry of an endpoint described no usable endpoint.
    RefusedEntry,
    /// A peer reported a read that lies ahead of its clock.
    ReadAhead,
    /// A request continues a stream that an earlier attempt of its caller began.
    ContinuedStream,
    /// A listener could not accept a connection.
    FailedAccept,
    /// A datagram could not be received.
    FailedReceive,
    /// A datagram was not authenticated with the shared key.
    InvalidDatagram,
    /// An authenticated message of a peer could not be parsed.
    MalformedMessage,
}

impl LogKind {
    /// Returns the name that the line on suppressed lines uses.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Dispatched => "dispatched",
            Self::Answered => "answered",
            Self::Unframed => "answered without framing",
            Self::CallerLeft => "caller left",
            Self::Failed => "failed",
            Self::StateChange => "belief",
            Self::BadLoad => "load not read",
            Self::LivenessCheck => "endpoint looked at",
            Self::Quarantine => "quarantine",
            Self::Notice => "notice",
            Self::BadNotice => "notice not read",
            Self::Tunnel => "connection passed on",
            Self::StoreCall => "store called",
            Self::RefusedEntry => "entry refused",
            Self::ReadAhead => "read ahead of its clock",
            Self::ContinuedStream => "stream taken up",
            Self::FailedAccept => "connection not accepted",
            Self::FailedReceive => "datagram not received",
            Self::InvalidDatagram => "invalid datagram",
            Self::MalformedMessage => "malformed message",
        }
    }

    /// Returns the maximum number of lines per second.
    ///
    /// Successes are sampled: an instance serves some tens of requests a second, and a line costs about
    /// as much as forwarding an event. So are invalid entries, since their writer repeats them. Failures
    /// and state changes are limited only against bursts.
    fn max_per_period(self) -> u32 {
        match self {
            Self::Dispatched
            | Self::Answered
            | Self::CallerLeft
            | Self::LivenessCheck
            | Self::Quarantine
            | Self::Notice
            | Self::Tunnel
            | Self::StoreCall
            | Self::RefusedEntry
            | Self::MalformedMessage => 20,
            Self::Failed | Self::Unframed | Self::StateChange | Self::ContinuedStream => 200,
            // A malformed header comes with each answer of its server, a clock that is off is off in each
            // report of its instance, a lack of descriptors fails each accept, a broken socket each receive, and
            // anyone may send any number of invalid datagrams, so one line is enough.
            Self::BadLoad
            | Self::BadNotice
            | Self::ReadAhead
            | Self::FailedAccept
            | Self::FailedReceive
            | Self::InvalidDatagram => 1,
        }
    }
}

#[derive(Debug, Default)]
struct Counts {
    written: u32,
    suppressed: u32,
}

#[derive(Debug, Default)]
struct Inner {
    since: Time,
    kinds: BTreeMap<LogKind, Counts>,
}

/// Rate limiter for log lines, by kind.
#[derive(Debug, Default)]
pub struct LogLimiter {
    inner: Mutex<Inner>,
}

impl LogLimiter {
    /// Returns whether a line may be written; counts it as suppressed if not.
    ///
    /// The first call of a period logs the counts of lines that were suppressed in the last one.
    pub fn allow(&self, log: &Logger, now: Time, kind: LogKind) -> bool {
        let mut inner = self.lock();
        if inner.since + PERIOD <= now {
            inner.since = now;
            report(log, std::mem::take(&mut inner.kinds));
        }
        let counts = inner.kinds.entry(kind).or_default();
        if counts.written < kind.max_per_period() {
            counts.written += 1;
            true
        } else {
            counts.suppressed += 1;
            false
        }
    }

    /// Logs the counts of suppressed lines when the process ends.
    pub fn finish(&self, log: &Logger) {
        report(log, std::mem::take(&mut self.lock().kinds));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn report(log: &Logger, kinds: BTreeMap<LogKind, Counts>) {
    for (kind, counts) in kinds {
        if counts.suppressed > 0 {
            warn!(log, "lines left out"; "kind" => kind.as_str(), "count" => counts.suppressed);
        }
    }
}
