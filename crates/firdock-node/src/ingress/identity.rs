//! Identity of a request, by hashes of its whole content.

use std::sync::Arc;

use bytes::Bytes;
use firdock_core::{Content, ContentHasher};
use firdock_policy::KeyClaim;
use tokio::sync::Semaphore;
use tokio::task::yield_now;

use super::key::ClaimHasher;
use crate::exchange::Payload;

/// Bytes of a body that are hashed at a time. Requests that arrive meanwhile wait for it, as they do for a read of
/// about this size.
const PIECE_BYTES: usize = 32 << 10;

/// What identifies a request.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Content identity, which is the same for each repetition of the request.
    pub content: Content,
    /// Claim of its idempotency key, if it has one.
    pub claim: Option<KeyClaim>,
}

/// Hashes bodies on the thread that serves all requests: one piece of one body at a time, with turns for everything
/// else in between (see `docs/design/limits.md`).
#[derive(Debug, Clone)]
pub struct BodyHasher {
    turns: Arc<Semaphore>,
}

impl Default for BodyHasher {
    fn default() -> Self {
        Self {
            turns: Arc::new(Semaphore::new(1)),
        }
    }
}

impl BodyHasher {
    /// Computes the identity of a request.
    pub async fn identify(&self, payload: &Payload) -> Identity {
        let (account, target) = (&payload.account, &payload.target);
        let mut content = ContentHasher::new(account, payload.method.as_str(), target);
        let mut claim = ClaimHasher::new(payload);
        let add = |piece: &[u8]| {
            content.update(piece);
            if let Some(claim) = &mut claim {
                claim.update(piece);
            }
        };
        self.hash(&payload.body, add).await;
        Identity {
            content: content.finish(),
            claim: claim.map(ClaimHasher::finish),
        }
    }

    async fn hash(&self, body: &Bytes, mut add: impl FnMut(&[u8])) {
        if body.len() <= PIECE_BYTES {
            add(body);
            return;
        }
        for piece in body.chunks(PIECE_BYTES) {
            // The semaphore is never closed. Its order is that of arrival, so that bodies have their turns one after the
            // other.
            let turn = self.turns.acquire().await;
            add(piece);
            yield_now().await;
            drop(turn);
        }
    }
}
