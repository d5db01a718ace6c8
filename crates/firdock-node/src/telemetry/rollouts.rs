//! Log lines for the steps of roll-outs, with the evidence on both versions so far.

use std::collections::BTreeMap;

use firdock_core::{Offset, PoolId};
use firdock_policy::Time;
use firdock_policy::rollout::Stage;
use firdock_policy::table::Tables;
use firdock_policy::table::rollout::RolloutRow;
use slog::{Logger, info};

use crate::clock::millis;

/// Logs each step of a roll-out once, by comparing with the step that was last logged.
#[derive(Debug)]
pub struct RolloutLog {
    log: Logger,
    known: BTreeMap<PoolId, (Offset, Stage)>,
}

impl RolloutLog {
    /// Creates a writer. Roll-outs are few, so their lines are not rate-limited.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            known: BTreeMap::new(),
        }
    }

    /// Logs the steps since the last call; returns whether there were any.
    pub fn record(&mut self, now: Time, t: &Tables) -> bool {
        let rows = &t.rollouts.rows;
        let mut changed = false;
        for (pool, row) in rows {
            let step = (row.declared.order, row.stage);
            if self.known.get(pool) != Some(&step) {
                self.known.insert(pool.clone(), step);
                self.write(now, t, row);
                changed = true;
            }
        }
        self.known.retain(|pool, _| rows.contains_key(pool));
        changed
    }

    fn write(&self, now: Time, t: &Tables, row: &RolloutRow) {
        let seen = row.site_evidence();
        info!(self.log, "roll-out"; "pool" => &row.declared.pool, "version" => &row.declared.version,
            "order" => row.declared.order, "stage" => row.stage.as_str(),
            "age" => millis(row.age(now)), "time" => row.declared.time_millis,
            "decides" => t.rollouts.decides, "sent" => seen.sent, "exposed" => seen.exposed,
            "ratio" => row.ratio, "tried_at" => row.canaries.len());
    }
}
