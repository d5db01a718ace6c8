//! Scenarios: the load and the faults of a run.

use std::time::Duration;

/// Load and faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// 60 % of the engines' capacity.
    Steady60,
    /// 90 % of the engines' capacity.
    Steady90,
    /// 150 % of the engines' capacity.
    Overload150,
    /// 60 %, with four times that for three seconds.
    Burst,
    /// 60 %, with one engine in ten slower by a factor of four.
    SlowEngines,
    /// 60 %, with three engines killed one after another.
    EnginesKilled,
    /// 60 %, with load reports delayed by five seconds.
    LateReports,
    /// 60 %, with the cache events of every second report lost.
    LostCacheEvents,
    /// 60 %, with one instance killed.
    InstanceKilled,
    /// 150 %, with six sevenths of it from a client account that is otherwise small.
    Flood,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 10] = [
        Self::Steady60,
        Self::Steady90,
        Self::Overload150,
        Self::Burst,
        Self::SlowEngines,
        Self::EnginesKilled,
        Self::LateReports,
        Self::LostCacheEvents,
        Self::InstanceKilled,
        Self::Flood,
    ];

    /// Returns the name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady60 => "steady-60",
            Self::Steady90 => "steady-90",
            Self::Overload150 => "overload-150",
            Self::Burst => "burst",
            Self::SlowEngines => "slow-engines",
            Self::EnginesKilled => "engines-killed",
            Self::LateReports => "late-reports",
            Self::LostCacheEvents => "lost-cache-events",
            Self::InstanceKilled => "instance-killed",
            Self::Flood => "flood",
        }
    }

    /// Returns the load at a time, as a fraction of the engines' capacity.
    #[must_use]
    pub fn load(self, at: Duration) -> f64 {
        let bursting = (10..13).contains(&at.as_secs());
        match self {
            Self::Steady90 => 0.9,
            Self::Overload150 | Self::Flood => 1.5,
            Self::Burst if bursting => 2.4,
            _ => 0.6,
        }
    }

    /// Returns the delay of load reports.
    #[must_use]
    pub fn report_age(self) -> Duration {
        match self {
            Self::LateReports => Duration::from_secs(5),
            _ => Duration::from_millis(500),
        }
    }

    /// Returns the fraction of the requests that each client account sends.
    #[must_use]
    pub fn account_weights(self) -> [f64; 5] {
        match self {
            Self::Flood => [0.07, 0.04, 0.02, 0.01, 0.86],
            _ => crate::workload::ACCOUNT_WEIGHTS,
        }
    }
}
