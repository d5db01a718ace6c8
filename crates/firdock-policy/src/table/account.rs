//! Client accounts with their limits, shares and counts.

use firdock_core::resource::Account;

use super::limit::Bucket;
use super::rows::Rows;
use super::share::Work;
use crate::time::Time;

/// Table of accounts.
pub type Accounts = Rows<AccountRow>;

impl Accounts {
    /// Creates an empty table.
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
    /// Weight in the queues of services.
    pub share: f64,
    /// Weight in the shares of endpoint work.
    pub weight: f64,
    /// Recent work of endpoints for it.
    pub work: Work,
    /// Rank relative to other accounts.
    pub rank: u8,
    /// Bucket of its limit, if it has one.
    pub bucket: Option<Bucket>,
    /// Maximum number of its requests that may be held.
    pub max_held: u32,
    /// Whether the configuration in force still has it.
    pub present: bool,
    /// Requests held.
    pub held: u32,
    /// Requests that have not ended.
    pub live: u32,
}

impl AccountRow {
    /// Creates a row from a declaration.
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

    /// Applies a changed declaration.
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
