//! Logging in JSON lines with `slog`; each line carries the name of the instance.
//!
//! Keys, prompts and bodies are never logged; request and trace ids are.

use std::io::Write;
use std::sync::Mutex;

use slog::{Drain as _, Logger, o};

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
/// Capacity of the queue of lines not yet written; further lines are dropped and counted.
const LINE_QUEUE_CAPACITY: usize = 8_192;

/// Flushes the queue of lines when it is dropped, so it has to live as long as the process logs.
pub type LogGuard = slog_async::AsyncGuard;

/// Creates a logger that writes JSON lines to `out` from a background thread.
///
/// A stalled reader of the log must not block the scheduler, so lines are dropped when the queue is full.
/// Trace spans are written only if `spans` is set.
pub fn logger<W>(out: W, level: Level, spans: bool, instance: &str) -> (Logger, LogGuard)
where
    W: Write + Send + 'static,
{
    let json = slog_json::Json::new(out)
        .set_newlines(true)
        .add_default_keys()
        .build();
    let (lines, guard) = slog_async::Async::new(Mutex::new(json).map(slog::Fuse))
        .chan_size(LINE_QUEUE_CAPACITY)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let wanted = lines.filter(move |record| spans || record.tag() != SPAN_TAG);
    let drain = wanted.filter_level(level.0).fuse();
    (
        Logger::root(drain, o!("instance" => instance.to_owned())),
        guard,
    )
}

/// Creates a logger that discards everything, for tests and measurements.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
