//! A queue shared by accounts according to their weights.
//!
//! Each account has a lane with a virtual time that grows by cost over share; the lane with the
//! least virtual time is served next. This is start-time fair queueing; `docs/design/limits.md`
//! compares it with deficit round robin. Requests that can no longer be answered in time are served
//! after all that still can, so that a long queue does not make every answer late.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use firdock_core::RequestId;

use crate::time::Time;

/// Virtual time in microseconds of estimated work.
type VirtualTime = u64;

#[derive(Debug, Default)]
struct Lane {
    /// Requests that can still be answered in time, by time of arrival: a coordinator learns of
    /// some requests later than of others that arrived after them.
    ids: VecDeque<(Time, RequestId)>,
    /// Requests that cannot be answered in time, oldest first.
    late: VecDeque<RequestId>,
    time: VirtualTime,
}

impl Lane {
    fn len(&self) -> usize {
        self.ids.len() + self.late.len()
    }

    /// Inserts a request behind all that arrived at the same time or earlier.
    fn insert(&mut self, arrived: Time, id: RequestId) {
        let at = self.ids.partition_point(|(a, _)| *a <= arrived);
        self.ids.insert(at, (arrived, id));
    }

    fn remove(&mut self, id: RequestId) -> bool {
        if let Some(at) = self.ids.iter().position(|(_, i)| *i == id) {
            return self.ids.remove(at).is_some();
        }
        let at = self.late.iter().position(|i| *i == id);
        at.and_then(|at| self.late.remove(at)).is_some()
    }

    /// Moves the requests for which `is_late` holds behind all others.
    fn put_late_last(&mut self, is_late: impl Fn(RequestId) -> bool) {
        let late = &mut self.late;
        self.ids.retain(|(_, id)| {
            let gone = is_late(*id);
            if gone {
                late.push_back(*id);
            }
            !gone
        });
    }
}

/// Held requests of one service, in lanes by account row.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: BTreeMap<usize, Lane>,
    order: BTreeSet<(VirtualTime, usize)>,
    clock: VirtualTime,
    len: usize,
}

impl FairQueue {
    /// Returns the number of held requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request to its account's lane, behind those that arrived at the same time or earlier.
    pub fn push(&mut self, account: usize, arrived: Time, id: RequestId) {
        self.lane(account).insert(arrived, id);
        self.len += 1;
    }

    /// Returns a request that was refused elsewhere to the front of its lane.
    pub fn push_front(&mut self, account: usize, id: RequestId) {
        self.lane(account).ids.push_front((Time::ZERO, id));
        self.len += 1;
    }

    /// Returns the first request of each lane in the order of service, followed by the late ones.
    pub fn heads(&self) -> impl Iterator<Item = (usize, RequestId)> {
        let lanes = || self.order.iter().map(|(_, a)| (*a, &self.lanes[a]));
        let in_time = lanes().filter_map(|(a, lane)| Some((a, lane.ids.front()?.1)));
        let late = lanes().filter_map(|(a, lane)| Some((a, *lane.late.front()?)));
        in_time.chain(late)
    }

    /// Returns the requests of an account in the order of service.
    pub fn lane_ids(&self, account: usize) -> impl Iterator<Item = RequestId> {
        let lane = self.lanes.get(&account).into_iter();
        lane.flat_map(|lane| {
            let in_time = lane.ids.iter().map(|(_, id)| *id);
            in_time.chain(lane.late.iter().copied())
        })
    }

    /// Moves the requests for which `is_late` holds behind all others of their lane.
    pub fn put_late_last(&mut self, is_late: impl Fn(RequestId) -> bool) {
        for lane in self.lanes.values_mut() {
            lane.put_late_last(&is_late);
        }
    }

    /// Iterates over the lanes that are not empty: account and number of requests.
    pub fn lanes(&self) -> impl Iterator<Item = (usize, usize)> {
        let lanes = self.lanes.iter().map(|(a, lane)| (*a, lane.len()));
        lanes.filter(|(_, waiting)| *waiting > 0)
    }

    /// Returns the request of an account whose loss costs least: the oldest late one, otherwise the
    /// last to arrive.
    #[must_use]
    pub fn most_expendable(&self, account: usize) -> Option<RequestId> {
        let lane = self.lanes.get(&account)?;
        let last = || lane.ids.back().map(|(_, id)| *id);
        lane.late.front().copied().or_else(last)
    }

    /// Removes a request; returns whether it was there.
    pub fn remove(&mut self, account: usize, id: RequestId) -> bool {
        let Some(lane) = self.lanes.get_mut(&account) else {
            return false;
        };
        if !lane.remove(id) {
            return false;
        }
        self.len -= 1;
        self.drop_if_empty(account);
        true
    }

    /// Drops the empty lanes of accounts for which `is_gone` is true: another account may get their row.
    pub fn drop_lanes(&mut self, is_gone: impl Fn(usize) -> bool) {
        let lanes = &mut self.lanes;
        lanes.retain(|account, lane| lane.len() > 0 || !is_gone(*account));
        self.order
            .retain(|(_, account)| lanes.contains_key(account));
    }

    /// Charges an account for work taken from the queue.
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
                time: clock,
                ..Lane::default()
            }
        })
    }

    /// Drops an empty lane whose virtual time has passed, so that idle accounts take up no memory.
    fn drop_if_empty(&mut self, account: usize) {
        let lane = &self.lanes[&account];
        if lane.len() == 0 && (lane.time <= self.clock || self.len == 0) {
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
