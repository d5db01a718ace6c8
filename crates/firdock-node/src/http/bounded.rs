//! A connection whose other side may write only so much that brings its reader nothing.
//!
//! The HTTP library reads and parses for as long as bytes arrive, also when they are part of nothing: the size of a
//! chunk that does not end, or one interim head after the other (see `docs/design/http.md`).

use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, ReadBuf, Take};
use tokio::task::yield_now;

/// Most bytes that a connection reads before other tasks run, after bytes that brought its reader something.
const MAX_BYTES_PER_WAKE: u64 = 32 << 10;

/// Bytes that a connection reads before other tasks run, at first and while they bring nothing.
///
/// The library parses what it finds hard to parse, like the size of a chunk, byte by byte.
const BYTES_PER_WAKE: u64 = 8 << 10;

/// Most bytes without a head, a part of a body or its end: more than the longest head that common proxies accept, and than
/// the connection reads ahead of the reader of a body.
const MAX_IDLE_BYTES: u64 = 128 << 10;

/// The other side wrote too much that is part of no message.
#[derive(Debug, Clone, Copy, Snafu, PartialEq, Eq)]
#[snafu(display("more than {MAX_IDLE_BYTES} bytes without a head, a part of a body or its end"))]
pub struct EndlessBytes;

/// Number of bytes that were read from a connection since they last brought its reader anything.
#[derive(Debug, Clone)]
pub(super) struct IdleBytes {
    read: Arc<AtomicU64>,
    limit: u64,
}

impl IdleBytes {
    /// Creates a counter for answers, whose connection fails with [`EndlessBytes`].
    pub(super) fn limited() -> Self {
        Self::new(MAX_IDLE_BYTES)
    }

    /// Creates a counter for requests, which have time limits of their own.
    pub(super) fn unlimited() -> Self {
        Self::new(u64::MAX)
    }

    fn new(limit: u64) -> Self {
        Self {
            read: Arc::default(),
            limit,
        }
    }

    /// Records that the bytes read so far brought a head or a part of a body. Returns how many there were.
    pub(super) fn reset(&self) -> u64 {
        self.read.swap(0, Ordering::Relaxed)
    }

    fn is_zero(&self) -> bool {
        self.read.load(Ordering::Relaxed) == 0
    }

    /// Adds bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails with [`EndlessBytes`] once there are too many.
    fn add(&self, read: u64) -> io::Result<()> {
        let before = self.read.fetch_add(read, Ordering::Relaxed);
        if before + read > self.limit {
            return Err(io::Error::new(io::ErrorKind::InvalidData, EndlessBytes));
        }
        Ok(())
    }
}

/// A stream that lets other tasks run while bytes keep arriving, and fails when too many of them bring nothing.
#[derive(Debug)]
pub(super) struct BoundedStream<S> {
    /// Limited to the rest of the bytes before other tasks run.
    stream: Take<S>,
    /// Bytes before other tasks run.
    allowed: u64,
    idle: IdleBytes,
}

impl<S: AsyncRead> BoundedStream<S> {
    pub(super) fn new(stream: S, idle: IdleBytes) -> Self {
        Self {
            stream: stream.take(BYTES_PER_WAKE),
            allowed: BYTES_PER_WAKE,
            idle,
        }
    }

    /// Allows further bytes: more than before if those brought something, since large reads cost less.
    fn allow(&mut self, brought_something: bool) {
        self.allowed = if brought_something {
            (self.allowed * 2).min(MAX_BYTES_PER_WAKE)
        } else {
            BYTES_PER_WAKE
        };
        self.stream.set_limit(self.allowed);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.stream.limit() == 0 {
            let brought_something = self.idle.is_zero();
            self.allow(brought_something);
            if !brought_something {
                return poll_after_others(cx);
            }
        }
        let left = self.stream.limit();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_pending() {
            let allowed = self.allowed;
            self.stream.set_limit(allowed);
        }
        ready!(polled)?;
        let read = left - self.stream.limit();
        Poll::Ready(self.idle.add(read))
    }
}

/// Has the current task polled again after others and after the sockets and timers that are due.
///
/// Waking the task directly would not do: the runtime looks at sockets only after many such tasks.
fn poll_after_others<T>(cx: &mut Context<'_>) -> Poll<T> {
    let yielding = pin!(yield_now());
    let _pending = yielding.poll(cx);
    Poll::Pending
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(cx)
    }
}
