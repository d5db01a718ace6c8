//! Client accounts, their shares and rate limits.

use serde::{Deserialize, Serialize};

use super::{Tier, require};
use crate::credential::{self, KeyHash};
use crate::{AccountId, Findings, TierRank};

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// Name.
    pub name: AccountId,
    /// SHA-256 of the bearer key, as 64 hexadecimal digits.
    pub key_sha256: String,
    /// SHA-256 of further bearer keys, so that a key can be replaced while the old one is still valid.
    pub more_keys: Vec<String>,
    /// Priority among accounts: 0 is the highest. It takes precedence over the tiers of the services.
    pub rank: u8,
    /// Rate limit of the account over all instances; `None` if unlimited.
    pub limit: Option<RateLimit>,
    /// Weight relative to other accounts of the same tier.
    pub share: f64,
    /// Weight for `limits.account_shares`, if a platform's adapter derives it from what its operator
    /// declares. Defaults to the share.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// Number of the account's requests that one instance holds before it sheds this account's requests first.
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
    /// Name of the account shared by callers without a key, for public services.
    pub const ANONYMOUS: &'static str = "anonymous";

    /// Maximum rank. It keeps the number of request ranks small (see [`request_rank`]).
    pub const MAX_RANK: u8 = 3;

    /// Minimum and maximum weight, so that every account receives some share.
    pub const WEIGHTS: (f64, f64) = (0.01, 100.0);

    /// Returns the weight relative to other accounts of the same rank when capacity is short.
    #[must_use]
    pub fn weight(&self) -> f64 {
        let weight = self.weight.unwrap_or(self.share);
        weight.clamp(Self::WEIGHTS.0, Self::WEIGHTS.1)
    }

    /// Returns the hashes of all bearer keys of the account, skipping invalid hashes.
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
        let (min, max) = Self::WEIGHTS;
        require(
            self.weight.is_none_or(|w| (min..=max).contains(&w)),
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

/// Unit of a [`RateLimit`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LimitUnit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// Each request counts as the tokens of its prompt plus the maximum tokens of its answer.
    Tokens,
}

/// A rate limit that applies to all instances together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RateLimit {
    /// Units per second.
    pub per_second: f64,
    /// Maximum number of unused units that accumulate.
    pub burst: f64,
    /// Unit that is counted.
    pub unit: LimitUnit,
    /// Number of tokens charged for a request without token counts.
    pub plain_tokens: u32,
}

impl RateLimit {
    fn is_valid(&self) -> bool {
        let is_non_negative = |n: f64| n.is_finite() && n >= 0.0;
        is_non_negative(self.per_second) && is_non_negative(self.burst)
    }

    /// Returns the units charged for a request of `tokens` tokens, 0 meaning that it has no token count.
    #[must_use]
    pub fn cost(&self, tokens: u32) -> f64 {
        match self.unit {
            LimitUnit::Requests => 1.0,
            LimitUnit::Tokens if tokens == 0 => f64::from(self.plain_tokens),
            LimitUnit::Tokens => f64::from(tokens),
        }
    }
}

/// Number of distinct tiers within one account rank; lower tiers share the last one.
const TIERS_PER_ACCOUNT_RANK: u8 = 4;

/// Returns the last request rank reserved for an account rank. Tiers below the fourth of accounts of rank
/// 0 rank lower.
#[must_use]
pub fn last_rank(account: u8) -> TierRank {
    request_rank(account, TIERS_PER_ACCOUNT_RANK - 1)
}

/// Returns the rank of a request. The account's rank takes precedence over the tier's.
///
/// All tier ranks stay distinct for accounts of rank 0, so that a site without ranked accounts uses
/// tiers alone.
#[must_use]
pub fn request_rank(account: u8, tier: TierRank) -> TierRank {
    if account == 0 {
        return tier.min(Tier::MAX_RANK);
    }
    let within = tier.min(TIERS_PER_ACCOUNT_RANK - 1);
    let rank = account.saturating_mul(TIERS_PER_ACCOUNT_RANK);
    rank.saturating_add(within).min(Tier::MAX_RANK)
}
