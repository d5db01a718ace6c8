//! Codec for frames of bounded size that hold one message each.

use bytes::{Bytes, BytesMut};
use prost::Message as _;
use snafu::{ResultExt as _, Snafu};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::message::{Frame, frame::Body};

/// Error in the bytes of a connection.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum WireError {
    /// The connection failed, or a frame exceeded the size limit.
    #[snafu(display("connection failed, or frame too long"), context(false))]
    Io {
        /// Cause.
        source: std::io::Error,
    },
    /// The bytes of a frame are not a valid message.
    #[snafu(display("frame does not hold a valid message"))]
    Decode {
        /// Cause.
        source: prost::DecodeError,
    },
    /// A frame holds a message of an unknown kind.
    #[snafu(display("frame holds a message of an unknown kind"))]
    UnknownKind,
}

/// Codec for connections between instances.
#[derive(Debug)]
pub struct FrameCodec {
    frames: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec that rejects frames longer than `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(max_bytes)
            .new_codec();
        Self { frames }
    }

    /// Sets the length of a frame from which on it is rejected.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.frames.set_max_frame_length(max_bytes);
    }
}

impl Decoder for FrameCodec {
    type Item = Body;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Body>, WireError> {
        let Some(bytes) = self.frames.decode(src)? else {
            return Ok(None);
        };
        let frame = Frame::decode(bytes).context(DecodeSnafu)?;
        frame
            .body
            .map_or_else(|| UnknownKindSnafu.fail(), |body| Ok(Some(body)))
    }
}

impl Encoder<Body> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, item: Body, dst: &mut BytesMut) -> Result<(), WireError> {
        let frame = Frame { body: Some(item) };
        self.frames
            .encode(Bytes::from(frame.encode_to_vec()), dst)?;
        Ok(())
    }
}
