//! Machines that work of other cells must leave alone, always or at times of the day. Times are local: the
//! expression sees the hour and the weekday of the policy's time zone, daylight saving included.

use super::evaluate::{TypedExpr, Value};
use super::schema::Setting;
use super::{MachinePoolFacts, Policy};
use jiff::Timestamp;
use jiff::tz::TimeZone;
use std::time::Duration;

/// How far ahead the end of a protection is searched for.
const SEARCH_HORIZON: Duration = Duration::from_secs(8 * 24 * 3600);
/// The step of that search.
const SEARCH_STEP: Duration = Duration::from_secs(5 * 60);
const MINUTES_PER_HOUR: f64 = 60.0;

/// A time of the week.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalTime {
    /// The hour with its minutes as decimals.
    pub hour: f64,
    /// From 1 for Monday to 7 for Sunday.
    pub weekday: f64,
}

/// The time zone of that name, if there is one.
pub(super) fn time_zone(name: &str) -> Option<TimeZone> {
    TimeZone::get(name).ok()
}

/// The local time at a number of milliseconds since the epoch.
fn local_time(zone: &TimeZone, at_ms: u64) -> LocalTime {
    let at = Timestamp::from_millisecond(at_ms as i64).unwrap_or(Timestamp::MAX);
    let local = zone.to_datetime(at);
    LocalTime {
        hour: f64::from(local.hour()) + f64::from(local.minute()) / MINUTES_PER_HOUR,
        weekday: f64::from(local.weekday().to_monday_one_offset()),
    }
}

impl Policy {
    /// Whether anything can ever be protected; if not, no clock is read.
    pub fn has_protection(&self) -> bool {
        self.expressions[&Setting::Protected] != TypedExpr::Boolean(false)
    }

    /// Whether a pool of machines is protected at a time in milliseconds since the epoch.
    pub fn is_protected(&self, pool: &MachinePoolFacts<'_>, at_ms: u64) -> bool {
        self.has_protection() && self.is_protected_at(pool, local_time(&self.time_zone, at_ms))
    }

    fn is_protected_at(&self, pool: &MachinePoolFacts<'_>, time: LocalTime) -> bool {
        let facts = [
            Value::Text(pool.machine_type),
            Value::Number(pool.cpus),
            Value::Number(pool.gpus),
            Value::Number(pool.price),
            Value::Text(pool.zone),
            Value::Boolean(pool.spot),
            Value::Number(time.hour),
            Value::Number(time.weekday),
        ];
        self.expressions[&Setting::Protected].boolean(&facts)
    }

    /// When the protection of a pool that is protected now ends, in milliseconds since the epoch; `None` if
    /// it does not within [`SEARCH_HORIZON`].
    pub fn protection_end_ms(&self, pool: &MachinePoolFacts<'_>, now_ms: u64) -> Option<u64> {
        let step_ms = SEARCH_STEP.as_millis() as u64;
        let steps = SEARCH_HORIZON.as_millis() as u64 / step_ms;
        let begin = now_ms - now_ms % step_ms;
        let mut times = (1..=steps).map(|step| begin + step * step_ms);
        times.find(|at_ms| !self.is_protected(pool, *at_ms))
    }
}

#[cfg(test)]
mod tests;
