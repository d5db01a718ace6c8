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

/// Bytes that a connection reads before others have their turn, unless most of them are parts of a body.
///
/// The library parses what it finds hard to parse, like the size of a chunk, byte by byte. It doubles its read buffer of
/// 8 KiB, for good, whenever a read fills it.
const BYTES_PER_TURN: u64 = (8 << 10) - 1;

/// Most bytes that a connection reads before others have their turn, also if all of them are parts of a body.
const MAX_BYTES_PER_TURN: u64 = 512 << 10;

/// Most bytes that a connection may have earned by parts of a body, about as long as the library's longest read.
const MAX_EARNED_BYTES: u64 = 256 << 10;

/// Bytes that a read counts as at the least. One of a single byte costs as much, above all if a peer passes each byte on in
/// a message of its own.
const MIN_READ_BYTES: u64 = 16;

/// Most bytes without a head, a part of a body or its end: more than the longest head that common proxies accept, and than
/// the connection reads ahead of the reader of a body.
const MAX_IDLE_BYTES: u64 = 128 << 10;

/// The other side wrote too much that is part of no message.
#[derive(Debug, Clone, Copy, Snafu, PartialEq, Eq)]
#[snafu(display("more than {MAX_IDLE_BYTES} bytes without a head, a part of a body or its end"))]
pub struct EndlessBytes;

#[derive(Debug, Default)]
struct Counts {
    /// Bytes that were read since the last that brought anything.
    idle: AtomicU64,
    /// Bytes of bodies since the connection last looked.
    body: AtomicU64,
}

/// What the reader of a connection's messages has got of the bytes that were read.
#[derive(Debug, Clone)]
pub(super) struct IdleBytes {
    counts: Arc<Counts>,
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
            counts: Arc::default(),
            limit,
        }
    }

    /// Records that the bytes read so far brought a head or a part of a body. Returns how many there were.
    pub(super) fn reset(&self) -> u64 {
        self.counts.idle.swap(0, Ordering::Relaxed)
    }

    /// Records that the bytes read so far brought a part of a body of this length.
    pub(super) fn add_body(&self, bytes: usize) {
        self.counts.body.fetch_add(bytes as u64, Ordering::Relaxed);
        self.reset();
    }

    fn take_body(&self) -> u64 {
        self.counts.body.swap(0, Ordering::Relaxed)
    }

    /// Adds bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails with [`EndlessBytes`] once there are too many.
    fn add(&self, read: u64) -> io::Result<()> {
        let before = self.counts.idle.fetch_add(read, Ordering::Relaxed);
        if before + read > self.limit {
            return Err(io::Error::new(io::ErrorKind::InvalidData, EndlessBytes));
        }
        Ok(())
    }
}

/// A stream that lets other tasks run while bytes keep arriving, and fails when too many of them bring nothing.
///
/// Parts of a body earn a longer read than others may have: large reads cost less, and the other side has to send at least
/// half as much for them.
#[derive(Debug)]
pub(super) struct BoundedStream<S> {
    /// Limited to the rest of the allowed bytes.
    stream: Take<S>,
    /// Bytes that are allowed until it is looked what they brought.
    allowed: u64,
    /// Bytes of bodies among those read of the allowed ones.
    body: u64,
    /// Bytes read since others had their turn.
    turn: u64,
    idle: IdleBytes,
}

impl<S: AsyncRead> BoundedStream<S> {
    pub(super) fn new(stream: S, idle: IdleBytes) -> Self {
        Self {
            stream: stream.take(BYTES_PER_TURN),
            allowed: BYTES_PER_TURN,
            body: 0,
            turn: 0,
            idle,
        }
    }

    fn allow(&mut self, bytes: u64) {
        self.allowed = bytes;
        self.body = 0;
        self.stream.set_limit(bytes);
    }

    /// Whether the allowed bytes are more than those that anyone may send. They do not count as idle ones.
    fn is_earned(&self) -> bool {
        self.allowed > BYTES_PER_TURN
    }

    /// Allows twice as many bytes as there were of a body, if these were at least half of those read.
    fn allow_earned(&mut self) {
        self.body += self.idle.take_body();
        let read = self.allowed - self.stream.limit();
        let earned = 2 * self.body;
        if earned > 0 && earned >= read {
            self.allow(earned.clamp(BYTES_PER_TURN, MAX_EARNED_BYTES));
        }
    }

    /// Counts a read of `read` bytes, of which `left` were allowed.
    ///
    /// # Errors
    ///
    /// Fails with [`EndlessBytes`] once too many have brought nothing.
    fn count(&mut self, read: u64, left: u64) -> io::Result<()> {
        if read == 0 {
            return Ok(());
        }
        let counted = read.max(MIN_READ_BYTES);
        self.stream.set_limit(left.saturating_sub(counted));
        self.turn += counted;
        if self.is_earned() {
            return Ok(());
        }
        self.idle.add(counted)
    }

    /// Whether others have their turn before more is read.
    fn ends_turn(&self) -> bool {
        self.stream.limit() == 0 || self.turn >= MAX_BYTES_PER_TURN
    }

    /// Begins anew after others had their turn.
    fn begin_turn(&mut self) {
        self.turn = 0;
        if self.stream.limit() == 0 || !self.is_earned() {
            self.allow(BYTES_PER_TURN);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.allow_earned();
        if self.ends_turn() {
            self.begin_turn();
            return poll_after_others(cx);
        }
        let left = self.stream.limit();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_pending() {
            self.begin_turn();
        }
        ready!(polled)?;
        let read = left - self.stream.limit();
        Poll::Ready(self.count(read, left))
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
