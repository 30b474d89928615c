//! The operators' own settings: a file of expressions, checked as a whole before any of it holds.

mod check;
mod lang;
mod protection;

use check::{Checked, Fact, Kind, Value, typed};
use jiff::tz::TimeZone;
use lang::{Place, Problem, problem};
use rowanmill_config::ConfigError;
use std::collections::BTreeMap;
use std::path::Path;

/// The policy that holds where operators give none.
const DEFAULT: &str = include_str!("../../deploy/default.policy");

const fn fact(name: &'static str, kind: Kind) -> Fact {
    Fact { name, kind }
}

/// What expressions on a kind of machine or on a machine may name.
const MACHINE_FACTS: [Fact; 9] = [
    fact("kind", Kind::Text),
    fact("cpus", Kind::Number),
    fact("gpus", Kind::Number),
    fact("price", Kind::Number),
    fact("arrived", Kind::Number),
    fact("usual", Kind::Number),
    fact("waiting", Kind::Number),
    fact("zone", Kind::Text),
    fact("spot", Kind::Truth),
];
/// A kind of machine has no zone and is neither spot nor ordinary.
const KIND_FACTS: usize = 7;

const JOB_FACTS: [Fact; 4] = [
    fact("class", Kind::Text),
    fact("urgency", Kind::Text),
    fact("tasks", Kind::Number),
    fact("estimate", Kind::Number),
];

/// What a protection may name: a sort of machine, and the local time.
const PROTECTION_FACTS: [Fact; 8] = [
    fact("kind", Kind::Text),
    fact("cpus", Kind::Number),
    fact("gpus", Kind::Number),
    fact("price", Kind::Number),
    fact("zone", Kind::Text),
    fact("spot", Kind::Truth),
    fact("hour", Kind::Number),
    fact("weekday", Kind::Number),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum About {
    Nothing,
    Kind,
    Machine,
    Job,
    Protection,
}

struct Setting {
    name: &'static str,
    about: About,
    kind: Kind,
    /// Least and most that it may be.
    range: (f64, f64),
}

const fn number(name: &'static str, about: About, least: f64, most: f64) -> Setting {
    Setting {
        name,
        about,
        kind: Kind::Number,
        range: (least, most),
    }
}

const SETTINGS: [Setting; 12] = [
    number("alpha", About::Kind, 0.0, 1.0),
    number("beta", About::Kind, 0.001, 1.0),
    number("theta", About::Kind, 0.1, 1000.0),
    number("k", About::Kind, 0.1, 100.0),
    number("period", About::Nothing, 1.0, 600.0),
    number("hold", About::Machine, 0.0, 86400.0),
    number("dearer", About::Kind, 0.0, 1000.0),
    number("startup_count", About::Nothing, 0.0, 1000.0),
    number("start_by", About::Job, 0.0, 10000.0),
    Setting {
        name: "may_return",
        about: About::Machine,
        kind: Kind::Truth,
        range: (0.0, 0.0),
    },
    Setting {
        name: "protected",
        about: About::Protection,
        kind: Kind::Truth,
        range: (0.0, 0.0),
    },
    Setting {
        name: "time_zone",
        about: About::Nothing,
        kind: Kind::Text,
        range: (0.0, 0.0),
    },
];

fn facts_of(about: About) -> &'static [Fact] {
    match about {
        About::Nothing => &[],
        About::Kind => MACHINE_FACTS.split_at(KIND_FACTS).0,
        About::Machine => &MACHINE_FACTS,
        About::Job => &JOB_FACTS,
        About::Protection => &PROTECTION_FACTS,
    }
}

/// Why a policy was refused. The message is one line and names the file, and the line and column at fault.
#[derive(Debug, thiserror::Error)]
pub enum PolicyError {
    #[error(transparent)]
    Unreadable(#[from] ConfigError),
    #[error("{FILE_KIND} {path}:{problem}")]
    Invalid {
        path: String,
        #[source]
        problem: Problem,
    },
}

/// What messages call the file.
const FILE_KIND: &str = "policy";

/// What is known of a kind of machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineTypeFacts<'a> {
    pub machine_type: &'a str,
    pub cpus: f64,
    pub gpus: f64,
    pub price: f64,
    /// Tasks that came in the last period, that usually come in one, and that wait.
    pub arrived: f64,
    pub usual: f64,
    pub waiting: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobFacts<'a> {
    pub class: &'a str,
    pub urgency: &'a str,
    pub tasks: f64,
    pub estimate: f64,
}

/// The bands and factors for a kind of machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScalingParameters {
    pub alpha: f64,
    pub beta: f64,
    pub theta: f64,
    pub k: f64,
}

#[derive(Debug, Clone)]
pub struct Policy {
    settings: BTreeMap<&'static str, Checked>,
    pub period_s: f64,
    pub startup_count: u32,
    time_zone: TimeZone,
}

/// What is known of machines of one sort.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachinePoolFacts<'a> {
    pub machine_type: &'a str,
    pub cpus: f64,
    pub gpus: f64,
    pub price: f64,
    pub zone: &'a str,
    pub spot: bool,
}

impl Policy {
    pub fn load(path: &Path) -> Result<Self, PolicyError> {
        let text = rowanmill_config::read_text(FILE_KIND, path)?;
        Self::parse(&text).map_err(|problem| PolicyError::Invalid {
            path: path.display().to_string(),
            problem,
        })
    }

    /// The embedded policy, and over it all that the text sets; or nothing of it.
    pub fn parse(text: &str) -> Result<Self, Problem> {
        let mut settings = read(DEFAULT)?;
        settings.extend(read(text)?);
        let constant = |name| settings[name].number(&[]);
        Ok(Self {
            period_s: constant("period"),
            startup_count: constant("startup_count") as u32,
            time_zone: zone_of(&settings),
            settings,
        })
    }

    fn number(&self, name: &'static str, facts: &[Value<'_>]) -> f64 {
        let setting = SETTINGS.iter().find(|s| s.name == name);
        let (least, most) = setting.map_or((0.0, 0.0), |s| s.range);
        let n = self.settings[name].number(facts);
        // What comes out of an expression at run time is kept within the setting's range; no
        // number at all, as 0/0 gives, counts as the least.
        if n.is_nan() {
            least
        } else {
            n.clamp(least, most)
        }
    }

    pub fn scaling_parameters(&self, kind: &MachineTypeFacts<'_>) -> ScalingParameters {
        let facts = kind.values();
        ScalingParameters {
            alpha: self.number("alpha", &facts),
            beta: self.number("beta", &facts),
            theta: self.number("theta", &facts),
            k: self.number("k", &facts),
        }
    }

    /// How many times its own price may be paid for another kind, when there is no more of it.
    pub fn max_price_ratio(&self, kind: &MachineTypeFacts<'_>) -> f64 {
        self.number("dearer", &kind.values())
    }

    pub fn idle_hold_s(&self, kind: &MachineTypeFacts<'_>, zone: &str, spot: bool) -> f64 {
        self.number("hold", &kind.values_of_machine(zone, spot))
    }

    /// Whether a machine may be returned or drained by choice.
    pub fn allows_release(&self, kind: &MachineTypeFacts<'_>, zone: &str, spot: bool) -> bool {
        self.settings["may_return"].truth(&kind.values_of_machine(zone, spot))
    }

    pub fn start_within_factor(&self, job: &JobFacts<'_>) -> f64 {
        let facts = [
            Value::Text(job.class),
            Value::Text(job.urgency),
            Value::Number(job.tasks),
            Value::Number(job.estimate),
        ];
        self.number("start_by", &facts)
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::parse("").expect("the embedded policy is checked by a test")
    }
}

impl<'a> MachineTypeFacts<'a> {
    fn values(&self) -> [Value<'a>; KIND_FACTS] {
        [
            Value::Text(self.machine_type),
            Value::Number(self.cpus),
            Value::Number(self.gpus),
            Value::Number(self.price),
            Value::Number(self.arrived),
            Value::Number(self.usual),
            Value::Number(self.waiting),
        ]
    }

    fn values_of_machine(&self, zone: &'a str, spot: bool) -> Vec<Value<'a>> {
        let mut values = self.values().to_vec();
        values.extend([Value::Text(zone), Value::Truth(spot)]);
        values
    }
}

/// The time zone of settings that were checked.
fn zone_of(settings: &BTreeMap<&'static str, Checked>) -> TimeZone {
    let zone = match &settings["time_zone"] {
        Checked::Text(name) => protection::time_zone(name),
        _ => None,
    };
    zone.unwrap_or(TimeZone::UTC)
}

fn check_zone(zone: &Checked, place: Place) -> Result<(), Problem> {
    let Checked::Text(name) = zone else {
        return problem(
            place,
            "`time_zone` must be a name, such as \"Asia/Ho_Chi_Minh\"",
        );
    };
    match protection::time_zone(name) {
        Some(_) => Ok(()),
        None => problem(place, format!("no time zone is named `{name}`")),
    }
}

fn read(text: &str) -> Result<BTreeMap<&'static str, Checked>, Problem> {
    let mut settings = BTreeMap::new();
    for statement in lang::parse(text)? {
        let Some(setting) = SETTINGS.iter().find(|s| s.name == statement.name) else {
            let names: Vec<&str> = SETTINGS.iter().map(|s| s.name).collect();
            let reason = format!(
                "`{}` is no setting; there are {}",
                statement.name,
                names.join(", ")
            );
            return problem(statement.place, reason);
        };
        let checked = typed(&statement.expr, facts_of(setting.about), setting.kind)?;
        if let Checked::Number(n) = checked
            && !(setting.range.0..=setting.range.1).contains(&n)
        {
            let (least, most) = setting.range;
            let reason = format!("{n} is out of range: {least} to {most}");
            return problem(statement.expr.place, reason);
        }
        if setting.name == "time_zone" {
            check_zone(&checked, statement.expr.place)?;
        }
        if settings.insert(setting.name, checked).is_some() {
            return problem(statement.place, format!("`{}` is set twice", setting.name));
        }
    }
    Ok(settings)
}

#[cfg(test)]
mod tests;
