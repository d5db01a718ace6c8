//! What signals do to a daemon.
//!
//! Most signals end a process unless it handles them, and neither a log line nor the callers' answers would be
//! written then. Two kinds keep that effect: those of a broken process (`SIGSEGV`, `SIGABRT` and their like),
//! which must not go on, and real-time signals, which the programs around the process use among themselves.
//! `SIGPIPE` is ignored by the runtime of the language before `main`.

use std::future::poll_fn;
use std::io;
use std::task::Poll;
use std::time::Duration;

use rustix::process::Signal as Number;
use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

/// Shortest time between two lines on the same signal. A profiler's timer sends hundreds a second.
const LINE_PAUSE: Duration = Duration::from_secs(1);

/// Effect of a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    /// The daemon stops gracefully.
    Stop,
    /// The daemon goes on, and logs that the signal came.
    Log,
}

/// All signals whose default ends the process, except those that rightly do. `SIGHUP` is left to the daemon.
const EFFECTS: [(&str, Number, Effect); 13] = [
    ("SIGTERM", Number::TERM, Effect::Stop),
    ("SIGINT", Number::INT, Effect::Stop),
    // A supervisor that sends it wants an end; the dump that is its default would cost the answers.
    ("SIGQUIT", Number::QUIT, Effect::Stop),
    ("SIGUSR1", Number::USR1, Effect::Log),
    ("SIGUSR2", Number::USR2, Effect::Log),
    ("SIGALRM", Number::ALARM, Effect::Log),
    ("SIGVTALRM", Number::VTALARM, Effect::Log),
    ("SIGPROF", Number::PROF, Effect::Log),
    ("SIGIO", Number::IO, Effect::Log),
    ("SIGPWR", Number::POWER, Effect::Log),
    ("SIGSTKFLT", Number::STKFLT, Effect::Log),
    // The limits behind these two still hold: a write fails, and the hard limit of processor time kills.
    ("SIGXFSZ", Number::XFSZ, Effect::Log),
    ("SIGXCPU", Number::XCPU, Effect::Log),
];

/// The signals that a daemon receives instead of being ended by them.
#[derive(Debug)]
pub struct Signals {
    /// Those that stop the daemon.
    pub stop: StopSignals,
    /// `SIGHUP`, to which each daemon gives its own meaning.
    pub hang_up: Signal,
    /// Those that are only logged.
    pub logged: LoggedSignals,
}

/// Signals that stop the daemon.
#[derive(Debug)]
pub struct StopSignals(Vec<(&'static str, Signal)>);

/// Signals that are only logged.
#[derive(Debug)]
pub struct LoggedSignals {
    signals: Vec<(&'static str, Signal)>,
    refused: Vec<(&'static str, io::Error)>,
}

impl Signals {
    /// Registers all of them. A signal has its default effect until then, so this comes before anything slow.
    ///
    /// # Errors
    ///
    /// Fails if a signal that stops the daemon cannot be received: it could only be killed then.
    pub fn new() -> io::Result<Self> {
        let mut stop = Vec::new();
        let mut logged = LoggedSignals {
            signals: Vec::new(),
            refused: Vec::new(),
        };
        for (name, number, effect) in EFFECTS {
            let registered = signal(SignalKind::from_raw(number.as_raw()));
            match (effect, registered) {
                (Effect::Stop, registered) => stop.push((name, registered?)),
                (Effect::Log, Ok(signal)) => logged.signals.push((name, signal)),
                (Effect::Log, Err(e)) => logged.refused.push((name, e)),
            }
        }
        Ok(Self {
            stop: StopSignals(stop),
            hang_up: signal(SignalKind::hangup())?,
            logged,
        })
    }
}

impl StopSignals {
    /// Waits for the first of them, and logs which one it was.
    pub async fn recv(&mut self, log: &Logger) {
        let first = poll_fn(|cx| {
            let received = |(name, signal): &mut (&'static str, Signal)| {
                signal.poll_recv(cx).is_ready().then_some(*name)
            };
            let first = self.0.iter_mut().find_map(received);
            first.map_or(Poll::Pending, Poll::Ready)
        });
        info!(log, "signal received"; "signal" => first.await, "effect" => "stop");
    }
}

impl LoggedSignals {
    /// Starts tasks that log each of them, and `others` that the daemon has no use for.
    pub fn log_to(self, log: &Logger, others: Vec<(&'static str, Signal)>) {
        for (name, e) in self.refused {
            warn!(log, "signal could not be handled and keeps its default effect";
                "signal" => name, "error" => e.to_string());
        }
        for (name, signal) in self.signals.into_iter().chain(others) {
            tokio::spawn(log_each(name, signal, log.clone()));
        }
    }
}

async fn log_each(name: &'static str, mut signal: Signal, log: Logger) {
    while signal.recv().await.is_some() {
        warn!(log, "signal ignored"; "signal" => name);
        sleep(LINE_PAUSE).await;
    }
}
