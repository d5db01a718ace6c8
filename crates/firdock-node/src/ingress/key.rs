//! Idempotency keys of callers.

use std::time::Duration;

use firdock_core::rendezvous::hash_key;
use firdock_policy::KeyClaim;
use uuid::Uuid;

use crate::exchange::Payload;

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;
/// Version of UUIDs that contain their creation time.
const TIMED_VERSION: usize = 7;
/// Separates the parts of a hashed text; none of the parts before the last contains this byte.
const SEPARATOR: u8 = 0;

/// Creates the claim of a request with an idempotency key. Keys are scoped to the account.
#[must_use]
pub fn claim(payload: &Payload) -> Option<KeyClaim> {
    let key = payload.key.as_deref()?;
    let owner = [payload.account.as_bytes(), key.as_bytes()].join(&SEPARATOR);
    let target = payload.target.as_bytes();
    let content = [payload.method.as_str().as_bytes(), target, &payload.body].join(&SEPARATOR);
    Some(KeyClaim {
        hash: hash_key(&owner),
        fingerprint: hash_key(&content),
        minted: minted(key),
    })
}

/// Returns the creation time of a UUID of version 7.
fn minted(key: &str) -> Option<Duration> {
    let uuid = Uuid::parse_str(key)
        .ok()
        .filter(|u| u.get_version_num() == TIMED_VERSION)?;
    let (secs, nanos) = uuid.get_timestamp()?.to_unix();
    Some(Duration::new(secs, nanos))
}
