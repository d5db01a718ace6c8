//! Evidence for and against a version: how its answers went beside those of the old one.
//!
//! Counts are totals since the order, so that a word that is lost or comes twice does no harm, and
//! add up over instances.

use std::collections::BTreeMap;

use firdock_core::{EndpointId, Offset, PoolId, ServiceId};
use serde::{Deserialize, Serialize};

/// Bands that the times of answers are told apart by, each twice as wide as the second before it.
pub const BINS: usize = 24;
/// Bands for each doubling of the time.
const BANDS_A_DOUBLING: f64 = 2.0;
/// Band of an answer that took just as long as was expected: four doublings are told apart below.
const MIDDLE_BAND: f64 = 8.0;

/// How many answers went which way.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers by which an endpoint told that it failed.
    pub failed: u32,
    /// Answers that broke off or never came.
    pub lost: u32,
    /// Whole answers, by the band of the time that they took against what was expected.
    #[serde(rename = "bands")]
    pub bins: Vec<u32>,
}

impl Tally {
    /// Counts a whole answer that took `stretch` times as long as was expected.
    pub fn record_answer(&mut self, stretch: f64) {
        let band = band(stretch);
        if self.bins.len() <= band {
            self.bins.resize(band + 1, 0);
        }
        self.bins[band] += 1;
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

    /// Counts the whole answers.
    #[must_use]
    pub fn whole(&self) -> u32 {
        self.bins.iter().sum()
    }

    /// Counts the whole answers in a band and beyond.
    #[must_use]
    pub fn count_from_bin(&self, band: usize) -> u32 {
        self.bins.iter().skip(band).sum()
    }
}

/// Gives the band of an answer's time.
fn band(stretch: f64) -> usize {
    let doublings = stretch.max(f64::MIN_POSITIVE).log2();
    let band = (MIDDLE_BAND + BANDS_A_DOUBLING * doublings).floor();
    band.clamp(0.0, (BINS - 1) as f64) as usize
}

/// Whose answers a tally counts: those to one service's requests, by one endpoint of the new version
/// or, where the name is empty, by all of the old one.
pub type TallyKey = (ServiceId, EndpointId);

/// What one instance or several saw of a roll-out since its order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Pool.
    pub pool: PoolId,
    /// Which order of the pool.
    pub order: Offset,
    /// Requests that were sent to endpoints of the pool.
    pub sent: u64,
    /// Those among them that went to the new version.
    pub exposed: u64,
    /// How their answers went.
    pub tallies: BTreeMap<TallyKey, Tally>,
}

impl Evidence {
    /// Makes evidence of nothing yet.
    #[must_use]
    pub fn new(pool: PoolId, order: Offset) -> Self {
        Self {
            pool,
            order,
            ..Self::default()
        }
    }

    /// Gives the tally of one service at one endpoint of the new version, or at the old one.
    pub fn tally(&mut self, service: &str, endpoint: &str) -> &mut Tally {
        let key = (service.to_owned(), endpoint.to_owned());
        self.tallies.entry(key).or_default()
    }

    /// Adds what another instance saw.
    pub fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.exposed += other.exposed;
        for (key, tally) in &other.tallies {
            self.tallies.entry(key.clone()).or_default().add(tally);
        }
    }
}
