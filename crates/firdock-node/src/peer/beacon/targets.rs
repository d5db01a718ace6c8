//! Selection of the peers that receive a beacon at a tick.
//!
//! Traffic between availability zones is billed, and all-to-all traffic grows with the square of
//! the number of instances. Only the leads of groups, which report for the others, receive a beacon
//! at each tick (`docs/design/peers.md`).

use firdock_policy::Time;

use crate::peer::directory::PeerRelation;
use crate::peer::{PeerDirectory, PeerRecord};

/// Peers of the own group that receive a beacon at each tick. With more of them, each one's turn
/// comes every few ticks.
const NEAR_PEERS_PER_TICK: usize = 16;
/// The same for peers in other availability zones. Leads report for their groups, and traffic
/// between zones is billed.
const FAR_PEERS_PER_TICK: usize = 2;
/// Ticks after the start during which peers of other zones receive beacons at the rate of near
/// ones: all instances may have started at the same time, and the first beacons may be lost.
const STARTUP_TICKS: usize = 25;
/// Maximum number of ticks between two beacons to the same peer, well below the time after which
/// the peer would forget this instance.
const MAX_FAR_INTERVAL: usize = 50;

/// Peers that receive a beacon at a tick.
#[derive(Debug, Default)]
pub struct BeaconTargets {
    /// Peers of the own group.
    pub same_group: Vec<PeerRecord>,
    /// Leads of other groups, if this instance reports for its own group.
    pub leads: Vec<PeerRecord>,
    /// All other peers.
    pub far: Vec<PeerRecord>,
}

impl BeaconTargets {
    /// Selects the peers that receive a beacon at a tick. If there are many, each one's turn comes
    /// every few ticks, but leads of groups are selected at each tick.
    pub fn at(tick: usize, directory: &PeerDirectory, now: Time) -> Self {
        let known = directory.count(now);
        let leads = directory.group_leads(now);
        let is_reporter = directory.is_reporter(now);
        let near_interval = (known / NEAR_PEERS_PER_TICK).max(1);
        let far_interval = far_interval(tick, known);
        let wanted = |relation: PeerRelation| {
            let is_turn = |interval: usize| (tick + relation.index + 1).is_multiple_of(interval);
            let notify_lead = is_reporter && relation.lead;
            if relation.same_group {
                is_reporter || relation.lead || is_turn(near_interval)
            } else {
                notify_lead || is_turn(far_interval)
            }
        };
        let mut due = Self::default();
        for (peer, relation) in directory.select(&leads, wanted) {
            match relation {
                PeerRelation {
                    same_group: true, ..
                } => due.same_group.push(peer),
                PeerRelation { lead: true, .. } if is_reporter => due.leads.push(peer),
                _ => due.far.push(peer),
            }
        }
        due
    }

    /// Selects the peers that are notified of a start or stop at once: the own group, and the
    /// current and likely leads of other groups.
    ///
    /// Notifying everyone would take about 300 × 300 datagrams, each answered, if all instances
    /// start at the same time: seconds of work for an instance with an eighth of a core. The other
    /// peers learn of it within the first ticks or from the leads.
    pub fn at_once(directory: &PeerDirectory, now: Time) -> Self {
        let mut leads = directory.group_leads(now);
        leads.extend(directory.likely_group_leads());
        let mut due = Self::default();
        for (peer, relation) in
            directory.select(&leads, |relation| relation.same_group || relation.lead)
        {
            if relation.same_group {
                due.same_group.push(peer);
            } else {
                due.leads.push(peer);
            }
        }
        due
    }
}

/// Returns the number of ticks between two beacons to the same peer in another availability zone.
fn far_interval(tick: usize, peers: usize) -> usize {
    let per_tick = if tick < STARTUP_TICKS {
        NEAR_PEERS_PER_TICK
    } else {
        FAR_PEERS_PER_TICK
    };
    (peers / per_tick).clamp(1, MAX_FAR_INTERVAL)
}
