//! Tests of the policy: golden sessions, long random runs, and single rules.

mod access;
mod allowance;
mod attempts;
mod buffers;
mod coordinate;
mod edge;
mod endpoint_limits;
mod failures;
mod fixtures;
mod fragile;
mod golden;
mod limits;
mod linear_fit;
mod notices;
mod overload;
mod pace_reports;
mod random;
mod restart;
mod rollout;
mod routes;
mod rules;
mod shares;
mod simulation;
mod stream_versions;
mod suspects;
mod use_aggregator;
