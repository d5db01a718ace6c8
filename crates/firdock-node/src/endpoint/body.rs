//! Reading of the body of an endpoint's answer, with how it ended.

use std::error::Error;
use std::io::{self, ErrorKind};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};

use super::ending::{Ending, Framing};

/// Body of an endpoint's answer on its way in.
#[derive(Debug)]
pub struct EndpointBody {
    body: Incoming,
    framing: Framing,
}

impl EndpointBody {
    /// Makes the reader of a body whose head told this framing.
    #[must_use]
    pub fn new(body: Incoming, framing: Framing) -> Self {
        Self { body, framing }
    }

    /// Gives how the head framed it.
    #[must_use]
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Tells whether all of it has been read.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Gives the next bytes.
    ///
    /// # Errors
    ///
    /// Gives how the body ended once no more come, the end that its framing asks for among them.
    pub async fn next(&mut self) -> Result<Bytes, Ending> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(bytes);
                    }
                }
                Some(Err(e)) => return Err(ending_of(&e)),
                None if self.framing == Framing::Connection => return Err(Ending::Closed),
                None => return Err(Ending::Framed),
            }
        }
    }
}

/// Gives how a connection came to break off, by its error.
pub(crate) fn ending_of(error: &hyper::Error) -> Ending {
    if error.is_parse() {
        return Ending::Foreign;
    }
    match io_kind(error) {
        Some(ErrorKind::UnexpectedEof | ErrorKind::InvalidInput | ErrorKind::InvalidData)
        | None => Ending::Early,
        Some(_) => Ending::Reset,
    }
}

/// Finds what the operating system, or the decoder of chunks, says in an error's causes.
fn io_kind(error: &hyper::Error) -> Option<ErrorKind> {
    let mut cause = error.source();
    while let Some(e) = cause {
        if let Some(e) = e.downcast_ref::<io::Error>() {
            return Some(e.kind());
        }
        cause = e.source();
    }
    None
}
