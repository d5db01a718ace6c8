//! `firdock apply`: applies the resources of a file.

use clap::{Arg, ArgMatches, Command};
use firdock_core::resource::parse_resources;
use firdock_node::operator::AppliedResource;

use super::check::read_file;
use super::{CmdError, required};
use crate::api::Api;

/// Creates the subcommand.
#[must_use]
pub fn make_subcommand() -> Command {
    Command::new("apply")
        .about("Apply the resources of a TOML file")
        .long_about(
            "Checks the whole file first and changes nothing if there is any finding. Then \
             writes each resource that differs from the one in force; after a failure, running \
             the command again continues where it stopped.",
        )
        .arg(
            Arg::new("file")
                .short('f')
                .long("file")
                .value_name("FILE")
                .required(true)
                .help("Resource file, see docs/operators/resources.md"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails with the findings or the conflict, or if the instance does not answer.
pub fn execute(args: &ArgMatches) -> Result<(), CmdError> {
    let path = required(args, "file");
    let text = read_file(path)?;
    parse_resources(&text).map_err(|findings| CmdError::BadFile {
        path: path.to_owned(),
        findings,
    })?;
    let answer = Api::new(args).post("/v1/apply", &text)?;
    if args.get_flag("json") {
        println!("{answer}");
        return Ok(());
    }
    for row in serde_json::from_value::<Vec<AppliedResource>>(answer).unwrap_or_default() {
        let outcome = if row.changed { "changed" } else { "unchanged" };
        println!("{:<40} {outcome:<9} version {}", row.resource, row.version);
    }
    Ok(())
}
