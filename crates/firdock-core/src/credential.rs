//! Bearer keys of client accounts: stored as hashes in resources and compared in constant time.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 of a bearer key.
pub type KeyHash = [u8; 32];

/// Hashes a bearer key as stored in account resources.
#[must_use]
pub fn hash_bearer(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// Formats a hash as lower-case hexadecimal digits.
#[must_use]
pub fn to_hex(hash: &KeyHash) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(64);
    for byte in hash {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Parses a hash from 64 hexadecimal digits; `None` for any other text.
#[must_use]
pub fn from_hex(text: &str) -> Option<KeyHash> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut hash = [0; 32];
    for (i, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(hash)
}

/// Compares two hashes in constant time, so that the duration does not reveal where they differ.
#[must_use]
pub fn matches(a: &KeyHash, b: &KeyHash) -> bool {
    a.ct_eq(b).into()
}
