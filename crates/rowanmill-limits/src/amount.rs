//! Amounts of CPUs and cards in whole millionths, so that sums are exact in whatever order they are made.

use serde::{Deserialize, Serialize};

/// Millionths of a CPU or of a card.
const UNITS: f64 = 1e6;
/// Decimal numbers are not exact in binary: so small a part of a unit is an error of representation.
const REPRESENTATION_ERROR: f64 = 0.01;
/// The largest amount in CPUs or cards: sums of a million such amounts still fit.
const LARGEST: f64 = 1e7;

/// Why a number is not an amount.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum AmountError {
    /// It is below zero.
    #[error("{0} is negative")]
    Negative(f64),
    /// It is infinite or no number.
    #[error("{0} is not a finite number")]
    NotFinite(f64),
    /// It is larger than any cluster.
    #[error("{0} is larger than {LARGEST}")]
    TooLarge(f64),
}

fn checked(value: f64) -> Result<f64, AmountError> {
    if !value.is_finite() {
        return Err(AmountError::NotFinite(value));
    }
    if value < 0.0 {
        return Err(AmountError::Negative(value));
    }
    if value > LARGEST {
        return Err(AmountError::TooLarge(value));
    }
    Ok(value)
}

/// CPUs and cards, in millionths. Written as `[cpus, cards]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Amount {
    /// Millionths of a CPU.
    pub cpus: u64,
    /// Millionths of a card.
    pub cards: u64,
}

impl From<(u64, u64)> for Amount {
    fn from((cpus, cards): (u64, u64)) -> Self {
        Self { cpus, cards }
    }
}

impl From<Amount> for (u64, u64) {
    fn from(amount: Amount) -> Self {
        (amount.cpus, amount.cards)
    }
}

impl Amount {
    /// Nothing.
    pub const ZERO: Self = Self { cpus: 0, cards: 0 };

    /// What so many tasks use, rounded up by less than one unit for all of them together. More than any
    /// limit counts as twice the largest.
    pub fn of_tasks(cpus: f64, cards: f64, tasks: u32) -> Result<Self, AmountError> {
        let units = |each: f64| {
            let all = (checked(each)? * f64::from(tasks)).min(LARGEST * 2.0);
            Ok((all * UNITS - REPRESENTATION_ERROR).ceil().max(0.0) as u64)
        };
        Ok(Self {
            cpus: units(cpus)?,
            cards: units(cards)?,
        })
    }

    /// Each component by itself, by a rule for two numbers.
    pub fn zip(self, other: Self, rule: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            cpus: rule(self.cpus, other.cpus),
            cards: rule(self.cards, other.cards),
        }
    }

    /// Both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// What is left of each component, zero where the other one is larger.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// The smaller of each component.
    #[must_use]
    pub fn least(self, other: Self) -> Self {
        self.zip(other, u64::min)
    }

    /// The larger of each component.
    #[must_use]
    pub fn most(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Whether neither component is larger than the other one's.
    pub fn fits(self, room: Self) -> bool {
        self.cpus <= room.cpus && self.cards <= room.cards
    }

    /// Whether both components are zero.
    pub fn is_zero(self) -> bool {
        self == Self::ZERO
    }

    /// CPUs as people write them.
    pub fn cpus_f64(self) -> f64 {
        self.cpus as f64 / UNITS
    }

    /// Cards as people write them.
    pub fn cards_f64(self) -> f64 {
        self.cards as f64 / UNITS
    }
}

impl std::iter::Sum for Amount {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self::ZERO, Self::plus)
    }
}

/// A team's limit: each resource may have one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Limit {
    /// Millionths of a CPU; none: unlimited.
    pub cpus: Option<u64>,
    /// Millionths of a card; none: unlimited.
    pub cards: Option<u64>,
}

impl Limit {
    /// From the platform's settings, where 0 stands for no limit. Rounded down to a unit.
    pub fn of_settings(cpus_max: f64, cards_max: f64) -> Result<Self, AmountError> {
        let units = |max: f64| {
            let max = checked(max)?;
            Ok((max > 0.0).then_some((max * UNITS + REPRESENTATION_ERROR).floor() as u64))
        };
        Ok(Self {
            cpus: units(cpus_max)?,
            cards: units(cards_max)?,
        })
    }

    /// Whether any resource is limited.
    pub fn is_limited(&self) -> bool {
        self.cpus.is_some() || self.cards.is_some()
    }

    /// The limit as an amount, with zero for a resource that has none.
    pub fn amount(&self) -> Amount {
        Amount {
            cpus: self.cpus.unwrap_or(0),
            cards: self.cards.unwrap_or(0),
        }
    }

    /// What of an amount counts against the limit: only resources that have one.
    pub fn counted(&self, amount: Amount) -> Amount {
        Amount {
            cpus: self.cpus.map_or(0, |_| amount.cpus),
            cards: self.cards.map_or(0, |_| amount.cards),
        }
    }
}
