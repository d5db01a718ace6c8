//! `firdock`: the operator's program.

use std::process::ExitCode;

use firdock::{cmd, exit};

fn main() -> ExitCode {
    let matches = cmd::operator_command().get_matches();
    exit::code_of(cmd::run_operator(&matches))
}
