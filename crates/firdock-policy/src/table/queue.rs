//! A queue that accounts share by their weights.
//!
//! Each account has a lane and a virtual time that grows by cost over share; the lane with the
//! least virtual time goes next. This is start-time fair queueing; deficit round robin was weighed
//! against it in `docs/design/limits.md`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use firdock_core::RequestId;

/// Virtual time in microseconds of estimated work.
type VirtualTime = u64;

#[derive(Debug, Default)]
struct Lane {
    ids: VecDeque<RequestId>,
    time: VirtualTime,
}

/// Requests of one service that wait, in lanes by account row.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: BTreeMap<usize, Lane>,
    order: BTreeSet<(VirtualTime, usize)>,
    clock: VirtualTime,
    len: usize,
}

impl FairQueue {
    /// Counts the requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request at the end of its account's lane.
    pub fn push_back(&mut self, account: usize, id: RequestId) {
        self.lane(account).ids.push_back(id);
        self.len += 1;
    }

    /// Puts a request that was refused elsewhere back to the front of its lane.
    pub fn push_front(&mut self, account: usize, id: RequestId) {
        self.lane(account).ids.push_front(id);
        self.len += 1;
    }

    /// Gives the first request of each lane, in the order in which lanes are due.
    pub fn heads(&self) -> impl Iterator<Item = (usize, RequestId)> {
        self.order
            .iter()
            .filter_map(|(_, a)| Some((*a, *self.lanes[a].ids.front()?)))
    }

    /// Goes over the lanes: account and how many of its requests wait.
    pub fn lanes(&self) -> impl Iterator<Item = (usize, usize)> {
        self.lanes.iter().map(|(a, lane)| (*a, lane.ids.len()))
    }

    /// Gives the newest request of an account.
    #[must_use]
    pub fn newest(&self, account: usize) -> Option<RequestId> {
        self.lanes.get(&account)?.ids.back().copied()
    }

    /// Goes over all waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = RequestId> {
        self.lanes
            .values()
            .flat_map(|lane| lane.ids.iter().copied())
    }

    /// Removes a request; tells whether it was there.
    pub fn remove(&mut self, account: usize, id: RequestId) -> bool {
        let Some(lane) = self.lanes.get_mut(&account) else {
            return false;
        };
        let Some(at) = lane.ids.iter().position(|i| *i == id) else {
            return false;
        };
        lane.ids.remove(at);
        self.len -= 1;
        self.drop_if_empty(account);
        true
    }

    /// Charges an account for work taken out of the queue.
    pub fn charge(&mut self, account: usize, cost: u64) {
        let Some(lane) = self.lanes.get_mut(&account) else {
            return;
        };
        self.order.remove(&(lane.time, account));
        self.clock = self.clock.max(lane.time);
        lane.time += cost;
        self.order.insert((lane.time, account));
    }

    fn lane(&mut self, account: usize) -> &mut Lane {
        let clock = self.clock;
        let order = &mut self.order;
        self.lanes.entry(account).or_insert_with(|| {
            order.insert((clock, account));
            Lane {
                ids: VecDeque::new(),
                time: clock,
            }
        })
    }

    /// Drops an empty lane whose virtual time is past, so that idle accounts cost nothing.
    fn drop_if_empty(&mut self, account: usize) {
        let lane = &self.lanes[&account];
        if lane.ids.is_empty() && (lane.time <= self.clock || self.len == 0) {
            self.order.remove(&(lane.time, account));
            self.lanes.remove(&account);
        }
        if self.len == 0 {
            self.lanes.clear();
            self.order.clear();
            self.clock = 0;
        }
    }
}
