//! Clocks of instances, which may stand still or run at another rate than true time.

use std::time::Duration;

/// What is wrong with a clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ClockFault {
    /// It stands still for a time and goes on where it was.
    Stands(Duration),
    /// It runs faster or slower from now on, by so many parts in a million.
    Rate(i32),
    /// It is ahead by a time from now on.
    Jumps(Duration),
}

/// The steady clock of one instance.
#[derive(Debug, Clone)]
pub struct TestClock {
    reading: Duration,
    /// Seconds that it counts in a second.
    rate: f64,
    stands_for: Duration,
}

impl TestClock {
    pub fn new(reading: Duration) -> Self {
        Self {
            reading,
            rate: 1.0,
            stands_for: Duration::ZERO,
        }
    }

    pub fn now(&self) -> Duration {
        self.reading
    }

    pub fn apply(&mut self, fault: ClockFault) {
        match fault {
            ClockFault::Stands(time) => self.stands_for += time,
            ClockFault::Rate(ppm) => self.rate = 1.0 + f64::from(ppm) / 1e6,
            ClockFault::Jumps(time) => self.reading += time,
        }
    }

    /// Lets true time pass.
    pub fn advance(&mut self, time: Duration) {
        let standing = self.stands_for.min(time);
        self.stands_for -= standing;
        self.reading += time.saturating_sub(standing).mul_f64(self.rate);
    }
}
