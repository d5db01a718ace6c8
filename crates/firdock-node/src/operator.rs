//! The resource API for operators by `rouille`, with health, readiness and metrics.
//!
//! The paths and answers are set out in `docs/operators/resource-api.md`.

mod api;
mod apply;
mod reply;
mod status;
mod watch;

pub use api::{OperatorServer, Server, serve_operators};
pub use apply::Applied;
pub use status::{SiteStatus, Status};
pub use watch::{Watched, Watchers};
