//! Messages and framing between firdock instances.
//!
//! Messages are prost's, generated from `proto/firdock.proto` and committed; frames are
//! tokio-util's length-delimited ones with a size limit. A peer that sends anything else is an
//! error, never a panic (see `docs/design/peers.md`).

pub mod auth;
mod codec;
#[expect(
    missing_docs,
    clippy::empty_structs_with_brackets,
    clippy::large_enum_variant,
    clippy::pedantic,
    reason = "generated code; its comments are the .proto's"
)]
pub mod message;

pub use codec::{FrameCodec, WireError};
pub use message::{Frame, frame::Body};

/// Version of the protocol; peers of another version are not talked to.
pub const PROTOCOL: u32 = 1;
