//! `firdock`: the command line tool for operators.

use std::process::ExitCode;

use firdock::{cmd, exit};

fn main() -> ExitCode {
    let matches = cmd::operator_command().get_matches();
    exit::report(cmd::run_operator(&matches))
}
