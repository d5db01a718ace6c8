//! The configuration in force is taken over into the tables.

use std::collections::HashSet;

use firdock_core::resource::{Catalog, Endpoint, PoolWeight, Service, Tier};

use super::share;
use crate::table::Tables;
use crate::table::account::AccountRow;
use crate::table::endpoint::EndpointRow;
use crate::table::service::ServiceRow;
use crate::time::Time;

/// Takes a catalog over, unless it is older than the one in force.
pub fn apply(t: &mut Tables, now: Time, catalog: &Catalog) {
    if catalog.version < t.version {
        return;
    }
    t.version = catalog.version;
    apply_accounts(t, now, catalog);
    apply_endpoints(t, catalog);
    apply_services(t, catalog);
    link(t);
    sweep(t);
    share::set_budgets(t, now);
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

fn apply_endpoints(t: &mut Tables, catalog: &Catalog) {
    for (_, row) in t.endpoints.iter_mut() {
        row.present = false;
    }
    for declared in &catalog.endpoints {
        let at = t
            .endpoints
            .find_or_add(&declared.name, || EndpointRow::new(declared.clone()));
        let row = t.endpoints.get_mut(at);
        row.present = true;
        row.declared = declared.clone();
    }
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
        // Requests that live keep the rank they came with, so the tier changes once none do.
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

/// Links services to the rows of their endpoints.
fn link(t: &mut Tables) {
    let endpoints = &t.endpoints;
    for (_, s) in t.services.iter_mut() {
        let serves = |e: &EndpointRow| e.present && serves(&e.declared, &s.declared);
        s.endpoints = endpoints
            .iter()
            .filter(|(_, e)| serves(e))
            .map(|(i, _)| i)
            .collect();
    }
}

/// Tells whether an endpoint takes requests of a service: by the service's name or a pool of it.
fn serves(endpoint: &Endpoint, service: &Service) -> bool {
    let in_pool = |p: &PoolWeight| p.pool == endpoint.pool;
    endpoint.services.contains(&service.name) || service.split.iter().any(in_pool)
}

/// Removes rows that are neither declared nor referred to.
fn sweep(t: &mut Tables) {
    t.services.remove_if(|s| !s.present && s.live == 0);
    t.accounts.remove_if(|a| !a.present && a.live == 0);
    let linked: HashSet<usize> = t
        .services
        .iter()
        .flat_map(|(_, s)| s.endpoints.iter().copied())
        .collect();
    let busy: HashSet<String> = t
        .endpoints
        .iter()
        .filter(|(i, e)| e.running > 0 || linked.contains(i))
        .map(|(_, e)| e.declared.name.clone())
        .collect();
    t.endpoints
        .remove_if(|e| !e.present && !busy.contains(&e.declared.name));
}
