//! Client accounts and their shares.

use serde::{Deserialize, Serialize};

use super::{Tier, require};
use crate::credential::{self, KeyHash};
use crate::{AccountId, Findings, TierRank};

/// A customer of the site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// Name.
    pub name: AccountId,
    /// SHA-256 of the bearer key, as 64 hexadecimal digits.
    pub key_sha256: String,
    /// SHA-256 of further bearer keys, so that a key can be replaced while the old one still holds.
    pub more_keys: Vec<String>,
    /// Importance against other accounts: 0 goes first, before the tiers of the services.
    pub rank: u8,
    /// What the account may have served over all instances; none for no limit.
    pub limit: Option<RateLimit>,
    /// Weight against other accounts of the same tier.
    pub share: f64,
    /// Weight in `limits.account_shares`, where a platform's adapter makes it from what its operator
    /// declares; the share where none is given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// Requests of this account that one instance holds before it sheds the account's own first.
    pub max_held: u32,
}

impl Default for Account {
    fn default() -> Self {
        Self {
            name: String::new(),
            key_sha256: String::new(),
            more_keys: Vec::new(),
            rank: 0,
            limit: None,
            share: 1.0,
            weight: None,
            max_held: 1_000,
        }
    }
}

impl Account {
    /// Name of the account that callers without a key share, at services that are public.
    pub const ANONYMOUS: &'static str = "anonymous";

    /// Greatest rank, so that the ranks of requests stay few (see [`request_rank`]).
    pub const MAX_RANK: u8 = 3;

    /// Least and greatest weight, so that no account is left with nothing.
    pub const WEIGHTS: (f64, f64) = (0.01, 100.0);

    /// Gives its weight against others of its rank where room is short.
    #[must_use]
    pub fn weight(&self) -> f64 {
        let weight = self.weight.unwrap_or(self.share);
        weight.clamp(Self::WEIGHTS.0, Self::WEIGHTS.1)
    }

    /// Gives the hashes of all its bearer keys; a text that is no hash is left out.
    pub fn key_hashes(&self) -> impl Iterator<Item = KeyHash> + '_ {
        let keys = std::iter::once(&self.key_sha256).chain(&self.more_keys);
        keys.filter_map(|key| credential::from_hex(key))
    }

    pub(super) fn check(&self, line: Option<usize>, path: &str, f: &mut Findings) {
        let hash = credential::from_hex(&self.key_sha256).is_some();
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
        let (least, most) = Self::WEIGHTS;
        require(
            self.weight.is_none_or(|w| (least..=most).contains(&w)),
            line,
            path,
            "weight",
            "from 0.01 to 100",
            f,
        );
        require(self.max_held > 0, line, path, "max_held", "1 or more", f);
        let more = self.more_keys.iter();
        let hashes = more.filter_map(|key| credential::from_hex(key)).count();
        require(
            hashes == self.more_keys.len(),
            line,
            path,
            "more_keys",
            "64 hexadecimal digits are needed for each key",
            f,
        );
        require(
            self.rank <= Self::MAX_RANK,
            line,
            path,
            "rank",
            "from 0 to 3",
            f,
        );
        let limit = self.limit.is_none_or(|limit| limit.is_valid());
        require(
            limit,
            line,
            path,
            "limit",
            "per_second and burst of 0 or more are needed",
            f,
        );
    }
}

/// What a [`RateLimit`] counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LimitUnit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// A request counts as its prompt's tokens and the most that its answer may have.
    Tokens,
}

/// A limit over all instances together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RateLimit {
    /// Units a second.
    pub per_second: f64,
    /// Units that may be saved up.
    pub burst: f64,
    /// What is counted.
    pub unit: LimitUnit,
    /// Tokens that a request without token counts stands for.
    pub plain_tokens: u32,
}

impl RateLimit {
    fn is_valid(&self) -> bool {
        let sane = |n: f64| n.is_finite() && n >= 0.0;
        sane(self.per_second) && sane(self.burst)
    }

    /// Gives what a request of `tokens` tokens counts as; 0 for one that names none.
    #[must_use]
    pub fn cost(&self, tokens: u32) -> f64 {
        match self.unit {
            LimitUnit::Requests => 1.0,
            LimitUnit::Tokens if tokens == 0 => f64::from(self.plain_tokens),
            LimitUnit::Tokens => f64::from(tokens),
        }
    }
}

/// Tiers told apart within one rank of accounts; lower ones share the last.
const TIERS_PER_ACCOUNT: u8 = 4;

/// Gives the last of the ranks kept for accounts of a rank; tiers below the fourth of accounts of rank
/// 0 go after it.
#[must_use]
pub fn last_rank(account: u8) -> TierRank {
    request_rank(account, TIERS_PER_ACCOUNT - 1)
}

/// Gives the rank of a request: the account's rank goes before the tier's.
///
/// Accounts of rank 0 keep all ranks of tiers apart, so that a site without ranked accounts goes
/// by tiers alone.
#[must_use]
pub fn request_rank(account: u8, tier: TierRank) -> TierRank {
    if account == 0 {
        return tier.min(Tier::MAX_RANK);
    }
    let within = tier.min(TIERS_PER_ACCOUNT - 1);
    let rank = account.saturating_mul(TIERS_PER_ACCOUNT);
    rank.saturating_add(within).min(Tier::MAX_RANK)
}
