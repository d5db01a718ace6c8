//! `firdock-standin demo`: entry instances and stand-ins in one process.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use firdock_standin::demo;
use snafu::ResultExt as _;

use super::{CmdError, DemoSnafu, runtime};

/// Creates the subcommand.
pub fn make_subcommand() -> Command {
    let seconds = Arg::new("seconds")
        .long("seconds")
        .value_name("N")
        .default_value("10");
    let seed = Arg::new("seed")
        .long("seed")
        .value_name("N")
        .default_value("1");
    Command::new("demo")
        .about("Run stand-ins and two entry instances on loopback and send a mix of requests")
        .long_about(
            "Starts the stand-ins and two entry instances in this process, applies sample \
             resources through the resource API, sends a bounded mix of both deployments' \
             requests and prints goodput per tier, wasted prefill and outcomes. Exits with 0 only \
             if every request ended in exactly one outcome, with its own whole answer if answered.",
        )
        .arg(
            seconds
                .value_parser(value_parser!(u64).range(1..=600))
                .help("Seconds for which requests are sent"),
        )
        .arg(
            seed.value_parser(value_parser!(u64))
                .help("Seed of the workload"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        )
}

/// Runs the subcommand.
pub fn execute(args: &ArgMatches) -> Result<ExitCode, CmdError> {
    let seconds = args.get_one::<u64>("seconds").copied().unwrap_or(10);
    let seed = args.get_one::<u64>("seed").copied().unwrap_or(1);
    let report = runtime()?
        .block_on(demo::run(seconds, seed))
        .context(DemoSnafu)?;
    if args.get_flag("json") {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        println!("{report}");
    }
    Ok(if report.is_sound() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
