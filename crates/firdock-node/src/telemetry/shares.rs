//! Shares of accounts where room is short: metrics of all, and a line on each that is over its own.

use std::sync::Arc;
use std::time::Duration;

use firdock_policy::table::Tables;
use firdock_policy::{FairShare, OVER_SHARE_FACTOR, Time, fair_shares_by_pool};
use slog::{Logger, info};

use super::metrics::Metrics;

/// Pause between two looks: work that counts fades by a second.
const PAUSE: Duration = Duration::from_secs(1);
/// Accounts told of for each pool and rank in one look, so that many of them fill neither the log nor the metrics.
const MAX_ACCOUNTS: usize = 64;
/// Lines for each pool and rank in one look, on those that are furthest over their shares.
const MAX_LINES: usize = 4;

/// Writes what accounts had of what they may have.
#[derive(Debug)]
pub struct ShareLog {
    log: Logger,
    metrics: Arc<Metrics>,
    looked: Time,
}

impl ShareLog {
    /// Makes a writer.
    #[must_use]
    pub fn new(log: Logger, metrics: Arc<Metrics>) -> Self {
        Self {
            log,
            metrics,
            looked: Time::ZERO,
        }
    }

    /// Looks at the tables of the coordinator that runs here, or of the instance where it has none, if
    /// accounts have shares and a look is due.
    pub fn record(&mut self, now: Time, t: &Tables) {
        if !t.settings.account_shares.is_on() || now < self.looked + PAUSE {
            return;
        }
        self.looked = now;
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
