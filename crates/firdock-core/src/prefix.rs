//! Chained hashes of a prompt's blocks, which firdock and engines use to identify cached prefixes.
//!
//! Equal hashes mean equal text up to that block, so a cache event or an own dispatch shows which
//! part of a later prompt does not have to be computed again (see `docs/design/routing.md`).

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of a prompt from its start to the end of one block.
pub type BlockHash = u64;

/// Length of a block of prompt text, in bytes.
pub const BLOCK_BYTES: usize = 512;
/// Maximum number of blocks hashed per prompt; the rest of a longer prompt counts as uncached.
pub const MAX_BLOCKS: usize = 512;
/// Approximate length of a token in bytes, for estimates before an engine has counted the tokens.
pub const BYTES_PER_TOKEN: usize = 4;
/// Approximate number of tokens in a block.
pub const BLOCK_TOKENS: u32 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u32;

/// Hashes the complete blocks of `text`, each chained to the previous one.
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

/// Estimates the number of tokens in a text of `bytes` bytes.
#[must_use]
pub fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
