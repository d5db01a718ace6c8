//! Durations in the settings file: numbers of the unit that the field's name ends with, whole or with a fraction.

use std::fmt;
use std::time::Duration;

use serde::de::{Error, Unexpected, Visitor};
use serde::{Deserializer, Serializer};

/// Longest duration. A longer one is a mistake in the unit, and sums of times could overflow.
const MAX: Duration = Duration::from_hours(365 * 24);
/// Shortest duration apart from zero: shorter intervals would occupy the processor.
const MIN: Duration = Duration::from_millis(1);
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Number of milliseconds, for `#[serde(with = ...)]`.
pub mod millis {
    use super::{Deserializer, Duration, NumberOf, Serializer};

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        from.deserialize_any(NumberOf { millis: 1 })
    }

    pub fn serialize<S: Serializer>(duration: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_f64(duration.div_duration_f64(Duration::from_millis(1)))
    }
}

/// Number of seconds, for `#[serde(with = ...)]`.
pub mod seconds {
    use super::{Deserializer, Duration, NumberOf, Serializer};

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        from.deserialize_any(NumberOf { millis: 1_000 })
    }

    pub fn serialize<S: Serializer>(duration: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_f64(duration.as_secs_f64())
    }
}

/// Reads a number of units, each of so many milliseconds.
struct NumberOf {
    millis: u32,
}

impl NumberOf {
    fn check<E: Error>(
        &self,
        read: Option<Duration>,
        found: Unexpected<'_>,
    ) -> Result<Duration, E> {
        let is_valid = |d: &Duration| d.is_zero() || (MIN..=MAX).contains(d);
        read.filter(is_valid)
            .ok_or_else(|| E::invalid_value(found, self))
    }
}

impl Visitor<'_> for NumberOf {
    type Value = Duration;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a duration: 0, or from a millisecond to a year")
    }

    fn visit_i64<E: Error>(self, v: i64) -> Result<Duration, E> {
        match u64::try_from(v) {
            Ok(whole) => self.visit_u64(whole),
            Err(_negative) => self.check(None, Unexpected::Signed(v)),
        }
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<Duration, E> {
        let millis = v.checked_mul(u64::from(self.millis));
        self.check(millis.map(Duration::from_millis), Unexpected::Unsigned(v))
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<Duration, E> {
        let seconds = v * f64::from(self.millis) / MILLIS_PER_SECOND;
        // A fraction that is too small to count must not become a zero, which has a meaning of its own.
        let read = Duration::try_from_secs_f64(seconds).ok();
        let read = read.filter(|d| v == 0.0 || !d.is_zero());
        self.check(read, Unexpected::Float(v))
    }
}
