//! The wall clock, for times stored in records. Intervals within a process are measured with `Instant` instead.

use std::time::{SystemTime, UNIX_EPOCH};

/// The current time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// Seconds from `ms` to `now_ms`, both in milliseconds since the Unix epoch; negative if `ms` is later than `now_ms`.
pub fn age_s(ms: u64, now_ms: u64) -> f64 {
    (now_ms as f64 - ms as f64) / 1000.0
}
