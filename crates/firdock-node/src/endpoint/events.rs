//! Splits an event stream at the ends of its events, so that no partial event is forwarded.
//!
//! When an endpoint breaks off inside an event, a second endpoint would send that event again. Only
//! complete events may therefore reach the caller (see `docs/design/endings.md`). Lines end with
//! LF, CRLF or CR, also mixed, as the format of server-sent events defines.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

use super::ending::TrailingData;

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Byte order mark that may precede the first line.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// An event exceeded the size limit.
#[derive(Debug, Snafu)]
#[snafu(display("event larger than {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLong;

/// Complete events, byte for byte as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The events with the comments and blank lines between them.
    pub bytes: Bytes,
    /// Number of events.
    pub count: u32,
    /// ID of the last event. `None` if it has no ID of its own, so that the stream cannot resume
    /// after it.
    pub last_id: Option<String>,
}

/// Buffers the bytes of a stream until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes in the buffer that have been scanned.
    scanned: usize,
    /// Start of the current line.
    line: usize,
    /// Whether the last line ended with a CR. A following LF belongs to the same line end.
    after_cr: bool,
    /// Whether any line has ended: a byte order mark is allowed only before that.
    past_first_line: bool,
    place: Place,
    /// ID of the open event.
    id: Option<String>,
    /// Number of complete events so far.
    events: u32,
    /// What the next event has to come after.
    last: LastEvent,
}

/// Where in the stream the last scanned line is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Place {
    #[default]
    Between,
    /// In an event that has a field, but has not ended.
    InEvent,
    /// Behind the stream: what follows the complete events is no part of it.
    Behind,
}

/// The last event that has an ID.
#[derive(Debug, Default)]
enum LastEvent {
    #[default]
    None,
    /// The caller has it, and the stream is to continue after it.
    Before(String),
    /// It is one of this stream.
    OfStream(String),
}

impl EventSplitter {
    /// Creates the splitter of a stream that continues after an event.
    #[must_use]
    pub fn continuing_after(id: Option<String>) -> Self {
        Self {
            last: id.map_or(LastEvent::None, LastEvent::Before),
            ..Self::default()
        }
    }

    /// Whether the stream went on with what is no part of it: an event that the caller has already, or bytes that are no
    /// event. What was complete before that is a part of it.
    #[must_use]
    pub fn is_foreign(&self) -> bool {
        self.place == Place::Behind
    }

    /// Adds bytes and returns what is complete, or `None` if nothing can be forwarded yet.
    ///
    /// Comments and blank lines before the first event are held back until it is complete, so that
    /// nothing has reached the caller if the stream breaks earlier. Later ones act as keep-alives
    /// and are forwarded immediately.
    ///
    /// # Errors
    ///
    /// Fails if an event exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<CompleteEvents>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut scan = Scanned::default();
        while !self.is_foreign()
            && let Some(at) = self.next_line_end()
        {
            self.handle_line_end(at, &mut scan);
        }
        if self.scanned < self.buffer.len() {
            self.scanned = self.buffer.len();
            self.after_cr = false;
        }
        self.events = self.events.saturating_add(scan.count);
        if scan.end > 0 && self.has_begun() {
            return Ok(Some(self.split_complete(scan)));
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(None)
    }

    /// Returns the bytes left at the end of the stream that were not forwarded, and what they are.
    #[must_use]
    pub fn finish(self) -> (Bytes, TrailingData) {
        let trailing = self.trailing_data();
        (self.buffer.freeze(), trailing)
    }

    fn trailing_data(&self) -> TrailingData {
        let line = self.strip_byte_order_mark(&self.buffer[self.line..]);
        if self.place != Place::Between {
            TrailingData::Event
        } else if line.is_empty() {
            TrailingData::Nothing
        } else if line.starts_with(b":") {
            TrailingData::Comment
        } else {
            TrailingData::Event
        }
    }

    /// Whether any event has been complete.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.events > 0
    }

    /// Finds the next CR or LF.
    fn next_line_end(&self) -> Option<usize> {
        let unread = &self.buffer[self.scanned..];
        let at = unread.iter().position(|b| matches!(b, b'\n' | b'\r'))?;
        Some(self.scanned + at)
    }

    fn handle_line_end(&mut self, at: usize, scan: &mut Scanned) {
        let follows_cr = self.after_cr && at == self.scanned;
        let byte = self.buffer[at];
        self.scanned = at + 1;
        self.after_cr = byte == b'\r';
        if byte == b'\n' && follows_cr {
            // The LF of a CRLF.
            self.line = self.scanned;
            if self.place == Place::Between {
                scan.end = self.scanned;
            }
        } else {
            self.end_line(scan);
        }
    }

    /// Handles the line that ends with the last scanned byte.
    fn end_line(&mut self, scan: &mut Scanned) {
        let line = &self.buffer[self.line..self.scanned - 1];
        let line = self.strip_byte_order_mark(line);
        if line.is_empty() {
            if self.place != Place::Between {
                let id = self.id.take().filter(|id| !id.is_empty());
                if id.as_ref().is_some_and(|id| self.has_passed(id)) {
                    self.place = Place::Behind;
                    return;
                }
                self.end_event(id, scan);
            }
        } else if !line.starts_with(b":") {
            if !is_field(line) {
                self.place = Place::Behind;
                return;
            }
            if let Some(id) = read_id(line) {
                self.id = Some(id);
            }
            self.place = Place::InEvent;
        }
        self.past_first_line = true;
        self.line = self.scanned;
        if self.place == Place::Between {
            scan.end = self.scanned;
        }
    }

    fn end_event(&mut self, id: Option<String>, scan: &mut Scanned) {
        self.place = Place::Between;
        scan.count += 1;
        scan.last_id.clone_from(&id);
        if let Some(id) = id {
            self.last = LastEvent::OfStream(id);
        }
    }

    /// Whether the stream is at this ID or beyond it. Within a stream only numbers tell that; the first event of one that
    /// continues after another has to differ from that one.
    fn has_passed(&self, id: &str) -> bool {
        let (last, is_before) = match &self.last {
            LastEvent::None => return false,
            LastEvent::Before(last) => (last, true),
            LastEvent::OfStream(last) => (last, false),
        };
        match (id.parse::<u64>(), last.parse::<u64>()) {
            (Ok(id), Ok(last)) => id <= last,
            _ => is_before && id == last,
        }
    }

    /// Strips the byte order mark, which only the first line may have.
    fn strip_byte_order_mark<'a>(&self, line: &'a [u8]) -> &'a [u8] {
        let request_builder = line.strip_prefix(BYTE_ORDER_MARK);
        request_builder
            .filter(|_| !self.past_first_line)
            .unwrap_or(line)
    }

    fn split_complete(&mut self, scan: Scanned) -> CompleteEvents {
        self.scanned -= scan.end;
        self.line -= scan.end;
        CompleteEvents {
            bytes: self.buffer.split_to(scan.end).freeze(),
            count: scan.count,
            last_id: scan.last_id,
        }
    }
}

/// Result of scanning the buffer once.
#[derive(Debug, Default)]
struct Scanned {
    /// Position after the last byte at which no event was open.
    end: usize,
    count: u32,
    last_id: Option<String>,
}

/// Returns whether a line sets a field: without a value, only those that the format defines do.
fn is_field(line: &[u8]) -> bool {
    let name = line.split(|b| *b == b':').next().unwrap_or_default();
    let is_name = name
        .iter()
        .all(|b| b.is_ascii_alphanumeric() || b"-_".contains(b));
    let is_defined = [&b"data"[..], b"event", b"id", b"retry"].contains(&name);
    is_defined || (is_name && name.len() < line.len())
}

/// Returns the ID set by a field. Values that are not UTF-8 or contain a NUL set none.
fn read_id(line: &[u8]) -> Option<String> {
    let value = match line.strip_prefix(b"id")? {
        [] => &[],
        [b':', b' ', value @ ..] | [b':', value @ ..] => value,
        _ => return None,
    };
    let id = std::str::from_utf8(value).ok()?;
    (!id.contains('\0')).then(|| id.to_owned())
}
