//! Rendezvous hashing: all instances select the same member for a key without communication.
//!
//! A member that joins or leaves moves only its own keys, which is why this was chosen over a hash ring
//! (see `docs/design/membership.md`).

use xxhash_rust::xxh3::xxh3_64_with_seed;

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

/// Selects the owner of `key` among `members`; ties go to the greater name.
pub fn owner<'a>(key: u64, members: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    members.into_iter().max_by_key(|m| (weight(key, m), *m))
}
