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

/// Makes a logger that writes JSON lines to `out`.
pub fn logger<W: Write + Send + 'static>(out: W, level: Level, instance: &str) -> Logger {
    let json = slog_json::Json::new(out)
        .set_newlines(true)
        .add_default_keys()
        .build();
    let drain = Mutex::new(json)
        .map(slog::Fuse)
        .filter_level(level.0)
        .fuse();
    Logger::root(drain, o!("instance" => instance.to_owned()))
}

/// Makes a logger that drops everything, for tests and measurements.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
