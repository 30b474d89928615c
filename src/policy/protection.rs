//! Room that work of other cells must leave alone, always or at times of the day. Times are local: the
//! expression sees the hour and the weekday of the policy's time zone, daylight saving included.

use super::check::Value;
use super::{MachinePoolFacts, Policy};
use jiff::Timestamp;
use jiff::tz::TimeZone;
use std::time::Duration;

/// How far ahead the end of a protection is looked for, and how finely.
const LOOK_AHEAD: Duration = Duration::from_secs(8 * 24 * 3600);
const LOOK_EVERY: Duration = Duration::from_secs(5 * 60);
const MINUTES_OF_AN_HOUR: f64 = 60.0;

/// The hour with its minutes as decimals, and the weekday from 1 for Monday to 7 for Sunday.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalTime {
    pub hour: f64,
    pub weekday: f64,
}

/// The time zone of that name, if there is one.
pub fn time_zone(name: &str) -> Option<TimeZone> {
    TimeZone::get(name).ok()
}

/// The local time at so many milliseconds since the epoch.
pub fn local_time(zone: &TimeZone, at_ms: u64) -> LocalTime {
    let at = Timestamp::from_millisecond(at_ms as i64).unwrap_or(Timestamp::MAX);
    let local = zone.to_datetime(at);
    LocalTime {
        hour: f64::from(local.hour()) + f64::from(local.minute()) / MINUTES_OF_AN_HOUR,
        weekday: f64::from(local.weekday().to_monday_one_offset()),
    }
}

impl Policy {
    /// Whether anything may ever be protected: if not, the time is not asked for.
    pub fn has_protection(&self) -> bool {
        self.settings["protected"] != super::Checked::Truth(false)
    }

    /// Whether a sort of machine is protected at that time.
    pub fn is_protected(&self, sort: &MachinePoolFacts<'_>, at_ms: u64) -> bool {
        self.has_protection() && self.is_protected_at(sort, local_time(&self.time_zone, at_ms))
    }

    fn is_protected_at(&self, sort: &MachinePoolFacts<'_>, time: LocalTime) -> bool {
        let facts = [
            Value::Text(sort.machine_type),
            Value::Number(sort.cpus),
            Value::Number(sort.gpus),
            Value::Number(sort.price),
            Value::Text(sort.zone),
            Value::Truth(sort.spot),
            Value::Number(time.hour),
            Value::Number(time.weekday),
        ];
        self.settings["protected"].truth(&facts)
    }

    /// When the protection of a sort ends that is protected now; none if it does not within days.
    pub fn protection_end_ms(&self, sort: &MachinePoolFacts<'_>, now_ms: u64) -> Option<u64> {
        let step_ms = LOOK_EVERY.as_millis() as u64;
        let steps = LOOK_AHEAD.as_millis() as u64 / step_ms;
        let begin = now_ms - now_ms % step_ms;
        let times = (1..=steps).map(|step| begin + step * step_ms);
        times
            .into_iter()
            .find(|at_ms| !self.is_protected(sort, *at_ms))
    }
}

#[cfg(test)]
mod tests;
