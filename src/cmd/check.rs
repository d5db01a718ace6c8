//! `firdock check`: checks settings and resource files offline.

use std::fs;

use clap::{Arg, ArgMatches, Command};
use firdock_core::Findings;
use firdock_core::resource::{Catalog, parse_resources};
use firdock_core::settings::Settings;
use snafu::ResultExt as _;

use super::CmdError;
use super::error::ReadFileSnafu;

/// Creates the subcommand.
#[must_use]
pub fn make_subcommand() -> Command {
    let settings = Arg::new("settings").long("settings").value_name("FILE");
    let resources = Arg::new("resources").long("resources").value_name("FILE");
    Command::new("check")
        .about("Check settings and resource files offline")
        .arg(settings.help("Settings file of firdockd"))
        .arg(resources.help("Resource file; references must be declared in the same file"))
        .arg_required_else_help(true)
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails with all findings of the first file that has any.
pub fn execute(args: &ArgMatches) -> Result<(), CmdError> {
    if let Some(path) = args.get_one::<String>("settings") {
        read_settings(path)?;
        println!("{path}: good");
    }
    if let Some(path) = args.get_one::<String>("resources") {
        let text = read_file(path)?;
        check_resources(&text).map_err(|findings| CmdError::BadFile {
            path: path.clone(),
            findings,
        })?;
        println!("{path}: good");
    }
    Ok(())
}

fn check_resources(text: &str) -> Result<(), Findings> {
    let resources = parse_resources(text)?;
    let mut found = Findings::new();
    Catalog::new(0)
        .with_resources(resources)
        .check_references(&mut found);
    found.into_result(())
}

/// Reads and checks a settings file.
pub(super) fn read_settings(path: &str) -> Result<Settings, CmdError> {
    let text = read_file(path)?;
    Settings::parse(&text).map_err(|findings| CmdError::BadFile {
        path: path.to_owned(),
        findings,
    })
}

/// Reads a file.
pub(super) fn read_file(path: &str) -> Result<String, CmdError> {
    fs::read_to_string(path).context(ReadFileSnafu { path })
}
