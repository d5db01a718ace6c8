//! Cache of answers for repeated requests with the same idempotency key, bounded in bytes.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use firdock_core::RequestId;

use crate::exchange::AnswerHead;

/// Maximum size of a cached answer, in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 10;
/// Bytes counted for the head of an answer.
const HEAD_BYTES: usize = 512;

/// A complete answer.
#[derive(Debug, Clone)]
pub struct CachedAnswer {
    /// Head.
    pub head: AnswerHead,
    body: BytesMut,
}

impl CachedAnswer {
    /// Creates an answer with an empty body.
    #[must_use]
    pub fn new(head: AnswerHead) -> Self {
        Self {
            head,
            body: BytesMut::new(),
        }
    }

    /// Appends to the body; returns whether the answer is still small enough to be cached.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.body.extend_from_slice(bytes);
        self.body.len() <= MAX_ANSWER_BYTES
    }

    /// Returns the body.
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

/// Cache of answers, shared by all tasks. The oldest answers are evicted when the size limit is exceeded.
#[derive(Debug, Clone)]
pub struct AnswerCache {
    store: Arc<Mutex<Store>>,
    max_bytes: usize,
}

impl AnswerCache {
    /// Creates a cache with a size limit of `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            store: Arc::default(),
            max_bytes,
        }
    }

    /// Adds a request's answer and evicts the oldest ones beyond the limit.
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

    /// Returns a request's answer, if it is still cached.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<CachedAnswer> {
        let store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        store.kept.get(&id).cloned()
    }

    /// Removes a request's answer.
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
