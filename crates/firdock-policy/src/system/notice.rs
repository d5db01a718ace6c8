//! Notices from endpoints: kept per start, counted, and effective until a request is written.

use crate::action::Action;
use crate::notice::{LimitNotice, Notice, NoticeReport};
use crate::request::Phase;
use crate::system::fragile;
use crate::system::handover::LEAVING_REPORT_TTL;
use crate::table::Tables;

/// Records a notice that an endpoint sent about itself. Notices from starts that have ended are
/// ignored.
///
/// A notice sent to another instance is recorded under that instance's name.
pub fn record(t: &mut Tables, report: &NoticeReport, out: &mut Vec<Action>) {
    let Some(at) = t.endpoints.find_start(&report.endpoint) else {
        return;
    };
    if let Some(time) = report.notice.backoff {
        t.backoffs_until = t.backoffs_until.max(report.read + time);
    }
    fragile::record_notice(t, at, report);
    let e = t.endpoints.get_mut(at);
    if !report.member.is_empty() {
        if report.notice.leaving {
            e.peer_leaving = Some(report.read + LEAVING_REPORT_TTL);
        }
        let notice = Notice {
            leaving: false,
            ..report.notice
        };
        e.notices.merge(&NoticeReport {
            notice,
            ..report.clone()
        });
        return;
    }
    if report.notice.limit != LimitNotice::Unknown {
        let limit = report.notice.limit.rate();
        t.limits.named |= limit.is_some();
        if e.limit.record(report.read, limit) {
            t.limits.revision.own += 1;
            t.limits.revision.all += 1;
        }
    }
    let new = e.notices.merge(report);
    let counts = t.stats.notices.entry(e.declared.pool.clone()).or_default();
    counts.leaving += u64::from(new.leaving);
    counts.backoffs += u64::from(report.notice.backoff.is_some());
    counts.limits += u64::from(report.notice.limit.rate().is_some());
    counts.refusal_limits += u64::from(report.notice.refusal_limit.is_some());
    if !new.is_empty() {
        withhold(t, at, out);
    }
}

/// Withholds dispatches to an endpoint that have not been written yet.
fn withhold(t: &Tables, at: usize, out: &mut Vec<Action>) {
    let in_flight = t
        .requests
        .iter()
        .filter(|r| r.phase == Phase::Dispatching(at));
    out.extend(in_flight.map(|r| Action::Withhold {
        id: r.new.id,
        dispatch: r.dispatch,
    }));
}
