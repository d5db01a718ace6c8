//! Follows the bytes of answers as they are read, to find those after the end that a head names.
//!
//! A length that is too short makes a part of a body look complete. Only the bytes after it show that: the library drops
//! them (see `docs/design/endings.md`).

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use firdock_policy::event::HeadFault;
use hyper::Method;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::framing::InvalidHead;

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Start of every answer. One may follow another that was not asked for, and says nothing about the one before it.
pub(crate) const ANSWER_START: &[u8] = b"HTTP/1.";

/// Place in the bytes of an answer.
#[derive(Debug)]
enum Place {
    /// In a head, of which these bytes have been read.
    Head(Vec<u8>),
    /// In a body that has so many bytes left.
    Body(u64),
    /// In a body without a length.
    Unmeasured,
    /// After the end of the answer, with the first bytes that follow.
    After(Vec<u8>),
}

/// Follows the bytes of one answer after the other.
#[derive(Debug)]
pub(super) struct AnswerBytes {
    place: Place,
    has_body: bool,
}

impl Default for AnswerBytes {
    fn default() -> Self {
        Self {
            place: Place::Head(Vec::new()),
            has_body: true,
        }
    }
}

impl AnswerBytes {
    /// Begins the answer to a request with this method.
    pub(super) fn begin(&mut self, method: &Method) {
        self.place = Place::Head(Vec::new());
        self.has_body = method != Method::HEAD;
    }

    /// Returns whether the answer is followed by bytes that begin no other answer.
    pub(super) fn has_excess(&self) -> bool {
        match &self.place {
            Place::After(bytes) => !ANSWER_START.starts_with(bytes),
            _ => false,
        }
    }

    /// Takes the bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails if a line of a head does not end with CRLF, which readers take for one line or for two.
    pub(super) fn push(&mut self, mut bytes: &[u8]) -> Result<(), InvalidHead> {
        while !bytes.is_empty() {
            let taken = match &mut self.place {
                Place::Head(head) => {
                    let taken = push_head(head, bytes)?;
                    if head.ends_with(HEAD_END) {
                        self.place = place_after(head, self.has_body);
                    }
                    taken
                }
                Place::Body(0) => {
                    self.place = Place::After(Vec::new());
                    0
                }
                Place::Body(left) => {
                    let taken = usize::try_from(*left).map_or(bytes.len(), |n| n.min(bytes.len()));
                    *left -= taken as u64;
                    taken
                }
                Place::Unmeasured => bytes.len(),
                Place::After(first) => {
                    let missing = ANSWER_START.len().saturating_sub(first.len());
                    first.extend_from_slice(&bytes[..missing.min(bytes.len())]);
                    bytes.len()
                }
            };
            bytes = &bytes[taken..];
        }
        Ok(())
    }
}

/// Adds bytes to a head, up to its end. Returns how many.
fn push_head(head: &mut Vec<u8>, bytes: &[u8]) -> Result<usize, InvalidHead> {
    let mut taken = 0;
    while let Some(line_end) = bytes[taken..].iter().position(|b| *b == b'\n') {
        head.extend_from_slice(&bytes[taken..=taken + line_end]);
        taken += line_end + 1;
        if !head.ends_with(b"\r\n") {
            let fault = HeadFault::LineEnd;
            return Err(InvalidHead { fault });
        }
        if head == b"\r\n" {
            // The library skips blank lines before a head.
            head.clear();
        }
        if head.ends_with(HEAD_END) {
            return Ok(taken);
        }
    }
    head.extend_from_slice(&bytes[taken..]);
    Ok(bytes.len())
}

/// Returns the place after a complete head. What is wrong with it otherwise is left to those who parse it.
fn place_after(head: &[u8], has_body: bool) -> Place {
    let text = String::from_utf8_lossy(head);
    let mut lines = text.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1));
    if status.is_some_and(|s| s.starts_with('1') && s != "101") {
        // Another head follows an interim one.
        return Place::Head(Vec::new());
    }
    if !has_body || matches!(status, Some("204" | "304")) {
        return Place::Body(0);
    }
    let fields = lines.filter_map(|line| line.split_once(':'));
    let mut lengths = fields.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = lengths
        .next()
        .and_then(|(_, value)| value.trim().parse().ok());
    length.map_or(Place::Unmeasured, Place::Body)
}

/// Place in the answers of a connection, for those who read its bytes and for those who read its messages.
#[derive(Debug, Clone, Default)]
pub(super) struct SharedAnswerBytes(Arc<Mutex<AnswerBytes>>);

impl SharedAnswerBytes {
    pub(super) fn lock(&self) -> MutexGuard<'_, AnswerBytes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stream whose read bytes are followed.
#[derive(Debug)]
pub(super) struct FollowedStream<S> {
    stream: S,
    bytes: SharedAnswerBytes,
}

impl<S> FollowedStream<S> {
    pub(super) fn new(stream: S, bytes: SharedAnswerBytes) -> Self {
        Self { stream, bytes }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FollowedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let followed = self.bytes.lock().push(&buf.filled()[before..]);
        let invalid = |head| io::Error::new(io::ErrorKind::InvalidData, head);
        Poll::Ready(followed.map_err(invalid))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FollowedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
