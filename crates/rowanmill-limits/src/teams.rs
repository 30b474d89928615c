//! Validation of the teams' limits and guarantees in the platform's settings.

use crate::limit::TeamLimit;
use rowanmill_config::InvalidField;
use std::collections::BTreeSet;

/// CPUs and GPUs in the platform's settings, where 0 means none.
#[derive(Debug, Clone, Copy)]
pub struct SettingAmount {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
}

/// A team's amounts in the platform's settings.
#[derive(Debug, Clone, Copy)]
pub struct TeamSettings<'a> {
    /// The team.
    pub name: &'a str,
    /// The team's guarantee.
    pub guarantee: SettingAmount,
    /// The maximum that the team may use.
    pub limit: SettingAmount,
}

/// Maximum length of a team's name, in bytes. In the key of the team's record, each byte takes up to three.
const MAX_NAME_BYTES: usize = 60;

/// Checks that every team's limit can be divided and that its guarantee can be met.
///
/// # Errors
/// If a team's name is too long, empty or repeated, or an amount is invalid or contradicts another.
pub fn validate_teams<'a>(
    teams: impl Iterator<Item = TeamSettings<'a>>,
) -> Result<(), InvalidField> {
    let mut names = BTreeSet::new();
    for team in teams {
        let mut problem = problem_with(&team);
        if problem.is_none() && !names.insert(team.name) {
            problem = Some("is defined twice".to_owned());
        }
        if let Some(problem) = problem {
            let reason = format!("team `{}` {problem}", team.name);
            return Err(InvalidField::new("params.teams", reason));
        }
    }
    Ok(())
}

/// Returns why a team's settings are invalid on their own, as a phrase that follows the team's name in the
/// message.
fn problem_with(team: &TeamSettings) -> Option<String> {
    if team.name.is_empty() || team.name.len() > MAX_NAME_BYTES {
        return Some(format!("needs a name of 1 to {MAX_NAME_BYTES} bytes"));
    }
    let limit = match TeamLimit::from_settings(team.limit.cpus, team.limit.gpus) {
        Ok(limit) => limit,
        Err(error) => return Some(format!("has an invalid limit: {error}")),
    };
    let guarantee = match TeamLimit::from_settings(team.guarantee.cpus, team.guarantee.gpus) {
        Ok(guarantee) => guarantee,
        Err(error) => return Some(format!("has an invalid guarantee: {error}")),
    };
    if exceeds(guarantee.micro_cpus, limit.micro_cpus) {
        return Some("is guaranteed more CPUs than its limit".to_owned());
    }
    if exceeds(guarantee.micro_gpus, limit.micro_gpus) {
        return Some("is guaranteed more cards than its limit".to_owned());
    }
    None
}

/// Whether a guarantee of one resource exceeds the limit, if there is one.
fn exceeds(guarantee: Option<u64>, limit: Option<u64>) -> bool {
    limit.is_some() && guarantee > limit
}
