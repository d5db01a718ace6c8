//! Generated text: a function of the prompt, so that callers can recognize their own answer.

use firdock_core::rendezvous::{hash_key, weight};

/// Returns the text of the token at `index` in the answer to `prompt`.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    let hash = weight(hash_key(prompt.as_bytes()), &index.to_string());
    format!("{:04x} ", hash & 0xffff)
}

/// Returns the complete answer of `tokens` tokens.
#[must_use]
pub fn whole(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|i| token(prompt, i)).collect()
}
