//! Propagates deadlines and urgencies from later jobs of a pipeline to earlier ones. The paper's tasks stand alone, and
//! a deadline is each one's own. Here the last job's deadline is met or missed by all before it, so each of them has
//! a latest finish: the deadline less the estimated longest path behind it.

use super::{BlockedJob, Pipelines};
use crate::jobs::{JobRecord, Urgency};
use std::collections::HashMap;

const MS_PER_S: f64 = 1000.0;

/// What the jobs that depend on one ask of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InheritedDeadline {
    /// The highest urgency among them.
    pub urgency: Urgency,
    /// When the job must be done at the latest for their deadlines to be kept, in milliseconds since the epoch.
    pub finish_by_ms: f64,
    /// The same for the latest time at which their service-level objectives still count them.
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

/// What a job's own record asks. `multiple` is how many times its deadline an objective still counts.
fn own_deadline(record: &JobRecord, multiple: f64) -> InheritedDeadline {
    let finish_by_ms = |multiple: f64| match record.spec.deadline_s {
        Some(deadline_s) => record.accepted_ms as f64 + deadline_s * multiple * MS_PER_S,
        None => f64::INFINITY,
    };
    InheritedDeadline {
        urgency: record.spec.urgency,
        finish_by_ms: finish_by_ms(1.0),
        objective_finish_by_ms: finish_by_ms(multiple.max(1.0)),
    }
}

/// What the blocked jobs ask of those that they depend on, by job, blocked or not. `duration_s` is a job's
/// expected time from its release to its end; `objective_multiple` how many times its deadline an objective of its
/// class still counts.
pub fn propagate_deadlines(
    pipelines: &Pipelines,
    duration_s: impl Fn(&JobRecord) -> f64,
    objective_multiple: impl Fn(&JobRecord) -> f64,
) -> HashMap<String, InheritedDeadline> {
    let mut inherited: HashMap<String, InheritedDeadline> = HashMap::new();
    // In topological order from the last jobs on: a job is visited after all that depend on it.
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
        if let Some(asked) = inherited.get(id) {
            deadline.tighten(*asked);
        }
        let asked = deadline.earlier_by(duration_s(record));
        for dependency in depends_on {
            let tightest = inherited.entry(dependency.clone()).or_insert(asked);
            tightest.tighten(asked);
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

/// How many blocked jobs that are not cancelled depend on each job.
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
