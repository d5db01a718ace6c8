//! Shares of accounts where capacity is short: metrics of all accounts, and a log line for each
//! account that exceeds its share.

use std::sync::Arc;
use std::time::Duration;

use firdock_policy::table::Tables;
use firdock_policy::{FairShare, OVER_SHARE_FACTOR, Time, fair_shares_by_pool};
use slog::{Logger, info};

use super::metrics::Metrics;

/// Interval between two samples: the weight of past work decays by the second.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Accounts reported for each pool and rank in one sample. It bounds the size of the log and of the metrics.
const MAX_ACCOUNTS: usize = 64;
/// Log lines for each pool and rank in one sample, for the accounts that exceed their shares most.
const MAX_LINES: usize = 4;

/// Publishes how much work was done for each account, compared with its share.
#[derive(Debug)]
pub struct ShareLog {
    log: Logger,
    metrics: Arc<Metrics>,
    sampled_at: Time,
}

impl ShareLog {
    /// Creates a writer that has not sampled yet.
    #[must_use]
    pub fn new(log: Logger, metrics: Arc<Metrics>) -> Self {
        Self {
            log,
            metrics,
            sampled_at: Time::ZERO,
        }
    }

    /// Samples `t` if shares are enabled and a sample is due.
    ///
    /// `t` are the tables of the coordinator that runs here, or of the instance if it runs none.
    pub fn record(&mut self, now: Time, t: &Tables) {
        if !t.settings.account_shares.is_on() || now < self.sampled_at + SAMPLE_INTERVAL {
            return;
        }
        self.sampled_at = now;
        self.metrics.clear_shares();
        for pool in fair_shares_by_pool(t, now) {
            let mut rows = pool.rows;
            rows.sort_by(|a, b| b.asked.total_cmp(&a.asked));
            for row in rows.iter().take(MAX_ACCOUNTS) {
                let name = &t.accounts.get(row.account).name;
                self.metrics.set_share(name, &pool.pool, row);
            }
            if pool.short {
                self.write_over(t, &pool.pool, rows);
            }
        }
    }

    fn write_over(&self, t: &Tables, pool: &str, mut rows: Vec<FairShare>) {
        let over = |s: &FairShare| s.done / s.share.max(f64::MIN_POSITIVE);
        rows.retain(|s| over(s) > OVER_SHARE_FACTOR);
        rows.sort_by(|a, b| over(b).total_cmp(&over(a)));
        for row in rows.iter().take(MAX_LINES) {
            let account = t.accounts.get(row.account);
            info!(self.log, "account over its share";
                "account" => &account.name,
                "account_rank" => account.rank,
                "pool" => pool,
                "weight" => row.weight,
                "asked_secs" => row.asked,
                "done_secs" => row.done,
                "share_secs" => row.share,
            );
        }
    }
}
