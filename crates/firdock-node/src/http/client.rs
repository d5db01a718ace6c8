//! Client calls whose errors distinguish "never sent" from "may have been received".
//!
//! Each dispatch uses its own connection: with a pooled one, a reset could mean either. Connecting on the local
//! network costs one round trip; `docs/design/http.md` discusses this cost.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use firdock_policy::event::ConnectFailure;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt as _, Snafu};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::answer_bytes::{FollowedStream, SharedAnswerBytes};
use super::bounded::{BoundedStream, IdleBytes};
use super::dead_peer::set_dead_peer_timeouts;
use super::framing::{Framing, InvalidHead};
use super::response::ResponseBody;

/// Error of a call.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum CallError {
    /// Connecting failed, so nothing was sent.
    #[snafu(display("connect to {address}"))]
    Connect {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// Connecting timed out, so nothing was sent.
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
    /// The head of the response is invalid; the request may have been received.
    #[snafu(display("invalid response"))]
    Head {
        /// Cause.
        source: InvalidHead,
    },
    /// No response arrived in time; the request may have been received.
    #[snafu(display("no response in time"))]
    AnswerTime,
}

impl CallError {
    /// Returns why no connection was established, if that is what failed.
    #[must_use]
    pub fn connect_failure(&self) -> Option<ConnectFailure> {
        match self {
            Self::Connect { source, .. } => Some(match source.kind() {
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => {
                    ConnectFailure::Refused
                }
                ErrorKind::TimedOut => ConnectFailure::TimedOut,
                _ => ConnectFailure::Failed,
            }),
            Self::ConnectTime { .. } => Some(ConnectFailure::TimedOut),
            Self::Http { .. } | Self::Head { .. } | Self::AnswerTime => None,
        }
    }

    /// Returns whether the address refused the connection: nothing listens there.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == ErrorKind::ConnectionRefused)
    }

    /// Returns whether the connection was reset while it was established.
    #[must_use]
    pub fn is_reset(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == ErrorKind::ConnectionReset)
    }

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
    idle: IdleBytes,
    bytes: SharedAnswerBytes,
    driver: AbortHandle,
}

impl Drop for Connection {
    /// Closes the connection, so that the server sees at once that the response is no longer awaited.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Way by which connections are established.
pub trait Connector: Clone + Send + Sync + 'static {
    /// Establishes a connection.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<TcpStream>> + Send;
}

/// Connects over the instance's own links.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        TcpStream::connect(address).await
    }
}

/// Opens a connection over the instance's own links.
///
/// # Errors
///
/// Fails if no connection is established within `limit`; nothing was sent then.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Connection, CallError> {
    let stream = connect_stream(&TcpConnector, address, limit).await?;
    Connection::open(stream).await
}

/// Establishes a connection that notices the loss of its other side.
///
/// # Errors
///
/// Fails if no connection is established within `limit`; nothing was sent then.
pub async fn connect_stream<C: Connector>(
    connector: &C,
    address: SocketAddr,
    limit: Duration,
) -> Result<TcpStream, CallError> {
    let stream = match timeout(limit, connector.connect(address)).await {
        Ok(stream) => stream.context(ConnectSnafu { address })?,
        Err(_) => return ConnectTimeSnafu { address }.fail(),
    };
    let _ = stream.set_nodelay(true);
    set_dead_peer_timeouts(&stream).context(ConnectSnafu { address })?;
    Ok(stream)
}

impl Connection {
    /// Opens an HTTP connection over an established one.
    ///
    /// # Errors
    ///
    /// Fails if the handshake fails; nothing was sent then.
    pub async fn open<S>(stream: S) -> Result<Self, CallError>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let idle = IdleBytes::limited();
        let bytes = SharedAnswerBytes::default();
        let stream = FollowedStream::new(stream, bytes.clone());
        let stream = BoundedStream::new(stream, idle.clone());
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .context(HttpSnafu)?;
        let driver = tokio::spawn(connection).abort_handle();
        Ok(Self {
            sender,
            idle,
            bytes,
            driver,
        })
    }

    /// Returns whether the connection is known to be closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, the other side writes too much that is part of no head, or none arrives within
    /// `limit`, or if it does not say where the response ends; the request may have been received then.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<ResponseBody>, CallError> {
        let method = request.method().clone();
        self.bytes.lock().begin(&method);
        self.idle.reset();
        let answer = match timeout(limit, self.sender.send_request(request)).await {
            Ok(answer) => answer.context(HttpSnafu)?,
            Err(_) => return AnswerTimeSnafu.fail(),
        };
        self.idle.reset();
        let framing = Framing::read(&method, answer.status(), answer.version(), answer.headers());
        let framing = framing.context(HeadSnafu)?;
        let (idle, bytes) = (self.idle.clone(), self.bytes.clone());
        Ok(answer.map(|body| ResponseBody::new(body, framing, idle, bytes)))
    }
}
