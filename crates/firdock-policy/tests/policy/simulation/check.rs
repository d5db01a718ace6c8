//! The check at the end of a run: what ran is compared with the results that callers got.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::RequestId;

use super::{CallerRecord, ENDPOINTS, INSTANCES, Simulation};

impl Simulation {
    /// Removes all faults, lets all requests end, and compares what ran with the results that callers got.
    pub fn check(&mut self) {
        for i in 0..INSTANCES {
            self.instances[i].paused = false;
            self.instances[i].log_cut = false;
        }
        self.faults = [0; ENDPOINTS.len()];
        self.leaving = [false; ENDPOINTS.len()];
        self.run_until(self.now + Duration::from_mins(1));
        for instance in &self.instances {
            let left = instance.scheduler.tables().requests.len();
            assert_eq!(left, 0, "{left} requests never ended");
        }
        for (id, caller) in &self.callers {
            self.check_request(*id, caller);
        }
        let mut by_key: BTreeMap<u64, usize> = BTreeMap::new();
        for (_, _, key) in &self.executions {
            if let Some(key) = key {
                *by_key.entry(*key).or_default() += 1;
            }
        }
        for (key, n) in by_key {
            assert_eq!(n, 1, "order {key} ran {n} times");
        }
    }

    fn check_request(&self, id: RequestId, caller: &CallerRecord) {
        let ran = self.executions.iter().filter(|(_, r, _)| *r == id).count();
        if !caller.disconnected {
            assert_eq!(caller.results.len(), 1, "{id} ended {:?}", caller.results);
        }
        assert!(
            caller.repeatable || ran <= 1,
            "{id} may not be repeated and ran {ran} times"
        );
        for (at, result) in &caller.results {
            if *result != "not-run" {
                continue;
            }
            assert_eq!(ran, 0, "{id} ran and was reported as not run");
            // The time of the owner's decision counts: another attempt under the key may run while the
            // refusal is in flight.
            let at = self.refused.get(&id).unwrap_or(at);
            let before = |(t, _, key): &&(Duration, RequestId, Option<u64>)| {
                key.is_some() && *key == caller.key && t < at
            };
            let earlier = self.executions.iter().find(before);
            assert!(
                earlier.is_none(),
                "{id} was reported as `not-run` after its key ran: {earlier:?}"
            );
        }
    }
}
