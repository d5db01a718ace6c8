//! `firdock-standin engine`: runs a model engine.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use firdock_standin::StandinEngine;
use firdock_standin::engine::EngineSpec;
use snafu::ResultExt as _;

use super::{CmdError, StartSnafu, listen, listen_arg, number, number_arg, runtime, serve};

/// Creates the subcommand.
pub fn make_subcommand() -> Command {
    Command::new("engine")
        .about("Run a model engine with continuous batching")
        .arg(listen_arg())
        .arg(number_arg(
            "slots",
            "8",
            "Maximum number of requests in a batch",
        ))
        .arg(number_arg(
            "prefill-rate",
            "8000",
            "Prompt tokens computed per second",
        ))
        .arg(number_arg("token-millis", "20", "Milliseconds per token"))
        .arg(number_arg(
            "cache-blocks",
            "4096",
            "Capacity of the prefix cache, in blocks",
        ))
}

/// Runs the subcommand.
pub fn execute(args: &ArgMatches) -> Result<ExitCode, CmdError> {
    let spec = EngineSpec {
        slots: number(args, "slots").max(1.0) as usize,
        prefill_rate: number(args, "prefill-rate").max(1.0),
        token_secs: number(args, "token-millis").max(0.0) / 1000.0,
        cache_blocks: number(args, "cache-blocks").max(0.0) as usize,
    };
    runtime()?.block_on(async {
        let engine = StandinEngine::start(listen(args), spec).context(StartSnafu)?;
        serve(&engine.served).await;
        Ok(ExitCode::SUCCESS)
    })
}
