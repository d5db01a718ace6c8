//! Destinations of the log that fail: which lines are written, and what is told of the others.

use std::io::{Result, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use firdock_node::telemetry::{Level, logger};
use rustix::io::Errno;
use serde_json::Value;
use slog::info;

/// Time that an edge instance reserves for its last answers and lines before the platform kills it.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(700);
/// Time for which a test waits for lines.
const WAIT: Duration = Duration::from_secs(20);
/// Message of the line that tells a loss.
const TOLD: &str = "log lines lost";

/// What the next writes do.
#[derive(Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Sound,
    /// Takes a few bytes more, and fails then.
    Full { left: usize },
    /// Waits until the state changes.
    Blocked,
}

/// A destination whose state the test sets.
#[derive(Clone, Default)]
struct Destination(Arc<Shared>);

#[derive(Default)]
struct Shared {
    inner: Mutex<Inner>,
    changed: Condvar,
}

#[derive(Default)]
struct Inner {
    state: State,
    bytes: Vec<u8>,
}

impl Destination {
    fn set(&self, state: State) {
        self.0.inner.lock().expect("no panic").state = state;
        self.0.changed.notify_all();
    }

    fn text(&self) -> String {
        let bytes = self.0.inner.lock().expect("no panic").bytes.clone();
        String::from_utf8(bytes).expect("UTF-8")
    }

    /// Returns the lines, once one of them is `message`; fails if a line is torn.
    fn lines_with(&self, message: &str) -> Vec<Value> {
        let began = Instant::now();
        loop {
            let text = self.text();
            let lines = text.split_inclusive('\n').map(|line| {
                serde_json::from_str(line).unwrap_or_else(|e| panic!("torn: {line}: {e}"))
            });
            let lines: Vec<Value> = lines.collect();
            if written(&lines, message) > 0 {
                return lines;
            }
            assert!(began.elapsed() < WAIT, "no line {message}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Write for Destination {
    fn write(&mut self, buf: &[u8]) -> Result<usize> {
        let inner = self.0.inner.lock().expect("no panic");
        let blocked = |inner: &mut Inner| inner.state == State::Blocked;
        let inner = self.0.changed.wait_while(inner, blocked);
        let mut inner = inner.expect("no panic");
        let taken = match &mut inner.state {
            State::Full { left: 0 } => return Err(Errno::NOSPC.into()),
            State::Full { left } => {
                let taken = buf.len().min(*left);
                *left -= taken;
                taken
            }
            _ => buf.len(),
        };
        inner.bytes.extend_from_slice(&buf[..taken]);
        Ok(taken)
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

fn written(lines: &[Value], message: &str) -> u64 {
    lines.iter().filter(|l| l["msg"] == message).count() as u64
}

/// Returns how many lines were told as lost; fails if one has another cause.
fn told(lines: &[Value], cause: &str) -> u64 {
    let told = lines.iter().filter(|l| l["msg"] == TOLD);
    told.map(|line| {
        assert_eq!(
            (&line["cause"], &line["instance"]),
            (&cause.into(), &"one".into())
        );
        line["count"].as_u64().expect("a count")
    })
    .sum()
}

/// Guards against a torn line in the middle of the log, and against lines that are lost without a word.
#[test]
fn after_a_full_disk_the_line_that_was_cut_is_completed_and_the_loss_is_told() {
    let out = Destination::default();
    let (log, guard) = logger(out.clone(), Level::new("info"), false, "one");
    let mut logged = 0;
    let mut log_line = |message: &str| {
        logged += 1;
        info!(log, "{message}");
    };
    for left in [0, 1, 20] {
        out.set(State::Full { left });
        for _ in 0..50 {
            log_line("while it is full");
        }
        std::thread::sleep(Duration::from_millis(100));
        out.set(State::Sound);
        let message = format!("after {left}");
        let began = Instant::now();
        while !out.text().contains(&message) {
            assert!(began.elapsed() < WAIT, "no line ever again");
            log_line(&message);
            std::thread::sleep(Duration::from_millis(200));
        }
    }
    log_line("last");
    let lines = out.lines_with("last");
    drop((log, guard));
    assert_eq!(
        written(&lines, "while it is full"),
        3,
        "one line was begun each time"
    );
    let all = lines.len() as u64 - written(&lines, TOLD);
    assert_eq!(all + told(&lines, "no-space"), logged);
}

/// Guards against lines that are lost in a full queue without a word.
#[test]
fn lines_beyond_the_queue_are_told_once_the_reader_goes_on() {
    const LOGGED: u64 = 10_000;
    const MESSAGE: &str = "while it is blocked";
    let out = Destination::default();
    let (log, guard) = logger(out.clone(), Level::new("info"), false, "one");
    out.set(State::Blocked);
    for _ in 0..LOGGED {
        info!(log, "{MESSAGE}");
    }
    out.set(State::Sound);
    let began = Instant::now();
    loop {
        let lines = out.lines_with(TOLD);
        let known = written(&lines, MESSAGE) + told(&lines, "queue-full");
        assert!(known <= LOGGED, "{known} of {LOGGED} lines");
        if known == LOGGED {
            break;
        }
        assert!(began.elapsed() < WAIT, "{known} of {LOGGED} lines");
        std::thread::sleep(Duration::from_millis(100));
    }
    drop((log, guard));
}

/// Guards against a process that does not end since nobody reads its log.
#[test]
fn the_end_does_not_wait_for_a_destination_that_takes_nothing() {
    let out = Destination::default();
    let (log, guard) = logger(out.clone(), Level::new("info"), false, "one");
    out.set(State::Blocked);
    info!(log, "a line");
    let began = Instant::now();
    drop((log, guard));
    assert!(began.elapsed() < SHUTDOWN_RESERVE, "{:?}", began.elapsed());
    out.set(State::Sound);
}
