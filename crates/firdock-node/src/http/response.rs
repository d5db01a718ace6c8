//! The body of a response, whose reader tells its connection that the bytes bring something.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use snafu::{ResultExt as _, Snafu};

use super::bounded::IdleBytes;
use super::framing::Framing;

/// Error of reading a body.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection broke, or its bytes are no body.
    #[snafu(display("the body could not be read"))]
    Http {
        /// Cause.
        source: hyper::Error,
    },
}

/// Body of a response that is being received.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    framing: Framing,
    idle: IdleBytes,
}

impl ResponseBody {
    pub(super) fn new(body: Incoming, framing: Framing, idle: IdleBytes) -> Self {
        Self {
            body,
            framing,
            idle,
        }
    }

    /// Returns how the head of the response delimits the body.
    #[must_use]
    pub fn framing(&self) -> Framing {
        self.framing
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            let data = frame.data_ref();
            self.idle.add_body(data.map_or(0, Bytes::len));
        }
        Poll::Ready(frame.map(|frame| frame.context(HttpSnafu)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
