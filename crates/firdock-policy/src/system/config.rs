//! Applies the configuration in force to the tables.

use std::collections::HashMap;

use firdock_core::RequestId;
use firdock_core::resource::{Catalog, Tier};

use super::{access, budget, continuation, limit, restart, rollout, suspect};
use crate::action::Action;
use crate::request::RequestRow;
use crate::table::Tables;
use crate::table::account::AccountRow;
use crate::table::endpoint::EndpointRow;
use crate::table::service::ServiceRow;
use crate::time::Time;

/// Applies a catalog, unless it is older than the one in force.
pub fn apply(t: &mut Tables, now: Time, catalog: &Catalog, out: &mut Vec<Action>) {
    if catalog.version < t.version {
        return;
    }
    t.version = catalog.version;
    apply_accounts(t, now, catalog);
    apply_endpoints(t, now, catalog, out);
    continuation::record_builds(t, now, out);
    apply_services(t, catalog);
    withdraw_repeated_requests(t, out);
    link_endpoints(t);
    rollout::apply(t, now, catalog);
    remove_unused(t, now);
    limit::forget_unlimited(t);
    budget::set_budgets(t, now);
}

fn apply_accounts(t: &mut Tables, now: Time, catalog: &Catalog) {
    for (_, row) in t.accounts.iter_mut() {
        row.present = false;
    }
    for declared in &catalog.accounts {
        let at = t
            .accounts
            .find_or_add(&declared.name, || AccountRow::new(declared));
        t.accounts.get_mut(at).update(now, declared);
    }
}

fn apply_endpoints(t: &mut Tables, now: Time, catalog: &Catalog, out: &mut Vec<Action>) {
    for (_, row) in t.endpoints.iter_mut() {
        row.present = false;
        row.absent_since = row.absent_since.or(Some(now));
    }
    for declared in &catalog.endpoints {
        let inherited = restart::detach_previous_start(t, now, declared, out);
        let at = t
            .endpoints
            .find_or_add(&declared.name, || EndpointRow::new(declared.clone()));
        let row = t.endpoints.get_mut(at);
        row.present = true;
        row.absent_since = None;
        row.declared = declared.clone();
        if let Some(inherited) = inherited {
            row.unconfirmed = inherited.later_breaks;
            row.watch = inherited.watch;
            row.watch_closed = inherited.watch_closed;
        }
    }
    suspect::record_removed_entries(t, now, out);
}

fn apply_services(t: &mut Tables, catalog: &Catalog) {
    for (_, row) in t.services.iter_mut() {
        row.present = false;
    }
    for declared in &catalog.services {
        let Some(tier) = catalog.tiers.iter().find(|tier| tier.name == declared.tier) else {
            continue;
        };
        let make = || ServiceRow::new(declared.clone(), tier.clone());
        let at = t.services.find_or_add(&declared.name, make);
        let row = t.services.get_mut(at);
        row.present = true;
        row.declared = declared.clone();
        // Live requests keep the rank they arrived with, so the rank of the tier changes only once
        // there are none.
        if row.live == 0 || row.tier.rank == tier.rank {
            row.tier = tier.clone();
        } else {
            row.tier = Tier {
                rank: row.tier.rank,
                ..tier.clone()
            };
        }
    }
}

/// Withdraws the requests that were sent again, or are about to be, by an earlier configuration, and whose services may run a request
/// only once by this one.
fn withdraw_repeated_requests(t: &mut Tables, out: &mut Vec<Action>) {
    let may_run_once =
        |r: &&RequestRow| r.ran_before && !t.services.get(r.service).declared.repeatable;
    let rows = t.requests.iter().filter(may_run_once);
    let ids: Vec<RequestId> = rows.map(|r| r.new.id).collect();
    for id in ids {
        access::withdraw(t, id, out);
    }
}

/// Links services to the rows of their endpoints: those that name the service and those of its
/// pools.
fn link_endpoints(t: &mut Tables) {
    let mut by_service: HashMap<&str, Vec<usize>> = HashMap::new();
    let mut by_pool: HashMap<&str, Vec<usize>> = HashMap::new();
    for (at, e) in t.endpoints.iter().filter(|(_, e)| e.present) {
        by_pool.entry(&e.declared.pool).or_default().push(at);
        for name in &e.declared.services {
            by_service.entry(name).or_default().push(at);
        }
    }
    let found =
        |rows: &HashMap<&str, Vec<usize>>, name: &str| rows.get(name).cloned().unwrap_or_default();
    for (_, s) in t.services.iter_mut() {
        let mut rows = found(&by_service, &s.declared.name);
        for part in &s.declared.split {
            rows.extend(found(&by_pool, &part.pool));
        }
        rows.sort_unstable();
        rows.dedup();
        s.endpoints = rows;
    }
}

/// Removes rows that are neither declared nor referenced and that hold no state to keep.
fn remove_unused(t: &mut Tables, now: Time) {
    t.services.remove_if(|_, s| !s.present && s.live == 0);
    t.accounts.remove_if(|_, a| !a.present && a.live == 0);
    let accounts = &t.accounts;
    for (_, s) in t.services.iter_mut() {
        s.queue.drop_lanes(|account| !accounts.contains(account));
    }
    // Services are linked to present endpoints only.
    let ends = &t.unproven_ends;
    t.endpoints.remove_if(|at, e| {
        let is_needed = e.running > 0 || ends.refer_to(at) || e.keeps_notices(now);
        !e.present && !is_needed
    });
    // Another endpoint may get the row.
    let endpoints = &t.endpoints;
    for rollout in t.rollouts.rows.values_mut() {
        rollout.canaries.retain(|at| endpoints.contains(*at));
    }
}
