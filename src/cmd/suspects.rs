//! `firdock suspects`: prints requests during which endpoints exited.

use clap::{ArgMatches, Command};
use firdock_node::telemetry::SuspectStates;
use snafu::ResultExt as _;

use super::{AnswerSnafu, CmdError};
use crate::api::Api;

/// Creates the subcommand.
#[must_use]
pub fn make_subcommand() -> Command {
    Command::new("suspects")
        .about("Print requests during which endpoints exited, and which of them are no longer sent")
        .long_about(
            "Prints requests during which endpoints exited, by the hash of their content, with the \
             exits that count. Those in quarantine are not sent until `firdock release` releases them. \
             See docs/design/suspects.md.",
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the instance does not answer.
pub fn execute(args: &ArgMatches) -> Result<(), CmdError> {
    let url = "/v1/suspects";
    let answer = Api::new(args).get(url)?;
    if args.get_flag("json") {
        println!("{answer}");
        return Ok(());
    }
    let states = serde_json::from_value::<SuspectStates>(answer).context(AnswerSnafu { url })?;
    for (content, s) in &states {
        let state = if s.quarantined {
            "in quarantine"
        } else {
            "suspected"
        };
        println!("{content} {state}, {} {} {}", s.account, s.service, s.path);
        for exit in &s.ends {
            println!("  {} ended {} ms ago", exit.endpoint, exit.age_millis);
        }
    }
    Ok(())
}
