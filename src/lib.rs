//! The programs `firdock` (for operators) and `firdockd` (the entry instance).
//!
//! Both are thin wrappers of the workspace's library crates, with a file in [`cmd`] for each subcommand.

pub mod api;
pub mod cmd;
pub mod exit;
pub mod starts;
pub mod summary;
pub mod timeline;
