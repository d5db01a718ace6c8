//! Health of endpoints: load reports, ejection, and leaving as soon as any source reports it.

use crate::event::{ListedInstance, LoadReport};
use crate::table::Tables;
use crate::table::endpoint::{Health, MISSED_REPORTS, Reported};
use crate::time::Time;

/// Records a report of load and cache changes.
pub fn record_report(t: &mut Tables, now: Time, report: &LoadReport) {
    let Some(at) = t.endpoints.find(&report.endpoint) else {
        return;
    };
    let e = t.endpoints.get_mut(at);
    e.missed = 0;
    e.reported_leaving = report.leaving;
    let own_backlog = e
        .report
        .map_or(0.0, |_| e.backlog.min(f64::from(report.backlog)));
    e.report = Some(Reported {
        taken: now.saturating_sub(report.age),
        backlog: report.backlog,
        own_backlog,
    });
    if report.gap {
        e.cache.record_gap(now);
    }
    for block in &report.added {
        e.cache.add(now, *block);
    }
    for block in &report.removed {
        e.cache.remove(*block);
    }
}

/// Records that a report could not be fetched. Ejects the endpoint after several in succession.
pub fn record_missed_report(t: &mut Tables, now: Time, name: &str) {
    let Some(at) = t.endpoints.find(name) else {
        return;
    };
    let e = t.endpoints.get_mut(at);
    e.missed += 1;
    if e.missed >= MISSED_REPORTS && e.health == Health::Healthy {
        eject(t, now, at);
    }
}

/// Applies the platform's instance list.
pub fn apply_instance_list(t: &mut Tables, rows: &[ListedInstance]) {
    for row in rows {
        if let Some(at) = t.endpoints.find(&row.name) {
            t.endpoints.get_mut(at).listed_leaving = row.leaving;
        }
    }
}

/// Records a broken dispatch. Ejects the endpoint after several in succession.
pub fn record_broken_dispatch(t: &mut Tables, now: Time, at: usize) {
    let e = t.endpoints.get_mut(at);
    e.broken += 1;
    let probing = e.health != Health::Healthy;
    if probing || e.broken >= t.settings.eject_after {
        eject(t, now, at);
    }
}

/// Ejects an endpoint for a while, unless too many endpoints of a service are ejected already.
pub fn eject(t: &mut Tables, now: Time, at: usize) {
    // A start that was replaced says nothing about its successor.
    if !t.settings.mechanisms.ejection || t.endpoints.get(at).is_replaced() {
        return;
    }
    if may_eject(t, now, at) {
        t.endpoints.get_mut(at).eject(now);
        t.stats.ejections += 1;
    }
}

/// Returns whether each of the endpoint's services keeps enough other endpoints.
fn may_eject(t: &Tables, now: Time, at: usize) -> bool {
    let mut services = t.services.iter().filter(|(_, s)| s.endpoints.contains(&at));
    services.all(|(_, s)| {
        let out = |e: &&usize| **e != at && is_ejected(t, now, **e);
        let ejected = s.endpoints.iter().filter(out).count() + 1;
        let most = (s.endpoints.len() as f64 * t.settings.eject_ratio).floor();
        ejected as f64 <= most.max(1.0)
    })
}

fn is_ejected(t: &Tables, now: Time, at: usize) -> bool {
    match t.endpoints.get(at).health {
        Health::Healthy => false,
        Health::Ejected(until) => until > now,
        Health::Probing => true,
    }
}
