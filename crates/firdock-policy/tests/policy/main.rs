//! Tests of the policy: golden sessions, long random runs, and single rules.

mod golden;
mod random;
mod rules;
mod scene;
mod world;
