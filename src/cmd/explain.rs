//! `firdock explain`: tells from logs what became of a request, and why.

use std::io::{self, Read as _};

use clap::{Arg, ArgAction, ArgMatches, Command};
use snafu::ResultExt as _;

use super::check::read_file;
use super::error::ReadFileSnafu;
use super::{CmdError, required};
use crate::story::{Line, tell};

/// Name by which standard input is given.
const STDIN: &str = "-";

/// Makes the subcommand.
#[must_use]
pub fn make_subcommand() -> Command {
    Command::new("explain")
        .about("Tell from the instances' logs what became of a request, and why")
        .long_about(
            "Prints the log lines about one request in order, over all instances, with what they \
             believed of its endpoints and of their configuration meanwhile. See docs/OPERATIONS.md.",
        )
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("Id of the request, as firdock or the caller gave it"),
        )
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .action(ArgAction::Append)
                .default_value(STDIN)
                .num_args(0..)
                .help("Log files of the instances; `-` for standard input"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if a file cannot be read, or if no line is about the request.
pub fn execute(args: &ArgMatches) -> Result<(), CmdError> {
    let id = required(args, "id");
    let mut lines = Vec::new();
    for path in args.get_many::<String>("logs").into_iter().flatten() {
        let text = read_log(path)?;
        lines.extend(text.lines().filter_map(Line::parse));
    }
    let story = tell(&lines, id);
    if story.is_empty() {
        let detail = format!("no line of {} is about {id}", lines.len());
        return Err(CmdError::NotFound { detail });
    }
    for line in story {
        println!("{}", line.describe());
    }
    Ok(())
}

fn read_log(path: &str) -> Result<String, CmdError> {
    if path != STDIN {
        return read_file(path);
    }
    let mut text = String::new();
    io::stdin()
        .read_to_string(&mut text)
        .context(ReadFileSnafu { path })?;
    Ok(text)
}
