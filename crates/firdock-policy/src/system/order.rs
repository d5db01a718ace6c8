//! Order inside a queue: who holds an engine's place for long goes after those who leave it soon.

use std::time::Duration;

use super::place;
use crate::cost;
use crate::request::RequestRow;
use crate::table::Tables;
use crate::time::Time;

/// Time by which a request's turn is put off, for each second that it is expected to hold an engine's
/// place: worth 0.002 of a day of high load or trouble, within the error of ten pairs; 0.3 gave no more.
const PUT_OFF_PART: f64 = 0.1;

/// Gives when a request's turn is due.
///
/// Answers of one service differ a hundredfold in length. In order of arrival, one of fifteen seconds
/// keeps a place from ten of the usual length; put off, it is those that begin in time. No
/// turn is put off by more than the tier's target, so that a long answer still goes before all that
/// came so much later.
pub fn due(t: &Tables, row: &RequestRow) -> Time {
    if !t.settings.mechanisms.short_first {
        return row.arrived;
    }
    let service = t.services.get(row.service);
    let engine = place::engine_for(t, row);
    let secs = engine.map_or(0.0, |e| cost::assumed_secs(row, service, e));
    let most = service.tier.target().as_secs_f64();
    row.arrived + Duration::from_secs_f64((PUT_OFF_PART * secs).min(most))
}
