//! `firdock watch`: prints changes as they take effect.

use clap::{Arg, ArgMatches, Command, value_parser};
use firdock_node::operator::WatchResponse;

use super::CmdError;
use crate::api::Api;

/// Creates the subcommand.
#[must_use]
pub fn make_subcommand() -> Command {
    Command::new("watch")
        .about("Print changes as they take effect at the instance")
        .arg(
            Arg::new("after")
                .long("after")
                .value_name("VERSION")
                .default_value("0")
                .value_parser(value_parser!(u64))
                .help("Print changes after this version"),
        )
        .arg(
            Arg::new("count")
                .long("count")
                .value_name("N")
                .value_parser(value_parser!(usize))
                .help("End after this many changes; without it, watch until interrupted"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the instance does not answer, or no longer has the requested changes.
pub fn execute(args: &ArgMatches) -> Result<(), CmdError> {
    let api = Api::new(args);
    let json = args.get_flag("json");
    let mut after = args.get_one::<u64>("after").copied().unwrap_or(0);
    let mut remaining = args
        .get_one::<usize>("count")
        .copied()
        .unwrap_or(usize::MAX);
    while remaining > 0 {
        let answer = api.get(&format!("/v1/watch?after={after}&wait=25"))?;
        let Ok(watched) = serde_json::from_value::<WatchResponse>(answer) else {
            continue;
        };
        after = watched.version;
        for change in watched.changes.into_iter().take(remaining) {
            remaining -= 1;
            if json {
                println!("{change}");
                continue;
            }
            let (kind, name) = (&change["key"]["kind"], &change["key"]["name"]);
            let action = if change["resource"].is_null() {
                "deleted"
            } else {
                "set"
            };
            let kind = kind.as_str().unwrap_or_default();
            let name = name.as_str().unwrap_or_default();
            println!("version {:<8} {action:<8} {kind}/{name}", change["version"]);
        }
    }
    Ok(())
}
