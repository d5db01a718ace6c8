//! Recognizes chunks in a body whose head names no coding.
//!
//! If a single byte of the name `Transfer-Encoding` is wrong, the head is well formed, and the body seems to end with its
//! connection. Its reader would take the sizes of the chunks for a part of it.

use bytes::{Bytes, BytesMut};

/// Longest start of a body that is held back while it may be a chunk. Bytes beyond it are passed on while the end of the
/// chunk is awaited, so that the answer is broken off there and nobody takes it for a whole one.
const MAX_HELD_BYTES: usize = 64 << 10;

/// Longest line with the size of a chunk, in bytes: sizes may have zeros before them and extensions behind them.
const MAX_SIZE_LINE: usize = 4 << 10;

/// End of the line with the size of a chunk, and of the chunk.
const LINE_END: &[u8] = b"\r\n";

/// What the start of a body shows.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum BodyStart {
    /// It may be the start of a chunk.
    Unknown,
    /// It may be a part of a long chunk; these bytes are passed on.
    LongChunk(Bytes),
    /// It is not; these are the bytes that were held back.
    Plain(Bytes),
    /// It is a whole chunk.
    Chunk,
}

/// Holds the start of a body back until it is known whether it is a chunk.
#[derive(Debug, Default)]
pub(super) struct HiddenChunks {
    held: BytesMut,
    /// Number of bytes that were passed on, of what may be a long chunk.
    passed: u64,
    /// Length of that chunk with its size and its end.
    length: Option<u64>,
}

/// The line at the start of a body, as the size of a chunk.
#[derive(Debug, PartialEq, Eq)]
enum SizeLine {
    /// The length of the chunk with this line and its end.
    Whole(u64),
    Incomplete,
    None,
}

impl HiddenChunks {
    /// Adds bytes of the body.
    pub(super) fn push(&mut self, bytes: &[u8]) -> BodyStart {
        self.held.extend_from_slice(bytes);
        if self.length.is_none() {
            match read_size_line(&self.held) {
                SizeLine::Whole(length) => self.length = Some(length),
                SizeLine::Incomplete => return BodyStart::Unknown,
                SizeLine::None => return BodyStart::Plain(self.finish()),
            }
        }
        self.find_end()
    }

    /// Looks for the end of the chunk whose length is known.
    fn find_end(&mut self) -> BodyStart {
        let length = self.length.unwrap_or(u64::MAX);
        let left = length.saturating_sub(self.passed);
        let end = usize::try_from(left).unwrap_or(usize::MAX);
        let mark = end.saturating_sub(LINE_END.len());
        let found = self.held.get(mark..).unwrap_or_default();
        if !is_prefix(found, LINE_END) {
            return BodyStart::Plain(self.finish());
        }
        if end <= self.held.len() {
            return BodyStart::Chunk;
        }
        if length <= MAX_HELD_BYTES as u64 {
            return BodyStart::Unknown;
        }
        let passed = self.held.split_to(mark.min(self.held.len())).freeze();
        self.passed += passed.len() as u64;
        BodyStart::LongChunk(passed)
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

/// Reads the first line of a body as the size of a chunk, which may have an extension.
fn read_size_line(body: &[u8]) -> SizeLine {
    let digits = body.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    if digits == 0 && !body.is_empty() {
        return SizeLine::None;
    }
    let after = &body[digits..];
    if after.first().is_some_and(|b| !b" \t;\r".contains(b)) {
        return SizeLine::None;
    }
    let line = &body[..body.len().min(MAX_SIZE_LINE)];
    let Some(end) = line.iter().position(|b| *b == b'\n') else {
        let may_end = line.len() < MAX_SIZE_LINE;
        return if may_end {
            SizeLine::Incomplete
        } else {
            SizeLine::None
        };
    };
    let line = &body[digits..end];
    if !line.ends_with(b"\r") || !is_extension(line) {
        return SizeLine::None;
    }
    let size = body[..digits].iter().fold(0_u64, |size, digit| {
        let digit = (*digit as char).to_digit(16).unwrap_or_default();
        size.saturating_mul(16).saturating_add(digit.into())
    });
    let line_length = (end + 1 + LINE_END.len()) as u64;
    SizeLine::Whole(size.saturating_add(line_length))
}

/// Returns whether what follows the digits of a size is an extension, or blanks.
fn is_extension(line: &[u8]) -> bool {
    let text = line.trim_ascii();
    text.is_empty() || text.starts_with(b";")
}

/// Returns whether bytes begin with a mark, as far as they go.
pub(crate) fn is_prefix(bytes: &[u8], mark: &[u8]) -> bool {
    bytes.iter().zip(mark).all(|(byte, marked)| byte == marked)
}
