//! JSON-line logs by `slog`, with the instance's name on each line.
//!
//! No key, prompt or body is ever logged; request and trace ids are.

use std::io::Write;
use std::sync::Mutex;

use slog::{Drain as _, Logger, o};

/// Least severe level that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Level(slog::Level);

impl Level {
    /// Reads a level's name; unknown names count as `info`, which settings checks never let by.
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

/// Tag of the lines that are spans of a trace.
pub const SPAN_TAG: &str = "span";
/// Lines that may wait for a slow reader of the log; further ones are dropped and counted.
const LINES_WAITING: usize = 8_192;

/// Writes what waits when it is dropped, so it has to live as long as the process logs.
pub type LogGuard = slog_async::AsyncGuard;

/// Makes a logger that writes JSON lines to `out` from a thread of its own.
///
/// A reader that stalls must not hold up the scheduler, so lines beyond a bound are dropped.
pub fn logger<W>(out: W, level: Level, spans: bool, instance: &str) -> (Logger, LogGuard)
where
    W: Write + Send + 'static,
{
    let json = slog_json::Json::new(out)
        .set_newlines(true)
        .add_default_keys()
        .build();
    let (lines, guard) = slog_async::Async::new(Mutex::new(json).map(slog::Fuse))
        .chan_size(LINES_WAITING)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let wanted = lines.filter(move |record| spans || record.tag() != SPAN_TAG);
    let drain = wanted.filter_level(level.0).fuse();
    (
        Logger::root(drain, o!("instance" => instance.to_owned())),
        guard,
    )
}

/// Makes a logger that drops everything, for tests and measurements.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
