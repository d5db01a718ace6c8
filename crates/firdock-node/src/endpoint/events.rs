//! Cutting of an event stream at the ends of its events, so that no part of one is passed on.
//!
//! An endpoint that breaks off inside an event leaves a part that a second endpoint would send
//! again; only whole events may reach the caller (see `docs/design/endings.md`). Lines end as the
//! format of server-sent events says: with LF, CRLF or CR, also mixed.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

use super::ending::TrailingData;

/// Longest event that is waited for.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Byte order mark that may stand before the first line.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// An event was longer than allowed.
#[derive(Debug, Snafu)]
#[snafu(display("an event of more than {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLong;

/// Whole events, as they came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes, with comments and blank lines between them.
    pub bytes: Bytes,
    /// How many there are.
    pub count: u32,
    /// Id of the last one; `None` where it has none of its own, so that nothing can go on after it.
    pub last_id: Option<String>,
}

/// Collects bytes of a stream until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that were looked at.
    scanned: usize,
    /// Where the line begins that has not ended.
    line: usize,
    /// Whether the last line ended with a CR, of which an LF may be a part.
    after_cr: bool,
    /// Whether a line has ended at all: a byte order mark may only stand before.
    past_mark: bool,
    /// Whether an event is open: a field of it has come, and not its end.
    in_event: bool,
    /// Id that the open event has.
    id: Option<String>,
    /// Whole events so far.
    events: u32,
}

impl EventSplitter {
    /// Takes bytes; gives what is whole now, `None` where nothing is to be passed on.
    ///
    /// Comments and blank lines before the first event wait for it, so that a stream that breaks before
    /// has told its caller nothing; later ones show that the stream lives, and wait for nothing.
    ///
    /// # Errors
    ///
    /// Fails if an event is longer than allowed.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<CompleteEvents>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut whole = Scanned::default();
        while let Some(at) = self.next_line_end() {
            self.take_line_end(at, &mut whole);
        }
        if self.scanned < self.buffer.len() {
            self.scanned = self.buffer.len();
            self.after_cr = false;
        }
        self.events = self.events.saturating_add(whole.count);
        if whole.end > 0 && self.has_begun() {
            return Ok(Some(self.cut(whole)));
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(None)
    }

    /// Gives what is left at the end of the stream: bytes that were not passed on, and what they are.
    #[must_use]
    pub fn finish(self) -> (Bytes, TrailingData) {
        let left = self.left();
        (self.buffer.freeze(), left)
    }

    fn left(&self) -> TrailingData {
        let line = self.unmarked(&self.buffer[self.line..]);
        if self.in_event {
            TrailingData::Event
        } else if line.is_empty() {
            TrailingData::Nothing
        } else if line.starts_with(b":") {
            TrailingData::Comment
        } else {
            TrailingData::Event
        }
    }

    /// Tells whether an event has been whole.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.events > 0
    }

    /// Finds the next byte that ends a line, or a second half of such an end.
    fn next_line_end(&self) -> Option<usize> {
        let unread = &self.buffer[self.scanned..];
        let at = unread.iter().position(|b| matches!(b, b'\n' | b'\r'))?;
        Some(self.scanned + at)
    }

    fn take_line_end(&mut self, at: usize, whole: &mut Scanned) {
        let follows_cr = self.after_cr && at == self.scanned;
        let byte = self.buffer[at];
        self.scanned = at + 1;
        self.after_cr = byte == b'\r';
        if byte == b'\n' && follows_cr {
            // The second half of the last line's end.
            self.line = self.scanned;
            if !self.in_event {
                whole.end = self.scanned;
            }
        } else {
            self.end_line(whole);
        }
    }

    /// Takes the line that ends with the byte that was looked at last.
    fn end_line(&mut self, whole: &mut Scanned) {
        let line = &self.buffer[self.line..self.scanned - 1];
        let line = self.unmarked(line);
        if line.is_empty() {
            if std::mem::replace(&mut self.in_event, false) {
                whole.count += 1;
                whole.last_id = self.id.take().filter(|id| !id.is_empty());
            }
        } else if !line.starts_with(b":") {
            if let Some(id) = read_id(line) {
                self.id = Some(id);
            }
            self.in_event = true;
        }
        self.past_mark = true;
        self.line = self.scanned;
        if !self.in_event {
            whole.end = self.scanned;
        }
    }

    /// Gives a line without the byte order mark, which only the first one may have.
    fn unmarked<'a>(&self, line: &'a [u8]) -> &'a [u8] {
        let marked = line.strip_prefix(BYTE_ORDER_MARK);
        marked.filter(|_| !self.past_mark).unwrap_or(line)
    }

    fn cut(&mut self, whole: Scanned) -> CompleteEvents {
        self.scanned -= whole.end;
        self.line -= whole.end;
        CompleteEvents {
            bytes: self.buffer.split_to(whole.end).freeze(),
            count: whole.count,
            last_id: whole.last_id,
        }
    }
}

/// What was found in the buffer by one look at it.
#[derive(Debug, Default)]
struct Scanned {
    /// Where nothing was open for the last time.
    end: usize,
    count: u32,
    last_id: Option<String>,
}

/// Gives the id that a field sets; one that is no text, or has a NUL, sets none.
fn read_id(line: &[u8]) -> Option<String> {
    let value = match line.strip_prefix(b"id")? {
        [] => &[],
        [b':', b' ', value @ ..] | [b':', value @ ..] => value,
        _ => return None,
    };
    let id = std::str::from_utf8(value).ok()?;
    (!id.contains('\0')).then(|| id.to_owned())
}
