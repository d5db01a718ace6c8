//! Cutting of an event stream at the ends of its events, so that no part of one is passed on.
//!
//! An endpoint that breaks off inside an event leaves a part that a second endpoint would send
//! again; only whole events may reach the caller (see `docs/design/endpoints.md`).

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// Longest event that is waited for.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event was longer than allowed.
#[derive(Debug, Snafu)]
#[snafu(display("an event of more than {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLong;

/// Whole events, as they came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeEvents {
    /// Their bytes.
    pub bytes: Bytes,
    /// How many there are.
    pub count: u32,
    /// Id of the last one that has an id.
    pub last_id: Option<String>,
}

/// Collects bytes of a stream until events are whole.
#[derive(Debug, Default)]
pub struct EventCutter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that hold no end of an event.
    searched: usize,
}

impl EventCutter {
    /// Takes bytes; gives the events that are whole now, `None` where none is.
    ///
    /// # Errors
    ///
    /// Fails if an event is longer than allowed.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<WholeEvents>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = self.last_end() else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            // The end of an event has up to four bytes, of which three may be there already.
            self.searched = self.buffer.len().saturating_sub(3);
            return Ok(None);
        };
        let whole = self.buffer.split_to(end).freeze();
        self.searched = 0;
        Ok(Some(read_events(whole)))
    }

    /// Gives what is left at the end of the stream.
    #[must_use]
    pub fn rest(self) -> Bytes {
        self.buffer.freeze()
    }

    /// Finds the end of the last whole event in the buffer.
    fn last_end(&self) -> Option<usize> {
        let tail = &self.buffer[self.searched..];
        let after = |at: usize, len: usize| self.searched + at + len;
        let plain = tail.windows(2).rposition(|w| w == b"\n\n");
        let crlf = tail.windows(4).rposition(|w| w == b"\r\n\r\n");
        let ends = [plain.map(|at| after(at, 2)), crlf.map(|at| after(at, 4))];
        ends.into_iter().flatten().max()
    }
}

/// Counts events and finds the last id.
fn read_events(bytes: Bytes) -> WholeEvents {
    let mut count = 0;
    let mut last_id = None;
    let mut in_event = false;
    for line in bytes.split(|b| *b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        count += u32::from(in_event && line.is_empty());
        in_event = !line.is_empty();
        if let Some(id) = line.strip_prefix(b"id:") {
            last_id = std::str::from_utf8(id).ok().map(|id| id.trim().to_owned());
        }
    }
    WholeEvents {
        bytes,
        count,
        last_id,
    }
}
