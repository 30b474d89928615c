//! The CPUs that the running tasks of each team use, checked against the teams' limits at each start of a task.

use crate::history::job_of;
use std::collections::{BTreeMap, HashMap};

/// The tasks of a team use more CPUs than its limit.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{task} raises the usage of team {team} to {used} thousandths of a CPU, above its limit of {limit}"
)]
pub struct OverLimit {
    /// The task whose start exceeded the limit.
    pub task: String,
    /// Its team.
    pub team: String,
    /// The team's usage including the task, in thousandths of a CPU.
    pub used: u64,
    /// The team's limit, in thousandths of a CPU.
    pub limit: u64,
}

/// A team's limit and usage, in thousandths of a CPU.
#[derive(Debug, Clone, Default)]
struct Team {
    limit: Option<u64>,
    used: u64,
    peak: u64,
}

/// A submitted job.
#[derive(Debug, Clone)]
struct Job {
    team: String,
    /// Thousandths of a CPU that a task uses.
    task_millicpus: u64,
}

/// The teams' limits and usage.
#[derive(Debug, Default)]
pub struct QuotaMonitor {
    teams: BTreeMap<String, Team>,
    jobs: HashMap<String, Job>,
}

impl QuotaMonitor {
    /// Sets a team's limit, in thousandths of a CPU.
    pub fn set_limit(&mut self, team: &str, millicpus: u64) {
        self.teams.entry(team.to_owned()).or_default().limit = Some(millicpus);
    }

    /// Records a job of a team, each task of which uses this many thousandths of a CPU. Tasks of jobs that were not
    /// recorded are ignored.
    pub fn record_job(&mut self, job: &str, team: &str, task_millicpus: u64) {
        let team = team.to_owned();
        let recorded = Job {
            team,
            task_millicpus,
        };
        self.jobs.insert(job.to_owned(), recorded);
    }

    /// Records that a machine starts a task.
    ///
    /// # Errors
    /// If the team's usage including the task exceeds its limit. The task still counts as running.
    pub fn record_start(&mut self, task: &str) -> Result<(), OverLimit> {
        let Some(job) = self.jobs.get(job_of(task)) else {
            return Ok(());
        };
        let team = self.teams.entry(job.team.clone()).or_default();
        team.used += job.task_millicpus;
        team.peak = team.peak.max(team.used);
        match team.limit {
            Some(limit) if team.used > limit => Err(OverLimit {
                task: task.to_owned(),
                team: job.team.clone(),
                used: team.used,
                limit,
            }),
            _ => Ok(()),
        }
    }

    /// Records that a started task no longer runs.
    pub fn record_end(&mut self, task: &str) {
        if let Some(job) = self.jobs.get(job_of(task))
            && let Some(team) = self.teams.get_mut(&job.team)
        {
            team.used -= job.task_millicpus;
        }
    }

    /// The maximum usage of a team so far, in thousandths of a CPU.
    pub fn peak_usage(&self, team: &str) -> u64 {
        self.teams.get(team).map_or(0, |team| team.peak)
    }
}

#[cfg(test)]
mod tests;
