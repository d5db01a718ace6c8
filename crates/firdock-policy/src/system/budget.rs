//! Budgets: divides each endpoint's slots among the instances by demand.

mod group;
mod totals;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use firdock_core::rendezvous;
use firdock_core::{InstanceId, PoolId, ZoneId};

use self::totals::InstanceTotals;
use super::demand::{by_pool, on_endpoint};
use crate::settings::Mechanisms;
use crate::table::Tables;
use crate::table::endpoint::EndpointRow;
use crate::time::Time;

/// Interval between two updates of the budgets.
const BUDGET_PERIOD: Duration = Duration::from_millis(200);
/// Places of an engine assigned per slot under light load: instances do not use all of their places
/// at the same time, and the engine queues the few requests that collide.
const LIGHT_LOAD_PLACES_PER_SLOT: f64 = 1.25;
/// Places assigned per slot under heavy load: all places are used then, and requests queued by the
/// engine are late.
const HEAVY_LOAD_PLACES_PER_SLOT: f64 = 1.0;
/// Fraction of an instance's places in use above which the load counts as heavy.
const HEAVY_LOAD_FRACTION: f64 = 0.7;
/// Weight by which an instance in the engine's own availability zone is preferred for one of its
/// last places.
const SAME_ZONE_WEIGHT: f64 = 3.0;
/// Time after which instances that share fewer places than they are take turns.
const TURN: Duration = Duration::from_secs(2);
/// Time at the beginning of a turn in which what was sent in the one before may still be there, and in
/// which instances whose clocks differ may not agree on the turn.
const TURN_GAP: Duration = Duration::from_millis(400);
/// Fraction of each endpoint that is divided evenly, so that a burst finds some places immediately.
const EVEN_FRACTION: f64 = 0.25;

/// Sets this instance's budget on every endpoint.
pub fn set_budgets(t: &mut Tables, now: Time) {
    if t.settings.coordinates {
        group::set_budgets(t, now);
        return;
    }
    // Engines placed by a coordinator need no budgets here.
    let own = |e: &EndpointRow| !(t.coordinated && e.is_engine());
    let shared: Vec<(usize, &EndpointRow)> = t.endpoints.iter().filter(|(_, e)| own(e)).collect();
    let mechanisms = t.settings.mechanisms;
    let budgets = if t.is_single_group() {
        exact_budgets(t, now, &LiveInstances::new(t, now), &shared)
    } else {
        sampled_budgets(&InstanceTotals::new(t, now), mechanisms, &shared)
    };
    for (at, budget) in budgets {
        t.endpoints.get_mut(at).budget = budget;
    }
}

/// Returns budgets that add up to exactly each engine's places over all instances: every instance
/// computes the shares of all.
fn exact_budgets(
    t: &Tables,
    now: Time,
    instances: &LiveInstances,
    endpoints: &[(usize, &EndpointRow)],
) -> Vec<(usize, u32)> {
    let mechanisms = t.settings.mechanisms;
    let parts: Vec<Vec<f64>> = endpoints.iter().map(|(_, e)| instances.shares(e)).collect();
    let own = parts.iter().map(|all_shares| all_shares[0]);
    let places = places_per_slot(endpoints, own);
    let rows = endpoints.iter().zip(&parts);
    let budget = |((at, e), all_shares): (&(usize, &EndpointRow), &Vec<f64>)| {
        let budget = match t.fragile.get(&e.declared.pool, now) {
            Some(_) => instances.rotating_budget(t.unix_time(now), e, all_shares),
            None => instances.budget(mechanisms, places, e, all_shares),
        };
        (*at, budget)
    };
    rows.map(budget).collect()
}

/// Returns budgets that add up to each engine's places on average, by a local pseudorandom draw.
///
/// Computing the shares of all instances at each endpoint took 300 instances with 3,000 endpoints a
/// million draws each every 0.2 s, by calculation an eighth of a core, for as long as no
/// coordinator answers: right after a start, when there is the most work to do.
fn sampled_budgets(
    totals: &InstanceTotals,
    mechanisms: Mechanisms,
    endpoints: &[(usize, &EndpointRow)],
) -> Vec<(usize, u32)> {
    let mut by_pool: HashMap<&str, f64> = HashMap::new();
    let mut own_shares = Vec::with_capacity(endpoints.len());
    for (_, e) in endpoints {
        let own_share = by_pool.entry(&e.declared.pool);
        own_shares.push(*own_share.or_insert_with(|| totals.own_share(e)));
    }
    let places = places_per_slot(endpoints, own_shares.iter().copied());
    let mut by_zone: HashMap<&str, f64> = HashMap::new();
    let rows = endpoints.iter().zip(&own_shares);
    rows.map(|((at, e), own_share)| {
        let factor = by_zone.entry(&e.declared.zone);
        let factor = *factor.or_insert_with(|| totals.zone_factor(&e.declared.zone));
        (
            *at,
            totals.budget(mechanisms, places * factor, e, *own_share),
        )
    })
    .collect()
}

/// Updates the budgets if they have not been updated for a while. Between instances, they change no
/// faster than demand is reported.
pub fn refresh_budgets(t: &mut Tables, now: Time) {
    if t.budgets_updated_at + BUDGET_PERIOD <= now {
        t.budgets_updated_at = now;
        set_budgets(t, now);
    }
}

/// Returns the number of places per slot of an engine: fewer once this instance uses most of its
/// own places, taken as its share of each endpoint's slots.
fn places_per_slot(endpoints: &[(usize, &EndpointRow)], shares: impl Iterator<Item = f64>) -> f64 {
    let (mut used, mut own) = (0.0, 0.0);
    for ((_, e), share) in endpoints.iter().zip(shares) {
        if e.is_engine() && e.present {
            used += f64::from(e.running);
            own += f64::from(e.declared.slots) * share;
        }
    }
    if used < HEAVY_LOAD_FRACTION * own {
        LIGHT_LOAD_PLACES_PER_SLOT
    } else {
        HEAVY_LOAD_PLACES_PER_SLOT
    }
}

/// Demand of an instance that uses the endpoints: this one or a live peer.
struct InstanceDemand {
    name: InstanceId,
    zone: ZoneId,
    demand: BTreeMap<PoolId, f64>,
}

/// All instances that use the endpoints, starting with this one.
struct LiveInstances {
    rows: Vec<InstanceDemand>,
    by_demand: bool,
}

impl LiveInstances {
    fn new(t: &Tables, now: Time) -> Self {
        let own = InstanceDemand {
            name: t.settings.member.name.clone(),
            zone: t.settings.zone.clone(),
            demand: by_pool(t),
        };
        let peers = t
            .peers
            .iter()
            .filter(|(_, p)| t.is_live(p, now) && !p.draining)
            .map(|(_, p)| InstanceDemand {
                name: p.name.clone(),
                zone: p.zone.clone(),
                demand: p.demand.clone(),
            });
        let rows: Vec<InstanceDemand> = std::iter::once(own).chain(peers).collect();
        Self {
            rows,
            by_demand: t.settings.mechanisms.demand_shares,
        }
    }

    fn budget(&self, mechanisms: Mechanisms, places: f64, e: &EndpointRow, shares: &[f64]) -> u32 {
        if mechanisms.integer_budgets && e.is_engine() {
            return self.integer_budgets(shares, places * f64::from(e.declared.slots), e, 0);
        }
        rounded_places(e, shares[0])
    }

    /// Returns the whole number of places of this instance at a fragile endpoint: those of all add up
    /// to its slots. Where there are fewer slots than instances, these take turns.
    ///
    /// At the beginning of a turn, places that the instance did not have before are left to what
    /// others still have there.
    fn rotating_budget(&self, unix_time: Duration, e: &EndpointRow, shares: &[f64]) -> u32 {
        let places = f64::from(e.declared.slots);
        let turn = (unix_time.as_millis() / TURN.as_millis()) as u64;
        let budget = |turn: u64| self.integer_budgets(shares, places, e, turn);
        let into_turn = unix_time.as_millis() % TURN.as_millis();
        if into_turn < TURN_GAP.as_millis() {
            budget(turn).min(budget(turn.saturating_sub(1)))
        } else {
            budget(turn)
        }
    }

    /// Returns each instance's share of an endpoint, from 0 to 1.
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
        let instance_count = demands.len();
        let share = |own: f64| demand_share(own, total, instance_count);
        demands.into_iter().map(share).collect()
    }

    /// Returns the whole number of places of this instance. Nearby instances are preferred for the
    /// last places.
    fn integer_budgets(&self, shares: &[f64], places: f64, e: &EndpointRow, turn: u64) -> u32 {
        let part = |(row, share): (&'_ InstanceDemand, &f64)| {
            let same_zone = row.zone == e.declared.zone;
            Allotment {
                name: row.name.clone(),
                share: *share,
                weight: if same_zone { SAME_ZONE_WEIGHT } else { 1.0 },
            }
        };
        let parts: Vec<Allotment> = self.rows.iter().zip(shares).map(part).collect();
        integer_budgets(&parts, 0, places, e, turn)
    }
}

/// Returns this instance's share of an endpoint's places, at least one.
fn rounded_places(e: &EndpointRow, share: f64) -> u32 {
    let slots = f64::from(e.declared.slots) * share;
    (slots.round() as u32).max(1)
}

/// Returns an instance's share of an endpoint, from 0 to 1, by its own demand and the total over
/// `of` instances.
fn demand_share(own: f64, total: f64, instance_count: usize) -> f64 {
    let even = 1.0 / instance_count as f64;
    EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * own / total
}

/// Share of one instance or group in an endpoint.
#[derive(Debug)]
struct Allotment {
    name: String,
    /// From 0 to 1; the shares of all add up to 1.
    share: f64,
    /// Weight in the assignment of the last places.
    weight: f64,
}

/// Returns the whole number of places for `own`, such that the places of all add up to the
/// endpoint's.
///
/// Each gets the integer part of its share. The remaining places are assigned by weighted
/// rendezvous hashing: to the highest numbers drawn from the names, weighted by the fractional part
/// that is still missing. All instances compute the same result without communication.
fn integer_budgets(
    parts: &[Allotment],
    own: usize,
    places: f64,
    e: &EndpointRow,
    turn: u64,
) -> u32 {
    let whole = |part: &Allotment| (places * part.share).floor();
    let left = places - parts.iter().map(whole).sum::<f64>();
    let key = rendezvous::hash_key(e.declared.name.as_bytes()).wrapping_add(turn);
    let draw = |part: &Allotment| {
        let remainder = places * part.share - whole(part);
        let number = rendezvous::weight(key, &part.name) as f64 / u64::MAX as f64;
        let log = number.clamp(f64::MIN_POSITIVE, 1.0 - f64::EPSILON).ln();
        -remainder * part.weight / log
    };
    let draws: Vec<f64> = parts.iter().map(draw).collect();
    let before = draws.iter().filter(|d| **d > draws[own]).count();
    let extra = (before as f64) < left.round();
    whole(&parts[own]) as u32 + u32::from(extra)
}
