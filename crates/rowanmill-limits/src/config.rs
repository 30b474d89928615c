//! The operators' file that enables allotments.

use crate::amount::{Amount, Limit};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

/// Why a file was refused. Each message is one line and names the field.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// There is no such file, or it may not be read.
    #[error("limits {path}: cannot be read: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// It is not JSON, or a field is of another type or unknown.
    #[error("limits {path}: {source}")]
    Malformed {
        /// The file.
        path: String,
        /// Where and why.
        source: serde_json::Error,
    },
    /// A value makes no sense.
    #[error("limits {path}: field `{field}`: {reason}")]
    Invalid {
        /// The file.
        path: String,
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        reason: String,
    },
}

/// The whole file. What it leaves out is as in [`LimitsConfig::default`].
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsConfig {
    /// A controller changes a team's record no more often than this.
    pub change_every_s: f64,
    /// A transfer moves at least this part of the limit, or all that is lacked.
    pub step: f64,
    /// Room that its waiting work has not taken for so long a controller gives to others: that work waits
    /// for machines.
    pub idle_after_s: f64,
    /// A gang that its team's limit has held up for so long has the room that comes free kept for it.
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

/// A team's amounts by the platform's settings, CPUs and cards, with 0 for none.
#[derive(Debug, Clone, Copy)]
pub struct TeamAmounts<'a> {
    /// The team.
    pub name: &'a str,
    /// What it is guaranteed.
    pub guarantee: (f64, f64),
    /// The most that it may use.
    pub limit: (f64, f64),
}

/// The longest name of a team: its record's key takes three bytes for each of its own, at the most.
const LONGEST_NAME: usize = 60;

/// Refuses teams whose limits cannot be divided or whose guarantees can never be met, by name.
pub fn check_teams<'a>(
    teams: impl Iterator<Item = TeamAmounts<'a>>,
    shown: &str,
) -> Result<(), ConfigError> {
    let mut names = BTreeSet::new();
    for team in teams {
        let problem = problem_of(&team).or_else(|| {
            let is_new = names.insert(team.name);
            (!is_new).then(|| "is named twice".to_owned())
        });
        if let Some(problem) = problem {
            return Err(ConfigError::Invalid {
                path: shown.to_owned(),
                field: "params.teams",
                reason: format!("team `{}` {problem}", team.name),
            });
        }
    }
    Ok(())
}

fn problem_of(team: &TeamAmounts) -> Option<String> {
    if team.name.is_empty() || team.name.len() > LONGEST_NAME {
        return Some(format!("needs a name of 1 to {LONGEST_NAME} bytes"));
    }
    let (limit, guarantee) = (
        Limit::of_settings(team.limit.0, team.limit.1),
        Limit::of_settings(team.guarantee.0, team.guarantee.1),
    );
    let (limit, guarantee) = match (limit, guarantee) {
        (Ok(limit), Ok(guarantee)) => (limit, guarantee),
        (Err(problem), _) => return Some(format!("has a limit of which {problem}")),
        (_, Err(problem)) => return Some(format!("has a guarantee of which {problem}")),
    };
    let over = |guarantee: Option<u64>, limit: Option<u64>| limit.is_some() && guarantee > limit;
    if over(guarantee.cpus, limit.cpus) {
        return Some("is guaranteed more CPUs than its limit".to_owned());
    }
    if over(guarantee.cards, limit.cards) {
        return Some("is guaranteed more cards than its limit".to_owned());
    }
    None
}

/// The longest time that makes sense for either of the two.
const LONGEST_S: f64 = 3600.0;

impl LimitsConfig {
    /// Reads a file and checks it.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: shown.clone(),
            source,
        })?;
        Self::parse(&text, &shown)
    }

    /// Checks a file's text; `shown` names it in messages.
    pub fn parse(text: &str, shown: &str) -> Result<Self, ConfigError> {
        let config: Self = serde_json::from_str(text).map_err(|source| ConfigError::Malformed {
            path: shown.to_owned(),
            source,
        })?;
        let ranges = [
            ("change_every_s", config.change_every_s, 0.05, LONGEST_S),
            ("step", config.step, 0.0, 0.5),
            ("idle_after_s", config.idle_after_s, 0.0, LONGEST_S),
            ("reserve_after_s", config.reserve_after_s, 0.0, LONGEST_S),
        ];
        for (field, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return Err(ConfigError::Invalid {
                    path: shown.to_owned(),
                    field,
                    reason: format!("must be between {least} and {most}, is {value}"),
                });
            }
        }
        Ok(config)
    }

    /// The pause between two changes of a team's record by one controller.
    pub fn change_every(&self) -> Duration {
        Duration::from_secs_f64(self.change_every_s)
    }

    /// How long room may be idle before it is given to others.
    pub fn idle_after(&self) -> Duration {
        Duration::from_secs_f64(self.idle_after_s)
    }

    /// The least that a transfer of a limit's part moves.
    pub fn step_of(&self, limit: Amount) -> Amount {
        let part = |whole: u64| (whole as f64 * self.step) as u64;
        Amount {
            cpus: part(limit.cpus),
            cards: part(limit.cards),
        }
    }
}
