//! Bounds on the lines of a log: so many of each kind a second, and a count of what was left out.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_policy::Time;
use slog::{Logger, warn};

/// Time after which each kind gets its lines anew.
const PERIOD: Duration = Duration::from_secs(1);

/// Kind of a line, by which lines are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogKind {
    /// A request was sent to an endpoint.
    Dispatched,
    /// A whole answer was passed on.
    Answered,
    /// The same, of an answer that had neither a length nor chunks.
    Unframed,
    /// A caller left before its answer was whole.
    CallerLeft,
    /// A request ended without a whole answer.
    Failed,
    /// What the process believes changed.
    StateChange,
    /// What an endpoint said of its load could not be read.
    BadLoad,
    /// What was found of an endpoint whose connection ended early.
    LivenessCheck,
    /// A request came into quarantine, or out of it.
    Quarantine,
    /// What an endpoint said of itself with an answer.
    Notice,
    /// The same, where it could not be read.
    BadNotice,
    /// The platform's store was called.
    StoreCall,
    /// An entry of an endpoint named none to use.
    RefusedEntry,
}

impl LogKind {
    /// Gives the name that the line about left-out lines has.
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
            Self::StoreCall => "store called",
            Self::RefusedEntry => "entry refused",
        }
    }

    /// Gives the lines a second.
    ///
    /// What went well is sampled: an instance serves some tens of requests a second, and a line
    /// costs about as much as forwarding an event. A writer that writes nonsense writes it again and
    /// again. Failures and beliefs are only bounded against storms.
    fn most(self) -> u32 {
        match self {
            Self::Dispatched
            | Self::Answered
            | Self::CallerLeft
            | Self::LivenessCheck
            | Self::Quarantine
            | Self::Notice
            | Self::StoreCall
            | Self::RefusedEntry => 20,
            Self::Failed | Self::Unframed | Self::StateChange => 200,
            // It comes with each answer of a server that says it, and one line tells all.
            Self::BadLoad | Self::BadNotice => 1,
        }
    }
}

#[derive(Debug, Default)]
struct Counts {
    written: u32,
    left_out: u32,
}

#[derive(Debug, Default)]
struct Inner {
    since: Time,
    kinds: BTreeMap<LogKind, Counts>,
}

/// Counts lines by kind.
#[derive(Debug, Default)]
pub struct LogLimiter {
    inner: Mutex<Inner>,
}

impl LogLimiter {
    /// Tells whether a line may be written; one that may not is counted.
    ///
    /// At the start of each period, a line tells what was left out in the last one.
    pub fn allow(&self, log: &Logger, now: Time, kind: LogKind) -> bool {
        let mut inner = self.lock();
        if inner.since + PERIOD <= now {
            inner.since = now;
            report(log, std::mem::take(&mut inner.kinds));
        }
        let counts = inner.kinds.entry(kind).or_default();
        if counts.written < kind.most() {
            counts.written += 1;
            true
        } else {
            counts.left_out += 1;
            false
        }
    }

    /// Tells what was left out so far, when the process ends.
    pub fn finish(&self, log: &Logger) {
        report(log, std::mem::take(&mut self.lock().kinds));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn report(log: &Logger, kinds: BTreeMap<LogKind, Counts>) {
    for (kind, counts) in kinds {
        if counts.left_out > 0 {
            warn!(log, "lines left out"; "kind" => kind.as_str(), "count" => counts.left_out);
        }
    }
}
