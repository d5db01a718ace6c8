//! Exchange of permits for endpoints with rate limits between instances.
//!
//! The permits of an endpoint are granted by one instance, which all others select alike from the
//! live ones. In a large site the leads of groups grant them and pass on the requests of their
//! members, which do not know the leads of other groups (`docs/design/endpoint-limits.md`).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::InstanceId;
use firdock_policy::Time;
use firdock_policy::permit::{PermitGrant, PermitHolder, PermitRequest};
use firdock_policy::rate::RequestRate;
use firdock_policy::table::peer::MAX_PEERS;
use firdock_wire::message::{self, datagram};

use crate::clock::millis;
use crate::peer::PeerDirectory;
use crate::placement::DatagramLink;

/// Maximum number of endpoints in one message; more would not fit into a datagram.
const MAX_ENDPOINTS: usize = 400;
/// Longest time after which a grantor may tell a holder to ask again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Requests for permits, as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMessage {
    /// Who will use the permits.
    pub holder: PermitHolder,
    /// Where the grants go.
    pub reply_to: SocketAddr,
    /// Whether another instance passed them on.
    pub passed_on: bool,
    /// The requests.
    pub requests: Vec<PermitRequest>,
}

/// A permit message received by this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitInput {
    /// Requests for permits.
    Requests(RequestMessage),
    /// Permits granted to this instance's coordinator, or to its own scheduler.
    Grants {
        /// Whether they are the coordinator's.
        coordinates: bool,
        /// The grants.
        grants: Vec<PermitGrant>,
    },
}

/// Sends requests for permits to the instances that grant them, and grants to their holders.
#[derive(Debug)]
pub struct PermitRouter {
    name: InstanceId,
    directory: Arc<PeerDirectory>,
    link: DatagramLink,
    /// Where the grants of other instances go.
    reply_to: BTreeMap<InstanceId, SocketAddr>,
    /// Whether this instance is stopping and grants no more permits.
    draining: bool,
}

impl PermitRouter {
    /// Creates the router of the instance `name`.
    #[must_use]
    pub fn new(name: InstanceId, directory: Arc<PeerDirectory>, link: DatagramLink) -> Self {
        Self {
            name,
            directory,
            link,
            reply_to: BTreeMap::new(),
            draining: false,
        }
    }

    /// Sets whether this instance is stopping.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Sends requests of this instance; returns those that it grants itself.
    #[must_use]
    pub fn send_requests(
        &self,
        now: Time,
        coordinates: bool,
        requests: Vec<PermitRequest>,
    ) -> Vec<PermitRequest> {
        let holder = PermitHolder {
            instance: self.name.clone(),
            coordinates,
        };
        self.route(now, &holder, None, requests)
    }

    /// Handles requests of another instance; returns those that this one grants.
    pub fn receive_requests(&mut self, now: Time, message: RequestMessage) -> Vec<PermitRequest> {
        let known = self.reply_to.len() < MAX_PEERS;
        if known || self.reply_to.contains_key(&message.holder.instance) {
            self.reply_to
                .insert(message.holder.instance.clone(), message.reply_to);
        }
        if message.passed_on {
            let is_own = |request: &PermitRequest| self.grantor(now, request).is_none();
            return message.requests.into_iter().filter(is_own).collect();
        }
        let reply_to = Some(message.reply_to);
        self.route(now, &message.holder, reply_to, message.requests)
    }

    /// Sends requests to the instances that grant them; returns those that this one grants.
    fn route(
        &self,
        now: Time,
        holder: &PermitHolder,
        reply_to: Option<SocketAddr>,
        requests: Vec<PermitRequest>,
    ) -> Vec<PermitRequest> {
        let mut own = Vec::new();
        let mut others: BTreeMap<SocketAddr, Vec<PermitRequest>> = BTreeMap::new();
        for request in requests {
            match self.grantor(now, &request) {
                Some(address) => others.entry(address).or_default().push(request),
                None => own.push(request),
            }
        }
        for (address, requests) in others {
            let body = write_requests(holder, reply_to, &requests);
            self.link
                .send(datagram::Body::PermitRequests(body), address);
        }
        own
    }

    /// Returns where requests for an endpoint's permits go; `None` if this instance grants them.
    fn grantor(&self, now: Time, request: &PermitRequest) -> Option<SocketAddr> {
        let grantor = self
            .directory
            .permit_grantor(now, &request.endpoint, self.draining);
        grantor.map(|peer| peer.address)
    }

    /// Sends grants to another instance.
    pub fn send_grants(&self, holder: &PermitHolder, grants: &[PermitGrant]) {
        if let Some(address) = self.reply_to.get(&holder.instance) {
            let body = message::PermitGrants {
                coordinates: holder.coordinates,
                grants: grants.iter().map(write_grant).collect(),
                instance: self.name.clone(),
            };
            self.link.send(datagram::Body::PermitGrants(body), *address);
        }
    }
}

fn write_requests(
    holder: &PermitHolder,
    reply_to: Option<SocketAddr>,
    requests: &[PermitRequest],
) -> message::PermitRequests {
    let requests = requests.iter().take(MAX_ENDPOINTS);
    message::PermitRequests {
        instance: holder.instance.clone(),
        coordinates: holder.coordinates,
        reply_to: reply_to.map_or_else(String::new, |address| address.to_string()),
        requests: requests
            .map(|request| message::PermitRequest {
                endpoint: request.endpoint.clone(),
                thousandths: request.rate.thousandths(),
                wanted: request.wanted,
                unused: request.unused,
                recent: request.recent,
                asked: millis(request.asked),
            })
            .collect(),
    }
}

/// Decodes requests for permits that came from `from`; `None` if their reply address is malformed.
#[must_use]
pub fn read_requests(wire: message::PermitRequests, from: SocketAddr) -> Option<PermitInput> {
    let passed_on = !wire.reply_to.is_empty();
    let reply_to = if passed_on {
        wire.reply_to.parse().ok()?
    } else {
        from
    };
    let requests = wire.requests.into_iter().take(MAX_ENDPOINTS);
    Some(PermitInput::Requests(RequestMessage {
        holder: PermitHolder {
            instance: wire.instance,
            coordinates: wire.coordinates,
        },
        reply_to,
        passed_on,
        requests: requests
            .map(|request| PermitRequest {
                endpoint: request.endpoint,
                rate: RequestRate::from_thousandths(request.thousandths),
                wanted: request.wanted,
                unused: request.unused,
                recent: request.recent,
                asked: Duration::from_millis(request.asked),
            })
            .collect(),
    }))
}

fn write_grant(grant: &PermitGrant) -> message::PermitGrant {
    message::PermitGrant {
        endpoint: grant.endpoint.clone(),
        count: grant.count,
        retry_millis: millis(grant.retry_after),
        asked: millis(grant.asked),
    }
}

/// Decodes grants.
#[must_use]
pub fn read_grants(wire: message::PermitGrants) -> PermitInput {
    let grants = wire.grants.into_iter().take(MAX_ENDPOINTS);
    PermitInput::Grants {
        coordinates: wire.coordinates,
        grants: grants
            .map(|grant| PermitGrant {
                endpoint: grant.endpoint,
                count: grant.count,
                retry_after: Duration::from_millis(grant.retry_millis).min(MAX_RETRY_AFTER),
                asked: Duration::from_millis(grant.asked),
            })
            .collect(),
    }
}
