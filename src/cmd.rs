//! Subcommands, one file each, with `make_subcommand` and `execute`.

pub mod apply;
pub mod check;
pub mod delete;
mod error;
pub mod explain;
pub mod get;
pub mod release;
pub mod serve;
pub mod status;
pub mod suspects;
pub mod watch;

use clap::{Arg, ArgAction, ArgMatches, Command};

pub use error::CmdError;
pub(crate) use error::{AnswerSnafu, CallSnafu};

/// Default address of the resource API.
const DEFAULT_SERVER: &str = "127.0.0.1:7080";
/// Meaning of the exit codes, shown by `--help`.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 findings in the input \
    (nothing changed), 4 the resource was changed concurrently (nothing changed), 5 no such resource, \
    6 instance or log not reachable.";

/// Creates the argument parser of `firdock`.
#[must_use]
pub fn operator_command() -> Command {
    let server = Arg::new("server")
        .long("server")
        .value_name("IP:PORT")
        .default_value(DEFAULT_SERVER)
        .global(true)
        .help("Address of the resource API of any entry instance");
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .global(true)
        .help("Print JSON, for scripts");
    Command::new("firdock")
        .about("Operates firdock through its resource API")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(server)
        .arg(json)
        .subcommand(apply::make_subcommand())
        .subcommand(get::make_subcommand())
        .subcommand(delete::make_subcommand())
        .subcommand(watch::make_subcommand())
        .subcommand(status::make_subcommand())
        .subcommand(suspects::make_subcommand())
        .subcommand(release::make_subcommand())
        .subcommand(check::make_subcommand())
        .subcommand(explain::make_subcommand())
}

/// Runs a subcommand of `firdock`.
///
/// # Errors
///
/// Fails if the subcommand does.
pub fn run_operator(matches: &ArgMatches) -> Result<(), CmdError> {
    match matches.subcommand() {
        Some(("apply", args)) => apply::execute(args),
        Some(("get", args)) => get::execute(args),
        Some(("delete", args)) => delete::execute(args),
        Some(("watch", args)) => watch::execute(args),
        Some(("status", args)) => status::execute(args),
        Some(("suspects", args)) => suspects::execute(args),
        Some(("release", args)) => release::execute(args),
        Some(("check", args)) => check::execute(args),
        Some(("explain", args)) => explain::execute(args),
        _ => unreachable!("the argument parser rejects other subcommands"),
    }
}

/// Creates the argument parser of `firdockd`.
#[must_use]
pub fn daemon_command() -> Command {
    Command::new("firdockd")
        .about("Entry instance of firdock, between callers and endpoints")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve::make_subcommand())
}

/// Runs a subcommand of `firdockd`.
///
/// # Errors
///
/// Fails if the subcommand does.
pub fn run_daemon(matches: &ArgMatches) -> Result<(), CmdError> {
    match matches.subcommand() {
        Some(("serve", args)) => serve::execute(args),
        _ => unreachable!("the argument parser rejects other subcommands"),
    }
}

/// Returns a required argument.
fn required<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}
