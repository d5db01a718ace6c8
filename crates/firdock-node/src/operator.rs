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
pub use apply::Applied;
pub use status::{SiteStatus, Status};
pub use watch::{Watched, Watchers};
