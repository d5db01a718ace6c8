//! Log lines for endpoints that restarted under the same name.

use firdock_core::resource::Catalog;
use firdock_policy::Time;
use firdock_policy::table::Tables;
use firdock_policy::table::endpoint::EndpointRow;
use slog::{Logger, info};

use super::log_limiter::{LogKind, LogLimiter};

/// Logs the endpoints that a configuration declares with another start than the tables have. It has to
/// be called before the configuration is applied to the tables.
pub fn log_restarts(log: &Logger, limiter: &LogLimiter, now: Time, t: &Tables, catalog: &Catalog) {
    if catalog.version < t.version {
        return;
    }
    for declared in &catalog.endpoints {
        let known = t.endpoints.find(&declared.name);
        let known = known.map(|at| t.endpoints.get(at));
        let Some(row) = known.filter(|row| row.is_other_start(declared)) else {
            continue;
        };
        if limiter.allow(log, now, LogKind::StateChange) {
            write(log, row, &declared.start_id());
        }
    }
}

fn write(log: &Logger, row: &EndpointRow, start: &str) {
    info!(log, "endpoint restarted"; "endpoint" => &row.declared.name, "start" => start,
        "before" => &row.start_id, "running" => row.running);
}
