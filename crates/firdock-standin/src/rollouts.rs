//! Measurement of roll-out strategies in virtual time, on randomly drawn good and bad versions.
//!
//! The model reduces a request to its service, the version and endpoint that answered it, how long that
//! took and whether it failed. A strategy sees evidence as old as reports between instances are
//! (`docs/design/rollouts.md`).

mod case;
mod run;
mod strategy;

pub use case::{Badness, Case};
pub use run::{Outcome, run};
pub use strategy::{Allowance, Decision, RolloutStrategy, Steps};
