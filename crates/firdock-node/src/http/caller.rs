//! A caller's connection, and a handle on it for who knows more of the answer than the task that
//! serves it.
//!
//! While a caller does not read, that task waits for it and notices nothing else
//! (see `docs/design/slow-readers.md`).

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

#[derive(Debug, Default)]
struct Inner {
    closing: AtomicBool,
    patient: AtomicBool,
    unframed: AtomicBool,
    woken: Notify,
}

/// Handle on a caller's connection.
#[derive(Debug, Clone, Default)]
pub struct CallerHandle(Arc<Inner>);

impl CallerHandle {
    /// Closes the connection.
    pub fn close(&self) {
        self.0.closing.store(true, Ordering::Relaxed);
        self.0.woken.notify_one();
    }

    /// Sets whether a caller that takes nothing is waited for longer than a lost one would be.
    ///
    /// A caller whose window is full looks like a lost one to the operating system's time limit. It is
    /// waited for once the endpoint is done, when that costs bytes alone.
    pub fn set_stall_tolerant(&self, patient: bool) {
        if self.0.patient.swap(patient, Ordering::Relaxed) != patient {
            self.0.woken.notify_one();
        }
    }

    /// Records that the answer under way has neither a length nor chunks, so that its end is the
    /// connection's: any end but the proper one has to be a reset.
    ///
    /// The operating system sees to that, whatever ends the connection or the process; without it an
    /// answer that breaks off would end with an ordinary close, like a whole one.
    pub fn set_unframed(&self) {
        self.0.unframed.store(true, Ordering::Relaxed);
    }

    /// Waits until the connection is to be closed or its patience is set.
    pub(super) async fn woken(&self) {
        self.0.woken.notified().await;
    }

    pub(super) fn is_closing(&self) -> bool {
        self.0.closing.load(Ordering::Relaxed)
    }

    fn is_patient(&self) -> bool {
        self.0.patient.load(Ordering::Relaxed)
    }

    fn is_unframed(&self) -> bool {
        self.0.unframed.load(Ordering::Relaxed)
    }
}

/// A caller's connection, whose options follow its handle.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    handle: CallerHandle,
    patient: bool,
    /// Whether an end without a shutdown resets the connection.
    resets: bool,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, handle: CallerHandle) -> Self {
        Self {
            stream,
            handle,
            patient: false,
            resets: false,
        }
    }

    /// Sets options anew where the handle was changed.
    fn follow(&mut self) -> io::Result<()> {
        if self.handle.is_unframed() && !self.resets {
            self.resets = true;
            SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
        }
        let patient = self.handle.is_patient();
        if patient == self.patient {
            return Ok(());
        }
        self.patient = patient;
        let limit = if patient {
            CALLER_STALL
        } else {
            DEAD_PEER_TIMEOUT
        };
        SockRef::from(&self.stream).set_tcp_user_timeout(Some(limit))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.follow()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.follow()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Closes the connection in order, which only a whole answer comes to.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if std::mem::replace(&mut self.resets, false) {
            self.handle.0.unframed.store(false, Ordering::Relaxed);
            SockRef::from(&self.stream).set_linger(None)?;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
