//! Measurement that repeats: the real policy in virtual time against a small model of engines.
//!
//! Several instances decide each alone, with stale news of the others, on the two deployments of
//! the users. Baselines run behind the same trait, and each mechanism can be switched off
//! (see `docs/design/measurement.md`).

mod baseline;
mod fleet;
mod plan;
mod run;
mod scenario;
mod score;

pub use plan::{Cell, Contender, Plan, Row};
pub use scenario::Scenario;
pub use score::{Score, TierScore};
