//! `firdock release`: releases a request from quarantine.

use clap::{Arg, ArgMatches, Command};

use super::{CmdError, required};
use crate::api::Api;

/// Creates the subcommand.
#[must_use]
pub fn make_subcommand() -> Command {
    Command::new("release")
        .about("Release a request from quarantine, at all instances")
        .arg(
            Arg::new("content")
                .value_name("CONTENT")
                .required(true)
                .help("Hash of the content of the request, as `firdock suspects` prints it"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the instance does not answer, or knows of no exit of an endpoint during such a request.
pub fn execute(args: &ArgMatches) -> Result<(), CmdError> {
    let content = required(args, "content");
    let path = format!("/v1/suspects/{content}/release");
    let answer = Api::new(args).post(&path, "")?;
    if args.get_flag("json") {
        println!("{answer}");
    } else {
        println!("{content} may be sent again; what ended until now is not held against it");
    }
    Ok(())
}
