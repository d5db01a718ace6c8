//! Proof that a peer knows the shared key, bound to both names and both sides' random bytes.

use hmac::{Hmac, Mac as _};
use sha2::Sha256;

/// Random bytes of one side of a connection.
pub const NONCE_BYTES: usize = 32;

/// Which side of the connection a proof is for, so that one side's proof is no use as the other's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The instance that connected.
    Dialer,
    /// The instance that was connected to.
    Acceptor,
}

/// What both sides of a connection know once hello and welcome were sent.
#[derive(Debug, Clone, Copy)]
pub struct Parties<'a> {
    /// Name of the instance that connected.
    pub dialer: &'a str,
    /// Its random bytes.
    pub dialer_nonce: &'a [u8],
    /// Name of the instance that was connected to.
    pub acceptor: &'a str,
    /// Its random bytes.
    pub acceptor_nonce: &'a [u8],
}

/// Makes one side's proof.
#[must_use]
pub fn prove(key: &[u8], side: Side, parties: &Parties<'_>) -> Vec<u8> {
    mac(key, side, parties).finalize().into_bytes().to_vec()
}

/// Checks the other side's proof in constant time.
#[must_use]
pub fn check(key: &[u8], side: Side, parties: &Parties<'_>, proof: &[u8]) -> bool {
    let fresh = parties.dialer_nonce.len() == NONCE_BYTES
        && parties.acceptor_nonce.len() == NONCE_BYTES
        && parties.dialer_nonce != parties.acceptor_nonce;
    fresh && mac(key, side, parties).verify_slice(proof).is_ok()
}

/// Computes the code over every field with its length, so that fields cannot run together.
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

/// Bytes of the code before a sealed datagram's content.
const SEAL_BYTES: usize = 32;

/// Puts a code before a datagram's content, by which an instance with the same key knows it.
#[must_use]
pub fn seal(key: &[u8], content: &[u8]) -> Vec<u8> {
    let mut sealed = datagram_mac(key, content).finalize().into_bytes().to_vec();
    sealed.extend_from_slice(content);
    sealed
}

/// Gives a sealed datagram's content; `None` if its code is not right.
#[must_use]
pub fn open<'a>(key: &[u8], sealed: &'a [u8]) -> Option<&'a [u8]> {
    let (code, content) = sealed.split_at_checked(SEAL_BYTES)?;
    let right = datagram_mac(key, content).verify_slice(code).is_ok();
    right.then_some(content)
}

fn datagram_mac(key: &[u8], content: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(b"datagram");
    mac.update(content);
    mac
}
