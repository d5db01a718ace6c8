//! The body of a response, whose reader tells its connection that the bytes bring something.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use snafu::{ResultExt as _, Snafu};
use tokio::time::sleep;

use super::answer_bytes::SharedAnswerBytes;
use super::bounded::IdleBytes;
use super::framing::Framing;
use super::hidden_chunks::{BodyStart, HiddenChunks};

/// Interval between looks for bytes behind a body.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// Error of reading a body.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection broke, or its bytes are no body.
    #[snafu(display("the body could not be read"))]
    Http {
        /// Cause.
        source: hyper::Error,
    },
    /// The other side sent more than the head says, so that the body may be a part.
    #[snafu(display("bytes follow the end of the body that its head names"))]
    Excess,
    /// The body consists of chunks, which its head does not say.
    #[snafu(display("the body has chunks and its head names no coding"))]
    HiddenChunks,
}

/// A frame of a body, its end or its error.
type Checked = Option<Result<Frame<Bytes>, BodyError>>;

/// Body of a response that is being received.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    framing: Framing,
    idle: IdleBytes,
    bytes: SharedAnswerBytes,
    /// Looks for chunks until it is known that there are none.
    start: Option<HiddenChunks>,
}

impl ResponseBody {
    pub(super) fn new(
        body: Incoming,
        framing: Framing,
        idle: IdleBytes,
        bytes: SharedAnswerBytes,
    ) -> Self {
        Self {
            body,
            framing,
            idle,
            bytes,
            start: (framing == Framing::Connection).then(HiddenChunks::default),
        }
    }

    /// Returns how the head of the response delimits the body.
    #[must_use]
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Holds a frame back while it may be the start of chunks.
    fn check_start(&mut self, frame: Option<Frame<Bytes>>) -> Option<Checked> {
        let Some(start) = &mut self.start else {
            return Some(Ok(frame).transpose());
        };
        let Some(frame) = frame else {
            let held = start.finish();
            return Some((!held.is_empty()).then(|| Ok(Frame::data(held))));
        };
        let Ok(data) = frame.into_data() else {
            return None;
        };
        match start.push(&data) {
            BodyStart::Unknown => None,
            BodyStart::LongChunk(passed) if passed.is_empty() => None,
            BodyStart::LongChunk(passed) => Some(Some(Ok(Frame::data(passed)))),
            BodyStart::Chunk => Some(Some(HiddenChunksSnafu.fail())),
            BodyStart::Plain(held) => {
                self.start = None;
                Some(Some(Ok(Frame::data(held))))
            }
        }
    }

    /// Waits for bytes behind the end that the head names; returns whether any came.
    pub async fn is_followed(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while !self.has_excess() && Instant::now() < end {
            sleep(LOOK_INTERVAL).await;
        }
        self.has_excess()
    }

    /// Whether the body ended where its head says, with more bytes behind it.
    fn has_excess(&self) -> bool {
        self.body.is_end_stream() && self.bytes.lock().has_excess()
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        loop {
            let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
            let frame = match frame.transpose().context(HttpSnafu) {
                Ok(frame) => frame,
                Err(e) => return Poll::Ready(Some(Err(e))),
            };
            let data = frame.as_ref().and_then(Frame::data_ref);
            if frame.is_some() {
                self.idle.add_body(data.map_or(0, Bytes::len));
            }
            // The last part is withheld with its end: a caller that has all bytes of a length takes them for a whole answer.
            if self.has_excess() {
                return Poll::Ready(Some(ExcessSnafu.fail()));
            }
            if let Some(checked) = self.check_start(frame) {
                return Poll::Ready(checked);
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let is_held = self.start.as_ref().is_some_and(|start| !start.is_empty());
        self.body.is_end_stream() && !is_held && !self.has_excess()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
