//! Reproducible measurement: the real policy in virtual time, on a model of the endpoints.
//!
//! Several instances decide independently, with stale information about each other, on the two
//! deployments of the users. Baselines implement the same trait, and each mechanism of the policy can
//! be switched off (see `docs/design/measurement.md`).

mod baseline;
mod fleet;
mod plan;
mod run;
mod scenario;
mod score;

pub use plan::{Cell, Contender, Plan, Row};
pub use scenario::Scenario;
pub use score::{Score, TierScore};
