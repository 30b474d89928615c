//! The configuration file with which operators enable quota allocations.

use crate::amount::ResourceAmount;
use rowanmill_config::{ConfigFile, InvalidField};
use serde::Deserialize;
use std::time::Duration;

/// The contents of the file. Omitted fields have the values of [`LimitsConfig::default`].
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsConfig {
    /// The minimum time between two changes of a team's record by one controller, in seconds.
    pub change_every_s: f64,
    /// The minimum size of a transfer, as a fraction of the limit. A smaller transfer is made only if it
    /// covers the recipient's whole shortfall, or if the recipient's oldest waiting work does not fit into
    /// the free part of its allocation.
    pub step: f64,
    /// How long a controller keeps headroom that its waiting work does not use, in seconds, before it
    /// transfers that headroom to others. Such work waits for machines, not for the limit.
    pub idle_after_s: f64,
    /// How long a gang waits, in seconds, before headroom that becomes free is reserved for it, if only its
    /// team's limit keeps it from starting. The same applies to a single task that exceeds the headroom. A gang
    /// or task that needs only a fraction of the limit waits for that fraction of the time.
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

/// The smallest accepted `change_every_s`, in seconds. With a smaller one, transfers would use up the rate of
/// writes that the state service allows.
const MIN_CHANGE_INTERVAL_S: f64 = 0.05;
/// The largest accepted `step`.
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
    /// The minimum time between two changes of a team's record by one controller.
    pub fn change_interval(&self) -> Duration {
        Duration::from_secs_f64(self.change_every_s)
    }

    /// How long headroom may be idle before it is transferred to others.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.idle_after_s)
    }

    /// The minimum size of a transfer under `limit`, see [`LimitsConfig::step`].
    pub fn min_transfer(&self, limit: ResourceAmount) -> ResourceAmount {
        let fraction_of = |units: u64| (units as f64 * self.step) as u64;
        ResourceAmount {
            micro_cpus: fraction_of(limit.micro_cpus),
            micro_gpus: fraction_of(limit.micro_gpus),
        }
    }
}
