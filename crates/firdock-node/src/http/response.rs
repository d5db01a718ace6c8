//! The body of a response, whose reader tells its connection that the bytes bring something.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::bounded::IdleBytes;

/// Body of a response that is being received.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    idle: IdleBytes,
}

impl ResponseBody {
    pub(super) fn new(body: Incoming, idle: IdleBytes) -> Self {
        Self { body, idle }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            let data = frame.data_ref();
            self.idle.add_body(data.map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
