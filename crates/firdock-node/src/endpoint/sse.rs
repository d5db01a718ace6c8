//! Decoder of server-sent events with bounded buffers.

use bytes::BytesMut;
use snafu::Snafu;

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A decoded event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SseEvent {
    /// Data of an event.
    Data(String),
    /// A comment, which serves only as a keep-alive.
    Comment,
}

/// The bytes are not an event stream.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(display("invalid event stream, or an event larger than {MAX_EVENT_BYTES} bytes"))]
pub struct InvalidEventStream;

/// Assembles events from the received bytes.
#[derive(Debug, Default)]
pub struct SseDecoder {
    buffer: BytesMut,
    data: String,
    has_data: bool,
}

impl SseDecoder {
    /// Creates an empty decoder.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails on text that is not UTF-8 and on events above the size limit.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, InvalidEventStream> {
        while let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
            let line = self.buffer.split_to(end + 1);
            let line = line.strip_suffix(b"\n").unwrap_or(&line);
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let Ok(line) = std::str::from_utf8(line) else {
                return InvalidEventStreamSnafu.fail();
            };
            if let Some(event) = decode_line(line, &mut self.data, &mut self.has_data) {
                return Ok(Some(event));
            }
            if self.data.len() > MAX_EVENT_BYTES {
                return InvalidEventStreamSnafu.fail();
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return InvalidEventStreamSnafu.fail();
        }
        Ok(None)
    }
}

fn decode_line(line: &str, data: &mut String, has_data: &mut bool) -> Option<SseEvent> {
    if line.is_empty() {
        let whole = std::mem::take(has_data).then(|| std::mem::take(data));
        return whole.map(SseEvent::Data);
    }
    if line.starts_with(':') {
        return Some(SseEvent::Comment);
    }
    if let Some(value) = line.strip_prefix("data:") {
        if *has_data {
            data.push('\n');
        }
        *has_data = true;
        data.push_str(value.strip_prefix(' ').unwrap_or(value));
    }
    None
}
