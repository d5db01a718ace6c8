//! Larger socket buffers for long transfers: who gets one, and how long it counts.

use firdock_policy::transfer::{BufferPool, BufferSize, TransferBuffer, pool_bytes};

/// Bytes after which a transfer is long.
const THRESHOLD: usize = 1_000;
/// Bytes of a large buffer.
const LARGE: usize = 500;

/// Passes bytes and returns whether the buffer is enlarged.
fn grows(buffer: &mut TransferBuffer, bytes: usize, pool: &BufferPool) -> bool {
    buffer.pass(bytes, THRESHOLD, LARGE, pool) == Some(BufferSize::Large)
}

/// Callers that take no more than the base buffers hold read nothing, perhaps; a large buffer for each has no bound.
#[test]
fn only_long_transfers_get_a_large_buffer() {
    let pool = BufferPool::new(10 * LARGE);
    let mut buffer = TransferBuffer::default();
    assert!(!grows(&mut buffer, THRESHOLD - 1, &pool));
    assert!(grows(&mut buffer, 1, &pool));
    assert!(!grows(&mut buffer, THRESHOLD, &pool), "it grows once");
    assert_eq!(pool.left(), 9 * LARGE);
    let mut short = TransferBuffer::default();
    for _ in 0..THRESHOLD {
        assert!(!grows(&mut short, THRESHOLD - 1, &pool));
        assert_eq!(short.end(), None);
    }
}

/// A bound for each connection was none for all of them.
#[test]
fn large_buffers_of_all_connections_fit_the_pool() {
    let pool = BufferPool::new(3 * LARGE + 1);
    let mut buffers: Vec<TransferBuffer> = (0..100).map(|_| TransferBuffer::default()).collect();
    let grown = buffers.iter_mut().filter_map(|b| {
        let size = b.pass(THRESHOLD, THRESHOLD, LARGE, &pool);
        size.filter(|s| *s == BufferSize::Large)
    });
    assert_eq!(grown.count(), 3);
    assert_eq!(pool.left(), 1);
    buffers.drain(..50);
    assert_eq!(pool.left(), 3 * LARGE + 1);
    assert!(grows(&mut buffers[0], 1, &pool), "room came back");
}

/// The pool was the same on machines of any size: it took a seventh of the smallest, and little of the others.
#[test]
fn the_pool_follows_from_the_memory_of_the_instance() {
    assert_eq!(pool_bytes(Some(88_000_000)), 11_000_000);
    assert_eq!(pool_bytes(Some(260_000_000)), 32_500_000);
    assert!(pool_bytes(None) < 110_000_000 / 8);
}

/// A caller could fill a large buffer, end its transfer and begin another one elsewhere with the same bytes of the pool.
#[test]
fn a_large_buffer_counts_until_it_is_known_to_be_empty() {
    let pool = BufferPool::new(LARGE);
    let mut buffer = TransferBuffer::default();
    assert!(grows(&mut buffer, THRESHOLD, &pool));
    assert_eq!(buffer.bytes_since_end(), None);
    assert_eq!(buffer.end(), Some(BufferSize::Base));
    assert_eq!(buffer.end(), None, "it is made small once");
    assert_eq!(pool.left(), 0);
    assert!(!grows(&mut buffer, 7, &pool));
    assert_eq!(buffer.bytes_since_end(), Some(7));
    buffer.release();
    assert_eq!(buffer.bytes_since_end(), None);
    assert_eq!(pool.left(), LARGE);
    assert!(grows(&mut buffer, THRESHOLD, &pool));
}
