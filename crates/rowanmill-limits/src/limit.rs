//! A team's limit: the most of each limited resource that its tasks may use at any time.

use crate::amount::{AmountError, ResourceAmount, units_rounded_down};

/// A team's limit. Resources that are unlimited are not counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TeamLimit {
    /// Millionths of a CPU; `None` if CPUs are unlimited.
    pub micro_cpus: Option<u64>,
    /// Millionths of a GPU; `None` if GPUs are unlimited.
    pub micro_gpus: Option<u64>,
}

impl TeamLimit {
    /// Converts the limit of the platform's settings, given in CPUs and GPUs with 0 for no limit. Rounded
    /// down to a unit.
    ///
    /// # Errors
    /// If a number is negative, not finite or larger than any cluster.
    pub fn from_settings(cpus_max: f64, gpus_max: f64) -> Result<Self, AmountError> {
        let units = |max: f64| {
            let units = units_rounded_down(max)?;
            Ok((max > 0.0).then_some(units))
        };
        Ok(Self {
            micro_cpus: units(cpus_max)?,
            micro_gpus: units(gpus_max)?,
        })
    }

    /// Whether any resource is limited.
    pub fn is_limited(&self) -> bool {
        self.micro_cpus.is_some() || self.micro_gpus.is_some()
    }

    /// The limit as an amount, with zero for a resource that has none.
    pub fn as_amount(&self) -> ResourceAmount {
        ResourceAmount {
            micro_cpus: self.micro_cpus.unwrap_or(0),
            micro_gpus: self.micro_gpus.unwrap_or(0),
        }
    }

    /// The part of `amount` that counts against the limit: resources without one are set to zero.
    pub fn limited_part_of(&self, amount: ResourceAmount) -> ResourceAmount {
        ResourceAmount {
            micro_cpus: self.micro_cpus.map_or(0, |_| amount.micro_cpus),
            micro_gpus: self.micro_gpus.map_or(0, |_| amount.micro_gpus),
        }
    }
}
