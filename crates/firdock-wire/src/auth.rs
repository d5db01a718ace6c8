//! Proof that a peer knows the shared key, bound to both names and nonces, and the sealing of datagrams.

use hmac::{Hmac, Mac as _};
use sha2::Sha256;

/// Length in bytes of the random nonce of each side of a connection.
pub const NONCE_BYTES: usize = 32;

/// Side of the connection that a proof is for, so that a proof cannot be replayed as the other side's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The instance that connected.
    Dialer,
    /// The instance that was connected to.
    Acceptor,
}

/// Names and nonces of both sides, known once hello and welcome were exchanged.
#[derive(Debug, Clone, Copy)]
pub struct Parties<'a> {
    /// Name of the instance that connected.
    pub dialer: &'a str,
    /// Its nonce.
    pub dialer_nonce: &'a [u8],
    /// Name of the instance that was connected to.
    pub acceptor: &'a str,
    /// Its nonce.
    pub acceptor_nonce: &'a [u8],
}

/// Creates the proof of one side.
#[must_use]
pub fn prove(key: &[u8], side: Side, parties: &Parties<'_>) -> Vec<u8> {
    mac(key, side, parties).finalize().into_bytes().to_vec()
}

/// Checks the other side's proof in constant time.
#[must_use]
pub fn check(key: &[u8], side: Side, parties: &Parties<'_>, proof: &[u8]) -> bool {
    let nonces_are_valid = parties.dialer_nonce.len() == NONCE_BYTES
        && parties.acceptor_nonce.len() == NONCE_BYTES
        && parties.dialer_nonce != parties.acceptor_nonce;
    nonces_are_valid && mac(key, side, parties).verify_slice(proof).is_ok()
}

/// Computes the HMAC over every field with its length, so that the boundaries of fields are unambiguous.
fn mac(key: &[u8], side: Side, parties: &Parties<'_>) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(&[u8::from(side == Side::Acceptor)]);
    let fields = [
        parties.dialer.as_bytes(),
        parties.dialer_nonce,
        parties.acceptor.as_bytes(),
        parties.acceptor_nonce,
    ];
    for field in fields {
        mac.update(&(field.len() as u64).to_be_bytes());
        mac.update(field);
    }
    mac
}

/// Length in bytes of the HMAC before a sealed datagram's content.
const MAC_BYTES: usize = 32;

/// Prepends an HMAC to a datagram's content, by which instances with the same key authenticate it.
#[must_use]
pub fn seal(key: &[u8], content: &[u8]) -> Vec<u8> {
    let mut sealed = datagram_mac(key, content).finalize().into_bytes().to_vec();
    sealed.extend_from_slice(content);
    sealed
}

/// Returns the content of a sealed datagram; `None` if its HMAC is invalid.
#[must_use]
pub fn open<'a>(key: &[u8], sealed: &'a [u8]) -> Option<&'a [u8]> {
    let (code, content) = sealed.split_at_checked(MAC_BYTES)?;
    let is_valid = datagram_mac(key, content).verify_slice(code).is_ok();
    is_valid.then_some(content)
}

fn datagram_mac(key: &[u8], content: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(b"datagram");
    mac.update(content);
    mac
}
