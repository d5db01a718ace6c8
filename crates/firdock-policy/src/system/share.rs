//! Budgets: each endpoint's slots are split among the instances by their demand.

mod group;

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::rendezvous;
use firdock_core::{InstanceId, PoolId, ZoneId};

use super::demand::{by_pool, on_endpoint};
use crate::settings::Mechanisms;
use crate::table::Tables;
use crate::table::endpoint::EndpointRow;
use crate::time::Time;

/// Pause between two settings of the budgets.
const BUDGET_PERIOD: Duration = Duration::from_millis(200);
/// Places of an engine that are given out in calm times, as a part of its slots: instances do not
/// use all of theirs at one time, and an engine queues the few that meet.
const CALM_PLACES: f64 = 1.25;
/// The same under load, when all places are used: what an engine queues comes late.
const BUSY_PLACES: f64 = 1.0;
/// Part of an instance's places whose use tells that the load is no longer calm.
const BUSY_PART: f64 = 0.7;
/// How much sooner an instance in the engine's own availability zone gets one of its last places.
const NEAR_WEIGHT: f64 = 3.0;
/// Part of each endpoint that is split evenly, so that a burst finds some room at once.
const EVEN_PART: f64 = 0.25;

/// Sets this instance's budget on every endpoint.
pub fn set_budgets(t: &mut Tables, now: Time) {
    if t.settings.coordinates {
        group::set_budgets(t, now);
        return;
    }
    let sharers = Sharers::new(t, now);
    // What a coordinator places needs no budgets here; every endpoint's costs a draw of each instance.
    let own = |e: &EndpointRow| !(t.coordinated && e.is_engine());
    let shared: Vec<(usize, &EndpointRow, Vec<f64>)> = t
        .endpoints
        .iter()
        .filter(|(_, e)| own(e))
        .map(|(i, e)| (i, e, sharers.shares(e)))
        .collect();
    let places = places_part(&shared);
    let budgets: Vec<(usize, u32)> = shared
        .iter()
        .map(|(i, e, shares)| (*i, sharers.budget(t.settings.mechanisms, places, e, shares)))
        .collect();
    for (at, budget) in budgets {
        t.endpoints.get_mut(at).budget = budget;
    }
}

/// Sets the budgets again if they have not been set for a while: between instances, they change no
/// faster than demand is told.
pub fn refresh_budgets(t: &mut Tables, now: Time) {
    if t.budgets_set + BUDGET_PERIOD <= now {
        t.budgets_set = now;
        set_budgets(t, now);
    }
}

/// Gives how many places an engine has for each slot: fewer once this instance uses most of its own.
///
/// The first share of each endpoint is this instance's.
fn places_part(shared: &[(usize, &EndpointRow, Vec<f64>)]) -> f64 {
    let (mut used, mut own) = (0.0, 0.0);
    for (_, e, shares) in shared {
        if e.is_engine() && e.present {
            used += f64::from(e.running);
            own += f64::from(e.declared.slots) * shares[0];
        }
    }
    if used < BUSY_PART * own {
        CALM_PLACES
    } else {
        BUSY_PLACES
    }
}

/// One instance that uses the endpoints, this one or a peer that is heard.
struct Sharer {
    name: InstanceId,
    zone: ZoneId,
    demand: BTreeMap<PoolId, f64>,
}

/// The instances that use the endpoints; the first is this one.
struct Sharers {
    rows: Vec<Sharer>,
    by_demand: bool,
}

impl Sharers {
    fn new(t: &Tables, now: Time) -> Self {
        let own = Sharer {
            name: t.settings.member.name.clone(),
            zone: t.settings.zone.clone(),
            demand: by_pool(t),
        };
        let peers = t
            .peers
            .iter()
            .filter(|(_, p)| t.is_heard(p, now) && !p.draining)
            .map(|(_, p)| Sharer {
                name: p.name.clone(),
                zone: p.zone.clone(),
                demand: p.demand.clone(),
            });
        Self {
            rows: std::iter::once(own).chain(peers).collect(),
            by_demand: t.settings.mechanisms.demand_shares,
        }
    }

    fn budget(&self, on: Mechanisms, places: f64, e: &EndpointRow, shares: &[f64]) -> u32 {
        if on.whole_places && e.is_engine() {
            return self.whole_places(shares, places * f64::from(e.declared.slots), e);
        }
        let slots = f64::from(e.declared.slots) * shares[0];
        (slots.round() as u32).max(1)
    }

    /// Gives each instance's part of an endpoint, from 0 to 1.
    fn shares(&self, e: &EndpointRow) -> Vec<f64> {
        let even = 1.0 / self.rows.len() as f64;
        let demands: Vec<f64> = self
            .rows
            .iter()
            .map(|r| on_endpoint(&r.demand, e))
            .collect();
        let total: f64 = demands.iter().sum();
        if !self.by_demand || total <= f64::EPSILON {
            return vec![even; demands.len()];
        }
        let share = |own: f64| EVEN_PART * even + (1.0 - EVEN_PART) * own / total;
        demands.into_iter().map(share).collect()
    }

    /// Gives this instance whole places; those nearby get the last ones sooner.
    fn whole_places(&self, shares: &[f64], places: f64, e: &EndpointRow) -> u32 {
        let part = |(row, share): (&'_ Sharer, &f64)| {
            let near = row.zone == e.declared.zone;
            Part {
                name: row.name.clone(),
                share: *share,
                weight: if near { NEAR_WEIGHT } else { 1.0 },
            }
        };
        let parts: Vec<Part> = self.rows.iter().zip(shares).map(part).collect();
        whole_places(&parts, 0, places, e)
    }
}

/// One sharer's part of an endpoint.
#[derive(Debug)]
struct Part {
    name: String,
    /// From 0 to 1; those of all sharers add up to 1.
    share: f64,
    /// How much sooner it gets one of the last places.
    weight: f64,
}

/// Gives the sharer at `own` whole places, so that all sharers' places add up to the endpoint's.
///
/// Each gets the whole part of its share. The places that are left go by weighted rendezvous: to
/// the sharers with the greatest numbers that are drawn from the names and weighted by what they
/// still lack. All instances draw alike, without talking.
fn whole_places(parts: &[Part], own: usize, places: f64, e: &EndpointRow) -> u32 {
    let whole = |part: &Part| (places * part.share).floor();
    let left = places - parts.iter().map(whole).sum::<f64>();
    let key = rendezvous::hash_key(e.declared.name.as_bytes());
    let draw = |part: &Part| {
        let lacks = places * part.share - whole(part);
        let number = rendezvous::weight(key, &part.name) as f64 / u64::MAX as f64;
        let log = number.clamp(f64::MIN_POSITIVE, 1.0 - f64::EPSILON).ln();
        -lacks * part.weight / log
    };
    let draws: Vec<f64> = parts.iter().map(draw).collect();
    let before = draws.iter().filter(|d| **d > draws[own]).count();
    let extra = (before as f64) < left.round();
    whole(&parts[own]) as u32 + u32::from(extra)
}
