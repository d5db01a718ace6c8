//! The log of a daemon.

use firdock_core::settings::Settings;
use slog::Logger;

use super::log::{Level, LogGuard, StandardOutput, logger};
use super::panics::report_panics;

/// Creates a daemon's logger by its settings: to standard output, with a line on each panic.
pub fn daemon_logger(settings: &Settings) -> (Logger, LogGuard) {
    let logging = &settings.logging;
    let level = Level::new(&logging.level);
    let output = StandardOutput::new();
    let (log, guard) = logger(output, level, logging.spans, &settings.instance.name);
    report_panics(&log, &guard);
    (log, guard)
}
