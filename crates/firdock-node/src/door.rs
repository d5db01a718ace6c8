//! The callers' door: HTTP/1.1, OpenAI-compatible calls for models and plain calls for services.
//!
//! It checks who calls, bounds what it reads, and passes the parts of the answer on as they come
//! (see `docs/operators/outcomes.md` for what callers are told).

mod answer;
mod body;
mod handler;
mod key;
mod model;

pub use answer::{OUTCOME_HEADER, Problem, REQUEST_ID_HEADER};
pub use handler::{Door, DoorLimits};
pub use key::claim;
pub use model::{BadCall, ModelCall, Usage};
