//! `firdock status`: prints the version of the configuration that is in force at each instance.

use clap::{ArgMatches, Command};
use firdock_node::operator::Status;
use snafu::ResultExt as _;

use super::{AnswerSnafu, CmdError};
use crate::api::Api;

/// Creates the subcommand.
#[must_use]
pub fn make_subcommand() -> Command {
    Command::new("status")
        .about("Print the version of the configuration that is in force at each instance")
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the instance does not answer.
pub fn execute(args: &ArgMatches) -> Result<(), CmdError> {
    let answer = Api::new(args).get("/v1/status")?;
    if args.get_flag("json") {
        println!("{answer}");
        return Ok(());
    }
    let url = "/v1/status";
    let status = serde_json::from_value::<Status>(answer).context(AnswerSnafu { url })?;
    let convergence = if status.converged {
        "in force everywhere"
    } else {
        "not in force everywhere yet"
    };
    println!("version {}, {convergence}", status.version);
    match status.log_lag_millis {
        Some(lag) => println!(
            "log read to its end {lag} ms ago, next offset {}",
            status.log_next
        ),
        None => println!("log not read yet"),
    }
    if status.gap {
        println!("records are missing, and no snapshot was found yet");
    }
    println!(
        "{:<24} {:<16} {:>8} {:>10}  state",
        "instance", "zone", "version", "heard"
    );
    for (name, s) in &status.instances {
        let state = if s.draining { "stopping" } else { "serving" };
        let member = if status.members.contains(name) {
            ""
        } else {
            ", not a member"
        };
        let last_seen = format!("{} ms", s.heard_millis);
        println!(
            "{name:<24} {:<16} {:>8} {last_seen:>10}  {state}{member}",
            s.zone, s.version
        );
    }
    Ok(())
}
