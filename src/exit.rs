//! Exit codes, which scripts can rely on.

use std::process::ExitCode;

use snafu::Report;

use crate::cmd::CmdError;

/// Something failed that is not told apart below.
pub const FAILED: u8 = 1;
/// The command line was wrong (given by the argument parser).
pub const USAGE: u8 = 2;
/// Settings or resources have findings; nothing was changed.
pub const FINDINGS: u8 = 3;
/// The resource changed meanwhile; nothing was changed.
pub const CONFLICT: u8 = 4;
/// There is no such resource.
pub const NOT_FOUND: u8 = 5;
/// The instance or the platform's log is out of reach, or its word on a change is missing.
pub const UNAVAILABLE: u8 = 6;

/// Prints an error with its causes and gives the exit code that fits it.
#[must_use]
pub fn code_of(result: Result<(), CmdError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let code = e.exit_code();
            eprintln!("{}", Report::from_error(e));
            ExitCode::from(code)
        }
    }
}
