//! Scenarios: how much arrives, and what goes wrong when.

use std::time::Duration;

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// 60 % of what the engines can do.
    Steady60,
    /// 90 % of what the engines can do.
    Steady90,
    /// 150 % of what the engines can do.
    Overload150,
    /// 60 %, and four times that for three seconds.
    Burst,
    /// 60 %, one engine in ten slowed four times.
    SlowEngines,
    /// 60 %, three engines killed one after another.
    EnginesKilled,
    /// 60 %, load reports five seconds late.
    LateReports,
    /// 60 %, half of the cache events lost.
    LostCacheEvents,
    /// 60 %, one instance killed.
    InstanceKilled,
    /// 150 %, six parts in seven of it from one small account.
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

    /// Gives the name.
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

    /// Gives the part of what the engines can do that arrives at a time.
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

    /// Gives the age of load reports.
    #[must_use]
    pub fn report_age(self) -> Duration {
        match self {
            Self::LateReports => Duration::from_secs(5),
            _ => Duration::from_millis(500),
        }
    }

    /// Gives the parts of the requests that each account sends.
    #[must_use]
    pub fn account_weights(self) -> [f64; 5] {
        match self {
            Self::Flood => [0.07, 0.04, 0.02, 0.01, 0.86],
            _ => crate::workload::ACCOUNT_WEIGHTS,
        }
    }
}
