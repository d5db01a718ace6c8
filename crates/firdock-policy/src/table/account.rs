//! Client accounts and what they hold.

use firdock_core::resource::Account;

use super::limit::Bucket;
use super::rows::Rows;
use super::share::Work;
use crate::time::Time;

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
    /// Weight in the shares of what endpoints do.
    pub weight: f64,
    /// What endpoints did for it lately.
    pub work: Work,
    /// Importance against other accounts.
    pub rank: u8,
    /// Bucket of its limit, if it has one.
    pub bucket: Option<Bucket>,
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
            weight: declared.weight(),
            work: Work::default(),
            rank: declared.rank,
            bucket: None,
            max_held: declared.max_held,
            present: true,
            held: 0,
            live: 0,
        }
    }

    /// Takes over what operators declared.
    pub fn update(&mut self, now: Time, declared: &Account) {
        self.present = true;
        self.share = declared.share;
        self.weight = declared.weight();
        self.rank = declared.rank;
        self.max_held = declared.max_held;
        match (&mut self.bucket, declared.limit) {
            (Some(bucket), Some(limit)) => bucket.set_limit(limit),
            (bucket, limit) => *bucket = limit.map(|limit| Bucket::new(now, limit)),
        }
    }
}
