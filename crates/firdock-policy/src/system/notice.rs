//! Notices of endpoints: kept with the start that gave them, and counted.

use crate::notice::NoticeTold;
use crate::table::Tables;

/// Takes what an endpoint said of itself; the word of a start that is over is passed over.
pub fn take(t: &mut Tables, told: &NoticeTold) {
    let Some(at) = t.endpoints.find_start(&told.endpoint) else {
        return;
    };
    let e = t.endpoints.get_mut(at);
    let new = e.notices.take(told);
    let counts = t.stats.notices.entry(e.declared.pool.clone()).or_default();
    counts.leaving += u64::from(new.leaving);
    counts.backoffs += u64::from(told.notice.backoff.is_some());
}
