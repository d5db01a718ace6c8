//! The ingress: takes HTTP/1.1 calls from callers and streams the answers back.
//!
//! The format of calls is defined by an [`Interface`]. The native one takes OpenAI-compatible calls for
//! models and plain calls for services (see `docs/operators/outcomes.md` for the outcomes that callers
//! see).

mod answer;
mod body;
mod handler;
mod identity;
mod interface;
mod key;
mod model;
mod native;
mod reading;
mod request;
mod state;
mod unread;

pub use answer::{OUTCOME_HEADER, Problem, REQUEST_ID_HEADER};
pub use body::AnswerBody;
pub use handler::{Ingress, IngressLimits};
pub use identity::{BodyHasher, Identity};
pub use interface::{BodyOwner, CallBody, IncomingCall, Interface};
pub use model::{ModelCall, ModelCallError, Usage};
pub use native::NativeInterface;
pub(crate) use request::{new_request, occupied_bytes};
pub use state::{IngressPhase, IngressState};
