//! Frames of bounded size, each holding one message.

use bytes::{Bytes, BytesMut};
use prost::Message as _;
use snafu::{ResultExt as _, Snafu};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::message::{Frame, frame::Body};

/// What can be wrong with a connection's bytes.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum WireError {
    /// The connection broke, or a frame was longer than allowed.
    #[snafu(display("connection or frame length"), context(false))]
    Io {
        /// Cause.
        source: std::io::Error,
    },
    /// The bytes of a frame are no message.
    #[snafu(display("frame holds no message"))]
    Decode {
        /// Cause.
        source: prost::DecodeError,
    },
    /// A frame holds a message of no kind known here.
    #[snafu(display("frame holds a message of an unknown kind"))]
    UnknownKind,
}

/// Codec for connections between instances.
#[derive(Debug)]
pub struct FrameCodec {
    frames: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Makes a codec that refuses frames longer than `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(max_bytes)
            .new_codec();
        Self { frames }
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
