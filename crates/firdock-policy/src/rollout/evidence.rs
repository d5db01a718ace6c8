//! Evidence for and against a version: the results of its answers compared with those of the old
//! one.
//!
//! Counts are totals since the order. A lost or repeated report therefore does no harm, and counts
//! can be added up over instances.

use std::collections::BTreeMap;

use firdock_core::{EndpointId, Offset, PoolId, ServiceId};
use serde::{Deserialize, Serialize};

/// Histogram bins for answer times; each is twice as wide as the second before it.
pub const BINS: usize = 24;
/// Bins per doubling of the time.
const BINS_PER_DOUBLING: f64 = 2.0;
/// Bin of an answer that took exactly the expected time; four doublings below it are distinguished.
const EXPECTED_BIN: f64 = 8.0;

/// Counts of answers by result.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers in which the endpoint reported a failure.
    pub failed: u32,
    /// Answers that broke off or never came.
    pub lost: u32,
    /// Complete answers, by the bin of the ratio of actual to expected time.
    #[serde(rename = "bands")]
    pub bins: Vec<u32>,
}

impl Tally {
    /// Counts a complete answer that took `stretch` times the expected time.
    pub fn record_answer(&mut self, stretch: f64) {
        let bin = bin(stretch);
        if self.bins.len() <= bin {
            self.bins.resize(bin + 1, 0);
        }
        self.bins[bin] += 1;
    }

    /// Adds another tally.
    pub fn add(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        self.lost = self.lost.saturating_add(other.lost);
        if self.bins.len() < other.bins.len() {
            self.bins.resize(other.bins.len(), 0);
        }
        for (own, more) in self.bins.iter_mut().zip(&other.bins) {
            *own = own.saturating_add(*more);
        }
    }

    /// Returns the number of complete answers.
    #[must_use]
    pub fn whole(&self) -> u32 {
        self.count_from_bin(0)
    }

    /// Returns the number of complete answers in a bin and all higher ones.
    #[must_use]
    pub fn count_from_bin(&self, bin: usize) -> u32 {
        let bins = self.bins.iter().skip(bin);
        bins.fold(0, |sum, answers| sum.saturating_add(*answers))
    }
}

/// Returns the bin of an answer's time.
fn bin(stretch: f64) -> usize {
    let doublings = stretch.max(f64::MIN_POSITIVE).log2();
    let bin = (EXPECTED_BIN + BINS_PER_DOUBLING * doublings).floor();
    bin.clamp(0.0, (BINS - 1) as f64) as usize
}

/// Key of a tally: a service, and one endpoint of the new version, or an empty name for all
/// endpoints of the old one.
pub type TallyKey = (ServiceId, EndpointId);

/// What one or more instances observed of a roll-out since its order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Pool.
    pub pool: PoolId,
    /// The order within the pool.
    pub order: Offset,
    /// Requests sent to endpoints of the pool.
    pub sent: u64,
    /// Those of them that went to the new version.
    pub exposed: u64,
    /// Results of their answers.
    pub tallies: BTreeMap<TallyKey, Tally>,
}

impl Evidence {
    /// Creates empty evidence.
    #[must_use]
    pub fn new(pool: PoolId, order: Offset) -> Self {
        Self {
            pool,
            order,
            ..Self::default()
        }
    }

    /// Returns the tally of one service at one endpoint of the new version, or at the old version.
    pub fn tally(&mut self, service: &str, endpoint: &str) -> &mut Tally {
        let key = (service.to_owned(), endpoint.to_owned());
        self.tallies.entry(key).or_default()
    }

    /// Adds the evidence of another instance.
    pub fn add(&mut self, other: &Self) {
        self.sent = self.sent.saturating_add(other.sent);
        self.exposed = self.exposed.saturating_add(other.exposed);
        for (key, tally) in &other.tallies {
            self.tallies.entry(key.clone()).or_default().add(tally);
        }
    }
}
