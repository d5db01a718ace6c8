//! `firdock explain`: explains from logs the outcome of a request, or summarizes the outcomes of all.

use std::io::{self, Read as _};

use clap::{Arg, ArgAction, ArgMatches, Command};
use snafu::ResultExt as _;

use super::check::read_file;
use super::error::ReadFileSnafu;
use super::{CmdError, required};
use crate::summary::Summary;
use crate::timeline::{Line, request_timeline};

/// File name that stands for standard input.
const STDIN: &str = "-";

/// Creates the subcommand.
#[must_use]
pub fn make_subcommand() -> Command {
    Command::new("explain")
        .about("Explain the outcome of a request from the logs of the instances")
        .long_about(
            "Prints the log lines about one request in order, from all instances, with the changes of \
             their assumed state of its endpoints and of their configuration. See docs/OPERATIONS.md.",
        )
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required_unless_present("summary")
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
        .arg(
            Arg::new("summary")
                .long("summary")
                .value_name("FILE")
                .num_args(1..)
                .conflicts_with("id")
                .help("Count the outcomes of all requests instead, by service, account and time"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if a file cannot be read, or if no line is about the request.
pub fn execute(args: &ArgMatches) -> Result<(), CmdError> {
    if let Some(paths) = args.get_many::<String>("summary") {
        return summarize(&read_lines(paths)?);
    }
    let id = required(args, "id");
    let paths = args.get_many::<String>("logs").into_iter().flatten();
    let lines = read_lines(paths)?;
    let timeline = request_timeline(&lines, id);
    if timeline.is_empty() {
        let detail = format!("none of the {} lines is about {id}", lines.len());
        return Err(CmdError::NotFound { detail });
    }
    for line in timeline {
        println!("{}", line.describe());
    }
    Ok(())
}

fn summarize(lines: &[Line]) -> Result<(), CmdError> {
    let summary = Summary::new(lines);
    if summary.is_empty() {
        let detail = format!(
            "none of the {} lines reports the outcome of a request",
            lines.len()
        );
        return Err(CmdError::NotFound { detail });
    }
    print!("{summary}");
    Ok(())
}

fn read_lines<'a>(paths: impl Iterator<Item = &'a String>) -> Result<Vec<Line>, CmdError> {
    let mut lines = Vec::new();
    for path in paths {
        lines.extend(read_log(path)?.lines().filter_map(Line::parse));
    }
    Ok(lines)
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
