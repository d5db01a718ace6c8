//! Client accounts and what they hold.

use firdock_core::resource::Account;

use super::rows::Rows;

/// Table of accounts.
pub type Accounts = Rows<AccountRow>;

impl Accounts {
    /// Makes an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

/// One client account.
#[derive(Debug)]
pub struct AccountRow {
    /// Name.
    pub name: String,
    /// Weight against others.
    pub share: f64,
    /// Requests that it may have waiting.
    pub max_held: u32,
    /// Whether the configuration in force still has it.
    pub present: bool,
    /// Requests that wait.
    pub held: u32,
    /// Requests that have not ended.
    pub live: u32,
}

impl AccountRow {
    /// Makes a row from what operators declared.
    #[must_use]
    pub fn new(declared: &Account) -> Self {
        Self {
            name: declared.name.clone(),
            share: declared.share,
            max_held: declared.max_held,
            present: true,
            held: 0,
            live: 0,
        }
    }
}
