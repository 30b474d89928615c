//! The wall clock, for times that are kept in records. Intervals within a process are measured by `Instant` instead.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since the epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// Seconds from `ms` until `now_ms`, both in milliseconds since the epoch; negative if `ms` is in the future.
pub fn age_s(ms: u64, now_ms: u64) -> f64 {
    (now_ms as f64 - ms as f64) / 1000.0
}
