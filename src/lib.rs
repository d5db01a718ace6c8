//! The programs `firdock` (for operators) and `firdockd` (the entry instance).
//!
//! Both are thin: each subcommand is a file in [`cmd`] over the library crates of the workspace.

pub mod api;
pub mod cmd;
pub mod exit;
pub mod starts;
pub mod summary;
pub mod timeline;
