//! Panics: a line in the log and a counter, beside standard error.
//!
//! A panic in a task of the runtime ends that task only, and nobody else would tell of it.

use std::backtrace::{Backtrace, BacktraceStatus};
use std::panic::{self, PanicHookInfo};
use std::sync::{LazyLock, OnceLock};
use std::thread;

use prometheus_client::metrics::counter::Counter;
use slog::{Logger, crit};

use super::log::{FLUSH_TIME, Flusher, LogGuard, write_error};

/// Characters of a panic's message in the log.
const MESSAGE_CHARS: usize = 300;
/// Words after which the standard library quotes the text on which an operation failed. It may be of a caller.
const QUOTED_TEXT: &str = " of `";

/// Panics of the process.
static PANICS: LazyLock<Counter> = LazyLock::new(Counter::default);
/// The log to flush before the process aborts.
static FLUSHER: OnceLock<Flusher> = OnceLock::new();

/// Returns the counter of panics of the process, to be registered.
pub(super) fn panics() -> Counter {
    PANICS.clone()
}

/// Reports the panics of all threads to a log from now on, to the counter, and to standard error as before.
///
/// Only the log of the first call is flushed before the process aborts.
pub fn report_panics(log: &Logger, guard: &LogGuard) {
    // An error says that a log was set before.
    let _ = FLUSHER.set(guard.flusher());
    let log = log.clone();
    panic::set_hook(Box::new(move |info| report(&log, info)));
}

/// Waits for a bounded time until the line on a panic is written. To be called right before an abort.
pub(crate) fn flush_before_abort() {
    if let Some(flusher) = FLUSHER.get() {
        // The process ends either way, and standard error has the panic.
        let _ = flusher.flush(FLUSH_TIME);
    }
}

fn report(log: &Logger, info: &PanicHookInfo<'_>) {
    PANICS.inc();
    let message = info.payload_as_str().unwrap_or("not a text");
    let place = info.location().map(ToString::to_string);
    let place = place.unwrap_or_default();
    let thread = thread::current();
    let thread = thread.name().unwrap_or("<unnamed>");
    crit!(log, "panicked"; "message" => without_text(message), "place" => &place, "thread" => thread);
    let trace = Backtrace::capture();
    let trace = match trace.status() {
        BacktraceStatus::Captured => trace.to_string(),
        _ => String::new(),
    };
    let text = format!("thread '{thread}' panicked at {place}:\n{message}\n{trace}");
    // The log has the panic; a reader of standard error that stands still must not hold this thread.
    let _ = write_error(text.as_bytes());
}

/// Returns a message without the text that it quotes, and no longer than a line of the log may be.
fn without_text(message: &str) -> String {
    let quoted = message.find(QUOTED_TEXT).unwrap_or(message.len());
    message[..quoted].chars().take(MESSAGE_CHARS).collect()
}
