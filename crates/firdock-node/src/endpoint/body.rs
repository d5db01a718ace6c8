//! Reads the body of an endpoint's answer and determines how it ended.

use std::error::Error;
use std::io::{self, ErrorKind};
use std::time::Duration;

use bytes::Bytes;
use firdock_policy::event::HeadFault;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::header::HeaderName;

use super::ending::Ending;
use super::next_head::NextHead;
use crate::http::{BodyError, EndlessBytes, Framing, InvalidHead, ResponseBody};
use crate::peer::TunnelBroken;

/// Time for which bytes are awaited behind an answer whose head says that it has no body. A body may come apart from its
/// head, and a length that was spoilt to zero would make the caller take nothing for all of it.
const EMPTY_BODY_WAIT: Duration = Duration::from_millis(20);

/// Body of an endpoint's answer that is being received.
#[derive(Debug)]
pub struct EndpointBody {
    body: ResponseBody,
    /// Whether bytes are awaited behind an empty body.
    awaits_bytes: bool,
    /// Looks for another answer behind one that nothing delimits.
    next_head: Option<NextHead>,
}

impl EndpointBody {
    /// Creates the reader of a body.
    #[must_use]
    pub fn new(body: ResponseBody) -> Self {
        Self {
            body,
            awaits_bytes: false,
            next_head: None,
        }
    }

    /// Awaits bytes behind an empty body whose head gives its length, for a short time. Worth it where a caller would take
    /// nothing for a success.
    #[must_use]
    pub fn with_awaited_bytes(mut self, awaits: bool) -> Self {
        self.awaits_bytes = awaits && self.framing() == Framing::Length;
        self
    }

    /// Sets the field that each answer of the endpoint has, by which a second answer is recognized.
    #[must_use]
    pub fn with_id_field(mut self, name: HeaderName) -> Self {
        let is_undelimited = self.framing() == Framing::Connection;
        self.next_head = is_undelimited.then(|| NextHead::new(name));
        self
    }

    /// Returns the framing of the body.
    #[must_use]
    pub fn framing(&self) -> Framing {
        self.body.framing()
    }

    /// Whether the body has been read completely.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Returns the next bytes.
    ///
    /// # Errors
    ///
    /// Returns how the body ended once there are no more bytes, also when it ended as its framing
    /// says.
    pub async fn next(&mut self) -> Result<Bytes, Ending> {
        loop {
            if self.next_head.as_ref().is_some_and(NextHead::is_found) {
                return Err(Ending::Closed);
            }
            let read = self.next_bytes().await;
            let Some(next_head) = &mut self.next_head else {
                return read;
            };
            match read {
                Ok(bytes) => {
                    let bytes = next_head.push(bytes);
                    if !bytes.is_empty() {
                        return Ok(bytes);
                    }
                }
                Err(Ending::Closed) => return next_head.finish().ok_or(Ending::Closed),
                Err(ending) => return Err(ending),
            }
        }
    }

    async fn next_bytes(&mut self) -> Result<Bytes, Ending> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.awaits_bytes = false;
                        return Ok(bytes);
                    }
                }
                Some(Err(BodyError::Http { source })) => return Err(ending_of(&source)),
                Some(Err(BodyError::Excess)) => return Err(Ending::Excess),
                Some(Err(BodyError::HiddenChunks)) => {
                    return Err(Ending::InvalidHead(HeadFault::Coding));
                }
                None if self.framing() == Framing::Connection => return Err(Ending::Closed),
                None if self.awaits_bytes => {
                    let is_followed = self.body.is_followed(EMPTY_BODY_WAIT).await;
                    return Err(if is_followed {
                        Ending::Excess
                    } else {
                        Ending::Framed
                    });
                }
                None => return Err(Ending::Framed),
            }
        }
    }
}

/// Returns how a connection ended, by its error.
pub(crate) fn ending_of(error: &hyper::Error) -> Ending {
    if error.is_parse() {
        return Ending::Foreign;
    }
    let Some(error) = io_error(error) else {
        return Ending::Early;
    };
    if error.get_ref().is_some_and(is_broken_tunnel) {
        return Ending::PeerLost;
    }
    if error.get_ref().is_some_and(is_endless) {
        return Ending::Endless;
    }
    let invalid = error
        .get_ref()
        .and_then(|e| e.downcast_ref::<InvalidHead>());
    if let Some(invalid) = invalid {
        return Ending::InvalidHead(invalid.fault);
    }
    match error.kind() {
        ErrorKind::UnexpectedEof | ErrorKind::InvalidInput | ErrorKind::InvalidData => {
            Ending::Early
        }
        _ => Ending::Reset,
    }
}

fn is_endless(error: &(dyn Error + Send + Sync + 'static)) -> bool {
    error.is::<EndlessBytes>()
}

fn is_broken_tunnel(error: &(dyn Error + Send + Sync + 'static)) -> bool {
    error.is::<TunnelBroken>()
}

/// Finds the I/O error among the causes, which the connection or the chunk decoder reported.
fn io_error(error: &hyper::Error) -> Option<&io::Error> {
    let mut cause = error.source();
    while let Some(e) = cause {
        if let Some(e) = e.downcast_ref::<io::Error>() {
            return Some(e);
        }
        cause = e.source();
    }
    None
}
