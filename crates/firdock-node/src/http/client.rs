//! Client calls that tell "never sent" from "may have been received".
//!
//! Each dispatch uses a connection of its own: with a pooled one, a reset could mean either. A
//! connect on the local network costs one round trip, which `docs/design/http.md` weighs.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt as _, Snafu};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::dead_peer::set_dead_peer_timeouts;

/// Why a call failed.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum CallError {
    /// No connection came about, so nothing was sent.
    #[snafu(display("connect to {address}"))]
    Connect {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// No connection came about in time, so nothing was sent.
    #[snafu(display("connect to {address} took too long"))]
    ConnectTime {
        /// Address.
        address: SocketAddr,
    },
    /// The connection failed after the request may have been sent.
    #[snafu(display("call failed"))]
    Http {
        /// Cause.
        source: hyper::Error,
    },
    /// No answer came in time; the request may have been received.
    #[snafu(display("no answer in time"))]
    AnswerTime,
}

impl CallError {
    /// Returns whether the request was certainly never sent.
    #[must_use]
    pub fn never_sent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::ConnectTime { .. })
    }
}

/// One client connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    pump: AbortHandle,
}

impl Drop for Connection {
    /// Closes the connection, so that the other side sees at once that nobody listens.
    fn drop(&mut self) {
        self.pump.abort();
    }
}

/// Opens a connection.
///
/// # Errors
///
/// Fails if no connection comes about within `limit`; nothing was sent then.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Connection, CallError> {
    let connecting = timeout(limit, TcpStream::connect(address)).await;
    let stream = match connecting {
        Ok(stream) => stream.context(ConnectSnafu { address })?,
        Err(_) => return ConnectTimeSnafu { address }.fail(),
    };
    let _ = stream.set_nodelay(true);
    set_dead_peer_timeouts(&stream).context(ConnectSnafu { address })?;
    let (sender, pump) = http1::handshake(TokioIo::new(stream))
        .await
        .context(HttpSnafu)?;
    let pump = tokio::spawn(pump).abort_handle();
    Ok(Connection { sender, pump })
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or no head comes within `limit`; the request may have been
    /// received then.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        match timeout(limit, self.sender.send_request(request)).await {
            Ok(answer) => answer.context(HttpSnafu),
            Err(_) => AnswerTimeSnafu.fail(),
        }
    }
}
