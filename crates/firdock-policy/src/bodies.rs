//! Accounting of the memory of requests' bodies, from the first byte that is read until the request
//! ends, and the decision whose body is read next.
//!
//! A body of known length is granted whole before anything of it is read, and waits unread until
//! then; one of unknown length is granted piece by piece and never waits. So no body waits while it
//! holds memory that another one waits for (see `docs/design/limits.md`).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use firdock_core::{AccountId, TierRank};
use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Id of a body, assigned by its owner in the order of arrival.
pub type BodyId = u64;

/// Divisor of the budget for the part that only accounts with little use may fill.
const RESERVE_DIVISOR: usize = 8;
/// Divisor of the budget for the use up to which an account may fill that part.
const SMALL_USE_DIVISOR: usize = 64;
/// Number of bodies of an account that may wait unread. What waits is not read, but it occupies
/// connections and buffers of the system.
const MAX_WAITING: usize = 32;
/// Time for which a body may be read before it can be cut in favor of an account with less use. A
/// caller that sends without a pause is done by then.
const READING_GRACE: Duration = Duration::from_secs(1);

/// Time before the end of a body's wait from which on requests of lower tiers are given up for it. Until then room may
/// come without the loss of what was accepted.
const WANT_LEAD: Duration = Duration::from_millis(100);

/// State of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Unread; holds no memory.
    Waiting {
        /// When it is refused.
        until: Time,
    },
    /// Being read.
    Reading {
        /// When it was granted.
        since: Time,
    },
    /// Read; its request is held or runs, and is never cut here.
    Held,
}

/// A body that asks for memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewBody {
    /// Account that sends it.
    pub account: AccountId,
    /// Tier of its request; 0 is the highest.
    pub rank: TierRank,
    /// Memory that it needs, in bytes.
    pub bytes: usize,
    /// When it is refused if there is no room.
    pub until: Time,
}

#[derive(Debug, Clone)]
struct Body {
    account: AccountId,
    rank: TierRank,
    bytes: usize,
    phase: Phase,
}

/// Memory that a body needs.
#[derive(Debug)]
struct Demand {
    account: AccountId,
    rank: TierRank,
    bytes: usize,
}

/// A body that is being read.
#[derive(Debug)]
struct Reading<'a> {
    id: BodyId,
    since: Time,
    body: &'a Body,
}

/// Which readings may be cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    /// Those of lower tiers.
    LowerTiers,
    /// Also long ones of the same tier, of accounts that use more.
    All,
}

/// What an account uses of the budget.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    bytes: usize,
    waiting: usize,
    bodies: usize,
}

/// Room that a body lacks, and that no cut would make.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedRoom {
    /// Tier of its request.
    pub rank: TierRank,
    /// Memory that is missing, in bytes.
    pub bytes: usize,
}

/// Bodies whose state changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BodyChanges {
    /// Bodies that may be read now.
    pub granted: Vec<BodyId>,
    /// Bodies that are refused unread; they are forgotten.
    pub refused: Vec<BodyId>,
    /// Bodies whose reading ends in favor of other accounts; they are forgotten.
    pub cut: Vec<BodyId>,
    /// Room for which requests of lower tiers may be given up, since a body will be refused soon without it.
    pub wanted: Option<WantedRoom>,
}

/// Bytes of bodies, within one budget.
#[derive(Debug)]
pub struct BodyBuffers {
    budget: usize,
    bytes: usize,
    /// Bytes of connections' buffers.
    buffers: usize,
    bodies: BTreeMap<BodyId, Body>,
    waiting: BTreeSet<BodyId>,
    accounts: HashMap<AccountId, Usage>,
}

impl BodyBuffers {
    /// Creates the accounting for a budget in bytes.
    #[must_use]
    pub fn new(budget: usize) -> Self {
        Self {
            budget,
            bytes: 0,
            buffers: 0,
            bodies: BTreeMap::new(),
            waiting: BTreeSet::new(),
            accounts: HashMap::new(),
        }
    }

    /// Returns the size of the largest body that can ever be granted, in bytes.
    #[must_use]
    pub fn max_body(&self) -> usize {
        self.budget - self.budget / RESERVE_DIVISOR
    }

    /// Asks for memory for a whole body, which waits unread for a time if there is no room.
    pub fn open(&mut self, now: Time, id: BodyId, new: NewBody) -> BodyChanges {
        let NewBody {
            account,
            rank,
            bytes,
            until,
        } = new;
        let mut changes = BodyChanges::default();
        let usage = self.usage(&account);
        let fits = self.may_take(&account, rank, bytes);
        let body = |phase| Body {
            account,
            rank,
            bytes,
            phase,
        };
        if bytes > self.max_body() || (!fits && usage.waiting >= MAX_WAITING) {
            changes.refused.push(id);
        } else if fits {
            // Larger bodies that wait keep no smaller one out; `advance` makes room for them.
            self.add(id, body(Phase::Reading { since: now }));
            changes.granted.push(id);
        } else {
            self.add(id, body(Phase::Waiting { until }));
        }
        changes
    }

    /// Counts a body that was read already, whether or not there is room.
    pub fn hold(&mut self, id: BodyId, account: AccountId, bytes: usize) {
        let body = Body {
            account,
            // What is held is never cut here.
            rank: TierRank::MIN,
            bytes,
            phase: Phase::Held,
        };
        self.add(id, body);
    }

    /// Grants further bytes to a body that is being read, for which readings of lower tiers are cut; `None` if
    /// there is no room.
    pub fn grow(&mut self, now: Time, id: BodyId, bytes: usize) -> Option<BodyChanges> {
        let body = self.bodies.get(&id)?;
        let Phase::Reading { .. } = body.phase else {
            return None;
        };
        let total = body.bytes + bytes;
        let demand = Demand {
            account: body.account.clone(),
            rank: body.rank,
            bytes,
        };
        if total > self.max_body() || self.is_awaited(&demand) {
            return None;
        }
        if self.fits(&demand.account, bytes) {
            self.resize(id, total);
            return Some(BodyChanges::default());
        }
        let cut = self.select_cut(now, &demand, Cut::LowerTiers, &[]).ok()?;
        self.remove_all(&cut);
        self.resize(id, total);
        // What was cut may leave room for others too.
        let mut changes = self.grant(now);
        changes.cut = cut;
        Some(changes)
    }

    /// Records that a body was read, and that its request takes `bytes` until it is closed.
    pub fn settle(&mut self, now: Time, id: BodyId, bytes: usize) -> BodyChanges {
        let reading = |body: &&mut Body| matches!(body.phase, Phase::Reading { .. });
        let Some(body) = self.bodies.get_mut(&id).filter(reading) else {
            return BodyChanges::default();
        };
        body.phase = Phase::Held;
        self.resize(id, bytes);
        self.grant(now)
    }

    /// Frees the memory of a body, or gives up its wait.
    pub fn close(&mut self, now: Time, id: BodyId) -> BodyChanges {
        self.remove(id);
        self.grant(now)
    }

    /// Refuses bodies that waited too long, grants what fits, and cuts readings of lower tiers, and long ones of the
    /// accounts that use most, in favor of bodies that wait.
    pub fn advance(&mut self, now: Time) -> BodyChanges {
        let refused = self.expire(now);
        let mut changes = self.grant(now);
        changes.refused = refused;
        for id in self.waiting_in_order() {
            let Some(demand) = self.demand_of(id) else {
                continue;
            };
            match self.select_cut(now, &demand, Cut::All, &changes.granted) {
                Ok(cut) => {
                    self.remove_all(&cut);
                    changes.cut.extend(cut);
                    changes.granted.extend(self.grant(now).granted);
                }
                Err(bytes) if changes.wanted.is_none() && self.ends_soon(now, id) => {
                    let rank = demand.rank;
                    changes.wanted = Some(WantedRoom { rank, bytes });
                }
                Err(_) => {}
            }
        }
        changes
    }

    /// Counts bytes that connections buffer beside the bodies: they leave less room for large bodies, and
    /// take nothing from the part for small ones.
    pub fn add_buffers(&mut self, bytes: usize) {
        self.buffers += bytes;
    }

    /// Stops counting bytes that connections buffered.
    pub fn remove_buffers(&mut self, now: Time, bytes: usize) -> BodyChanges {
        self.buffers = self.buffers.saturating_sub(bytes);
        self.grant(now)
    }

    /// Returns the bytes of all bodies that are read or held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of bodies that wait unread.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn usage(&self, account: &str) -> Usage {
        self.accounts.get(account).copied().unwrap_or_default()
    }

    /// Returns whether there is room for further bytes of an account.
    ///
    /// A part of the budget is left to accounts with little use, so that a flood of one account keeps no
    /// small body of another one out.
    fn fits(&self, account: &str, bytes: usize) -> bool {
        self.bytes + bytes <= self.bound(account, bytes)
    }

    /// Returns whether a body may take memory now: there is room, and no body of a higher tier waits for it.
    fn may_take(&self, account: &AccountId, rank: TierRank, bytes: usize) -> bool {
        let demand = Demand {
            account: account.clone(),
            rank,
            bytes,
        };
        self.fits(account, bytes) && !self.is_awaited(&demand)
    }

    /// Returns whether a body of a higher tier waits for the memory. The part for accounts with little use would be
    /// none for it.
    fn is_awaited(&self, demand: &Demand) -> bool {
        let higher = |id: &BodyId| self.bodies[id].rank < demand.rank;
        !self.is_small(&demand.account, demand.bytes) && self.waiting.iter().any(higher)
    }

    /// Returns whether an account uses little, also with further bytes.
    fn is_small(&self, account: &str, bytes: usize) -> bool {
        self.usage(account).bytes + bytes <= self.budget / SMALL_USE_DIVISOR
    }

    /// Returns the bytes up to which the budget may be filled by further bytes of an account.
    fn bound(&self, account: &str, bytes: usize) -> usize {
        if self.is_small(account, bytes) {
            self.budget
        } else {
            self.max_body().saturating_sub(self.buffers)
        }
    }

    fn add(&mut self, id: BodyId, body: Body) {
        let usage = self.accounts.entry(body.account.clone()).or_default();
        usage.bodies += 1;
        if matches!(body.phase, Phase::Waiting { .. }) {
            usage.waiting += 1;
            self.waiting.insert(id);
        } else {
            usage.bytes += body.bytes;
            self.bytes += body.bytes;
        }
        self.bodies.insert(id, body);
    }

    fn remove(&mut self, id: BodyId) {
        let Some(body) = self.bodies.remove(&id) else {
            return;
        };
        let waited = self.waiting.remove(&id);
        let Some(usage) = self.accounts.get_mut(&body.account) else {
            return;
        };
        usage.bodies -= 1;
        if waited {
            usage.waiting -= 1;
        } else {
            usage.bytes -= body.bytes;
            self.bytes -= body.bytes;
        }
        if usage.bodies == 0 {
            self.accounts.remove(&body.account);
        }
    }

    fn resize(&mut self, id: BodyId, bytes: usize) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut body.bytes, bytes);
        self.bytes = self.bytes - before + bytes;
        if let Some(usage) = self.accounts.get_mut(&body.account) {
            usage.bytes = usage.bytes - before + bytes;
        }
    }

    fn expire(&mut self, now: Time) -> Vec<BodyId> {
        let bodies = &self.bodies;
        let over =
            |id: &BodyId| matches!(bodies[id].phase, Phase::Waiting { until } if until <= now);
        let ids: Vec<BodyId> = self.waiting.iter().copied().filter(over).collect();
        for id in &ids {
            self.remove(*id);
        }
        ids
    }

    /// Grants waiting bodies that fit: by tiers, and in a tier those of the accounts with the least use first.
    fn grant(&mut self, now: Time) -> BodyChanges {
        let mut changes = BodyChanges::default();
        while let Some(id) = self.next_granted() {
            let Some(mut body) = self.bodies.remove(&id) else {
                break;
            };
            self.waiting.remove(&id);
            if let Some(usage) = self.accounts.get_mut(&body.account) {
                usage.waiting -= 1;
                usage.bodies -= 1;
            }
            body.phase = Phase::Reading { since: now };
            self.add(id, body);
            changes.granted.push(id);
        }
        changes
    }

    fn next_granted(&self) -> Option<BodyId> {
        let may_take = |id: &&BodyId| {
            let body = &self.bodies[*id];
            self.may_take(&body.account, body.rank, body.bytes)
        };
        let waiting = self.waiting.iter().filter(may_take);
        waiting.copied().min_by_key(|id| self.order(*id))
    }

    fn waiting_in_order(&self) -> Vec<BodyId> {
        let mut ids: Vec<BodyId> = self.waiting.iter().copied().collect();
        ids.sort_by_key(|id| self.order(*id));
        ids
    }

    /// Returns the key by which waiting bodies are ordered.
    fn order(&self, id: BodyId) -> (TierRank, usize, BodyId) {
        let body = &self.bodies[&id];
        (body.rank, self.usage(&body.account).bytes, id)
    }

    /// Returns whether a body is refused soon.
    fn ends_soon(&self, now: Time, id: BodyId) -> bool {
        let phase = self.bodies.get(&id).map(|body| body.phase);
        matches!(phase, Some(Phase::Waiting { until }) if until <= now + WANT_LEAD)
    }

    /// Returns what a waiting body needs.
    fn demand_of(&self, id: BodyId) -> Option<Demand> {
        self.waiting.get(&id)?;
        let body = self.bodies.get(&id)?;
        Some(Demand {
            account: body.account.clone(),
            rank: body.rank,
            bytes: body.bytes,
        })
    }

    /// Selects bodies to cut so that a demand fits: readings of lower tiers, the lowest first, and then the longest
    /// readings of the accounts that use most, as long as each uses more than the demand's account would.
    ///
    /// Cuts nothing if that would not suffice, and none of `spared`: their owners have not heard yet that they may read.
    ///
    /// # Errors
    ///
    /// Fails with the bytes that would still be missing.
    fn select_cut(
        &self,
        now: Time,
        demand: &Demand,
        cut: Cut,
        spared: &[BodyId],
    ) -> Result<Vec<BodyId>, usize> {
        let own = self.usage(&demand.account).bytes + demand.bytes;
        let bound = self.bound(&demand.account, demand.bytes);
        let mut freed: HashMap<&str, usize> = HashMap::new();
        let mut readings = self.readings();
        readings.retain(|reading| !spared.contains(&reading.id));
        let (mut bytes, mut ids) = (self.bytes, Vec::new());
        while bytes + demand.bytes > bound {
            let use_of = |account: &str| {
                let less = freed.get(account).copied().unwrap_or(0);
                self.usage(account).bytes - less
            };
            let goes_first = |reading: &Reading<'_>| {
                let long = reading.since + READING_GRACE <= now;
                let more = use_of(&reading.body.account) > own;
                let same = reading.body.rank == demand.rank && cut == Cut::All;
                reading.body.rank > demand.rank || (same && long && more)
            };
            let most = |reading: &Reading<'_>| {
                let (rank, account) = (reading.body.rank, &reading.body.account);
                (
                    rank,
                    use_of(account),
                    Reverse(reading.since),
                    Reverse(reading.id),
                )
            };
            let candidates = readings.iter().enumerate();
            let candidates = candidates.filter(|(_, reading)| goes_first(reading));
            let Some((n, _)) = candidates.max_by_key(|(_, reading)| most(reading)) else {
                return Err(bytes + demand.bytes - bound);
            };
            let victim = readings.swap_remove(n);
            *freed.entry(victim.body.account.as_str()).or_default() += victim.body.bytes;
            bytes -= victim.body.bytes;
            ids.push(victim.id);
        }
        Ok(ids)
    }

    fn readings(&self) -> Vec<Reading<'_>> {
        let readings = self.bodies.iter().filter_map(|(id, body)| {
            let Phase::Reading { since } = body.phase else {
                return None;
            };
            let id = *id;
            Some(Reading { id, since, body })
        });
        readings.collect()
    }

    fn remove_all(&mut self, ids: &[BodyId]) {
        for id in ids {
            self.remove(*id);
        }
    }
}
