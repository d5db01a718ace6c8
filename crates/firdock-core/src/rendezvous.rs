//! Rendezvous hashing: all instances select the same member for a key without communication.
//!
//! A member that joins or leaves moves only its own keys, which is why this was chosen over a hash ring
//! (see `docs/design/membership.md`).

use std::fmt::{self, Debug, Formatter};

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Returns the weight of `member` for `key`; the member with the highest weight owns the key.
#[must_use]
pub fn weight(key: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), key)
}

/// Hashes the text of a key, for use with [`weight`].
#[must_use]
pub fn hash_key(text: &[u8]) -> u64 {
    xxh3_64_with_seed(text, 0)
}

/// Hashes a text that comes in pieces, with the result of [`hash_key`] for the whole text.
#[derive(Clone, Default)]
pub struct KeyHasher(Xxh3);

impl KeyHasher {
    /// Adds the next piece of the text.
    pub fn update(&mut self, piece: &[u8]) {
        self.0.update(piece);
    }

    /// Returns the hash of the pieces.
    #[must_use]
    pub fn finish(&self) -> u64 {
        self.0.digest()
    }
}

impl Debug for KeyHasher {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyHasher").finish_non_exhaustive()
    }
}

/// Selects the owner of `key` among `members`; ties go to the greater name.
pub fn owner<'a>(key: u64, members: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    members.into_iter().max_by_key(|m| (weight(key, m), *m))
}
