//! Mutually authenticated connections between two instances that share the key.

use std::net::SocketAddr;

use firdock_core::InstanceId;
use firdock_wire::auth::{self, NONCE_BYTES, Parties, Side};
use firdock_wire::message::{Hello, Proof, Welcome};
use firdock_wire::{Body, FrameCodec, PROTOCOL, WireError};
use futures_util::{SinkExt as _, StreamExt as _};
use rand::RngCore as _;
use snafu::{ResultExt as _, Snafu};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, FramedParts};

use super::{HANDSHAKE_TIME, MAX_FRAME_BYTES};

/// Maximum size of a frame before the peer is authenticated.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 1 << 10;

/// Why a link could not be established or failed.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum LinkError {
    /// The connection could not be established.
    #[snafu(display("could not connect to {address}"))]
    Connect {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The connection failed, or received data could not be decoded.
    #[snafu(display("connection failed"), context(false))]
    Wire {
        /// Cause.
        source: WireError,
    },
    /// The peer closed the connection.
    #[snafu(display("connection closed by the peer"))]
    Closed,
    /// The handshake or an expected message timed out.
    #[snafu(display("handshake or message timed out"))]
    TimedOut,
    /// The other side is no known peer, failed authentication, has a different protocol version, or
    /// sent an unexpected or malformed message.
    #[snafu(display("peer rejected: {reason}"))]
    Rejected {
        /// Reason.
        reason: &'static str,
    },
}

/// A link to an authenticated peer.
#[derive(Debug)]
pub struct Link {
    /// Authenticated name of the peer.
    pub peer: InstanceId,
    framed: Framed<TcpStream, FrameCodec>,
}

impl Link {
    /// Connects to a peer, with mutual authentication.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or authenticated; no request was sent to it then.
    pub async fn dial(
        address: SocketAddr,
        own_name: &str,
        peer: &str,
        key: &[u8],
    ) -> Result<Self, LinkError> {
        let connect = async {
            let stream = TcpStream::connect(address)
                .await
                .context(ConnectSnafu { address })?;
            handshake_as_dialer(stream, own_name, peer, key).await
        };
        timeout(HANDSHAKE_TIME, connect)
            .await
            .unwrap_or_else(|_| TimedOutSnafu.fail())
    }

    /// Accepts a connection, with mutual authentication.
    ///
    /// # Errors
    ///
    /// Fails if the other side cannot be authenticated or the handshake times out.
    pub async fn accept(
        stream: TcpStream,
        own_name: &str,
        key: &[u8],
        is_peer: impl Fn(&str) -> bool,
    ) -> Result<Self, LinkError> {
        let accepting = handshake_as_acceptor(stream, own_name, key, is_peer);
        timeout(HANDSHAKE_TIME, accepting)
            .await
            .unwrap_or_else(|_| TimedOutSnafu.fail())
    }

    /// Limits the size of further messages, in bytes, where none may be as long as a request.
    #[must_use]
    pub fn with_max_frame(mut self, bytes: usize) -> Self {
        self.framed.codec_mut().set_max_bytes(bytes);
        self
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn send(&mut self, body: Body) -> Result<(), LinkError> {
        Ok(self.framed.send(body).await?)
    }

    /// Receives a message; `None` if the peer closed the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the message cannot be decoded.
    pub async fn receive(&mut self) -> Result<Option<Body>, LinkError> {
        Ok(self.framed.next().await.transpose()?)
    }

    /// Returns the connection, for messages of one direction.
    #[must_use]
    pub fn into_framed(self) -> Framed<TcpStream, FrameCodec> {
        self.framed
    }

    /// Returns the connection, on which no more messages are received.
    ///
    /// # Errors
    ///
    /// Fails if bytes were received behind the last message.
    pub fn into_stream(self) -> Result<TcpStream, LinkError> {
        let parts = self.framed.into_parts();
        if parts.read_buf.is_empty() {
            return Ok(parts.io);
        }
        RejectedSnafu {
            reason: "unexpected bytes",
        }
        .fail()
    }

    fn authenticated(peer: &str, handshake: Framed<TcpStream, FrameCodec>) -> Self {
        let parts = handshake.into_parts();
        // A first message may have been received together with the proof. Building the codec from
        // its parts decodes buffered data at once.
        let mut authenticated =
            FramedParts::new::<Body>(parts.io, FrameCodec::new(MAX_FRAME_BYTES));
        authenticated.read_buf = parts.read_buf;
        let framed = Framed::from_parts(authenticated);
        Self {
            peer: peer.to_owned(),
            framed,
        }
    }
}

fn nonce() -> Vec<u8> {
    let mut bytes = vec![0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    bytes
}

async fn handshake_as_dialer(
    stream: TcpStream,
    own_name: &str,
    peer: &str,
    key: &[u8],
) -> Result<Link, LinkError> {
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, FrameCodec::new(MAX_HANDSHAKE_FRAME_BYTES));
    let own_nonce = nonce();
    let hello = Hello {
        protocol: PROTOCOL,
        instance: own_name.to_owned(),
        nonce: own_nonce.clone(),
    };
    framed.send(Body::Hello(hello)).await?;
    let Some(Body::Welcome(welcome)) = framed.next().await.transpose()? else {
        return RejectedSnafu {
            reason: "no welcome message received",
        }
        .fail();
    };
    if welcome.protocol != PROTOCOL || welcome.instance != peer {
        return RejectedSnafu {
            reason: "different protocol version or name",
        }
        .fail();
    }
    let parties = Parties {
        dialer: own_name,
        dialer_nonce: &own_nonce,
        acceptor: peer,
        acceptor_nonce: &welcome.nonce,
    };
    if !auth::check(key, Side::Acceptor, &parties, &welcome.proof) {
        return RejectedSnafu {
            reason: "different key",
        }
        .fail();
    }
    let proof = auth::prove(key, Side::Dialer, &parties);
    framed.send(Body::Proof(Proof { proof })).await?;
    Ok(Link::authenticated(peer, framed))
}

async fn handshake_as_acceptor(
    stream: TcpStream,
    own_name: &str,
    key: &[u8],
    is_peer: impl Fn(&str) -> bool,
) -> Result<Link, LinkError> {
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, FrameCodec::new(MAX_HANDSHAKE_FRAME_BYTES));
    let Some(Body::Hello(hello)) = framed.next().await.transpose()? else {
        return RejectedSnafu {
            reason: "no hello message received",
        }
        .fail();
    };
    if hello.protocol != PROTOCOL {
        return RejectedSnafu {
            reason: "different protocol version",
        }
        .fail();
    }
    let own_nonce = nonce();
    let parties = Parties {
        dialer: &hello.instance,
        dialer_nonce: &hello.nonce,
        acceptor: own_name,
        acceptor_nonce: &own_nonce,
    };
    let proof = auth::prove(key, Side::Acceptor, &parties);
    let answer = Welcome {
        protocol: PROTOCOL,
        instance: own_name.to_owned(),
        nonce: own_nonce.clone(),
        proof,
    };
    framed.send(Body::Welcome(answer)).await?;
    let Some(Body::Proof(peer_proof)) = framed.next().await.transpose()? else {
        return RejectedSnafu {
            reason: "no proof received",
        }
        .fail();
    };
    if !auth::check(key, Side::Dialer, &parties, &peer_proof.proof) {
        return RejectedSnafu {
            reason: "different key",
        }
        .fail();
    }
    if !is_peer(&hello.instance) {
        return RejectedSnafu {
            reason: "not in the instance list",
        }
        .fail();
    }
    Ok(Link::authenticated(&hello.instance, framed))
}
