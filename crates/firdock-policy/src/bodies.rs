//! Accounting of the memory of requests' bodies, from the first byte that is read until the request
//! ends, and the decision whose body is read next.
//!
//! A body of known length is granted whole before anything of it is read, and waits unread until
//! then; one of unknown length is granted piece by piece and never waits. So no body waits while it
//! holds memory that another one waits for (see `docs/design/limits.md`).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use firdock_core::AccountId;

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

#[derive(Debug, Clone)]
struct Body {
    account: AccountId,
    bytes: usize,
    phase: Phase,
}

/// What an account uses of the budget.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    bytes: usize,
    waiting: usize,
    bodies: usize,
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

    /// Asks for memory for a whole body, which waits unread until `until` if there is no room.
    pub fn open(
        &mut self,
        now: Time,
        id: BodyId,
        account: AccountId,
        bytes: usize,
        until: Time,
    ) -> BodyChanges {
        let mut changes = BodyChanges::default();
        let usage = self.usage(&account);
        let fits = self.fits(&account, bytes);
        if bytes > self.max_body() || (!fits && usage.waiting >= MAX_WAITING) {
            changes.refused.push(id);
        } else if fits {
            // Larger bodies that wait keep no smaller one out; `advance` makes room for them.
            self.add(id, account, bytes, Phase::Reading { since: now });
            changes.granted.push(id);
        } else {
            self.add(id, account, bytes, Phase::Waiting { until });
        }
        changes
    }

    /// Counts a body that was read already, whether or not there is room.
    pub fn hold(&mut self, id: BodyId, account: AccountId, bytes: usize) {
        self.add(id, account, bytes, Phase::Held);
    }

    /// Grants further bytes to a body that is being read, and returns whether there was room.
    pub fn grow(&mut self, id: BodyId, bytes: usize) -> bool {
        let Some(body) = self.bodies.get(&id) else {
            return false;
        };
        let account = body.account.clone();
        let (reading, total) = (
            matches!(body.phase, Phase::Reading { .. }),
            body.bytes + bytes,
        );
        if !reading || total > self.max_body() || !self.fits(&account, bytes) {
            return false;
        }
        self.resize(id, total);
        true
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

    /// Refuses bodies that waited too long, grants what fits, and cuts long readings of the accounts
    /// that use most in favor of those that use less.
    pub fn advance(&mut self, now: Time) -> BodyChanges {
        let refused = self.expire(now);
        let mut changes = self.grant(now);
        changes.refused = refused;
        for id in self.waiting_by_use() {
            let Some(cut) = self.select_cut(now, id) else {
                continue;
            };
            for id in &cut {
                self.remove(*id);
            }
            changes.cut.extend(cut);
            changes.granted.extend(self.grant(now).granted);
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

    /// Returns the bytes up to which the budget may be filled by further bytes of an account.
    fn bound(&self, account: &str, bytes: usize) -> usize {
        let small = self.usage(account).bytes + bytes <= self.budget / SMALL_USE_DIVISOR;
        if small {
            self.budget
        } else {
            self.max_body().saturating_sub(self.buffers)
        }
    }

    fn add(&mut self, id: BodyId, account: AccountId, bytes: usize, phase: Phase) {
        let usage = self.accounts.entry(account.clone()).or_default();
        usage.bodies += 1;
        if matches!(phase, Phase::Waiting { .. }) {
            usage.waiting += 1;
            self.waiting.insert(id);
        } else {
            usage.bytes += bytes;
            self.bytes += bytes;
        }
        let body = Body {
            account,
            bytes,
            phase,
        };
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

    /// Grants waiting bodies that fit, those of the accounts with the least use first.
    fn grant(&mut self, now: Time) -> BodyChanges {
        let mut changes = BodyChanges::default();
        while let Some(id) = self.next_granted() {
            let Some(body) = self.bodies.remove(&id) else {
                break;
            };
            self.waiting.remove(&id);
            if let Some(usage) = self.accounts.get_mut(&body.account) {
                usage.waiting -= 1;
                usage.bodies -= 1;
            }
            let phase = Phase::Reading { since: now };
            self.add(id, body.account, body.bytes, phase);
            changes.granted.push(id);
        }
        changes
    }

    fn next_granted(&self) -> Option<BodyId> {
        let fits = |id: &&BodyId| {
            let body = &self.bodies[*id];
            self.fits(&body.account, body.bytes)
        };
        let use_of = |id: &&BodyId| (self.usage(&self.bodies[*id].account).bytes, **id);
        self.waiting.iter().filter(fits).min_by_key(use_of).copied()
    }

    fn waiting_by_use(&self) -> Vec<BodyId> {
        let mut ids: Vec<BodyId> = self.waiting.iter().copied().collect();
        ids.sort_by_key(|id| (self.usage(&self.bodies[id].account).bytes, *id));
        ids
    }

    /// Selects bodies to cut so that a waiting one fits: the longest readings of the accounts that use
    /// most, as long as each uses more than the waiting one's account would.
    ///
    /// Cuts nothing if that would not suffice.
    fn select_cut(&self, now: Time, id: BodyId) -> Option<Vec<BodyId>> {
        let body = self.bodies.get(&id)?;
        let Phase::Waiting { .. } = body.phase else {
            return None;
        };
        let own = self.usage(&body.account).bytes + body.bytes;
        let bound = self.bound(&body.account, body.bytes);
        let mut uses: HashMap<&str, usize> = HashMap::new();
        let mut long = self.long_readings(now);
        let (mut bytes, mut cut) = (self.bytes, Vec::new());
        while bytes + body.bytes > bound {
            let use_of = |account: &str| {
                let less = uses.get(account).copied().unwrap_or(0);
                self.usage(account).bytes - less
            };
            let candidates = long.iter().enumerate();
            let candidates = candidates.filter(|(_, (_, _, b))| use_of(&b.account) > own);
            let most = |(_, (since, id, b)): &(usize, &(Time, BodyId, &Body))| {
                (use_of(&b.account), Reverse(*since), Reverse(*id))
            };
            let (n, _) = candidates.max_by_key(most)?;
            let (_, id, victim) = long.swap_remove(n);
            *uses.entry(victim.account.as_str()).or_default() += victim.bytes;
            bytes -= victim.bytes;
            cut.push(id);
        }
        Some(cut)
    }

    fn long_readings(&self, now: Time) -> Vec<(Time, BodyId, &Body)> {
        let readings = self
            .bodies
            .iter()
            .filter_map(|(id, body)| match body.phase {
                Phase::Reading { since } if since + READING_GRACE <= now => {
                    Some((since, *id, body))
                }
                _ => None,
            });
        readings.collect()
    }
}
