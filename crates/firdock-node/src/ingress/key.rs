//! Idempotency keys of callers.

use std::time::Duration;

use firdock_core::rendezvous::{KeyHasher, hash_key};
use firdock_policy::KeyClaim;
use uuid::Uuid;

use crate::exchange::Payload;

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;
/// Version of UUIDs that contain their creation time.
const TIMED_VERSION: usize = 7;
/// Separates the parts of a hashed text; none of the parts before the last contains this byte.
const SEPARATOR: u8 = 0;

/// Computes the claim of a request with an idempotency key, whose body is hashed piece by piece. Keys are scoped to
/// the account.
#[derive(Debug)]
pub(crate) struct ClaimHasher {
    hash: u64,
    fingerprint: KeyHasher,
    minted: Option<Duration>,
}

impl ClaimHasher {
    /// Begins the claim without the body; `None` for a request without a key.
    #[must_use]
    pub fn new(payload: &Payload) -> Option<Self> {
        let key = payload.key.as_deref()?;
        let owner = [payload.account.as_bytes(), key.as_bytes()].join(&SEPARATOR);
        let parts = [
            payload.method.as_str().as_bytes(),
            payload.target.as_bytes(),
        ];
        let mut fingerprint = KeyHasher::default();
        for part in parts {
            fingerprint.update(part);
            fingerprint.update(&[SEPARATOR]);
        }
        Some(Self {
            hash: hash_key(&owner),
            fingerprint,
            minted: minted(key),
        })
    }

    /// Adds the next piece of the body.
    pub fn update(&mut self, piece: &[u8]) {
        self.fingerprint.update(piece);
    }

    /// Returns the claim.
    #[must_use]
    pub fn finish(self) -> KeyClaim {
        KeyClaim {
            hash: self.hash,
            fingerprint: self.fingerprint.finish(),
            minted: self.minted,
        }
    }
}

/// Returns the creation time of a UUID of version 7.
fn minted(key: &str) -> Option<Duration> {
    let uuid = Uuid::parse_str(key)
        .ok()
        .filter(|u| u.get_version_num() == TIMED_VERSION)?;
    let (secs, nanos) = uuid.get_timestamp()?.to_unix();
    Some(Duration::new(secs, nanos))
}
