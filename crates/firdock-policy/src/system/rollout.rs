//! Roll-outs: which version a request may go to, what its answer says of that, and when the traffic
//! moves or goes back (`docs/design/rollouts.md`).

mod decide;
mod evidence;
mod versions;

pub use decide::{hear, hear_recorded, run, take_decides};
pub use evidence::{ended, failed, hear_group, hear_peer, lost, sent, told};
pub use versions::{admits, admits_grant, apply, is_new, trial};
