//! The settings that a policy may make: their names, types and ranges, and the facts that their expressions
//! may name. All names are the operators' language and must not change.

use super::type_check::{Fact, ValueType};
use std::ops::RangeInclusive;

/// A setting of the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Setting {
    Alpha,
    Beta,
    Theta,
    K,
    Period,
    Hold,
    Dearer,
    StartupCount,
    StartBy,
    MayReturn,
    Protected,
    TimeZone,
}

/// What a setting's value may be.
#[derive(Debug, Clone, PartialEq)]
pub enum ValueDomain {
    /// A number within the range.
    Number(RangeInclusive<f64>),
    Text,
    Boolean,
}

impl ValueDomain {
    /// The type that an expression for the setting must have.
    pub fn value_type(&self) -> ValueType {
        match self {
            ValueDomain::Number(_) => ValueType::Number,
            ValueDomain::Text => ValueType::Text,
            ValueDomain::Boolean => ValueType::Boolean,
        }
    }
}

/// What a setting is evaluated for, which decides the facts that its expression may name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// The controller: a constant.
    Controller,
    MachineType,
    Machine,
    Job,
    /// A pool of machines at a time of the day.
    Protection,
}

impl Setting {
    /// All settings, in the order in which messages list them.
    pub const ALL: [Setting; 12] = [
        Setting::Alpha,
        Setting::Beta,
        Setting::Theta,
        Setting::K,
        Setting::Period,
        Setting::Hold,
        Setting::Dearer,
        Setting::StartupCount,
        Setting::StartBy,
        Setting::MayReturn,
        Setting::Protected,
        Setting::TimeZone,
    ];

    /// The name in a policy's text.
    pub fn name(self) -> &'static str {
        match self {
            Setting::Alpha => "alpha",
            Setting::Beta => "beta",
            Setting::Theta => "theta",
            Setting::K => "k",
            Setting::Period => "period",
            Setting::Hold => "hold",
            Setting::Dearer => "dearer",
            Setting::StartupCount => "startup_count",
            Setting::StartBy => "start_by",
            Setting::MayReturn => "may_return",
            Setting::Protected => "protected",
            Setting::TimeZone => "time_zone",
        }
    }

    /// The setting of that name, if there is one.
    pub fn by_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|setting| setting.name() == name)
    }

    /// What its value may be.
    pub fn domain(self) -> ValueDomain {
        match self {
            Setting::Alpha => ValueDomain::Number(0.0..=1.0),
            Setting::Beta => ValueDomain::Number(0.001..=1.0),
            Setting::Theta => ValueDomain::Number(0.1..=1000.0),
            Setting::K => ValueDomain::Number(0.1..=100.0),
            Setting::Period => ValueDomain::Number(1.0..=600.0),
            Setting::Hold => ValueDomain::Number(0.0..=86400.0),
            Setting::Dearer | Setting::StartupCount => ValueDomain::Number(0.0..=1000.0),
            Setting::StartBy => ValueDomain::Number(0.0..=10000.0),
            Setting::MayReturn | Setting::Protected => ValueDomain::Boolean,
            Setting::TimeZone => ValueDomain::Text,
        }
    }

    /// The facts that its expression may name, in the order in which their values are given.
    pub fn facts(self) -> &'static [Fact] {
        match self.scope() {
            Scope::Controller => &[],
            Scope::MachineType => MACHINE_FACTS.split_at(MACHINE_TYPE_FACTS).0,
            Scope::Machine => &MACHINE_FACTS,
            Scope::Job => &JOB_FACTS,
            Scope::Protection => &PROTECTION_FACTS,
        }
    }

    fn scope(self) -> Scope {
        match self {
            Setting::Period | Setting::StartupCount | Setting::TimeZone => Scope::Controller,
            Setting::Alpha | Setting::Beta | Setting::Theta | Setting::K | Setting::Dearer => {
                Scope::MachineType
            }
            Setting::Hold | Setting::MayReturn => Scope::Machine,
            Setting::StartBy => Scope::Job,
            Setting::Protected => Scope::Protection,
        }
    }
}

const fn number(name: &'static str) -> Fact {
    Fact {
        name,
        value_type: ValueType::Number,
    }
}

const fn text(name: &'static str) -> Fact {
    Fact {
        name,
        value_type: ValueType::Text,
    }
}

const fn boolean(name: &'static str) -> Fact {
    Fact {
        name,
        value_type: ValueType::Boolean,
    }
}

/// Facts of a machine; the first [`MACHINE_TYPE_FACTS`] are those of its type.
const MACHINE_FACTS: [Fact; 9] = [
    text("kind"),
    number("cpus"),
    number("gpus"),
    number("price"),
    number("arrived"),
    number("usual"),
    number("waiting"),
    text("zone"),
    boolean("spot"),
];

/// A machine type has no zone and is neither spot nor on demand.
pub const MACHINE_TYPE_FACTS: usize = 7;

const JOB_FACTS: [Fact; 4] = [
    text("class"),
    text("urgency"),
    number("tasks"),
    number("estimate"),
];

/// Facts of a pool of machines and of the local time.
const PROTECTION_FACTS: [Fact; 8] = [
    text("kind"),
    number("cpus"),
    number("gpus"),
    number("price"),
    text("zone"),
    boolean("spot"),
    number("hour"),
    number("weekday"),
];
