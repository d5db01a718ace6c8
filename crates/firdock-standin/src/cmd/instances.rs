//! `firdock-standin instances`: runs the platform's instance list.

use std::process::ExitCode;
use std::time::Duration;

use clap::{ArgMatches, Command};
use firdock_standin::StandinInstances;
use snafu::ResultExt as _;

use super::{CmdError, StartSnafu, listen, listen_arg, number, number_arg, runtime, serve};

/// Creates the subcommand.
pub fn make_subcommand() -> Command {
    Command::new("instances")
        .about("Run an instance list that shows changes after a delay")
        .arg(listen_arg())
        .arg(number_arg(
            "lag-millis",
            "500",
            "Milliseconds after which the list shows a change",
        ))
}

/// Runs the subcommand.
pub fn execute(args: &ArgMatches) -> Result<ExitCode, CmdError> {
    let lag = Duration::from_secs_f64(number(args, "lag-millis").max(0.0) / 1000.0);
    runtime()?.block_on(async {
        let list = StandinInstances::start(listen(args), lag).context(StartSnafu)?;
        serve(&list.served).await;
        Ok(ExitCode::SUCCESS)
    })
}
