//! Writes log lines to a destination that may fail, and tells what was lost.

use std::cell::RefCell;
use std::io::{self, Write};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{Drain as _, OwnedKVList, b, record};
use slog_async::AsyncRecord;
use slog_json::Json;

use super::losses::{Loss, QueueLosses, cause_of};

/// Pause before a destination that failed is tried again. Lines that come meanwhile are lost.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Writer of JSON lines.
///
/// A line that was begun is completed before another one, however long its destination fails; further lines are
/// lost meanwhile and counted, so that a failure holds no memory. The first line after it tells the loss.
pub(super) struct LineWriter<W> {
    json: Json<LineBuffer>,
    line: LineBuffer,
    /// Bytes of the line that are written.
    written: usize,
    failure: Option<Failure>,
    queue_losses: Arc<QueueLosses>,
    own_values: OwnedKVList,
    out: W,
}

/// A destination that fails.
struct Failure {
    loss: Loss,
    retry_at: Instant,
}

/// The bytes of one line, shared with the encoder.
#[derive(Clone, Default)]
struct LineBuffer(Rc<RefCell<Vec<u8>>>);

impl Write for LineBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.borrow_mut().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<W: Write> LineWriter<W> {
    /// Creates a writer; `own_values` are on the lines that it writes by itself.
    pub(super) fn new(out: W, queue_losses: Arc<QueueLosses>, own_values: OwnedKVList) -> Self {
        let line = LineBuffer::default();
        let json = Json::new(line.clone()).set_newlines(true);
        Self {
            json: json.add_default_keys().build(),
            line,
            written: 0,
            failure: None,
            queue_losses,
            own_values,
            out,
        }
    }

    /// Writes a record, or counts it as lost.
    pub(super) fn write(&mut self, record: AsyncRecord, now: Instant) {
        if let Some(failure) = &mut self.failure
            && now < failure.retry_at
        {
            failure.loss.add();
            return;
        }
        if !self.recover() {
            if let Some(failure) = &mut self.failure {
                failure.loss.add();
            }
            return;
        }
        if record.log_to(&self.json).is_err() {
            self.drop_unencoded(now);
            return;
        }
        self.write_line();
        if self.queue_losses.told_at().is_some_and(|at| at <= now) {
            self.tell_queue_losses(now);
        }
    }

    /// Returns when [`LineWriter::wake`] is to be called; `None` if there is nothing to do without a line.
    pub(super) fn next_wake(&self) -> Option<Instant> {
        let retry_at = self.failure.as_ref().map(|failure| failure.retry_at);
        retry_at.or_else(|| self.queue_losses.told_at())
    }

    /// Completes the line that was begun and tells all losses, as far as the destination takes it.
    pub(super) fn wake(&mut self, now: Instant) {
        if self.recover() {
            self.tell_queue_losses(now);
        }
    }

    /// Returns `true` if the destination takes lines. After a failure, this completes the line that was begun,
    /// and tells the loss.
    fn recover(&mut self) -> bool {
        if self.failure.is_none() {
            return true;
        }
        if !self.write_line() {
            return false;
        }
        // The write may have waited.
        let written_at = Instant::now();
        let loss = self.failure.take().map(|failure| failure.loss);
        loss.is_none_or(|loss| self.tell(loss, written_at))
    }

    fn tell_queue_losses(&mut self, now: Instant) {
        if self.failure.is_none()
            && let Some(loss) = self.queue_losses.take()
        {
            self.tell(loss, now);
        }
    }

    /// Writes a line that tells a loss. Returns `false` if the destination fails again.
    fn tell(&mut self, loss: Loss, now: Instant) -> bool {
        if loss.count == 0 {
            return true;
        }
        let millis = now.saturating_duration_since(loss.since).as_millis() as u64;
        let values = b!("count" => loss.count, "cause" => loss.cause, "millis" => millis);
        let message = format_args!("log lines lost");
        let told = record!(slog::Level::Warning, "", &message, values);
        if self.json.log(&told, &self.own_values).is_err() {
            self.drop_unencoded(now);
            return true;
        }
        self.write_line()
    }

    /// Drops a line that could not be encoded. It is counted only: a line on it could fail in the same way.
    fn drop_unencoded(&mut self, now: Instant) {
        self.line.0.borrow_mut().clear();
        Loss::new("not-encoded", now).add();
    }

    /// Writes what is left of the line. Returns `false` if the destination fails.
    fn write_line(&mut self) -> bool {
        let mut line = self.line.0.borrow_mut();
        while self.written < line.len() {
            let result = match self.out.write(&line[self.written..]) {
                Ok(0) => Err(io::ErrorKind::WriteZero.into()),
                result => result,
            };
            match result {
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    drop(line);
                    self.fail(&e, Instant::now());
                    return false;
                }
            }
        }
        line.clear();
        self.written = 0;
        true
    }

    /// Notes a failure of the destination, or that it goes on.
    fn fail(&mut self, error: &io::Error, now: Instant) {
        let retry_at = now + RETRY_PAUSE;
        let loss = Loss::new(cause_of(error), now);
        let failure = self.failure.get_or_insert(Failure { loss, retry_at });
        failure.retry_at = retry_at;
    }
}
