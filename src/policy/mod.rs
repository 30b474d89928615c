//! The operators' policy: a file of expressions, checked as a whole before any of it holds. `lexer`, `parser`
//! and `type_check` refuse wrong texts, `schema` lists what may be set, `evaluate` computes values. What is
//! done with the values is decided elsewhere.

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

/// The policy that holds where operators give none, and for all that theirs leaves out.
const DEFAULT: &str = include_str!("../../deploy/default.policy");

/// What messages call the file.
const FILE_KIND: &str = "policy";

/// Why a policy was refused. The message is one line and names the file, and the line and column at fault.
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

/// The parameters of the paper's scaling rules for a machine type.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScalingParameters {
    /// Predicted miss rate at or below which machines are released (algorithm 1).
    pub alpha: f64,
    /// Predicted miss rate at or above which machines are rented (algorithm 1).
    pub beta: f64,
    /// Divisor of the startup queue's length (equation 2).
    pub theta: f64,
    /// Least factor from the miss rate to a number of machines (algorithm 1).
    pub k: f64,
}

/// Checked expressions for all settings.
type Expressions = BTreeMap<Setting, TypedExpr>;

/// A checked policy. Whatever an expression gives, its value is within the setting's range.
#[derive(Debug, Clone)]
pub struct Policy {
    expressions: Expressions,
    /// Seconds between two scaling decisions.
    pub period_s: f64,
    /// First tasks of a job that form the startup queue.
    pub startup_count: u32,
    time_zone: TimeZone,
}

impl Policy {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, PolicyError> {
        let text = rowanmill_config::read_text(FILE_KIND, path)?;
        Self::parse(&text).map_err(|problem| PolicyError::Invalid {
            path: path.display().to_string(),
            problem,
        })
    }

    /// The embedded policy, and over it all that the text sets; or nothing of it.
    pub fn parse(text: &str) -> Result<Self, SourceError> {
        let mut expressions = check_settings(DEFAULT)?;
        expressions.extend(check_settings(text)?);
        let constant = |setting| expressions[&setting].number(&[]);
        Ok(Self {
            period_s: constant(Setting::Period),
            startup_count: constant(Setting::StartupCount) as u32,
            time_zone: checked_time_zone(&expressions),
            expressions,
        })
    }

    /// The scaling rules' parameters for a machine type.
    pub fn scaling_parameters(&self, machine_type: &MachineTypeFacts<'_>) -> ScalingParameters {
        let facts = machine_type.values();
        ScalingParameters {
            alpha: self.number(Setting::Alpha, &facts),
            beta: self.number(Setting::Beta, &facts),
            theta: self.number(Setting::Theta, &facts),
            k: self.number(Setting::K, &facts),
        }
    }

    /// How many times a machine type's own price may be paid for another one, where the cloud has no more of
    /// it.
    pub fn max_price_ratio(&self, machine_type: &MachineTypeFacts<'_>) -> f64 {
        self.number(Setting::Dearer, &machine_type.values())
    }

    /// Seconds for which an unused machine is kept.
    pub fn idle_hold_s(&self, machine_type: &MachineTypeFacts<'_>, zone: &str, spot: bool) -> f64 {
        self.number(Setting::Hold, &machine_type.machine_values(zone, spot))
    }

    /// Whether a machine may be released or drained by choice.
    pub fn allows_release(
        &self,
        machine_type: &MachineTypeFacts<'_>,
        zone: &str,
        spot: bool,
    ) -> bool {
        let facts = machine_type.machine_values(zone, spot);
        self.expressions[&Setting::MayReturn].boolean(&facts)
    }

    /// Within how many expected run times after its arrival a job without a deadline should start.
    pub fn start_within_factor(&self, job: &JobFacts<'_>) -> f64 {
        self.number(Setting::StartBy, &job.values())
    }

    /// A number within the setting's range; if an expression gives none, as 0/0 does, the least.
    fn number(&self, setting: Setting, facts: &[Value<'_>]) -> f64 {
        let number = self.expressions[&setting].number(facts);
        match setting.domain() {
            ValueDomain::Number(range) if number.is_nan() => *range.start(),
            ValueDomain::Number(range) => number.clamp(*range.start(), *range.end()),
            ValueDomain::Text | ValueDomain::Boolean => number,
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::parse("").expect("the embedded policy is checked by a test")
    }
}

/// The time zone of settings that were checked.
fn checked_time_zone(expressions: &Expressions) -> TimeZone {
    let zone = match &expressions[&Setting::TimeZone] {
        TypedExpr::Text(name) => protection::time_zone(name),
        _ => None,
    };
    zone.unwrap_or(TimeZone::UTC)
}

/// Parses a text and checks each of its settings.
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
            "`{}` is no setting; there are {}",
            statement.name,
            Setting::ALL.map(Setting::name).join(", ")
        );
        return Err(SourceError::new(statement.position, reason));
    };
    let domain = setting.domain();
    let expr = type_check::check(&statement.expr, setting.facts(), domain.value_type())?;
    if let Some(reason) = problem_with_constant(setting, &domain, &expr) {
        return Err(SourceError::new(statement.expr.position, reason));
    }
    Ok((setting, expr))
}

/// What is wrong with a constant: out of range, or not the name of a time zone.
fn problem_with_constant(
    setting: Setting,
    domain: &ValueDomain,
    expr: &TypedExpr,
) -> Option<String> {
    match (domain, expr) {
        (ValueDomain::Number(range), TypedExpr::Number(number)) if !range.contains(number) => {
            let (least, most) = (range.start(), range.end());
            Some(format!("{number} is out of range: {least} to {most}"))
        }
        _ if setting == Setting::TimeZone => problem_with_time_zone(expr),
        _ => None,
    }
}

fn problem_with_time_zone(expr: &TypedExpr) -> Option<String> {
    let TypedExpr::Text(name) = expr else {
        return Some("`time_zone` must be a name, such as \"Asia/Ho_Chi_Minh\"".to_owned());
    };
    let is_known = protection::time_zone(name).is_some();
    (!is_known).then(|| format!("no time zone is named `{name}`"))
}

#[cfg(test)]
mod tests;
