//! A caller's connection, and a handle to control it from outside the task that serves it.
//!
//! While a caller does not read, that task is blocked on writing and can react to nothing else (see
//! `docs/design/slow-readers.md`).

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use firdock_policy::buffers::CALLER_STALL;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::dead_peer::DEAD_PEER_TIMEOUT;
use super::socket_buffers::ConnectionBuffers;

#[derive(Debug, Default)]
struct Inner {
    closing: AtomicBool,
    stall_tolerant: AtomicBool,
    unframed: AtomicBool,
    changed: Notify,
}

/// Handle to a caller's connection.
#[derive(Debug, Clone, Default)]
pub struct CallerHandle(Arc<Inner>);

impl CallerHandle {
    /// Closes the connection.
    pub fn close(&self) {
        self.0.closing.store(true, Ordering::Relaxed);
        self.0.changed.notify_one();
    }

    /// Sets whether a caller that reads nothing is waited for longer than a lost one.
    ///
    /// To the operating system's timeout, a caller with a full receive window looks like a lost one. Waiting
    /// for it is enabled once the endpoint has finished, since it costs only buffer space then.
    pub fn set_stall_tolerant(&self, tolerant: bool) {
        if self.0.stall_tolerant.swap(tolerant, Ordering::Relaxed) != tolerant {
            self.0.changed.notify_one();
        }
    }

    /// Records that the current answer has neither a length nor chunks, so that the close of the connection
    /// delimits it: the connection has to be reset unless the answer is complete.
    ///
    /// The operating system sends the reset, whatever ends the connection or the process. Without it, a
    /// truncated answer would end with an orderly close, like a complete one.
    pub fn set_unframed(&self) {
        self.0.unframed.store(true, Ordering::Relaxed);
    }

    /// Waits until the connection is to be closed or the tolerance of stalls changes.
    pub(super) async fn changed(&self) {
        self.0.changed.notified().await;
    }

    pub(super) fn is_closing(&self) -> bool {
        self.0.closing.load(Ordering::Relaxed)
    }

    fn is_stall_tolerant(&self) -> bool {
        self.0.stall_tolerant.load(Ordering::Relaxed)
    }

    fn is_unframed(&self) -> bool {
        self.0.unframed.load(Ordering::Relaxed)
    }
}

/// Whether the kernel takes what is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sending {
    Free,
    /// It takes no more until the caller reads.
    Blocked,
    /// The same, and a read waits for it.
    BlocksRead,
}

/// A caller's connection, whose socket options are set according to its handle.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    handle: CallerHandle,
    buffers: ConnectionBuffers,
    sending: Sending,
    stall_tolerant: bool,
    /// Whether dropping the connection without a shutdown resets it.
    resets: bool,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, handle: CallerHandle, buffers: ConnectionBuffers) -> Self {
        Self {
            stream,
            handle,
            buffers,
            sending: Sending::Free,
            stall_tolerant: false,
            resets: false,
        }
    }

    /// Updates the socket options if the handle has changed.
    fn update_options(&mut self) -> io::Result<()> {
        if self.handle.is_unframed() && !self.resets {
            self.resets = true;
            SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
        }
        let tolerant = self.handle.is_stall_tolerant();
        if tolerant == self.stall_tolerant {
            return Ok(());
        }
        self.stall_tolerant = tolerant;
        let limit = if tolerant {
            CALLER_STALL
        } else {
            DEAD_PEER_TIMEOUT
        };
        SockRef::from(&self.stream).set_tcp_user_timeout(Some(limit))
    }

    /// Records the result of a write, and lets a read go on that waited for it.
    fn count_written(
        &mut self,
        cx: &Context<'_>,
        polled: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = polled {
            self.buffers.written(&self.stream, bytes);
        }
        self.sending = match (polled.is_pending(), self.sending) {
            (true, Sending::Free) => Sending::Blocked,
            (true, blocked) => blocked,
            (false, Sending::BlocksRead) => {
                cx.waker().wake_by_ref();
                Sending::Free
            }
            (false, _) => Sending::Free,
        };
        polled
    }
}

impl AsyncRead for CallerStream {
    /// Reads nothing while answers wait to be sent: a caller that sends requests and reads no answer would have both
    /// pile up. One that leaves meanwhile has unread bytes, so that its connection is reset, which ends the write.
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.sending != Sending::Free {
            self.sending = Sending::BlocksRead;
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let this = &mut *self;
        this.buffers.read(
            &this.stream,
            buf.filled().len() - before,
            buf.remaining() > 0,
        );
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_options()?;
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_written(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_options()?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_written(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Closes the connection orderly; only complete answers get here.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if std::mem::replace(&mut self.resets, false) {
            self.handle.0.unframed.store(false, Ordering::Relaxed);
            SockRef::from(&self.stream).set_linger(None)?;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
