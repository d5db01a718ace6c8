//! Larger socket buffers for long transfers, within one pool of bytes.
//!
//! The kernel's memory for a connection counts as the instance's. Each connection has small buffers, and what long
//! transfers take beyond them comes from a pool that all share (see `docs/design/slow-readers.md`).

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Pool of an instance whose memory is not known, in bytes.
const DEFAULT_POOL_BYTES: usize = 12 << 20;
/// Divisor of the instance's memory for the pool. Budgets of bodies and answers take about half of a small instance.
const POOL_DIVISOR: usize = 8;

/// Returns the pool of an instance by its memory in bytes.
#[must_use]
pub fn pool_bytes(memory: Option<usize>) -> usize {
    memory.map_or(DEFAULT_POOL_BYTES, |bytes| bytes / POOL_DIVISOR)
}

/// Bytes of the kernel's memory that all long transfers share.
#[derive(Debug, Clone)]
pub struct BufferPool {
    bytes: usize,
    left: Arc<AtomicUsize>,
}

impl BufferPool {
    /// Creates a pool of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            bytes,
            left: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Returns the bytes that nobody has taken.
    #[must_use]
    pub fn left(&self) -> usize {
        self.left.load(Ordering::Relaxed)
    }

    /// Returns the bytes that are taken now.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.bytes - self.left()
    }

    /// Takes bytes until the result is dropped; `None` if there are fewer.
    #[must_use]
    pub fn take(&self, bytes: usize) -> Option<BufferLease> {
        let rest = |left: usize| left.checked_sub(bytes);
        let taken = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, rest);
        taken.ok()?;
        Some(BufferLease {
            pool: self.clone(),
            bytes,
        })
    }
}

/// Bytes that were taken from a pool.
#[derive(Debug)]
pub struct BufferLease {
    pool: BufferPool,
    bytes: usize,
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.pool.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// Size that a socket's buffer is to have next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BufferSize {
    /// The small one of every connection.
    Base,
    /// The larger one of a long transfer.
    Large,
}

/// Buffer of one direction of a connection.
///
/// It is enlarged once a number of bytes have passed: a short transfer needs no larger one, and a caller that reads nothing
/// takes no more than its buffers hold. What is in a large buffer stays there when the transfer ends, so the lease lasts
/// until the owner knows that it is gone.
#[derive(Debug, Default)]
pub struct TransferBuffer {
    /// Bytes of this transfer, or since the buffer was made small again.
    bytes: usize,
    lease: Option<BufferLease>,
    /// Whether the buffer is the base one again, while the lease lasts.
    shrunk: bool,
}

impl TransferBuffer {
    /// Adds bytes that passed. Returns the new size if the buffer is to be enlarged, for which `bytes_large` are taken
    /// from the pool after `threshold` bytes.
    #[must_use]
    pub fn pass(
        &mut self,
        bytes: usize,
        threshold: usize,
        bytes_large: usize,
        pool: &BufferPool,
    ) -> Option<BufferSize> {
        self.bytes = self.bytes.saturating_add(bytes);
        if self.lease.is_some() || self.bytes < threshold {
            return None;
        }
        self.lease = pool.take(bytes_large);
        self.lease.as_ref().map(|_| BufferSize::Large)
    }

    /// Ends the transfer, since bytes pass the other way. Returns the new size if the buffer was enlarged.
    #[must_use]
    pub fn end(&mut self) -> Option<BufferSize> {
        self.bytes = 0;
        let shrinks = self.lease.is_some() && !self.shrunk;
        self.shrunk |= shrinks;
        shrinks.then_some(BufferSize::Base)
    }

    /// Returns the bytes that passed since the buffer was made small again, while its lease lasts.
    #[must_use]
    pub fn bytes_since_end(&self) -> Option<usize> {
        (self.lease.is_some() && self.shrunk).then_some(self.bytes)
    }

    /// Returns the lease to the pool, since the kernel holds no more than a base buffer.
    pub fn release(&mut self) {
        self.lease = None;
        self.shrunk = false;
    }
}
