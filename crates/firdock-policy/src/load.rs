//! What servers say of their load and of their present pace.

use firdock_core::EndpointId;
use serde::{Deserialize, Serialize};

use crate::time::Time;

/// How long work takes at a server now, in hundredths of the usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct Pace(u32);

impl Pace {
    /// Least and greatest pace that is believed: a server is neither ten times as fast as usual nor
    /// of any use to a caller at fifty times its usual time.
    pub const BOUNDS: (u32, u32) = (10, 5_000);

    /// Makes a pace from hundredths of the usual; `None` for one that no server can have.
    #[must_use]
    pub fn from_hundredths(hundredths: u32) -> Option<Self> {
        let (least, most) = Self::BOUNDS;
        (least..=most)
            .contains(&hundredths)
            .then_some(Self(hundredths))
    }

    /// Gives the hundredths.
    #[must_use]
    pub fn hundredths(self) -> u32 {
        self.0
    }

    /// Gives the factor by which work takes longer than usual.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl TryFrom<u32> for Pace {
    type Error = &'static str;

    fn try_from(hundredths: u32) -> Result<Self, Self::Error> {
        Self::from_hundredths(hundredths).ok_or("a pace beyond its bounds")
    }
}

impl From<Pace> for u32 {
    fn from(pace: Pace) -> Self {
        pace.0
    }
}

/// What a server said of its load with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How long work takes there now, where servers tell it.
    pub pace: Option<Pace>,
}

/// The pace that a server told, with the time at which it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// Server.
    pub endpoint: EndpointId,
    /// Pace.
    pub pace: Pace,
    /// When it was read, by this process's clock.
    pub read: Time,
}
