//! Recognizes chunks in a body whose head names no coding.
//!
//! If a single byte of the name `Transfer-Encoding` is wrong, the head is well formed, and the body seems to end with its
//! connection. Its reader would take the sizes of the chunks for a part of it.

use bytes::{Bytes, BytesMut};

/// Longest start of a body that is held back while it may be a chunk.
const MAX_HELD_BYTES: usize = 64 << 10;

/// Most digits of a chunk's size; that of a chunk that is held back whole has fewer.
const MAX_SIZE_DIGITS: usize = 5;

/// What the start of a body shows.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum BodyStart {
    /// It may be the start of a chunk.
    Unknown,
    /// It is not; these are the bytes that were held back.
    Plain(Bytes),
    /// It is a whole chunk.
    Chunk,
}

/// Holds the start of a body back until it is known whether it is a chunk.
#[derive(Debug, Default)]
pub(super) struct HiddenChunks {
    held: BytesMut,
}

impl HiddenChunks {
    /// Adds bytes of the body.
    pub(super) fn push(&mut self, bytes: &[u8]) -> BodyStart {
        self.held.extend_from_slice(bytes);
        match first_chunk(&self.held) {
            Some(end) if end <= self.held.len() => BodyStart::Chunk,
            Some(end) if end <= MAX_HELD_BYTES => BodyStart::Unknown,
            _ => BodyStart::Plain(self.finish()),
        }
    }

    /// Returns whether nothing is held back.
    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the bytes that are held back at the end of the body.
    pub(super) fn finish(&mut self) -> Bytes {
        self.held.split().freeze()
    }
}

/// Returns the length that the first chunk has at least, or `None` if there is none.
fn first_chunk(body: &[u8]) -> Option<usize> {
    let digits = body.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    if digits > MAX_SIZE_DIGITS || (digits == 0 && !body.is_empty()) {
        return None;
    }
    let rest = &body[digits..];
    if !is_prefix(rest, b"\r\n") {
        return None;
    }
    if rest.len() < 2 {
        return Some(body.len() + 1);
    }
    let size = usize::from_str_radix(str::from_utf8(&body[..digits]).ok()?, 16).ok()?;
    let end = digits + 2 + size;
    let terminator = body.get(end..).unwrap_or_default();
    is_prefix(terminator, b"\r\n").then_some(end + 2)
}

/// Returns whether bytes begin with a mark, as far as they go.
fn is_prefix(bytes: &[u8], mark: &[u8]) -> bool {
    bytes.iter().zip(mark).all(|(byte, marked)| byte == marked)
}
