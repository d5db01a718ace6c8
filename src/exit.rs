//! Exit codes, on which scripts can rely.

use std::process::ExitCode;

use firdock_node::telemetry::write_failure;

use crate::cmd::CmdError;

/// Any failure that has no code of its own.
pub const FAILED: u8 = 1;
/// The command line is invalid (set by the argument parser).
pub const USAGE: u8 = 2;
/// Settings or resources have findings; nothing was changed.
pub const FINDINGS: u8 = 3;
/// The resource was changed concurrently; the command changed nothing.
pub const CONFLICT: u8 = 4;
/// The resource does not exist.
pub const NOT_FOUND: u8 = 5;
/// The instance or the platform's log cannot be reached, or did not confirm a change.
pub const UNAVAILABLE: u8 = 6;

/// Prints an error with its causes; returns the exit code for the result.
#[must_use]
pub fn report(result: Result<(), CmdError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let code = e.exit_code();
            write_failure(e);
            ExitCode::from(code)
        }
    }
}
