//! `firdock-standin log`: runs the platform's append-only log.

use std::process::ExitCode;
use std::time::Duration;

use clap::{ArgMatches, Command};
use firdock_standin::StandinLog;
use firdock_standin::log::LogSettings;
use snafu::ResultExt as _;

use super::{CmdError, StartSnafu, listen, listen_arg, number, number_arg, runtime, serve};

/// Creates the subcommand.
pub fn make_subcommand() -> Command {
    Command::new("log")
        .about("Run an append-only log")
        .arg(listen_arg())
        .arg(number_arg(
            "retention-seconds",
            "3600",
            "Seconds for which records are retained",
        ))
        .arg(number_arg("rate", "300", "Maximum appends per second"))
}

/// Runs the subcommand.
pub fn execute(args: &ArgMatches) -> Result<ExitCode, CmdError> {
    let retention = Duration::from_secs_f64(number(args, "retention-seconds").max(1.0));
    let settings = LogSettings {
        retention,
        rate: number(args, "rate").max(1.0),
    };
    runtime()?.block_on(async {
        let log = StandinLog::start(listen(args), settings).context(StartSnafu)?;
        serve(&log.served).await;
        Ok(ExitCode::SUCCESS)
    })
}
