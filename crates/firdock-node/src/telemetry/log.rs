//! Logging in JSON lines with `slog`; each line carries the name of the instance.
//!
//! Keys, prompts and bodies are never logged; request and trace ids are. The destination may fail in any way
//! (`docs/design/logging.md`): neither a request nor the end of the process waits for it.

mod losses;
mod output;
mod queue;
mod writer;

use std::io::Write;
use std::time::Duration;

use slog::{Drain as _, Logger, o};

pub(super) use self::losses::lost_lines;
pub(super) use self::output::write_error;
pub use self::output::{StandardOutput, write_failure};
pub(super) use self::queue::Flusher;

/// Minimum severity of lines that are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Level(slog::Level);

impl Level {
    /// Parses the name of a level. Unknown names count as `info`; the validation of settings rejects
    /// them before.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self(match name {
            "error" => slog::Level::Error,
            "warning" => slog::Level::Warning,
            "debug" => slog::Level::Debug,
            _ => slog::Level::Info,
        })
    }
}

/// Tag of the log records that are trace spans.
pub const SPAN_TAG: &str = "span";
/// Time for which the end of the process waits for the last lines. Together with the last answers, it lies
/// within the time that is reserved before the platform kills the process.
pub(super) const FLUSH_TIME: Duration = Duration::from_millis(300);

/// Maximum length of a text of a caller or an endpoint in a log line, in bytes. The queue is bounded in lines, so a line
/// has to be bounded in bytes.
const MAX_TEXT_BYTES: usize = 256;

/// Flushes the queue of lines when it is dropped, so it has to live as long as the process logs.
///
/// The flush ends after 300 ms, even if the destination takes nothing.
#[derive(Debug)]
pub struct LogGuard(Flusher);

impl LogGuard {
    /// Returns what flushes the queue before the guard is dropped.
    pub(super) fn flusher(&self) -> Flusher {
        self.0.clone()
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        // There is nowhere to tell a failure: standard error may be the same pipe.
        let _ = self.0.flush(FLUSH_TIME);
    }
}

/// Creates a logger that writes JSON lines to `out` from a background thread.
///
/// A stalled reader of the log must not block the scheduler, so lines are dropped when the queue is full.
/// Trace spans are written only if `spans` is set.
pub fn logger<W>(out: W, level: Level, spans: bool, instance: &str) -> (Logger, LogGuard)
where
    W: Write + Send + 'static,
{
    let values = Logger::root(slog::Discard, o!("instance" => instance.to_owned()));
    let (records, flusher) = queue::start(out, values.list().clone());
    let wanted = records.filter(move |record| spans || record.tag() != SPAN_TAG);
    let drain = wanted.filter_level(level.0).ignore_res();
    (
        Logger::root(drain, o!("instance" => instance.to_owned())),
        LogGuard(flusher),
    )
}

/// Returns as much of a text of a caller or an endpoint as a log line takes.
#[must_use]
pub fn excerpt(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}

/// Creates a logger that discards everything, for tests and measurements.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
