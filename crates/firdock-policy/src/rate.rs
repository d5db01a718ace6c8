//! Rates of requests.

use serde::{Deserialize, Serialize};

/// Requests per second, in thousandths.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Lowest rate that an endpoint's limit can have: one request every four seconds.
    ///
    /// An endpoint that gets no requests sends no answers either, so none of them could end a lower
    /// limit.
    pub const MIN: Self = Self(250);
    /// Highest rate that an endpoint's limit can have; no endpoint serves more.
    pub const MAX: Self = Self(1_000_000_000);

    /// Creates a rate from requests per second, clamped to the bounds; `None` for a negative value
    /// or one that is not a number.
    #[must_use]
    pub fn from_per_second(rate: f64) -> Option<Self> {
        let thousandths = (rate * 1e3).min(Self::MAX.0 as f64);
        (rate >= 0.0).then_some(Self(thousandths as u64).clamp(Self::MIN, Self::MAX))
    }

    /// Creates a rate from thousandths of a request per second, clamped to the bounds.
    #[must_use]
    pub fn from_thousandths(rate: u64) -> Self {
        Self(rate).clamp(Self::MIN, Self::MAX)
    }

    /// Returns the thousandths of a request per second.
    #[must_use]
    pub fn thousandths(self) -> u64 {
        self.0
    }

    /// Returns the requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1e3
    }
}
