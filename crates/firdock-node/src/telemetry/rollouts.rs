//! One line for each step of a roll-out, with what was seen of both versions by then.

use std::collections::BTreeMap;

use firdock_core::{Offset, PoolId};
use firdock_policy::Time;
use firdock_policy::rollout::Stage;
use firdock_policy::table::Tables;
use firdock_policy::table::rollout::RolloutRow;
use slog::{Logger, info};

use crate::clock::millis;

/// Writes the lines on roll-outs, and keeps what was last written.
#[derive(Debug)]
pub struct RolloutLog {
    log: Logger,
    known: BTreeMap<PoolId, (Offset, Stage)>,
}

impl RolloutLog {
    /// Makes a writer; roll-outs are few, so that their lines need no bound.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            known: BTreeMap::new(),
        }
    }

    /// Writes the steps since the last look; tells whether there were any.
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
