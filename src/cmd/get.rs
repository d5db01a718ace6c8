//! `firdock get`: prints resources in force.

use clap::{Arg, ArgMatches, Command};
use serde_json::Value;

use super::CmdError;
use crate::api::Api;

/// Creates the subcommand.
#[must_use]
pub fn make_subcommand() -> Command {
    Command::new("get")
        .about("Print the resources in force")
        .arg(
            Arg::new("kind")
                .value_name("KIND")
                .help("tier, account, service or endpoint"),
        )
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .help("Name of one resource"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the resource does not exist or the instance does not answer.
pub fn execute(args: &ArgMatches) -> Result<(), CmdError> {
    let parts = ["kind", "name"]
        .into_iter()
        .filter_map(|n| args.get_one::<String>(n));
    let path = parts.fold("/v1/resources".to_owned(), |path, part| path + "/" + part);
    let answer = Api::new(args).get(&path)?;
    if args.get_flag("json") {
        println!("{answer}");
        return Ok(());
    }
    let entries = match answer {
        Value::Array(entries) => entries,
        one => vec![one],
    };
    for entry in entries {
        let resource = &entry["resource"];
        let kind = resource["kind"].as_str().unwrap_or_default();
        let name = resource["name"].as_str().unwrap_or_default();
        println!("{kind}/{name} (version {})", entry["version"]);
        for (field, value) in resource.as_object().into_iter().flatten() {
            if field != "kind" && field != "name" {
                println!("    {field} = {value}");
            }
        }
    }
    Ok(())
}
