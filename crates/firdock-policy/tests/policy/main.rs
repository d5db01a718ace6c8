//! Tests of the policy: golden sessions, long random runs, and single rules.

mod coordinate;
mod edge;
mod golden;
mod limits;
mod line;
mod overload;
mod random;
mod rollout;
mod rules;
mod scene;
mod shares;
mod tries;
mod world;
