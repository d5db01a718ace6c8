//! Measurement of roll-outs: ways to decide on them against drawn versions, good and bad, in virtual
//! time.
//!
//! The model knows nothing of requests but whose answer it is, how long it took and whether it failed;
//! what a way is told is as old as words between instances are (`docs/design/rollouts.md`).

mod case;
mod run;
mod strategy;

pub use case::{Badness, Case};
pub use run::{Outcome, run};
pub use strategy::{Allowance, Decision, RolloutStrategy, Steps};
