//! Answers kept for resends of an idempotency key, bounded in bytes.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use firdock_core::RequestId;

use crate::exchange::AnswerHead;

/// Largest answer that is kept, in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 10;
/// Bytes counted for the head of an answer.
const HEAD_BYTES: usize = 512;

/// A whole answer.
#[derive(Debug, Clone)]
pub struct CachedAnswer {
    /// Head.
    pub head: AnswerHead,
    body: BytesMut,
}

impl CachedAnswer {
    /// Makes an answer without a body yet.
    #[must_use]
    pub fn new(head: AnswerHead) -> Self {
        Self {
            head,
            body: BytesMut::new(),
        }
    }

    /// Adds some of the body; tells whether the answer is still small enough to be kept.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.body.extend_from_slice(bytes);
        self.body.len() <= MAX_ANSWER_BYTES
    }

    /// Gives the body.
    #[must_use]
    pub fn body(self) -> Bytes {
        self.body.freeze()
    }

    fn cost(&self) -> usize {
        HEAD_BYTES + self.body.len()
    }
}

#[derive(Debug, Default)]
struct Store {
    kept: HashMap<RequestId, CachedAnswer>,
    order: VecDeque<RequestId>,
    bytes: usize,
}

/// Store of kept answers, shared by all tasks; the oldest goes when the bytes run out.
#[derive(Debug, Clone)]
pub struct AnswerCache {
    store: Arc<Mutex<Store>>,
    max_bytes: usize,
}

impl AnswerCache {
    /// Makes a store for `max_bytes` bytes.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            store: Arc::default(),
            max_bytes,
        }
    }

    /// Keeps a request's answer.
    pub fn insert(&self, id: RequestId, answer: CachedAnswer) {
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        store.bytes += answer.cost();
        store.kept.insert(id, answer);
        store.order.push_back(id);
        while store.bytes > self.max_bytes {
            let Some(oldest) = store.order.pop_front() else {
                break;
            };
            store.remove(oldest);
        }
    }

    /// Gives a request's answer, if it is still kept.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<CachedAnswer> {
        let store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        store.kept.get(&id).cloned()
    }

    /// Forgets a request's answer.
    pub fn remove(&self, id: RequestId) {
        self.store
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(id);
    }
}

impl Store {
    fn remove(&mut self, id: RequestId) {
        if let Some(answer) = self.kept.remove(&id) {
            self.bytes -= answer.cost();
            self.order.retain(|i| *i != id);
        }
    }
}
