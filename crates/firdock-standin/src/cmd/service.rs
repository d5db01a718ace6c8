//! `firdock-standin service`: runs a plain application server.

use std::process::ExitCode;
use std::time::Duration;

use clap::{ArgMatches, Command};
use firdock_standin::StandinService;
use snafu::ResultExt as _;

use super::{CmdError, StartSnafu, listen, listen_arg, number, number_arg, runtime, serve};

/// Creates the subcommand.
pub fn make_subcommand() -> Command {
    Command::new("service")
        .about("Run a plain application server that counts its runs of each request")
        .arg(listen_arg())
        .arg(number_arg("work-millis", "5", "Milliseconds per call"))
}

/// Runs the subcommand.
pub fn execute(args: &ArgMatches) -> Result<ExitCode, CmdError> {
    let work = Duration::from_secs_f64(number(args, "work-millis").max(0.0) / 1000.0);
    runtime()?.block_on(async {
        let service = StandinService::start(listen(args), work).context(StartSnafu)?;
        serve(&service.served).await;
        Ok(ExitCode::SUCCESS)
    })
}
