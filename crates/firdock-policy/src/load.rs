//! Load and pace that servers report.

use firdock_core::EndpointId;
use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Current duration of work at a server, in hundredths of the usual duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct Pace(u32);

impl Pace {
    /// Bounds of accepted values: no server is ten times as fast as usual, and one at fifty times
    /// its usual time is of no use to a caller.
    pub const BOUNDS: (u32, u32) = (10, 5_000);

    /// Creates a pace from hundredths of the usual duration; `None` if it is out of bounds.
    #[must_use]
    pub fn from_hundredths(hundredths: u32) -> Option<Self> {
        let (min, max) = Self::BOUNDS;
        (min..=max)
            .contains(&hundredths)
            .then_some(Self(hundredths))
    }

    /// Returns the hundredths.
    #[must_use]
    pub fn hundredths(self) -> u32 {
        self.0
    }

    /// Returns the factor by which work takes longer than usual.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl TryFrom<u32> for Pace {
    type Error = &'static str;

    fn try_from(hundredths: u32) -> Result<Self, Self::Error> {
        Self::from_hundredths(hundredths).ok_or("pace is out of bounds")
    }
}

impl From<Pace> for u32 {
    fn from(pace: Pace) -> Self {
        pace.0
    }
}

/// Load that a server reported with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting there.
    pub waiting: u32,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Current pace, if the server reports it.
    pub pace: Option<Pace>,
}

/// A pace reported by a server, with the time at which it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// Server.
    pub endpoint: EndpointId,
    /// Pace.
    pub pace: Pace,
    /// When it was read, by this process's clock.
    pub read: Time,
}
