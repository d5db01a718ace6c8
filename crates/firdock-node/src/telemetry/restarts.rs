//! One line for each endpoint that started again under its name.

use firdock_core::resource::Catalog;
use firdock_policy::Time;
use firdock_policy::table::Tables;
use firdock_policy::table::endpoint::EndpointRow;
use slog::{Logger, info};

use super::log_limiter::{LogKind, LogLimiter};

/// Writes which endpoints of a configuration are later starts than the tables have, before it is taken.
pub fn log_restarts(log: &Logger, lines: &LogLimiter, now: Time, t: &Tables, catalog: &Catalog) {
    if catalog.version < t.version {
        return;
    }
    for declared in &catalog.endpoints {
        let known = t.endpoints.find(&declared.name);
        let known = known.map(|at| t.endpoints.get(at));
        let Some(row) = known.filter(|row| row.is_other_start(declared)) else {
            continue;
        };
        if lines.allow(log, now, LogKind::StateChange) {
            write(log, row, &declared.start_id());
        }
    }
}

fn write(log: &Logger, row: &EndpointRow, start: &str) {
    info!(log, "endpoint restarted"; "endpoint" => &row.declared.name, "start" => start,
        "before" => &row.start_id, "running" => row.running);
}
