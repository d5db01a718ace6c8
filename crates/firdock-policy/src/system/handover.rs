//! Hand-over of requests to peers, and the outcome there.

use firdock_core::{Outcome, Reason, RequestId};

use super::{fragile, key, lifecycle, limit, permit, rollout, shed, start, suspect};
use crate::action::{Action, HandOverCause};
use crate::event::{HandOverEvent, HandOverRefusal, Member, PeerUpdate};
use crate::request::{DeliveredPart, Phase, RequestRow, Verdict};
use crate::table::Tables;
use crate::table::peer::PeerRow;
use crate::time::Time;

/// Time for which a peer's report that an endpoint is leaving is valid.
pub const LEAVING_REPORT_TTL: std::time::Duration = std::time::Duration::from_secs(10);
/// Silence after which hand-overs to a peer end; far longer than the heartbeat interval.
const PEER_SILENCE_LIMIT: std::time::Duration = std::time::Duration::from_secs(10);
/// Silence after which a peer's row is removed.
const SILENT_PEER_TTL: std::time::Duration = std::time::Duration::from_mins(1);

/// Applies a peer's heartbeat.
pub fn apply_heartbeat(
    t: &mut Tables,
    now: Time,
    mut peer_update: PeerUpdate,
    out: &mut Vec<Action>,
) {
    suspect::merge_reports(t, now, std::mem::take(&mut peer_update.suspects), out);
    permit::merge_peer_reports(t, &peer_update.limits);
    fragile::merge_reports(t, &peer_update.fragile);
    start::merge_reports(t, &peer_update.unconfirmed);
    for name in &peer_update.leaving {
        if let Some(at) = t.endpoints.find_start(name) {
            t.endpoints.get_mut(at).peer_leaving = Some(now + LEAVING_REPORT_TTL);
        }
    }
    if !t.peers.has_capacity(&peer_update.name) {
        return;
    }
    let single_group = t.is_single_group();
    if single_group {
        limit::apply_peer_use(t, now, &peer_update);
    }
    let seen = std::mem::take(&mut peer_update.seen);
    rollout::merge_peer_evidence(
        t,
        &peer_update.name,
        &peer_update.zone,
        peer_update.incarnation,
        seen,
    );
    let at = t
        .peers
        .find_or_add(&peer_update.name, || PeerRow::new(&peer_update.name));
    t.peers.get_mut(at).update(now, peer_update, single_group);
}

/// Marks a peer as lost because its link broke: its status no longer counts.
pub fn mark_peer_lost(t: &mut Tables, name: &str) {
    if let Some(at) = t.peers.find(name) {
        t.peers.get_mut(at).last_seen = Time::ZERO;
        t.peers.get_mut(at).held.clear();
    }
}

/// Hands a request to the member that owns its key.
pub fn to_key_owner(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    owner: &Member,
    out: &mut Vec<Action>,
) {
    let at = t
        .peers
        .find_or_add(&owner.name, || PeerRow::new(&owner.name));
    hand_over(t, now, id, at, HandOverCause::KeyOwner, out);
}

/// Hands a request over to a peer that holds a lower tier. Returns whether there is one.
pub fn to_lower_holder(t: &mut Tables, now: Time, id: RequestId, out: &mut Vec<Action>) -> bool {
    let Some(row) = t.requests.get(id) else {
        return false;
    };
    if row.minted.is_some() || row.head_sent() {
        return false;
    }
    let rank = row.rank;
    let Some(peer) = pick_peer(t, now, id, |p| p.holds_below(rank)) else {
        return false;
    };
    hand_over(t, now, id, peer, HandOverCause::Shed, out);
    true
}

/// Hands a request over to any live peer because this instance is stopping.
pub fn to_any_peer(t: &mut Tables, now: Time, id: RequestId, out: &mut Vec<Action>) -> bool {
    let Some(peer) = pick_peer(t, now, id, |_| true) else {
        return false;
    };
    hand_over(t, now, id, peer, HandOverCause::Stopping, out);
    true
}

/// Picks the live peer with the fewest requests from this instance.
fn pick_peer(
    t: &Tables,
    now: Time,
    id: RequestId,
    fits: impl Fn(&PeerRow) -> bool,
) -> Option<usize> {
    if !t.settings.mechanisms.hand_over {
        return None;
    }
    let refused = &t.requests.get(id)?.refused_by;
    let fresh =
        |p: &PeerRow| p.last_seen > Time::ZERO && p.last_seen + t.settings.peer_stale_after > now;
    let open = t
        .peers
        .iter()
        .filter(|(_, p)| fresh(p) && !p.draining && !refused.contains(&p.name) && fits(p));
    open.min_by_key(|(at, p)| (p.handed_over, *at))
        .map(|(at, _)| at)
}

fn hand_over(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    at: usize,
    cause: HandOverCause,
    out: &mut Vec<Action>,
) {
    lifecycle::set_phase(t, id, Phase::HandedOver(at), false);
    let peer = t.peers.get_mut(at);
    peer.handed_over += 1;
    if let Some(row) = t.requests.get_mut(id) {
        row.hand_over_cause = Some(cause);
        row.dispatched = now;
    }
    t.stats.handed_over += 1;
    out.push(Action::HandOver {
        id,
        peer: peer.name.clone(),
        cause,
    });
}

/// Handles an event of a hand-over.
pub fn handle_event(t: &mut Tables, now: Time, event: &HandOverEvent, out: &mut Vec<Action>) {
    match event {
        HandOverEvent::Refused(refusal) => take_back(t, now, refusal, out),
        HandOverEvent::Started(id) => {
            let id = *id;
            if let Some(row) = t.requests.get_mut(id) {
                row.delivered_part = DeliveredPart::Head;
                row.first = Some(now);
            }
        }
        HandOverEvent::Ended(id) => handle_ended(t, now, *id),
        HandOverEvent::Unknown(id, verdict) => {
            if receiving_peer(t, *id).is_some() {
                lifecycle::finish_with_verdict(t, now, *id, *verdict, out);
            }
        }
        HandOverEvent::Broke(id) => handle_broken(t, now, *id, out),
    }
}

fn receiving_peer(t: &Tables, id: RequestId) -> Option<usize> {
    match t.requests.get(id)?.phase {
        Phase::HandedOver(at) => Some(at),
        _ => None,
    }
}

/// Takes back a request that the peer did not accept.
fn take_back(t: &mut Tables, now: Time, refusal: &HandOverRefusal, out: &mut Vec<Action>) {
    let id = refusal.id;
    let Some(at) = receiving_peer(t, id) else {
        return;
    };
    let peer = t.peers.get(at).name.clone();
    lifecycle::set_phase(t, id, Phase::Held, true);
    let Some(row) = t.requests.get_mut(id) else {
        return;
    };
    row.refused_by.push(peer);
    for name in &refusal.tried {
        if !row.tried.contains(name) {
            row.tried.push(name.clone());
        }
    }
    if row.hand_over_cause.take() == Some(HandOverCause::KeyOwner) {
        owner_refused(t, now, id, refusal.verdict, out);
    }
}

/// Answers a request that the owner of its key did not accept: no other instance may run it.
fn owner_refused(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    verdict: Option<Verdict>,
    out: &mut Vec<Action>,
) {
    let verdict = verdict.unwrap_or_else(key::unconfirmed_verdict);
    let Some(row) = t.requests.get(id) else {
        return;
    };
    if shed::is_load_refusal(verdict.outcome, verdict.reason) {
        let service = row.service;
        lifecycle::count_shed(t, service);
    }
    lifecycle::finish_with_verdict(t, now, id, verdict, out);
}

fn handle_ended(t: &mut Tables, now: Time, id: RequestId) {
    if receiving_peer(t, id).is_some() {
        lifecycle::complete(t, now, id);
    }
}

/// Handles a broken link: the request may have run at an endpoint unknown to this instance.
///
/// It is not retried even if it is repeatable, because the second dispatch might go to the same
/// endpoint that the peer chose.
fn handle_broken(t: &mut Tables, now: Time, id: RequestId, out: &mut Vec<Action>) {
    if receiving_peer(t, id).is_none() {
        return;
    }
    let reason = Reason::PeerLost;
    let verdict = Verdict {
        outcome: Outcome::Unknown,
        reason,
        retry_after: None,
    };
    lifecycle::finish_with_verdict(t, now, id, verdict, out);
}

/// Ends hand-overs to peers that have been silent too long: a cut link may stay undetected for many
/// minutes.
pub fn end_silent_hand_overs(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    let is_silent = |r: &&RequestRow| match r.phase {
        Phase::HandedOver(at) => {
            let heard = t.peers.get(at).last_seen.max(r.dispatched);
            heard.max(t.absence.runs_since()) + PEER_SILENCE_LIMIT < now
        }
        _ => false,
    };
    let ids: Vec<RequestId> = t
        .requests
        .iter()
        .filter(is_silent)
        .map(|r| r.new.id)
        .collect();
    for id in ids {
        let Some(at) = receiving_peer(t, id) else {
            continue;
        };
        let peer = t.peers.get(at).name.clone();
        out.push(Action::CancelHandOver { id, peer });
        handle_broken(t, now, id, out);
    }
}

/// Removes peers that have been silent for long and hold none of this instance's requests.
pub fn remove_silent_peers(t: &mut Tables, now: Time) {
    let (stale, runs_since) = (t.peer_stale_after(), t.absence.runs_since());
    t.peers.remove_if(|_, p| {
        let keep = if p.draining { stale } else { SILENT_PEER_TTL };
        p.handed_over == 0 && p.last_seen.max(runs_since) + keep < now
    });
}
