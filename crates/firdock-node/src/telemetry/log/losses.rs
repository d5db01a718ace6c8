//! Log lines that were lost, by cause.

use std::io;
use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use rustix::io::Errno;

/// Time after the first loss of lines for want of room in the queue, after which these are told. A slow reader
/// would otherwise get a line on the loss after each other line.
const TELL_AFTER: Duration = Duration::from_secs(1);

/// Lost lines of the process by cause.
static LOST: LazyLock<Family<ByCause, Counter>> = LazyLock::new(Family::default);

/// Returns the counter of lost lines of the process, to be registered.
pub(in crate::telemetry) fn lost_lines() -> Family<ByCause, Counter> {
    LOST.clone()
}

/// Label by the cause of a loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(in crate::telemetry) struct ByCause {
    cause: &'static str,
}

/// Returns the name of the cause for which a line could not be written.
pub(super) fn cause_of(error: &io::Error) -> &'static str {
    match error.raw_os_error().map(Errno::from_raw_os_error) {
        Some(Errno::AGAIN) => "blocked",
        Some(Errno::PIPE) => "reader-gone",
        Some(Errno::NOSPC | Errno::DQUOT) => "no-space",
        Some(Errno::FBIG) => "file-too-large",
        Some(Errno::IO) => "device-failed",
        _ => "failed",
    }
}

/// Lines that were lost and are not yet told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Loss {
    pub(super) cause: &'static str,
    pub(super) count: u64,
    pub(super) since: Instant,
}

impl Loss {
    /// Creates the record of a failure that has lost no line yet.
    pub(super) fn new(cause: &'static str, now: Instant) -> Self {
        Self {
            cause,
            count: 0,
            since: now,
        }
    }

    /// Counts a line, here and in the metrics.
    pub(super) fn add(&mut self) {
        self.count += 1;
        let by_cause = ByCause { cause: self.cause };
        LOST.get_or_create(&by_cause).inc();
    }
}

/// Lines that were lost since the queue was full.
#[derive(Debug, Default)]
pub(super) struct QueueLosses(Mutex<Option<Loss>>);

impl QueueLosses {
    /// Counts a line.
    pub(super) fn add(&self, now: Instant) {
        let new = || Loss::new("queue-full", now);
        self.lock().get_or_insert_with(new).add();
    }

    /// Returns when the loss is told; `None` if nothing was lost.
    pub(super) fn told_at(&self) -> Option<Instant> {
        self.lock().map(|loss| loss.since + TELL_AFTER)
    }

    /// Takes the loss to tell it.
    pub(super) fn take(&self) -> Option<Loss> {
        self.lock().take()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Loss>> {
        // A count that another thread left behind in a panic is still a count.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
