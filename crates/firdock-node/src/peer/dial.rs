//! Lookup of peers' addresses and connections to them.

use std::net::SocketAddr;
use std::sync::Arc;

use firdock_core::InstanceId;
use snafu::Snafu;

use super::link::{Link, LinkError};
use crate::config::Hub;

/// The connection to a peer failed; no request was sent to it.
#[derive(Debug, Snafu)]
#[snafu(display("could not connect to peer {peer}"))]
pub struct DialError {
    /// Peer that was dialed.
    pub peer: InstanceId,
    /// Cause.
    pub source: LinkError,
}

/// Connects to peers by name.
#[derive(Debug, Clone)]
pub struct Dialer {
    own_name: InstanceId,
    key: Arc<[u8]>,
    hub: Arc<Hub>,
}

impl Dialer {
    /// Creates a dialer for the instance `own_name`.
    #[must_use]
    pub fn new(own_name: InstanceId, key: &str, hub: Arc<Hub>) -> Self {
        Self {
            own_name,
            key: Arc::from(key.as_bytes()),
            hub,
        }
    }

    /// Returns the name of this instance.
    #[must_use]
    pub fn own_name(&self) -> &str {
        &self.own_name
    }

    /// Returns the shared key.
    #[must_use]
    pub fn key(&self) -> &[u8] {
        &self.key
    }

    /// Returns the state shared between threads.
    #[must_use]
    pub fn hub(&self) -> &Arc<Hub> {
        &self.hub
    }

    /// Returns a peer's address from the instance list.
    #[must_use]
    pub fn address(&self, peer: &str) -> Option<SocketAddr> {
        self.hub.lock().listed_row(peer)?.peers
    }

    /// Returns the names and addresses of all other instances in the list.
    #[must_use]
    pub fn peers(&self) -> Vec<(InstanceId, SocketAddr)> {
        let hub = self.hub.lock();
        let others = hub
            .listed
            .iter()
            .flatten()
            .filter(|r| r.name != self.own_name);
        others
            .filter_map(|r| Some((r.name.clone(), r.peers?)))
            .collect()
    }

    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or authenticated.
    pub async fn dial(&self, peer: &str, address: SocketAddr) -> Result<Link, DialError> {
        let link = Link::dial(address, &self.own_name, peer, &self.key).await;
        link.map_err(|source| DialError {
            peer: peer.to_owned(),
            source,
        })
    }
}
