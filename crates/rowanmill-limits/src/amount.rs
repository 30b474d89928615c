//! Amounts of CPUs and GPUs as whole millionths, so that sums are exact and do not depend on the order of
//! addition.

use serde::{Deserialize, Serialize};

/// Units in one CPU or GPU.
const UNITS_PER_RESOURCE: f64 = 1e6;
/// Tolerance, in units, for decimal fractions without an exact binary representation: a smaller difference
/// from a whole unit is treated as a rounding error.
const REPRESENTATION_TOLERANCE: f64 = 0.01;
/// The largest amount of either resource, in CPUs or GPUs. In units, the sum of a million such amounts fits
/// into 64 bits.
const MAX_AMOUNT: f64 = 1e7;

/// Why a number cannot be used as an amount.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum AmountError {
    /// It is below zero.
    #[error("{0} is negative")]
    Negative(f64),
    /// It is infinite or not a number.
    #[error("{0} is not a finite number")]
    NotFinite(f64),
    /// It exceeds the largest supported amount, which is more than any cluster has.
    #[error("{0} is larger than {MAX_AMOUNT}")]
    TooLarge(f64),
}

/// Returns `value`, in CPUs or GPUs, if it can be used as an amount.
fn validated(value: f64) -> Result<f64, AmountError> {
    if !value.is_finite() {
        return Err(AmountError::NotFinite(value));
    }
    if value < 0.0 {
        return Err(AmountError::Negative(value));
    }
    if value > MAX_AMOUNT {
        return Err(AmountError::TooLarge(value));
    }
    Ok(value)
}

/// The units used by `tasks` tasks with `each` CPUs or GPUs, rounded up and capped at twice the largest
/// amount, which exceeds any limit.
fn units_rounded_up(each: f64, tasks: u32) -> Result<u64, AmountError> {
    let total = (validated(each)? * f64::from(tasks)).min(MAX_AMOUNT * 2.0);
    let units = (total * UNITS_PER_RESOURCE - REPRESENTATION_TOLERANCE).ceil();
    Ok(units.max(0.0) as u64)
}

/// The units in `value` CPUs or GPUs, rounded down.
pub(crate) fn units_rounded_down(value: f64) -> Result<u64, AmountError> {
    Ok((validated(value)? * UNITS_PER_RESOURCE + REPRESENTATION_TOLERANCE).floor() as u64)
}

/// CPUs and GPUs, in millionths. Serialized as `[cpus, gpus]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct ResourceAmount {
    /// Millionths of a CPU.
    pub micro_cpus: u64,
    /// Millionths of a GPU.
    pub micro_gpus: u64,
}

impl From<(u64, u64)> for ResourceAmount {
    fn from((micro_cpus, micro_gpus): (u64, u64)) -> Self {
        Self {
            micro_cpus,
            micro_gpus,
        }
    }
}

impl From<ResourceAmount> for (u64, u64) {
    fn from(amount: ResourceAmount) -> Self {
        (amount.micro_cpus, amount.micro_gpus)
    }
}

impl ResourceAmount {
    /// No resources.
    pub const ZERO: Self = Self {
        micro_cpus: 0,
        micro_gpus: 0,
    };

    /// The total usage of `tasks` tasks with `cpus` CPUs and `gpus` GPUs each. Only the total is rounded up,
    /// by less than one unit. It is capped at twice the largest amount, which exceeds any limit.
    ///
    /// # Errors
    /// If the amount per task is negative, not finite or larger than any cluster.
    pub fn for_tasks(cpus: f64, gpus: f64, tasks: u32) -> Result<Self, AmountError> {
        Ok(Self {
            micro_cpus: units_rounded_up(cpus, tasks)?,
            micro_gpus: units_rounded_up(gpus, tasks)?,
        })
    }

    /// Combines each resource of `self` with that of `other` by `operation`.
    pub fn zip_with(self, other: Self, operation: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            micro_cpus: operation(self.micro_cpus, other.micro_cpus),
            micro_gpus: operation(self.micro_gpus, other.micro_gpus),
        }
    }

    /// The sum of each resource, capped at the largest integer.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        self.zip_with(other, u64::saturating_add)
    }

    /// The difference of each resource, zero where `other` is larger.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        self.zip_with(other, u64::saturating_sub)
    }

    /// The smaller amount of each resource.
    #[must_use]
    pub fn componentwise_min(self, other: Self) -> Self {
        self.zip_with(other, u64::min)
    }

    /// The larger amount of each resource.
    #[must_use]
    pub fn componentwise_max(self, other: Self) -> Self {
        self.zip_with(other, u64::max)
    }

    /// Whether no resource exceeds `capacity`.
    pub fn fits_within(self, capacity: Self) -> bool {
        self.micro_cpus <= capacity.micro_cpus && self.micro_gpus <= capacity.micro_gpus
    }

    /// Whether both resources are zero.
    pub fn is_zero(self) -> bool {
        self == Self::ZERO
    }

    /// The amount of CPUs.
    pub fn cpus(self) -> f64 {
        self.micro_cpus as f64 / UNITS_PER_RESOURCE
    }

    /// The amount of GPUs.
    pub fn gpus(self) -> f64 {
        self.micro_gpus as f64 / UNITS_PER_RESOURCE
    }
}

impl std::iter::Sum for ResourceAmount {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self::ZERO, Self::saturating_add)
    }
}
