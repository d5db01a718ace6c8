//! The instance's end of a tunnel, and the peer's loop that passes bytes on.
//!
//! The operating system closes the sockets of a process that dies as if it had closed them itself, so a
//! close of the peer's connection says nothing about the endpoint's. The end of the endpoint's bytes is a
//! message of its own (`docs/design/routes.md`).

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf as _, Bytes};
use firdock_core::InstanceId;
use firdock_wire::message::{TunnelData, TunnelEnd};
use firdock_wire::{Body, FrameCodec, WireError};
use futures_util::{SinkExt as _, StreamExt as _};
use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, ReadBuf, copy};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, FramedWrite};

use crate::http::set_dead_peer_timeouts;

/// Maximum number of the endpoint's bytes in a message.
const MAX_DATA_BYTES: usize = 16 << 10;
/// Maximum size of a message of a tunnel: the endpoint's bytes, or the name and the address of an endpoint.
pub(super) const MAX_TUNNEL_FRAME_BYTES: usize = MAX_DATA_BYTES + (1 << 10);

/// The peer's connection ended before the peer reported the end of the endpoint's bytes.
#[derive(Debug, Snafu)]
#[snafu(display("peer {peer} broke the tunnel off: {reason}"))]
pub struct TunnelBroken {
    peer: InstanceId,
    reason: String,
}

impl From<TunnelBroken> for io::Error {
    fn from(broken: TunnelBroken) -> Self {
        Self::new(ErrorKind::ConnectionAborted, broken)
    }
}

/// A connection to an endpoint through a peer.
#[derive(Debug)]
pub struct TunnelStream {
    peer: InstanceId,
    framed: Framed<TcpStream, FrameCodec>,
    /// Bytes that were received and not read yet.
    received: Bytes,
    /// How the endpoint's connection ended, once the peer has reported it.
    end: Option<TunnelEnd>,
}

impl TunnelStream {
    pub(super) fn new(peer: InstanceId, framed: Framed<TcpStream, FrameCodec>) -> Self {
        Self {
            peer,
            framed,
            received: Bytes::new(),
            end: None,
        }
    }

    fn socket(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(self.get_mut().framed.get_mut())
    }

    fn receive(&mut self, message: Option<Result<Body, WireError>>) -> Result<(), TunnelBroken> {
        let reason = match message {
            // An endpoint's connection brings at least one byte, or its end.
            Some(Ok(Body::TunnelData(data))) if data.data.is_empty() => "empty message".to_owned(),
            Some(Ok(Body::TunnelData(data))) => {
                self.received = data.data.into();
                return Ok(());
            }
            Some(Ok(Body::TunnelEnd(end))) => {
                self.end = Some(end);
                return Ok(());
            }
            Some(Ok(_)) => "unexpected message".to_owned(),
            Some(Err(e)) => snafu::Report::from_error(e).to_string(),
            None => "closed without an end".to_owned(),
        };
        let peer = &self.peer;
        TunnelBrokenSnafu { peer, reason }.fail()
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.received.is_empty() {
            match self.end {
                Some(TunnelEnd { reset: true }) => {
                    return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
                }
                Some(TunnelEnd { reset: false }) => return Poll::Ready(Ok(())),
                None => {}
            }
            let message = ready!(self.framed.poll_next_unpin(cx));
            self.receive(message)?;
        }
        let length = self.received.len().min(buf.remaining());
        buf.put_slice(&self.received[..length]);
        self.received.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.socket().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.socket().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.framed.get_ref().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_shutdown(cx)
    }
}

/// Passes bytes on in both directions until one side ends.
///
/// The end of the instance's side closes the endpoint's at once, which cancels its request. The end of the
/// endpoint's side is reported to the instance.
pub(super) async fn pass_bytes(mut instance: TcpStream, mut endpoint: TcpStream) {
    let _ = set_dead_peer_timeouts(&instance);
    let (mut from_instance, to_instance) = instance.split();
    let (from_endpoint, mut to_endpoint) = endpoint.split();
    tokio::select! {
        // An error means that the instance is gone, which ends the tunnel as well.
        _ = pass_answer(from_endpoint, to_instance) => {}
        _ = copy(&mut from_instance, &mut to_endpoint) => {}
    }
}

async fn pass_answer<R, W>(mut endpoint: R, instance: W) -> Result<(), WireError>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut messages = FramedWrite::new(instance, FrameCodec::new(MAX_TUNNEL_FRAME_BYTES));
    let mut buffer = vec![0; MAX_DATA_BYTES];
    let reset = loop {
        match endpoint.read(&mut buffer).await {
            Ok(0) => break false,
            Ok(length) => {
                let data = buffer[..length].to_vec();
                messages.send(Body::TunnelData(TunnelData { data })).await?;
            }
            Err(_) => break true,
        }
    };
    messages.send(Body::TunnelEnd(TunnelEnd { reset })).await?;
    Ok(messages.into_inner().shutdown().await?)
}
