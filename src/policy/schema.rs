//! The settings of a policy: their names, types and ranges, and the facts that their expressions may refer to.
//! Operators use these names in their policy files, so they must not change.

use super::type_check::{Fact, ValueType};
use std::ops::RangeInclusive;

/// A setting of the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Setting {
    /// Predicted miss rate at or below which machines are released.
    Alpha,
    /// Predicted miss rate at or above which machines are rented.
    Beta,
    /// Divisor of the startup queue's length in the remedial policy.
    Theta,
    /// Minimum factor from the miss rate to a number of machines.
    K,
    /// Seconds between two scaling decisions.
    Period,
    /// Seconds for which an unused machine is kept.
    Hold,
    /// Maximum price of a substitute machine type, as a multiple of the price of the wanted type.
    Dearer,
    /// Number of first tasks of a job that belong to the startup queue.
    StartupCount,
    /// Time after its arrival within which a job should start that has no deadline or service-level objective, or
    /// can no longer meet any of them, as a multiple of its expected run time.
    StartBy,
    /// Whether a machine may be released or drained when the controller decides so.
    MayReturn,
    /// Whether a machine pool is protected: no tasks of other cells' jobs are placed on its machines, and these are
    /// not drained to scale in.
    Protected,
    /// Time zone of the hour and weekday facts.
    TimeZone,
}

/// The valid values of a setting.
#[derive(Debug, Clone, PartialEq)]
pub enum ValueDomain {
    /// A number within this range.
    Number(RangeInclusive<f64>),
    String,
    Boolean,
}

impl ValueDomain {
    /// The type that an expression for the setting must have.
    pub fn value_type(&self) -> ValueType {
        match self {
            ValueDomain::Number(_) => ValueType::Number,
            ValueDomain::String => ValueType::String,
            ValueDomain::Boolean => ValueType::Boolean,
        }
    }
}

/// What a setting is evaluated for. This determines the facts that its expression may refer to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Evaluated once, without facts.
    Controller,
    /// Evaluated for a machine type.
    MachineType,
    /// Evaluated for a machine.
    Machine,
    /// Evaluated for a job.
    Job,
    /// Evaluated for a machine pool at a local time.
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

    /// The name in policy files.
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

    /// The setting with this name, if there is one.
    pub fn by_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|setting| setting.name() == name)
    }

    /// The valid values of the setting.
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
            Setting::TimeZone => ValueDomain::String,
        }
    }

    /// The facts that the setting's expression may refer to, in the order of the values passed to its evaluation.
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

const fn string(name: &'static str) -> Fact {
    Fact {
        name,
        value_type: ValueType::String,
    }
}

const fn boolean(name: &'static str) -> Fact {
    Fact {
        name,
        value_type: ValueType::Boolean,
    }
}

/// The facts of a machine. The first [`MACHINE_TYPE_FACTS`] ones are those of its type.
const MACHINE_FACTS: [Fact; 9] = [
    string("kind"),
    number("cpus"),
    number("gpus"),
    number("price"),
    number("arrived"),
    number("usual"),
    number("waiting"),
    string("zone"),
    boolean("spot"),
];

/// Number of facts of a machine type: those of a machine except `zone` and `spot`, which belong to the machine.
pub const MACHINE_TYPE_FACTS: usize = 7;

const JOB_FACTS: [Fact; 4] = [
    string("class"),
    string("urgency"),
    number("tasks"),
    number("estimate"),
];

/// The facts of a machine pool and of the local time.
const PROTECTION_FACTS: [Fact; 8] = [
    string("kind"),
    number("cpus"),
    number("gpus"),
    number("price"),
    string("zone"),
    boolean("spot"),
    number("hour"),
    number("weekday"),
];
