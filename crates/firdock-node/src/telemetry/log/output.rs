//! Standard output and standard error, without a buffer and without waiting for a reader for good.

use std::error::Error;
use std::io::{self, Write};
use std::os::fd::{AsFd, BorrowedFd};
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, poll};
use rustix::io::Errno;
use rustix::time::Timespec;
use snafu::Report;

/// Time for which a write waits for room in a destination that would block.
const WRITABLE_WAIT: Duration = Duration::from_secs(1);
/// Time for which a part of a message waits for room in standard error.
const ERROR_WAIT: Duration = Duration::from_millis(100);
/// Bytes that a pipe with room takes at once, as POSIX has it.
const PIPE_BYTES: usize = 512;

/// Standard output of the process, as the destination of log lines.
///
/// What a write did not take stays with the caller, and not in a buffer whose state after an error nobody knows.
#[derive(Debug)]
pub struct StandardOutput(io::Stdout);

impl StandardOutput {
    /// Creates a writer.
    #[must_use]
    pub fn new() -> Self {
        Self(io::stdout())
    }
}

impl Default for StandardOutput {
    fn default() -> Self {
        Self::new()
    }
}

impl Write for StandardOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let out = self.0.as_fd();
        match rustix::io::write(out, buf) {
            // Whoever made the pipe may have set it to non-blocking.
            Err(Errno::AGAIN) if wait_writable(out, WRITABLE_WAIT)? => {
                Ok(rustix::io::write(out, buf)?)
            }
            written => Ok(written?),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a message to standard error, as far as it is taken without a reader that stands still.
///
/// # Errors
///
/// Fails with the error of the write, or with `TimedOut` if there is no room.
pub fn write_error(message: &[u8]) -> io::Result<()> {
    let stderr = io::stderr();
    let out = stderr.as_fd();
    for part in message.chunks(PIPE_BYTES) {
        if !wait_writable(out, ERROR_WAIT)? {
            return Err(io::ErrorKind::TimedOut.into());
        }
        // A pipe with room takes such a part as a whole.
        rustix::io::write(out, part)?;
    }
    Ok(())
}

/// Writes an error with its causes to standard error before the process ends with an exit code, which tells it as well and
/// waits for no reader.
pub fn write_failure(error: impl Error) {
    let text = format!("{}\n", Report::from_error(error));
    let _ = write_error(text.as_bytes());
}

/// Waits until a descriptor can be written, or has an error that a write tells. Returns `false` if it cannot.
fn wait_writable(out: BorrowedFd<'_>, longest: Duration) -> io::Result<bool> {
    let mut polled = [PollFd::new(&out, PollFlags::OUT)];
    let longest = Timespec::try_from(longest).map_err(io::Error::other)?;
    Ok(poll(&mut polled, Some(&longest))? > 0)
}
