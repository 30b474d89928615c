//! The operators' policy: a file that sets parameters of scaling and placement by expressions. A file is only
//! applied if all of it is valid. `lexer`, `parser` and `type_check` reject invalid files, `schema` defines the
//! settings, and `evaluate` computes their values. Other modules decide how the values are used.

mod evaluate;
mod facts;
mod lexer;
mod parser;
mod protection;
mod schema;
mod syntax;
mod type_check;

pub use facts::{JobFacts, MachinePoolFacts, MachineTypeFacts};

use evaluate::{TypedExpr, Value};
use jiff::tz::TimeZone;
use rowanmill_config::ConfigError;
use schema::{Setting, ValueDomain};
use std::collections::BTreeMap;
use std::path::Path;
use syntax::{SourceError, Statement};

/// The embedded policy. It provides the settings that the operators' policy does not set.
const DEFAULT_POLICY: &str = include_str!("../../deploy/default.policy");

/// The kind of file, as error messages name it.
const FILE_KIND: &str = "policy";

/// The error for a policy file that was rejected. Its message is one line and names the file and, unless the file
/// could not be read, the line and column of the error.
#[derive(Debug, thiserror::Error)]
pub enum PolicyError {
    #[error(transparent)]
    Unreadable(#[from] ConfigError),
    #[error("{FILE_KIND} {path}:{problem}")]
    Invalid {
        path: String,
        #[source]
        problem: SourceError,
    },
}

/// Parameters of the scaling algorithms for a machine type. Algorithm and equation numbers are those of the CVSS
/// paper, whose algorithms `renting::rules` implements.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScalingParameters {
    /// Predicted miss rate at or below which machines are released (algorithm 1).
    pub alpha: f64,
    /// Predicted miss rate at or above which machines are rented (algorithm 1).
    pub beta: f64,
    /// Divisor of the startup queue's length (equation 2).
    pub theta: f64,
    /// Minimum factor that converts the miss rate into a number of machines (algorithm 1).
    pub k: f64,
}

/// Type-checked expressions by setting.
type Expressions = BTreeMap<Setting, TypedExpr>;

/// A valid policy. The values that it returns are always within the ranges of their settings.
#[derive(Debug, Clone)]
pub struct Policy {
    expressions: Expressions,
    /// Seconds between two scaling decisions.
    pub period_s: f64,
    /// Number of first tasks of each job that belong to the startup queue.
    pub startup_count: u32,
    time_zone: TimeZone,
}

impl Policy {
    /// Reads and checks a policy file.
    pub fn load(path: &Path) -> Result<Self, PolicyError> {
        let text = rowanmill_config::read_text(FILE_KIND, path)?;
        Self::parse(&text).map_err(|problem| PolicyError::Invalid {
            path: path.display().to_string(),
            problem,
        })
    }

    /// Parses and checks the text of a policy. Settings that it does not set have the values of the embedded policy.
    pub fn parse(text: &str) -> Result<Self, SourceError> {
        let mut expressions = check_settings(DEFAULT_POLICY)?;
        expressions.extend(check_settings(text)?);
        let constant = |setting| expressions[&setting].number(&[]);
        Ok(Self {
            period_s: constant(Setting::Period),
            startup_count: constant(Setting::StartupCount) as u32,
            time_zone: time_zone_setting(&expressions),
            expressions,
        })
    }

    /// The parameters of the scaling algorithms for a machine type.
    pub fn scaling_parameters(&self, machine_type: &MachineTypeFacts<'_>) -> ScalingParameters {
        let facts = machine_type.values();
        ScalingParameters {
            alpha: self.number(Setting::Alpha, &facts),
            beta: self.number(Setting::Beta, &facts),
            theta: self.number(Setting::Theta, &facts),
            k: self.number(Setting::K, &facts),
        }
    }

    /// Maximum price of a substitute for a machine type that the cloud has no more capacity of, as a multiple of
    /// the machine type's own price.
    pub fn max_price_ratio(&self, machine_type: &MachineTypeFacts<'_>) -> f64 {
        self.number(Setting::Dearer, &machine_type.values())
    }

    /// Seconds for which an unused machine is kept.
    pub fn idle_hold_s(&self, machine_type: &MachineTypeFacts<'_>, zone: &str, spot: bool) -> f64 {
        self.number(Setting::Hold, &machine_type.machine_values(zone, spot))
    }

    /// Whether a machine may be released or drained when the controller decides so, for example to scale in.
    pub fn allows_release(
        &self,
        machine_type: &MachineTypeFacts<'_>,
        zone: &str,
        spot: bool,
    ) -> bool {
        let facts = machine_type.machine_values(zone, spot);
        self.expressions[&Setting::MayReturn].boolean(&facts)
    }

    /// The time after its arrival within which a job should start that has no deadline or service-level objective, or
    /// can no longer meet any of them, as a multiple of its expected run time.
    pub fn start_within_factor(&self, job: &JobFacts<'_>) -> f64 {
        self.number(Setting::StartBy, &job.values())
    }

    /// Evaluates a numeric setting and limits the value to the setting's range. NaN, such as the value of `0/0`,
    /// becomes the minimum.
    fn number(&self, setting: Setting, facts: &[Value<'_>]) -> f64 {
        let number = self.expressions[&setting].number(facts);
        match setting.domain() {
            ValueDomain::Number(range) if number.is_nan() => *range.start(),
            ValueDomain::Number(range) => number.clamp(*range.start(), *range.end()),
            ValueDomain::String | ValueDomain::Boolean => number,
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::parse("").expect("the embedded policy is checked by a test")
    }
}

/// The time zone that checked expressions set.
fn time_zone_setting(expressions: &Expressions) -> TimeZone {
    let zone = match &expressions[&Setting::TimeZone] {
        TypedExpr::String(name) => protection::time_zone(name),
        _ => None,
    };
    zone.unwrap_or(TimeZone::UTC)
}

/// Parses a text and checks each statement.
fn check_settings(text: &str) -> Result<Expressions, SourceError> {
    let mut expressions = BTreeMap::new();
    for statement in parser::parse(text)? {
        let (setting, expr) = check_statement(&statement)?;
        if expressions.insert(setting, expr).is_some() {
            let reason = format!("`{}` is set twice", setting.name());
            return Err(SourceError::new(statement.position, reason));
        }
    }
    Ok(expressions)
}

fn check_statement(statement: &Statement) -> Result<(Setting, TypedExpr), SourceError> {
    let Some(setting) = Setting::by_name(&statement.name) else {
        let reason = format!(
            "unknown setting `{}`; the settings are {}",
            statement.name,
            Setting::ALL.map(Setting::name).join(", ")
        );
        return Err(SourceError::new(statement.position, reason));
    };
    let domain = setting.domain();
    let expr = type_check::check(&statement.expr, setting.facts(), domain.value_type())?;
    if let Some(reason) = constant_error(setting, &domain, &expr) {
        return Err(SourceError::new(statement.expr.position, reason));
    }
    Ok((setting, expr))
}

/// Why the value of a constant expression is invalid: it is out of range, or is not the name of a time zone.
fn constant_error(setting: Setting, domain: &ValueDomain, expr: &TypedExpr) -> Option<String> {
    match (domain, expr) {
        (ValueDomain::Number(range), TypedExpr::Number(number)) if !range.contains(number) => {
            let (min, max) = (range.start(), range.end());
            Some(format!("{number} is out of range: {min} to {max}"))
        }
        _ if setting == Setting::TimeZone => time_zone_error(expr),
        _ => None,
    }
}

fn time_zone_error(expr: &TypedExpr) -> Option<String> {
    let TypedExpr::String(name) = expr else {
        return Some(
            "`time_zone` must be a constant string, such as \"Asia/Ho_Chi_Minh\"".to_owned(),
        );
    };
    let is_known = protection::time_zone(name).is_some();
    (!is_known).then(|| format!("unknown time zone `{name}`"))
}

#[cfg(test)]
mod tests;
