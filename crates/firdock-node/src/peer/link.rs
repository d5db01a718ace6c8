//! A connection between two instances that have proved to each other that they know the key.

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

/// Largest frame before the peer has proved who it is.
const MAX_GREETING_BYTES: usize = 1 << 10;

/// Why a link did not come about or broke.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum LinkError {
    /// No connection came about.
    #[snafu(display("connect to {address}"))]
    Connect {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The bytes were no messages, or the connection broke.
    #[snafu(display("link broke"), context(false))]
    Wire {
        /// Cause.
        source: WireError,
    },
    /// The other side closed the connection.
    #[snafu(display("link closed"))]
    Closed,
    /// The handshake, or a message that was due, took too long.
    #[snafu(display("handshake or message took too long"))]
    TooSlow,
    /// The other side is no peer: a stranger, or one with another key, name or protocol.
    #[snafu(display("not a peer: {why}"))]
    Stranger {
        /// What was wrong.
        why: &'static str,
    },
}

/// A link to a known peer.
#[derive(Debug)]
pub struct Link {
    /// Name that the peer proved.
    pub peer: InstanceId,
    framed: Framed<TcpStream, FrameCodec>,
}

impl Link {
    /// Connects to a peer and proves each side to the other.
    ///
    /// # Errors
    ///
    /// Fails if the peer is not reached or is not who it should be; nothing was asked of it then.
    pub async fn dial(
        address: SocketAddr,
        me: &str,
        peer: &str,
        key: &[u8],
    ) -> Result<Self, LinkError> {
        let dialing = async {
            let stream = TcpStream::connect(address)
                .await
                .context(ConnectSnafu { address })?;
            greet(stream, me, peer, key).await
        };
        timeout(HANDSHAKE_TIME, dialing)
            .await
            .unwrap_or_else(|_| TooSlowSnafu.fail())
    }

    /// Takes a connection and proves each side to the other.
    ///
    /// # Errors
    ///
    /// Fails if the other side is a stranger or too slow.
    pub async fn accept(
        stream: TcpStream,
        me: &str,
        key: &[u8],
        known: impl Fn(&str) -> bool,
    ) -> Result<Self, LinkError> {
        let accepting = welcome(stream, me, key, known);
        timeout(HANDSHAKE_TIME, accepting)
            .await
            .unwrap_or_else(|_| TooSlowSnafu.fail())
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Fails if the link broke.
    pub async fn send(&mut self, body: Body) -> Result<(), LinkError> {
        Ok(self.framed.send(body).await?)
    }

    /// Waits for a message; `None` if the peer closed the link.
    ///
    /// # Errors
    ///
    /// Fails if the link broke or what came is no message.
    pub async fn receive(&mut self) -> Result<Option<Body>, LinkError> {
        Ok(self.framed.next().await.transpose()?)
    }

    fn proved(peer: &str, greeting: Framed<TcpStream, FrameCodec>) -> Self {
        let parts = greeting.into_parts();
        // A first message may have come with the proof; from parts, it is decoded at once.
        let mut proved = FramedParts::new::<Body>(parts.io, FrameCodec::new(MAX_FRAME_BYTES));
        proved.read_buf = parts.read_buf;
        let framed = Framed::from_parts(proved);
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

async fn greet(stream: TcpStream, me: &str, peer: &str, key: &[u8]) -> Result<Link, LinkError> {
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, FrameCodec::new(MAX_GREETING_BYTES));
    let mine = nonce();
    let hello = Hello {
        protocol: PROTOCOL,
        instance: me.to_owned(),
        nonce: mine.clone(),
    };
    framed.send(Body::Hello(hello)).await?;
    let Some(Body::Welcome(theirs)) = framed.next().await.transpose()? else {
        return StrangerSnafu { why: "no welcome" }.fail();
    };
    if theirs.protocol != PROTOCOL || theirs.instance != peer {
        return StrangerSnafu {
            why: "another protocol or name",
        }
        .fail();
    }
    let parties = Parties {
        dialer: me,
        dialer_nonce: &mine,
        acceptor: peer,
        acceptor_nonce: &theirs.nonce,
    };
    if !auth::check(key, Side::Acceptor, &parties, &theirs.proof) {
        return StrangerSnafu { why: "another key" }.fail();
    }
    let proof = auth::prove(key, Side::Dialer, &parties);
    framed.send(Body::Proof(Proof { proof })).await?;
    Ok(Link::proved(peer, framed))
}

async fn welcome(
    stream: TcpStream,
    me: &str,
    key: &[u8],
    known: impl Fn(&str) -> bool,
) -> Result<Link, LinkError> {
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, FrameCodec::new(MAX_GREETING_BYTES));
    let Some(Body::Hello(hello)) = framed.next().await.transpose()? else {
        return StrangerSnafu { why: "no hello" }.fail();
    };
    if hello.protocol != PROTOCOL {
        return StrangerSnafu {
            why: "another protocol",
        }
        .fail();
    }
    let mine = nonce();
    let parties = Parties {
        dialer: &hello.instance,
        dialer_nonce: &hello.nonce,
        acceptor: me,
        acceptor_nonce: &mine,
    };
    let proof = auth::prove(key, Side::Acceptor, &parties);
    let answer = Welcome {
        protocol: PROTOCOL,
        instance: me.to_owned(),
        nonce: mine.clone(),
        proof,
    };
    framed.send(Body::Welcome(answer)).await?;
    let Some(Body::Proof(theirs)) = framed.next().await.transpose()? else {
        return StrangerSnafu { why: "no proof" }.fail();
    };
    if !auth::check(key, Side::Dialer, &parties, &theirs.proof) {
        return StrangerSnafu { why: "another key" }.fail();
    }
    if !known(&hello.instance) {
        return StrangerSnafu {
            why: "not in the instance list",
        }
        .fail();
    }
    Ok(Link::proved(&hello.instance, framed))
}
