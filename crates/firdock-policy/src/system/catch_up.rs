//! Catching up: short requests of a lower tier go first while they are served much less often than what is
//! above them (`docs/design/shifted.md`).

use firdock_core::TierRank;
use firdock_core::resource::Tier;

use super::place;
use crate::action::Action;
use crate::table::Tables;
use crate::table::service::ServiceRow;
use crate::time::Time;

/// Length of answers, as a part of those of the tiers above, up to which a tier may catch up: a place that
/// such a request holds is missed by one of a higher tier for that part of its time.
const SHORT_PART: f64 = 0.25;

/// Places short requests of tiers that are served much less often than those above them, until they are not.
///
/// Under load the lowest tier is what is left over. On two days of 1.6 times the load of 60 engines the
/// shortest requests earned 0.36 and 0.39 of their worth, and the next tier's 0.57 and 0.53; so placed 0.5
/// and more, for 0.03 of that tier's (`docs/design/shifted.md`). They hold a place for a tenth of its time. Nothing of a higher tier is
/// shed for it while they are held: they go before it where there is room, or are shed themselves.
pub fn run(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    for rank in 1..=Tier::MAX_RANK {
        if t.requests.held_by_rank()[usize::from(rank)] == 0 {
            continue;
        }
        let waiting = t.services.iter().filter(|(_, s)| !s.queue.is_empty());
        let services: Vec<usize> = waiting.map(|(at, _)| at).collect();
        for service in services {
            while lags(t, service, rank) && place::place_next(t, now, service, rank, out) {}
        }
    }
}

/// Tells whether a service's requests of a rank are short, and served less often than what goes before
/// them.
fn lags(t: &Tables, service: usize, rank: TierRank) -> bool {
    let s = t.services.get(service);
    let mut heads = s.queue.heads().filter_map(|(_, id)| t.requests.get(id));
    let Some(row) = heads.find(|row| row.rank == rank) else {
        return false;
    };
    let above = |(_, other): (usize, &ServiceRow)| {
        let before = other.tier.rank < s.tier.rank && shares_pool(s, other);
        before.then_some(other.output)
    };
    let least = t.services.iter().filter_map(above).reduce(f64::min);
    let short = least.is_some_and(|least| s.output <= SHORT_PART * least);
    short && t.paces.lags(row.pool_key(), rank)
}

/// Tells whether two services use the same endpoints.
fn shares_pool(a: &ServiceRow, b: &ServiceRow) -> bool {
    let has = |s: &ServiceRow, pool: &str| s.declared.split.iter().any(|p| p.pool == pool);
    a.declared.split.iter().any(|p| has(b, &p.pool))
}
