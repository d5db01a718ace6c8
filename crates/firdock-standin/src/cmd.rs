//! Subcommands, one module each, with `make_subcommand` and `execute`.

mod demo;
mod engine;
mod instances;
mod log;
mod measure;
mod rollouts;
mod service;

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use firdock_standin::web::Served;
use snafu::{ResultExt as _, Snafu};
use tokio::runtime::{Builder, Runtime};

/// Error of a subcommand.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CmdError {
    /// The runtime or the server failed to start.
    #[snafu(display("start the stand-in"))]
    Start {
        /// Cause.
        source: io::Error,
    },
    /// The demo failed.
    #[snafu(display("run the demo"))]
    Demo {
        /// Cause.
        source: firdock_standin::demo::DemoError,
    },
}

/// Creates the command-line parser.
pub fn command() -> Command {
    Command::new("firdock-standin")
        .about("Stand-ins for the systems around firdock, for tests and demos")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo::make_subcommand())
        .subcommand(measure::make_subcommand())
        .subcommand(rollouts::make_subcommand())
        .subcommand(engine::make_subcommand())
        .subcommand(service::make_subcommand())
        .subcommand(log::make_subcommand())
        .subcommand(instances::make_subcommand())
}

/// Runs a subcommand.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CmdError> {
    match matches.subcommand() {
        Some(("demo", args)) => demo::execute(args),
        Some(("measure", args)) => Ok(measure::execute(args)),
        Some(("rollouts", args)) => Ok(rollouts::execute(args)),
        Some(("engine", args)) => engine::execute(args),
        Some(("service", args)) => service::execute(args),
        Some(("log", args)) => log::execute(args),
        Some(("instances", args)) => instances::execute(args),
        _ => unreachable!("the parser accepts only the subcommands above"),
    }
}

fn runtime() -> Result<Runtime, CmdError> {
    Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context(StartSnafu)
}

fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Address to listen on; port 0 binds any free port, and the address is printed")
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(f64))
        .help(help)
}

fn listen(args: &ArgMatches) -> SocketAddr {
    let given = args.get_one::<SocketAddr>("listen").copied();
    given.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn number(args: &ArgMatches, name: &str) -> f64 {
    args.get_one::<f64>(name).copied().unwrap_or_default()
}

/// Prints the address, which tests and scripts read, and serves until the process is killed.
async fn serve(served: &Served) {
    println!("listening on {}", served.address);
    std::future::pending::<()>().await;
}
