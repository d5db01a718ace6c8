//! Connections to endpoints by way of a peer.
//!
//! The peer only passes bytes on: the request remains with the instance that has it, and with it its
//! deadline, its account and its place in the queue (`docs/design/routes.md`). The peer connects over
//! its own link and nowhere else, so that a connection never goes through two of them.

mod stream;

use std::sync::Arc;
use std::time::Duration;

use firdock_core::{InstanceId, RequestId};
use firdock_wire::Body;
use firdock_wire::message::{Tunnel, TunnelOpened, TunnelRefused};
use slog::{Logger, info, warn};
use snafu::Snafu;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;
use uuid::Uuid;

pub use self::stream::{TunnelBroken, TunnelStream};

use self::stream::{MAX_TUNNEL_FRAME_BYTES, pass_bytes};
use super::directory::PeerDirectory;
use super::link::{Link, LinkError};
use super::serve::accept_peers;
use crate::clock::Clock;
use crate::endpoint::Target;
use crate::http::{Acceptor, Connector, connect_stream};
use crate::site::Site;
use crate::telemetry::{LogKind, LogLimiter};

/// Time limit for a peer to connect to the endpoint. Within a region this takes some milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for opening a tunnel, with the connection to the peer.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of connections that an instance passes on, each of which takes two descriptors.
const MAX_TUNNELS: u32 = 512;

/// Why no tunnel was opened.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum TunnelError {
    /// The peer did not pass the connection on.
    #[snafu(display("peer {peer} passes no connection on"))]
    Peer {
        /// Peer.
        peer: InstanceId,
    },
    /// The peer did not reach the endpoint either.
    #[snafu(display("peer {peer} does not reach the endpoint"))]
    Unreachable {
        /// Peer.
        peer: InstanceId,
        /// Whether the endpoint's address refused the peer's connection.
        refused: bool,
    },
}

/// Opens tunnels through peers.
#[derive(Debug, Clone)]
pub struct TunnelClient {
    name: InstanceId,
    key: Arc<[u8]>,
    directory: Arc<PeerDirectory>,
}

impl TunnelClient {
    /// Creates a client of the instance `name`.
    #[must_use]
    pub fn new(name: InstanceId, key: Arc<[u8]>, directory: Arc<PeerDirectory>) -> Self {
        Self {
            name,
            key,
            directory,
        }
    }

    /// Opens a connection to an endpoint through a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not pass the connection on.
    pub async fn open(
        &self,
        peer: &InstanceId,
        target: &Target,
        id: RequestId,
    ) -> Result<TunnelStream, TunnelError> {
        let opened = timeout(OPEN_TIMEOUT, self.request(peer, target, id)).await;
        match opened {
            Ok(Ok(Ok(stream))) => Ok(stream),
            Ok(Ok(Err(answer))) if answer.unreachable => {
                let refused = answer.refused;
                UnreachableSnafu { peer, refused }.fail()
            }
            Ok(Ok(Err(_)) | Err(_)) | Err(_) => PeerSnafu { peer }.fail(),
        }
    }

    /// Asks a peer for a tunnel, which it may refuse.
    async fn request(
        &self,
        peer: &InstanceId,
        target: &Target,
        id: RequestId,
    ) -> Result<Result<TunnelStream, TunnelRefused>, LinkError> {
        let Some(at) = self.directory.address(peer) else {
            return Err(LinkError::Closed);
        };
        let link = Link::dial(at, &self.name, peer, &self.key).await?;
        let mut link = link.with_max_frame(MAX_TUNNEL_FRAME_BYTES);
        link.send(Body::Tunnel(Tunnel {
            endpoint: target.name.clone(),
            address: target.address.to_string(),
            request_id: id.as_bytes().to_vec(),
        }))
        .await?;
        match link.receive().await? {
            Some(Body::TunnelOpened(_)) => {
                Ok(Ok(TunnelStream::new(peer.clone(), link.into_framed())))
            }
            Some(Body::TunnelRefused(refused)) => Ok(Err(refused)),
            Some(_) => Err(LinkError::Rejected {
                reason: "unexpected message",
            }),
            None => Err(LinkError::Closed),
        }
    }
}

/// Passes connections of peers on to endpoints.
#[derive(Debug, Clone)]
pub struct TunnelServer<C> {
    /// Name of this instance.
    pub name: InstanceId,
    /// Key shared by all instances.
    pub key: Arc<[u8]>,
    /// Endpoints to which connections are passed on.
    pub site: Arc<Site>,
    /// This instance's own links.
    pub connector: C,
    /// Clock.
    pub clock: Clock,
    /// Logger.
    pub log: Logger,
    /// Rate limit of log lines.
    pub log_limiter: Arc<LogLimiter>,
    /// Tunnels that are open.
    pub open: OpenTunnels,
}

/// The tunnels that an instance passes bytes on for.
#[derive(Debug, Clone)]
pub struct OpenTunnels(Arc<Semaphore>);

impl Default for OpenTunnels {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_TUNNELS as usize)))
    }
}

impl OpenTunnels {
    /// Waits until none is open.
    pub async fn wait_until_closed(&self) {
        // An error means that the semaphore was closed, which nothing does.
        let _ = self.0.acquire_many(MAX_TUNNELS).await;
    }
}

impl<C: Connector> TunnelServer<C> {
    /// Serves peers until `stop` turns true. Tunnels that are open go on until they end.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let acceptor = Acceptor::new(listener).with_log(&self.log, "instance.peers", self.clock);
        accept_peers(&acceptor, &self.open.0, stop, |stream| {
            let server = self.clone();
            async move {
                if let Err(e) = server.serve(stream).await {
                    server.log_failure(&e);
                }
            }
        })
        .await;
    }

    async fn serve(&self, stream: TcpStream) -> Result<(), LinkError> {
        let link = Link::accept(stream, &self.name, &self.key, |_| true).await?;
        let mut link = link.with_max_frame(MAX_TUNNEL_FRAME_BYTES);
        let first = timeout(OPEN_TIMEOUT, link.receive()).await;
        let Some(Body::Tunnel(tunnel)) = first.unwrap_or(Err(LinkError::TimedOut))? else {
            return Err(LinkError::Rejected {
                reason: "unexpected message",
            });
        };
        let endpoint = match self.connect(&tunnel).await {
            Ok(endpoint) => endpoint,
            Err(refused) => return link.send(Body::TunnelRefused(refused)).await,
        };
        link.send(Body::TunnelOpened(TunnelOpened {})).await?;
        self.log_opened(&link.peer, &tunnel);
        pass_bytes(link.into_stream()?, endpoint).await;
        Ok(())
    }

    /// Connects to the endpoint of a tunnel.
    ///
    /// # Errors
    ///
    /// Returns what the peer is told: whether the endpoint could not be reached, and whether its address refused the
    /// connection. Neither is set if this instance does not know the endpoint at that address.
    async fn connect(&self, tunnel: &Tunnel) -> Result<TcpStream, TunnelRefused> {
        let location = self.site.view().location(&tunnel.endpoint);
        let address = location
            .map(|location| location.address)
            .filter(|address| address.to_string() == tunnel.address)
            .ok_or(TunnelRefused::default())?;
        let connected = connect_stream(&self.connector, address, CONNECT_TIMEOUT).await;
        connected.map_err(|e| TunnelRefused {
            unreachable: true,
            refused: e.is_refused(),
        })
    }

    fn log_opened(&self, peer: &str, tunnel: &Tunnel) {
        if self
            .log_limiter
            .allow(&self.log, self.clock.now(), LogKind::Tunnel)
        {
            let id = Uuid::from_slice(&tunnel.request_id).unwrap_or_default();
            info!(self.log, "connection passed on"; "request_id" => id.to_string(),
                "peer" => peer, "endpoint" => &tunnel.endpoint);
        }
    }

    fn log_failure(&self, error: &LinkError) {
        if self
            .log_limiter
            .allow(&self.log, self.clock.now(), LogKind::Tunnel)
        {
            warn!(self.log, "could not pass a connection on"; "error" => error.to_string());
        }
    }
}
