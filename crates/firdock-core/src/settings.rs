//! Settings of an entry instance, read from TOML: one typed struct for each table.
//!
//! This is the only source of a process's addresses and availability zone
//! (see `docs/operators/settings.md`).

mod check;
mod duration;
mod tables;

use std::collections::BTreeMap;

use toml::Spanned;

pub use check::Profile;
pub use tables::{
    Endpoints, Freshness, Instance, Keys, Limits, Logging, Peers, Platform, Rollouts, Seed,
};

use crate::Findings;
use crate::table::{Source, SpannedTable, add_syntax_error, read_table};

/// All settings of one entry instance.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Name, availability zone and addresses.
    pub instance: Instance,
    /// Addresses of the platform's log and instance list.
    pub platform: Platform,
    /// Connections to the other instances.
    pub peers: Peers,
    /// Limits on the resources that callers can occupy at the instance.
    pub limits: Limits,
    /// Timeouts and retry budget for endpoints.
    pub endpoints: Endpoints,
    /// Maximum age of the configuration with which requests are served.
    pub freshness: Freshness,
    /// Limits on the traffic to a new version before it has proved to be good.
    pub rollouts: Rollouts,
    /// Handling of idempotency keys.
    pub keys: Keys,
    /// Log level and spans.
    pub logging: Logging,
}

impl Settings {
    /// Parses and checks the settings file of an instance that runs with its native interface.
    ///
    /// # Errors
    ///
    /// Returns every finding, each with its line and field.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        Self::parse_for(Profile::Own, text)
    }

    /// Parses and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every finding, each with its line and field.
    pub fn parse_for(profile: Profile, text: &str) -> Result<Self, Findings> {
        let src = Source::new(text);
        let mut found = Findings::new();
        let parsed = toml::from_str::<BTreeMap<Spanned<String>, SpannedTable>>(text);
        let tables = match parsed {
            Ok(tables) => tables,
            Err(e) => {
                add_syntax_error(src, &e, &mut found);
                return Err(found);
            }
        };
        let mut settings = Self::default();
        let lines = field_lines(src, &tables);
        for (key, table) in tables {
            let line = src.line(key.span().start);
            let name = key.into_inner();
            settings.read(src, line, &name, table, &mut found);
        }
        settings.check(profile, &mut found);
        found.locate(|path| lines.get(path).copied());
        found.into_result(settings)
    }

    fn read(
        &mut self,
        src: Source<'_>,
        line: usize,
        name: &str,
        table: SpannedTable,
        found: &mut Findings,
    ) {
        match name {
            "instance" => self.instance = read_table(src, name, table, found),
            "platform" => self.platform = read_table(src, name, table, found),
            "peers" => self.peers = read_table(src, name, table, found),
            "limits" => self.limits = read_table(src, name, table, found),
            "endpoints" => self.endpoints = read_table(src, name, table, found),
            "freshness" => self.freshness = read_table(src, name, table, found),
            "rollouts" => self.rollouts = read_table(src, name, table, found),
            "keys" => self.keys = read_table(src, name, table, found),
            "logging" => self.logging = read_table(src, name, table, found),
            _ => found.add(Some(line), name, "unknown table"),
        }
    }
}

/// Returns the line of each field set in the file, keyed by the path of the field.
fn field_lines(
    src: Source<'_>,
    tables: &BTreeMap<Spanned<String>, SpannedTable>,
) -> BTreeMap<String, usize> {
    let mut lines = BTreeMap::new();
    for (name, table) in tables {
        for key in table.keys() {
            let path = format!("{}.{}", name.get_ref(), key.get_ref());
            lines.insert(path, src.line(key.span().start));
        }
    }
    lines
}
