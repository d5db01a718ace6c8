//! Tests of the policy: golden sessions, long random runs, and single rules.

mod allowance;
mod buffers;
mod coordinate;
mod edge;
mod failures;
mod golden;
mod limits;
mod line;
mod notices;
mod overload;
mod paced;
mod random;
mod restart;
mod rollout;
mod rules;
mod scene;
mod shares;
mod sums;
mod suspects;
mod tries;
mod world;
