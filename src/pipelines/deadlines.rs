//! Propagates deadlines and urgencies from the last jobs of a pipeline to those before them. In the CVSS paper, tasks are
//! independent and each has its own deadline. In a pipeline, every earlier job can delay the last one, so each has a latest
//! finish time: the last job's deadline less the estimated duration of the longest path from the job to the last one.

use super::{BlockedJob, Pipelines};
use crate::jobs::{JobRecord, Urgency};
use std::collections::HashMap;

const MS_PER_S: f64 = 1000.0;

/// The urgency and latest finish times that a job inherits from the jobs that depend on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InheritedDeadline {
    /// The highest urgency among the dependent jobs.
    pub urgency: Urgency,
    /// Latest finish time at which the dependent jobs can still meet their deadlines, in milliseconds since the epoch.
    pub finish_by_ms: f64,
    /// Latest finish time at which the dependent jobs can still finish in time for their service-level objectives, in
    /// milliseconds since the epoch.
    pub objective_finish_by_ms: f64,
}

impl InheritedDeadline {
    fn tighten(&mut self, other: InheritedDeadline) {
        self.urgency = self.urgency.max(other.urgency);
        self.finish_by_ms = self.finish_by_ms.min(other.finish_by_ms);
        self.objective_finish_by_ms = self
            .objective_finish_by_ms
            .min(other.objective_finish_by_ms);
    }

    fn earlier_by(self, duration_s: f64) -> Self {
        let duration_ms = duration_s * MS_PER_S;
        Self {
            urgency: self.urgency,
            finish_by_ms: self.finish_by_ms - duration_ms,
            objective_finish_by_ms: self.objective_finish_by_ms - duration_ms,
        }
    }
}

/// The urgency and latest finish times of a job's own record. `objective_multiple` is the multiple of the job's deadline
/// within which it still counts in a service-level objective.
fn own_deadline(record: &JobRecord, objective_multiple: f64) -> InheritedDeadline {
    let finish_by_ms = |multiple: f64| match record.spec.deadline_s {
        Some(deadline_s) => record.accepted_ms as f64 + deadline_s * multiple * MS_PER_S,
        None => f64::INFINITY,
    };
    InheritedDeadline {
        urgency: record.spec.urgency,
        finish_by_ms: finish_by_ms(1.0),
        objective_finish_by_ms: finish_by_ms(objective_multiple.max(1.0)),
    }
}

/// Computes what each job inherits from the blocked jobs that depend on it, by job id. The result includes open jobs that
/// blocked jobs depend on. `duration_s` returns the expected time from a job's release to its end. `objective_multiple`
/// returns the multiple of a job's deadline within which it still counts in a service-level objective of its class.
pub fn propagate_deadlines(
    pipelines: &Pipelines,
    duration_s: impl Fn(&JobRecord) -> f64,
    objective_multiple: impl Fn(&JobRecord) -> f64,
) -> HashMap<String, InheritedDeadline> {
    let mut inherited: HashMap<String, InheritedDeadline> = HashMap::new();
    // In reverse topological order: a job is visited after all jobs that depend on it.
    let mut unvisited_dependents = count_dependents(pipelines);
    let counts = unvisited_dependents.iter();
    let last_jobs = counts.filter(|(_, count)| **count == 0);
    let mut next: Vec<&str> = last_jobs.map(|(id, _)| *id).collect();
    while let Some(id) = next.pop() {
        let Some(BlockedJob {
            record, depends_on, ..
        }) = pipelines.get(id)
        else {
            continue;
        };
        let mut deadline = own_deadline(record, objective_multiple(record));
        if let Some(required) = inherited.get(id) {
            deadline.tighten(*required);
        }
        let required = deadline.earlier_by(duration_s(record));
        for dependency in depends_on {
            let tightest = inherited.entry(dependency.clone()).or_insert(required);
            tightest.tighten(required);
            if let Some(count) = unvisited_dependents.get_mut(dependency.as_str()) {
                *count -= 1;
                if *count == 0 {
                    next.push(dependency);
                }
            }
        }
    }
    inherited
}

/// Counts, for each job, the blocked jobs that depend on it directly and are not cancelled.
fn count_dependents(pipelines: &Pipelines) -> HashMap<&str, usize> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    let jobs = pipelines.iter();
    for (id, job) in jobs.filter(|(id, _)| !pipelines.is_cancelled(id)) {
        counts.entry(id).or_default();
        for dependency in &job.depends_on {
            *counts.entry(dependency).or_default() += 1;
        }
    }
    counts
}
