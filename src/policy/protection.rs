//! Protection of machine pools from the jobs of other cells and from being drained to scale in, always or at
//! certain times. The expression sees the hour and the weekday of the policy's time zone, including daylight saving
//! time.

use super::evaluate::{TypedExpr, Value};
use super::schema::Setting;
use super::{MachinePoolFacts, Policy};
use jiff::Timestamp;
use jiff::tz::TimeZone;
use std::time::Duration;

/// How far ahead to search for the end of a protection.
const SEARCH_HORIZON: Duration = Duration::from_secs(8 * 24 * 3600);
/// Step between the times that the search for the end of a protection checks.
const SEARCH_STEP: Duration = Duration::from_secs(5 * 60);
const MINUTES_PER_HOUR: f64 = 60.0;

/// A local time as the facts of a protection express it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalTime {
    /// The hour of the day, with minutes as a decimal fraction.
    pub hour: f64,
    /// The day of the week, from 1 for Monday to 7 for Sunday.
    pub weekday: f64,
}

/// The time zone with this name, if there is one.
pub(super) fn time_zone(name: &str) -> Option<TimeZone> {
    TimeZone::get(name).ok()
}

/// Converts a time in milliseconds since the epoch to local time.
fn local_time(zone: &TimeZone, at_ms: u64) -> LocalTime {
    let at = Timestamp::from_millisecond(at_ms as i64).unwrap_or(Timestamp::MAX);
    let local = zone.to_datetime(at);
    LocalTime {
        hour: f64::from(local.hour()) + f64::from(local.minute()) / MINUTES_PER_HOUR,
        weekday: f64::from(local.weekday().to_monday_one_offset()),
    }
}

impl Policy {
    /// Whether the policy can protect any machine pool. If not, callers need not read the clock.
    pub fn has_protection(&self) -> bool {
        self.expressions[&Setting::Protected] != TypedExpr::Boolean(false)
    }

    /// Whether a machine pool is protected at a time in milliseconds since the epoch.
    pub fn is_protected(&self, pool: &MachinePoolFacts<'_>, at_ms: u64) -> bool {
        self.has_protection() && self.is_protected_at(pool, local_time(&self.time_zone, at_ms))
    }

    fn is_protected_at(&self, pool: &MachinePoolFacts<'_>, time: LocalTime) -> bool {
        let facts = [
            Value::String(pool.machine_type),
            Value::Number(pool.cpus),
            Value::Number(pool.gpus),
            Value::Number(pool.price),
            Value::String(pool.zone),
            Value::Boolean(pool.spot),
            Value::Number(time.hour),
            Value::Number(time.weekday),
        ];
        self.expressions[&Setting::Protected].boolean(&facts)
    }

    /// The time at which the protection of a currently protected pool ends, in milliseconds since the epoch.
    /// `None` if it does not end within [`SEARCH_HORIZON`].
    pub fn protection_end_ms(&self, pool: &MachinePoolFacts<'_>, now_ms: u64) -> Option<u64> {
        let step_ms = SEARCH_STEP.as_millis() as u64;
        let steps = SEARCH_HORIZON.as_millis() as u64 / step_ms;
        let start_ms = now_ms - now_ms % step_ms;
        let mut times = (1..=steps).map(|step| start_ms + step * step_ms);
        times.find(|at_ms| !self.is_protected(pool, *at_ms))
    }
}

#[cfg(test)]
mod tests;
