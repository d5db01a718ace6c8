//! Encoding, authentication and decoding of datagrams between instances. Lists are truncated to
//! fixed limits.

use std::time::Duration;

use firdock_policy::event::{AccountUse, UseTotals};
use firdock_policy::usage::MAX_REPORTED_ACCOUNTS;
use firdock_wire::auth;
use firdock_wire::message::{self, Datagram, PeerAddress, datagram};
use prost::Message as _;
use uuid::Uuid;

use super::directory::PeerRecord;
use super::reads::ReadState;
use crate::clock::millis;

/// Encodes a datagram and authenticates it with the shared key.
#[must_use]
pub fn seal(key: &[u8], body: datagram::Body) -> Vec<u8> {
    let content = Datagram { body: Some(body) }.encode_to_vec();
    auth::seal(key, &content)
}

/// Verifies and decodes a datagram; `None` if it is not authentic or malformed.
pub fn open(key: &[u8], sealed: &[u8]) -> Option<datagram::Body> {
    let content = auth::open(key, sealed)?;
    Datagram::decode(content).ok()?.body
}

/// Decodes a process incarnation; a malformed one becomes the nil UUID, which no process has.
#[must_use]
pub fn read_incarnation(bytes: &[u8]) -> Uuid {
    Uuid::from_slice(bytes).unwrap_or_default()
}

/// Encodes the address of an instance.
pub fn write_address(peer: &PeerRecord) -> PeerAddress {
    PeerAddress {
        instance: peer.name.clone(),
        address: peer.address.to_string(),
        zone: peer.zone.clone(),
        power: peer.millicores,
    }
}

/// Encodes the read state of the platform's store.
pub fn write_reads(reads: ReadState) -> message::Reads {
    message::Reads {
        version: reads.version,
        config_next: reads.config_next,
        endpoints_next: reads.endpoints_next,
        config_at: millis(reads.config_at),
        endpoints_at: millis(reads.endpoints_at),
        steady_since: millis(reads.steady_since),
    }
}

/// Decodes the read state of a peer, with times by the peer's clock.
pub fn read_reads(reads: message::Reads) -> ReadState {
    ReadState {
        version: reads.version,
        config_next: reads.config_next,
        endpoints_next: reads.endpoints_next,
        config_at: Duration::from_millis(reads.config_at),
        endpoints_at: Duration::from_millis(reads.endpoints_at),
        steady_since: Duration::from_millis(reads.steady_since),
    }
}

/// Encodes the use of account limits.
pub fn write_uses(uses: &[AccountUse]) -> Vec<message::AccountUse> {
    let entries = uses.iter().take(MAX_REPORTED_ACCOUNTS);
    entries
        .map(|u| message::AccountUse {
            account: u.account.clone(),
            units: u.units,
            asked: u.asked,
            units_before: u.before.units,
            asked_before: u.before.asked,
        })
        .collect()
}

/// Decodes the use of account limits reported by a peer; entries with non-finite values are left
/// out.
pub fn read_uses(uses: Vec<message::AccountUse>) -> Vec<AccountUse> {
    let entries = uses.into_iter().take(MAX_REPORTED_ACCOUNTS);
    let finite = entries.filter(|u| {
        let figures = [u.units, u.asked, u.units_before, u.asked_before];
        figures.iter().all(|figure| figure.is_finite())
    });
    finite
        .map(|u| AccountUse {
            account: u.account,
            units: u.units,
            asked: u.asked,
            before: UseTotals {
                units: u.units_before,
                asked: u.asked_before,
            },
        })
        .collect()
}
