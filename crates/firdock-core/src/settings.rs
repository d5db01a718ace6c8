//! Settings of an entry instance, read from TOML: one typed struct for each table.
//!
//! A process learns its addresses and availability zone here and nowhere else
//! (see `docs/operators/settings.md`).

mod check;
mod tables;

use std::collections::BTreeMap;

use toml::Spanned;

pub use check::Profile;
pub use tables::{
    Endpoints, Freshness, Instance, Keys, Limits, Logging, Peers, Platform, Rollouts,
};

use crate::Findings;
use crate::table::{Source, SpannedTable, add_syntax, read_table};

/// All settings of one entry instance.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Name, zone and addresses.
    pub instance: Instance,
    /// Where the platform's log and instance list are.
    pub platform: Platform,
    /// Links to the other instances.
    pub peers: Peers,
    /// Bounds on what callers can make the instance hold.
    pub limits: Limits,
    /// Time limits towards endpoints.
    pub endpoints: Endpoints,
    /// How old the configuration may be that requests are served by.
    pub freshness: Freshness,
    /// How much a version may be tried before it is known to be good.
    pub rollouts: Rollouts,
    /// Handling of idempotency keys.
    pub keys: Keys,
    /// What is logged.
    pub logging: Logging,
}

impl Settings {
    /// Reads and checks the settings file of an instance with its own interface.
    ///
    /// # Errors
    ///
    /// Returns every finding, each with its line and field.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        Self::parse_for(Profile::Own, text)
    }

    /// Reads and checks a settings file.
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
                add_syntax(src, &e, &mut found);
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

/// Gives the line of each field that the file sets, by its path.
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
