//! The resource API for operators, with health, readiness and metrics.
//!
//! Paths and responses are documented in `docs/operators/resource-api.md`.

mod api;
mod apply;
mod call;
mod reply;
mod status;
mod watch;

pub use api::{OperatorServer, serve_operators};
pub use apply::AppliedResource;
pub use status::{InstanceStatus, Status};
pub use watch::{WatchResponse, Watchers};
