//! Queue of records between the threads that log and the one that writes.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender, channel, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use slog::{Drain, Never, OwnedKVList, Record};
use slog_async::AsyncRecord;

use super::losses::QueueLosses;
use super::output::write_error;
use super::writer::LineWriter;

/// Number of records that wait; further ones are lost and counted.
const CAPACITY: usize = 8_192;
/// Name of the thread that writes.
const THREAD_NAME: &str = "log";

/// What the thread that writes receives.
enum Message {
    Record(AsyncRecord),
    /// Write whatever can be written, and answer.
    Flush(SyncSender<()>),
}

/// Sender of records. It never waits.
pub(super) struct RecordQueue {
    messages: Sender<Message>,
    waiting: Arc<AtomicUsize>,
    losses: Arc<QueueLosses>,
}

/// Waits until the records logged before are written.
#[derive(Debug, Clone)]
pub(in crate::telemetry) struct Flusher(Sender<Message>);

impl Drain for RecordQueue {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        // The channel itself has no limit, so that a flush always finds room.
        if self.waiting.fetch_add(1, Ordering::Relaxed) < CAPACITY {
            let record = AsyncRecord::from(record, values);
            if self.messages.send(Message::Record(record)).is_ok() {
                return Ok(());
            }
        }
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        self.losses.add(Instant::now());
        Ok(())
    }
}

impl Flusher {
    /// Waits for `longest` at most. Returns `false` if something may not be written.
    pub(in crate::telemetry) fn flush(&self, longest: Duration) -> bool {
        let (done, flushed) = sync_channel(1);
        self.0.send(Message::Flush(done)).is_ok() && flushed.recv_timeout(longest).is_ok()
    }
}

/// Starts the thread that writes to `out`. `own_values` are on the lines on losses.
///
/// If the system grants no thread, all records are lost and counted.
pub(super) fn start<W>(out: W, own_values: OwnedKVList) -> (RecordQueue, Flusher)
where
    W: Write + Send + 'static,
{
    let (messages, received) = channel();
    let queue = RecordQueue {
        messages: messages.clone(),
        waiting: Arc::default(),
        losses: Arc::default(),
    };
    let (waiting, losses) = (Arc::clone(&queue.waiting), Arc::clone(&queue.losses));
    let thread = thread::Builder::new().name(THREAD_NAME.to_owned());
    let started = thread.spawn(move || {
        write_all(
            LineWriter::new(out, losses, own_values),
            &received,
            &waiting,
        );
    });
    if let Err(e) = started {
        let message = format!("no thread for the log, which stays empty: {e}\n");
        // Without a place to tell it, the counter of lost lines does.
        let _ = write_error(message.as_bytes());
    }
    (queue, Flusher(messages))
}

/// Writes records until nobody can log any more.
fn write_all<W: Write>(
    mut writer: LineWriter<W>,
    messages: &Receiver<Message>,
    waiting: &AtomicUsize,
) {
    loop {
        match next(messages, writer.next_wake()) {
            Ok(Message::Record(record)) => {
                writer.write(record, Instant::now());
                waiting.fetch_sub(1, Ordering::Relaxed);
            }
            Ok(Message::Flush(done)) => {
                writer.wake(Instant::now());
                // Whoever asked may have stopped waiting.
                let _ = done.try_send(());
            }
            Err(RecvTimeoutError::Timeout) => writer.wake(Instant::now()),
            Err(RecvTimeoutError::Disconnected) => {
                writer.wake(Instant::now());
                return;
            }
        }
    }
}

/// Waits for a message, until `wake` if that is set.
fn next(messages: &Receiver<Message>, wake: Option<Instant>) -> Result<Message, RecvTimeoutError> {
    match wake {
        Some(wake) => messages.recv_timeout(wake.saturating_duration_since(Instant::now())),
        None => messages.recv().map_err(RecvTimeoutError::from),
    }
}
