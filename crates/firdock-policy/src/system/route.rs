//! Routes to endpoints: over an instance's own link, or by way of a peer.
//!
//! An instance may lose its links to some or all endpoints while its peers reach them. Its requests
//! then go through a peer, which only passes bytes on: what is sent, and where, is decided here as
//! always (`docs/design/routes.md`).

use std::time::Duration;

use firdock_core::{InstanceId, PoolId, RequestId, rendezvous};

use crate::action::{Action, Route};
use crate::event::{LinkProbe, PoolLinks};
use crate::table::Tables;
use crate::table::peer::PeerRow;
use crate::time::Time;

/// Time for which a peer that did not pass a connection on is not asked again.
const PEER_EXCLUSION: Duration = Duration::from_secs(2);
/// Interval between two probes of links that fail.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The same once a probe has succeeded, so that all links are back within a second or two, and not
/// at the same moment.
const PROBE_INTERVAL_AFTER_SUCCESS: Duration = Duration::from_millis(50);
/// Time after a successful probe in which that interval applies.
const SUCCESS_PERIOD: Duration = Duration::from_secs(2);

/// Chooses the route of a request to an endpoint.
///
/// A peer is part of it only if one is known that reaches endpoints of the pool better than not:
/// where a whole pool is down, going through peers would only add load.
pub fn choose(t: &Tables, now: Time, id: RequestId, at: usize) -> Route {
    if !t.settings.routes_by_peers {
        return Route::Direct;
    }
    let e = t.endpoints.get(at);
    match (pick_peer(t, now, id, &e.declared.pool), e.link.is_failing()) {
        (None, _) => Route::Direct,
        (Some(peer), false) => Route::DirectOr(peer),
        (Some(peer), true) => Route::Through(peer),
    }
}

/// Picks a peer for a request, so that the requests of an instance are spread over all that can
/// pass them on.
fn pick_peer(t: &Tables, now: Time, id: RequestId, pool: &PoolId) -> Option<InstanceId> {
    let dispatch = t.requests.get(id).map_or(0, |row| row.dispatch);
    let key = rendezvous::hash_key(&[id.as_bytes(), &dispatch.to_be_bytes()[..]].concat());
    let fit = t.peers.iter().map(|(_, p)| p);
    let fit = fit.filter(|p| t.is_live(p, now) && passes_on(p, now, pool));
    rendezvous::owner(key, fit.map(|p| p.name.as_str())).map(str::to_owned)
}

/// Returns whether a peer that is part of a request's route may still be asked to pass a connection to an endpoint on.
pub fn may_pass_on(t: &Tables, now: Time, peer: &str, at: usize) -> bool {
    let pool = &t.endpoints.get(at).declared.pool;
    let row = t.peers.find(peer).map(|at| t.peers.get(at));
    row.is_some_and(|p| t.is_live(p, now) && passes_on(p, now, pool))
}

/// Returns whether a peer may be asked to pass a connection on: it does so, did not fail to lately,
/// and reports no more failing than working links to the pool.
fn passes_on(peer: &PeerRow, now: Time, pool: &PoolId) -> bool {
    let excluded = peer.failed_at.is_some_and(|at| at + PEER_EXCLUSION > now);
    let links = peer.links.get(pool);
    let reaches = links.is_none_or(|links| links.failing <= links.reached);
    peer.passes_on && !peer.draining && !excluded && reaches
}

/// Returns what peers are told of this instance's links, by pool.
#[must_use]
pub fn link_report(t: &Tables, now: Time) -> Vec<PoolLinks> {
    let mut pools: Vec<PoolLinks> = Vec::new();
    for (_, e) in t.endpoints.iter().filter(|(_, e)| e.present) {
        let known = pools.iter().position(|p| p.pool == e.declared.pool);
        let at = known.unwrap_or_else(|| {
            pools.push(PoolLinks {
                pool: e.declared.pool.clone(),
                ..PoolLinks::default()
            });
            pools.len() - 1
        });
        pools[at].reached += u32::from(e.link.is_reached(now));
        pools[at].failing += u32::from(e.link.is_failing());
    }
    pools
}

/// Records that a peer did not pass a connection on.
pub fn record_peer_failure(t: &mut Tables, now: Time, peer: &str) {
    if let Some(at) = t.peers.find(peer) {
        t.peers.get_mut(at).failed_at = Some(now);
    }
}

/// Starts a probe of the failing link that was probed longest ago, if it is time.
pub fn probe(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    let succeeded = t.link_probes.succeeded;
    let interval = if succeeded.is_some_and(|at| at + SUCCESS_PERIOD > now) {
        PROBE_INTERVAL_AFTER_SUCCESS
    } else {
        PROBE_INTERVAL
    };
    if !t.settings.routes_by_peers || t.link_probes.last + interval > now {
        return;
    }
    let failing = t
        .endpoints
        .iter()
        .filter(|(_, e)| e.present && e.link.is_failing());
    let next = failing.min_by_key(|(at, e)| (e.link.probed_at, *at));
    let Some(at) = next.map(|(at, _)| at) else {
        return;
    };
    t.link_probes.last = now;
    let e = t.endpoints.get_mut(at);
    e.link.probed_at = now;
    out.push(Action::ProbeLink {
        endpoint: e.declared.name.clone(),
        start: e.start_id.clone(),
    });
}

/// Records the result of a probe.
pub fn record_probe(t: &mut Tables, now: Time, result: &LinkProbe) {
    let Some(at) = t.endpoints.find_start(&result.start) else {
        return;
    };
    let link = &mut t.endpoints.get_mut(at).link;
    if result.connected {
        link.record_success(now);
        t.link_probes.succeeded = Some(now);
    } else {
        link.record_failure(now);
    }
}
