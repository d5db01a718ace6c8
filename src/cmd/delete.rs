//! `firdock delete`: deletes a resource.

use clap::{Arg, ArgMatches, Command, value_parser};

use super::{CmdError, required};
use crate::api::Api;

/// Creates the subcommand.
#[must_use]
pub fn make_subcommand() -> Command {
    let kind = Arg::new("kind").value_name("KIND").required(true);
    let name = Arg::new("name").value_name("NAME").required(true);
    Command::new("delete")
        .about("Delete a resource")
        .arg(kind.help("tier, account, service or endpoint"))
        .arg(name.help("Name of the resource"))
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("Delete only if this version is in force"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the resource does not exist or was changed concurrently, or if the instance does not answer.
pub fn execute(args: &ArgMatches) -> Result<(), CmdError> {
    let (kind, name) = (required(args, "kind"), required(args, "name"));
    let base = args
        .get_one::<u64>("base")
        .map(|b| format!("?base={b}"))
        .unwrap_or_default();
    let answer = Api::new(args).delete(&format!("/v1/resources/{kind}/{name}{base}"))?;
    if args.get_flag("json") {
        println!("{answer}");
    } else {
        println!("deleted {kind}/{name}, version {}", answer["version"]);
    }
    Ok(())
}
