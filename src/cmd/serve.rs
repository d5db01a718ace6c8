//! `firdockd serve`: runs an entry instance until it receives a signal to stop.

use clap::{Arg, ArgMatches, Command};
use firdock_core::settings::Settings;
use firdock_node::Instance;
use firdock_node::telemetry::{Level, StandardOutput, logger};
use snafu::ResultExt as _;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

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
        .about("Run an entry instance until SIGTERM or SIGINT")
        .long_about(
            "Runs an entry instance. On SIGTERM or SIGINT, it reports that it is not ready, hands \
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
    let settings = read_settings(required(args, "settings"))?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    runtime.context(RuntimeSnafu)?.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), CmdError> {
    let level = Level::new(&settings.logging.level);
    let (spans, name) = (settings.logging.spans, settings.instance.name.clone());
    let (log, _guard) = logger(StandardOutput::new(), level, spans, &name);
    let mut term = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut int = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    let running = Instance::new(settings)
        .with_log(log)
        .start()
        .context(StartSnafu)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    running.stop().await;
    Ok(())
}
