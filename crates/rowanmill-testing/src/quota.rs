//! What the teams' tasks use at each instant, by what the machines run, against the teams' limits.

use crate::history::job_of;
use std::collections::{BTreeMap, HashMap};

/// A team's tasks use more than its limit.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("with {task} team {team} uses {used} of {limit} thousandths of a CPU")]
pub struct OverLimit {
    /// The task that was one too many.
    pub task: String,
    /// Its team.
    pub team: String,
    /// What the team uses with it.
    pub used: u64,
    /// The team's limit.
    pub limit: u64,
}

#[derive(Debug, Clone, Default)]
struct Team {
    limit: Option<u64>,
    used: u64,
    most: u64,
}

/// The teams' limits and uses, in thousandths of a CPU.
#[derive(Debug, Default)]
pub struct Quota {
    teams: BTreeMap<String, Team>,
    /// Each job's team, and what a task of it takes.
    jobs: HashMap<String, (String, u64)>,
}

impl Quota {
    /// A team has this limit from now on.
    pub fn limit(&mut self, team: &str, cpus: u64) {
        self.teams.entry(team.to_owned()).or_default().limit = Some(cpus);
    }

    /// A job of a team, each task of which takes so much.
    pub fn submit(&mut self, job: &str, team: &str, cpus: u64) {
        self.jobs.insert(job.to_owned(), (team.to_owned(), cpus));
    }

    /// A machine began to run a task.
    pub fn start(&mut self, task: &str) -> Result<(), OverLimit> {
        let Some((name, cpus)) = self.jobs.get(job_of(task)) else {
            return Ok(());
        };
        let team = self.teams.entry(name.clone()).or_default();
        team.used += cpus;
        team.most = team.most.max(team.used);
        match team.limit {
            Some(limit) if team.used > limit => Err(OverLimit {
                task: task.to_owned(),
                team: name.clone(),
                used: team.used,
                limit,
            }),
            _ => Ok(()),
        }
    }

    /// A task is on its machine no longer.
    pub fn leave(&mut self, task: &str) {
        if let Some((name, cpus)) = self.jobs.get(job_of(task))
            && let Some(team) = self.teams.get_mut(name)
        {
            team.used -= cpus;
        }
    }

    /// The most that a team's tasks used at a time.
    pub fn most(&self, team: &str) -> u64 {
        self.teams.get(team).map_or(0, |team| team.most)
    }
}

#[cfg(test)]
mod tests;
