//! Which peers get a beacon at a tick.
//!
//! The bytes between availability zones are paid for, and so are those of many instances that all
//! tell each other; leads of groups, which tell for the others, get one at each tick
//! (`docs/design/peers.md`).

use firdock_policy::Time;

use crate::peer::book::PeerRelation;
use crate::peer::{PeerDirectory, PeerRecord};

/// Near peers that get a beacon at each tick; with more of them, each gets one at every few ticks.
const NEAR_PEERS_A_TICK: usize = 16;
/// Peers in other availability zones that get a beacon at each tick, likewise: leads tell for their
/// groups, and bytes between zones are paid for.
const FAR_PEERS_A_TICK: usize = 2;
/// Ticks after the start in which they get as many as near ones: all instances may have started at
/// one moment, and a first word may be lost.
const MEETING_TICKS: usize = 25;
/// Most ticks between two beacons to one of them: far fewer than after which it would be forgotten.
const MAX_FAR_PACE: usize = 50;

/// Peers that get a beacon at a tick.
#[derive(Debug, Default)]
pub struct PeersDue {
    /// Those of the own group.
    pub same_group: Vec<PeerRecord>,
    /// The leads of other groups, where this instance leads its own.
    pub leads: Vec<PeerRecord>,
    /// All others.
    pub far: Vec<PeerRecord>,
}

impl PeersDue {
    /// Gives the peers that get a beacon at a tick: of many, every few ticks a part of them; the
    /// leads of groups get one at each.
    pub fn at(tick: usize, directory: &PeerDirectory, now: Time) -> Self {
        let known = directory.count(now);
        let leads = directory.group_leads(now);
        let i_lead = directory.is_reporter(now);
        let near_pace = (known / NEAR_PEERS_A_TICK).max(1);
        let far_pace = far_pace(tick, known);
        let wanted = |relation: PeerRelation| {
            let turn = |pace: usize| (tick + relation.at + 1).is_multiple_of(pace);
            let led = i_lead && relation.lead;
            if relation.same_group {
                i_lead || relation.lead || turn(near_pace)
            } else {
                led || turn(far_pace)
            }
        };
        let mut due = Self::default();
        for (peer, relation) in directory.pick(&leads, wanted) {
            match relation {
                PeerRelation {
                    same_group: true, ..
                } => due.same_group.push(peer),
                PeerRelation { lead: true, .. } if i_lead => due.leads.push(peer),
                _ => due.far.push(peer),
            }
        }
        due
    }

    /// Gives the peers that hear of a start or of an end at once: the own group, and those that lead
    /// the others or are likely to.
    ///
    /// All of them would be some 300 times 300 datagrams where all instances start at one moment, each
    /// answered: seconds of work for an instance with an eighth of a core. The others hear within
    /// the first ticks, or by the leads.
    pub fn at_once(directory: &PeerDirectory, now: Time) -> Self {
        let mut leads = directory.group_leads(now);
        leads.extend(directory.likely_group_leads());
        let mut due = Self::default();
        for (peer, relation) in
            directory.pick(&leads, |relation| relation.same_group || relation.lead)
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

/// Gives the ticks between two beacons to one of the peers in other availability zones.
fn far_pace(tick: usize, peers: usize) -> usize {
    let a_tick = if tick < MEETING_TICKS {
        NEAR_PEERS_A_TICK
    } else {
        FAR_PEERS_A_TICK
    };
    (peers / a_tick).clamp(1, MAX_FAR_PACE)
}
