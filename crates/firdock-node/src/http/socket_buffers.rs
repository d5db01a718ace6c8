//! Sizes of the socket buffers of callers' connections (see `docs/design/slow-readers.md`).

use std::io;

use firdock_policy::transfer::{BufferPool, BufferSize, TransferBuffer};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use slog::{Logger, warn};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// Send buffer of a connection, in bytes as set; the kernel doubles it and completes the segment that exceeds it.
const SEND_BYTES: usize = 16 << 10;
/// Receive buffer of a connection, in bytes as set. Requests of a few kilobytes fit the window that it opens.
const RECEIVE_BYTES: usize = 6 << 10;
/// Buffer of a long transfer in either direction, in bytes as set.
const LARGE_BYTES: usize = 256 << 10;
/// Longest segment, in bytes.
const SEGMENT_BYTES: usize = 64 << 10;
/// Most that the kernel holds in a large buffer: twice what is set, and a segment.
const LARGE_LEASE_BYTES: usize = 2 * LARGE_BYTES + SEGMENT_BYTES;
/// Bytes of an answer after which its caller is known to read. More than a base buffer and a usual receive buffer hold.
const READER_BYTES: usize = 256 << 10;
/// Bytes of a request after which it counts as long.
const LONG_REQUEST_BYTES: usize = 16 << 10;

/// Socket buffers of all connections of a server: small ones, and larger ones for long transfers while a pool has room.
#[derive(Debug, Clone)]
pub struct SocketBuffers(Option<BufferPool>);

impl SocketBuffers {
    /// Buffers whose sizes the system chooses.
    pub const SYSTEM: Self = Self(None);

    /// Creates buffers of which the larger ones come from `pool`.
    #[must_use]
    pub fn new(pool: BufferPool) -> Self {
        Self(Some(pool))
    }

    /// Sets the small buffers of a listener, which its connections inherit, also those not accepted yet. If the system
    /// refuses, which is logged, they have the system's sizes.
    #[must_use]
    pub fn with_listener(self, listener: &TcpListener, log: &Logger) -> Self {
        if self.0.is_some()
            && let Err(e) = set_base(listener)
        {
            warn!(log, "socket buffers are not bounded"; "error" => e.to_string());
        }
        self
    }

    pub(super) fn connection(&self) -> ConnectionBuffers {
        let transfers = self.0.clone().map(|pool| {
            Box::new(Transfers {
                pool,
                sent: TransferBuffer::default(),
                received: TransferBuffer::default(),
            })
        });
        ConnectionBuffers(transfers)
    }
}

fn set_base(listener: &TcpListener) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_send_buffer_size(SEND_BYTES)?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)
}

/// Both buffers of one connection.
#[derive(Debug)]
struct Transfers {
    pool: BufferPool,
    sent: TransferBuffer,
    received: TransferBuffer,
}

/// Buffers of one connection, whose owner tells what passes; `None` if the system chooses their sizes.
///
/// Errors of these options are not reported: a size that the system refuses changes nothing but the speed, and one on a
/// connection that has ended is told by the next read or write.
#[derive(Debug)]
pub(super) struct ConnectionBuffers(Option<Box<Transfers>>);

impl ConnectionBuffers {
    /// Records a read of `bytes`, and whether it left nothing in the kernel.
    pub(super) fn read(&mut self, stream: &TcpStream, bytes: usize, is_empty: bool) {
        let Some(t) = &mut self.0 else {
            return;
        };
        if is_empty && t.received.bytes_since_end().is_some() {
            t.received.release();
        }
        if bytes == 0 {
            return;
        }
        set_send(stream, t.sent.end());
        // The kernel reports room only while it holds less than the base buffer.
        if t.sent.bytes_since_end().is_some() && has_room(stream) {
            t.sent.release();
        }
        let size = t
            .received
            .pass(bytes, LONG_REQUEST_BYTES, LARGE_LEASE_BYTES, &t.pool);
        set_receive(stream, size);
    }

    /// Records a write of `bytes`.
    pub(super) fn written(&mut self, stream: &TcpStream, bytes: usize) {
        let Some(t) = &mut self.0 else {
            return;
        };
        if bytes == 0 {
            return;
        }
        set_receive(stream, t.received.end());
        let size = t.sent.pass(bytes, READER_BYTES, LARGE_LEASE_BYTES, &t.pool);
        set_send(stream, size);
        // Beyond a segment that was begun before, the kernel takes bytes only while it holds less than the base buffer.
        if t.sent.bytes_since_end().is_some_and(|n| n > SEGMENT_BYTES) {
            t.sent.release();
        }
    }
}

/// Returns whether the kernel would take bytes now. An error says nothing, so the bytes of the pool stay taken.
fn has_room(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::OUT)];
    poll(&mut polled, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
}

fn set_send(stream: &TcpStream, size: Option<BufferSize>) {
    if let Some(size) = size {
        let _ = SockRef::from(stream).set_send_buffer_size(bytes_of(size, SEND_BYTES));
    }
}

fn set_receive(stream: &TcpStream, size: Option<BufferSize>) {
    if let Some(size) = size {
        let _ = SockRef::from(stream).set_recv_buffer_size(bytes_of(size, RECEIVE_BYTES));
    }
}

fn bytes_of(size: BufferSize, base: usize) -> usize {
    match size {
        BufferSize::Base => base,
        BufferSize::Large => LARGE_BYTES,
    }
}
