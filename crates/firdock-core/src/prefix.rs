//! Chained hashes of a prompt's blocks, by which firdock and engines name cached prefixes.
//!
//! Equal chains mean equal text up to that block, so a cache event or an own dispatch tells which
//! part of a later prompt need not be computed again (see `docs/design/routing.md`).

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of a prompt from its start to the end of one block.
pub type BlockHash = u64;

/// Bytes of prompt text in a block.
pub const BLOCK_BYTES: usize = 512;
/// Blocks of one prompt that are hashed; the rest of a longer prompt counts as uncached.
pub const MAX_BLOCKS: usize = 512;
/// Bytes of text that make about one token, for estimates before an engine has counted.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in a block.
pub const BLOCK_TOKENS: u32 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u32;

/// Hashes the whole blocks of `text`, each chained to the one before.
#[must_use]
pub fn block_hashes(text: &[u8]) -> Vec<BlockHash> {
    let mut seed = 0;
    let mut hashes = Vec::with_capacity((text.len() / BLOCK_BYTES).min(MAX_BLOCKS));
    for block in text.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS) {
        seed = xxh3_64_with_seed(block, seed);
        hashes.push(seed);
    }
    hashes
}

/// Estimates the tokens in a text of `bytes` bytes.
#[must_use]
pub fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
