//! Retry budgets, so that retries cannot multiply the load of a failing pool.

use std::collections::HashMap;

use firdock_core::PoolId;

use crate::settings::PolicySettings;

/// Maximum credit of one instance where no slack is shared.
const UNSHARED_CREDIT: f64 = 20.0;
/// Fraction of the shared slack that instances use, since each restart begins with a full budget.
const SLACK_FRACTION: f64 = 1.0 / 3.0;
/// Fraction of the shared ratio that instances use: first attempts are counted at the callers'
/// side, and some of those counted here never arrived there.
const RATIO_FRACTION: f64 = 0.75;
/// Minimum credit of an instance, without which it could never retry.
const MIN_CREDIT: f64 = 1.0;

/// Credits by pool; a retry costs one, and each first attempt earns a fraction of one.
///
/// Over any time, an instance's retries stay below its first attempts times the ratio, plus its
/// part of the slack; the sum over all instances then keeps the bound of the whole site.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    credits: HashMap<PoolId, f64>,
}

impl RetryBudgets {
    /// Creates full budgets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the maximum credit of a budget.
    #[must_use]
    pub fn max_credit(settings: &PolicySettings, peers: usize) -> f64 {
        let instances = 1.0 + peers as f64;
        let shared = |slack: f64| (slack * SLACK_FRACTION / instances).max(MIN_CREDIT);
        settings.retry_slack.map_or(UNSHARED_CREDIT, shared)
    }

    /// Records a first attempt.
    pub fn earn(&mut self, pool: &str, settings: &PolicySettings, max_credit: f64) {
        let fraction = settings.retry_slack.map_or(1.0, |_| RATIO_FRACTION);
        if let Some(credit) = self.credits.get_mut(pool) {
            *credit = (*credit + settings.retry_ratio * fraction).min(max_credit);
        }
    }

    /// Returns whether a retry is allowed.
    #[must_use]
    pub fn allow(&self, pool: &str, max_credit: f64) -> bool {
        self.credits
            .get(pool)
            .copied()
            .unwrap_or(max_credit)
            .min(max_credit)
            >= 1.0
    }

    /// Records a retry.
    pub fn spend(&mut self, pool: &str, max_credit: f64) {
        let credit = self.credits.entry(pool.to_owned()).or_insert(max_credit);
        *credit = credit.min(max_credit) - 1.0;
    }
}
