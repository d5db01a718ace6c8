//! `firdockd serve`: runs an entry instance until it receives a signal to stop.

use clap::{Arg, ArgMatches, Command};
use firdock_core::settings::Settings;
use firdock_node::Instance;
use firdock_node::signals::Signals;
use firdock_node::telemetry::daemon_logger;
use snafu::ResultExt as _;
use tokio::runtime::Builder;

use super::check::read_settings;
use super::error::{RuntimeSnafu, StartSnafu};
use super::{CmdError, required};

/// Worker threads for callers, endpoints and peers; the scheduler and the platform's log have threads of
/// their own.
const WORKER_THREADS: usize = 2;

/// Creates the subcommand.
#[must_use]
pub fn make_subcommand() -> Command {
    Command::new("serve")
        .about("Run an entry instance until SIGTERM, SIGINT or SIGQUIT")
        .long_about(
            "Runs an entry instance. On SIGTERM, SIGINT or SIGQUIT, it reports that it is not ready, hands \
             held requests over to its peers, finishes the running streams and exits with 0.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("Settings file, see docs/operators/settings.md"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails with the findings in the settings, or if the instance does not start.
pub fn execute(args: &ArgMatches) -> Result<(), CmdError> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    runtime.context(RuntimeSnafu)?.block_on(async {
        // Installed first: until then, a signal has its default effect and ends the process.
        let signals = Signals::new().context(RuntimeSnafu)?;
        serve(read_settings(required(args, "settings"))?, signals).await
    })
}

async fn serve(settings: Settings, mut signals: Signals) -> Result<(), CmdError> {
    let (log, _guard) = daemon_logger(&settings);
    let hang_up = ("SIGHUP", signals.hang_up);
    signals.logged.log_to(&log, vec![hang_up]);
    let running = Instance::new(settings)
        .with_log(log.clone())
        .start()
        .context(StartSnafu)?;
    signals.stop.recv(&log).await;
    running.stop().await;
    Ok(())
}
