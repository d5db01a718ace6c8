//! `firdockd`: the daemon of an entry instance.

use std::process::ExitCode;

use firdock::{cmd, exit};

fn main() -> ExitCode {
    let matches = cmd::daemon_command().get_matches();
    exit::report(cmd::run_daemon(&matches))
}
