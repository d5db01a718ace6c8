//! Client accounts and their shares.

use serde::{Deserialize, Serialize};

use super::require;
use crate::credential::{self, KeyHash};
use crate::{AccountId, Findings};

/// A customer of the site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// Name.
    pub name: AccountId,
    /// SHA-256 of the bearer key, as 64 hexadecimal digits.
    pub key_sha256: String,
    /// Weight against other accounts of the same tier.
    pub share: f64,
    /// Requests of this account that one instance holds before it sheds the account's own first.
    pub max_held: u32,
}

impl Default for Account {
    fn default() -> Self {
        Self {
            name: String::new(),
            key_sha256: String::new(),
            share: 1.0,
            max_held: 1_000,
        }
    }
}

impl Account {
    /// Gives the hash of the bearer key; `None` where the text is no hash.
    #[must_use]
    pub fn key_hash(&self) -> Option<KeyHash> {
        credential::from_hex(&self.key_sha256)
    }

    pub(super) fn check(&self, line: Option<usize>, path: &str, f: &mut Findings) {
        let hash = self.key_hash().is_some();
        require(
            hash,
            line,
            path,
            "key_sha256",
            "64 hexadecimal digits are needed",
            f,
        );
        require(
            (0.01..=100.0).contains(&self.share),
            line,
            path,
            "share",
            "from 0.01 to 100",
            f,
        );
        require(self.max_held > 0, line, path, "max_held", "1 or more", f);
    }
}
