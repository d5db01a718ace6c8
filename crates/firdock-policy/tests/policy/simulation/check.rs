//! The end of a run: what ran is compared with what callers were told.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::RequestId;

use super::{ENDPOINTS, NODES, Told, World};

impl World {
    /// Lets everything come to rest and compares what ran with what callers were told.
    pub fn check(&mut self) {
        for i in 0..NODES {
            self.nodes[i].paused = false;
            self.nodes[i].log_cut = false;
        }
        self.faults = [0; ENDPOINTS.len()];
        self.leaving = [false; ENDPOINTS.len()];
        self.run_until(self.now + Duration::from_mins(1));
        for node in &self.nodes {
            let left = node.scheduler.tables().requests.len();
            assert_eq!(left, 0, "{left} requests never ended");
        }
        for (id, told) in &self.told {
            self.check_request(*id, told);
        }
        let mut by_key: BTreeMap<u64, usize> = BTreeMap::new();
        for (_, _, key) in &self.runs {
            if let Some(key) = key {
                *by_key.entry(*key).or_default() += 1;
            }
        }
        for (key, n) in by_key {
            assert_eq!(n, 1, "order {key} ran {n} times");
        }
    }

    fn check_request(&self, id: RequestId, told: &Told) {
        let ran = self.runs.iter().filter(|(_, r, _)| *r == id).count();
        if !told.gone {
            assert_eq!(told.ends.len(), 1, "{id} ended {:?}", told.ends);
        }
        assert!(
            told.repeatable || ran <= 1,
            "{id} may not be repeated and ran {ran} times"
        );
        for (at, word) in &told.ends {
            if *word != "not-run" {
                continue;
            }
            assert_eq!(ran, 0, "{id} ran and was told not to have");
            // What counts is when the owner decided: another attempt under the key may run while
            // the word is on its way back.
            let at = self.refused.get(&id).unwrap_or(at);
            let before = |(t, _, key): &&(Duration, RequestId, Option<u64>)| {
                key.is_some() && *key == told.key && t < at
            };
            let earlier = self.runs.iter().find(before);
            assert!(
                earlier.is_none(),
                "{id} was told `not-run` after its key ran: {earlier:?}"
            );
        }
    }
}
