//! The operators' file that enables quota allocations.

use crate::amount::ResourceAmount;
use rowanmill_config::{ConfigFile, InvalidField};
use serde::Deserialize;
use std::time::Duration;

/// The contents of the file. Fields that it omits are as in [`LimitsConfig::default`].
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsConfig {
    /// The least time between two changes of a team's record by one controller, in seconds.
    pub change_every_s: f64,
    /// A transfer moves at least this fraction of the limit, or the recipient's whole shortfall.
    pub step: f64,
    /// A controller hands on headroom that its waiting work has not used for this long, in seconds: that
    /// work waits for machines.
    pub idle_after_s: f64,
    /// After this long, in seconds, a gang that only its team's limit keeps from starting has headroom
    /// reserved for it as it becomes free.
    pub reserve_after_s: f64,
}

impl Default for LimitsConfig {
    fn default() -> Self {
        Self {
            change_every_s: 0.5,
            step: 0.05,
            idle_after_s: 2.0,
            reserve_after_s: 20.0,
        }
    }
}

/// The least pause between two changes of a record, in seconds: any less would spend the state service's
/// writes on transfers.
const MIN_CHANGE_INTERVAL_S: f64 = 0.05;
/// The largest fraction of a limit that a transfer may be required to move.
const MAX_STEP: f64 = 0.5;
/// The longest duration that any field accepts, in seconds.
const MAX_DURATION_S: f64 = 3600.0;

impl ConfigFile for LimitsConfig {
    const KIND: &'static str = "limits";

    fn validate(&self) -> Result<(), InvalidField> {
        let ranges = [
            (
                "change_every_s",
                self.change_every_s,
                MIN_CHANGE_INTERVAL_S..=MAX_DURATION_S,
            ),
            ("step", self.step, 0.0..=MAX_STEP),
            ("idle_after_s", self.idle_after_s, 0.0..=MAX_DURATION_S),
            (
                "reserve_after_s",
                self.reserve_after_s,
                0.0..=MAX_DURATION_S,
            ),
        ];
        for (field, value, range) in ranges {
            if !range.contains(&value) {
                let (min, max) = (range.start(), range.end());
                let reason = format!("must be between {min} and {max}, is {value}");
                return Err(InvalidField::new(field, reason));
            }
        }
        Ok(())
    }
}

impl LimitsConfig {
    /// The least time between two changes of a team's record by one controller.
    pub fn change_interval(&self) -> Duration {
        Duration::from_secs_f64(self.change_every_s)
    }

    /// How long headroom may be idle before it is handed to others.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.idle_after_s)
    }

    /// The least that a transfer of a part of `limit` moves.
    pub fn min_transfer(&self, limit: ResourceAmount) -> ResourceAmount {
        let fraction_of = |units: u64| (units as f64 * self.step) as u64;
        ResourceAmount {
            micro_cpus: fraction_of(limit.micro_cpus),
            micro_gpus: fraction_of(limit.micro_gpus),
        }
    }
}
