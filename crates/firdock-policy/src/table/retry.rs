//! Budgets of second tries, so that retries cannot multiply the load of a failing pool.

use std::collections::HashMap;

use firdock_core::PoolId;

use crate::settings::PolicySettings;

/// Second tries that the budget of one instance saves up where none is shared.
const OWN_CREDIT: f64 = 20.0;
/// Part of the shared slack that instances use, since each restart begins with a full budget.
const SHARED_PART: f64 = 1.0 / 3.0;
/// Part of the shared ratio that instances use: first tries are counted at the callers' side, where
/// some of those counted here never arrived.
const SHARED_RATIO_PART: f64 = 0.75;
/// Least credit of an instance, without which it could never try again.
const LEAST_CREDIT: f64 = 1.0;

/// Credits by pool; a second try costs one, and each first try earns a part of one.
///
/// Over any time, an instance's second tries stay below its first tries times the ratio, plus its
/// part of the slack; the sum over all instances then keeps the bound of the whole site.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    credits: HashMap<PoolId, f64>,
}

impl RetryBudgets {
    /// Makes full budgets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives the most that a budget saves up.
    #[must_use]
    pub fn most(settings: &PolicySettings, peers: usize) -> f64 {
        let instances = 1.0 + peers as f64;
        let shared = |slack: f64| (slack * SHARED_PART / instances).max(LEAST_CREDIT);
        settings.retry_slack.map_or(OWN_CREDIT, shared)
    }

    /// Notes a first try.
    pub fn earn(&mut self, pool: &str, settings: &PolicySettings, most: f64) {
        let part = settings.retry_slack.map_or(1.0, |_| SHARED_RATIO_PART);
        if let Some(credit) = self.credits.get_mut(pool) {
            *credit = (*credit + settings.retry_ratio * part).min(most);
        }
    }

    /// Tells whether a second try is allowed.
    #[must_use]
    pub fn allow(&self, pool: &str, most: f64) -> bool {
        self.credits.get(pool).copied().unwrap_or(most).min(most) >= 1.0
    }

    /// Notes a second try.
    pub fn spend(&mut self, pool: &str, most: f64) {
        let credit = self.credits.entry(pool.to_owned()).or_insert(most);
        *credit = credit.min(most) - 1.0;
    }
}
