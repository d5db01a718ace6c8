//! `firdock-standin`: runs the stand-ins as processes, the demo and the measurements.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cmd::command().get_matches();
    match cmd::run(&matches) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("{}", snafu::Report::from_error(e));
            ExitCode::FAILURE
        }
    }
}
