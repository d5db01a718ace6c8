//! Finding and connecting to peers.

use std::net::SocketAddr;
use std::sync::Arc;

use firdock_core::InstanceId;
use snafu::Snafu;

use super::link::{Link, LinkError};
use crate::config::Hub;

/// A peer could not be connected to; nothing was asked of it.
#[derive(Debug, Snafu)]
#[snafu(display("peer {peer} was not reached"))]
pub struct DialError {
    /// Peer.
    pub peer: InstanceId,
    /// Cause.
    pub source: LinkError,
}

/// Connects to peers by name.
#[derive(Debug, Clone)]
pub struct Dialer {
    me: InstanceId,
    key: Arc<[u8]>,
    hub: Arc<Hub>,
}

impl Dialer {
    /// Makes a dialer for the instance `me`.
    #[must_use]
    pub fn new(me: InstanceId, key: &str, hub: Arc<Hub>) -> Self {
        Self {
            me,
            key: Arc::from(key.as_bytes()),
            hub,
        }
    }

    /// Gives this instance's name.
    #[must_use]
    pub fn me(&self) -> &str {
        &self.me
    }

    /// Gives the shared key.
    #[must_use]
    pub fn key(&self) -> &[u8] {
        &self.key
    }

    /// Gives what the threads share.
    #[must_use]
    pub fn hub(&self) -> &Arc<Hub> {
        &self.hub
    }

    /// Finds a peer's address in the instance list.
    #[must_use]
    pub fn address(&self, peer: &str) -> Option<SocketAddr> {
        self.hub.lock().listed_row(peer)?.peers
    }

    /// Gives the names and addresses of all other instances in the list.
    #[must_use]
    pub fn peers(&self) -> Vec<(InstanceId, SocketAddr)> {
        let hub = self.hub.lock();
        let others = hub.listed.iter().filter(|r| r.name != self.me);
        others
            .filter_map(|r| Some((r.name.clone(), r.peers?)))
            .collect()
    }

    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer is not reached or is not who it should be.
    pub async fn dial(&self, peer: &str, address: SocketAddr) -> Result<Link, DialError> {
        let link = Link::dial(address, &self.me, peer, &self.key).await;
        link.map_err(|source| DialError {
            peer: peer.to_owned(),
            source,
        })
    }
}
