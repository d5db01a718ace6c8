//! The resource API for operators with health, readiness and metrics.
//!
//! The paths and answers are set out in `docs/operators/resource-api.md`.

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
