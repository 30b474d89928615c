//! What later jobs of a pipeline ask of earlier ones: the paper's tasks stand alone, and a deadline
//! is each one's own. Here the last job's deadline is met or missed by all before it, so each of them
//! has a latest finish: the deadline less the estimated longest path behind it.

use super::Pipelines;
use crate::jobs::{JobRecord, Urgency};
use std::collections::HashMap;

/// What the jobs that need one ask of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pull {
    /// The highest urgency among them.
    pub urgency: Urgency,
    /// When it must be done at the latest, in milliseconds since the epoch, for the deadlines to be
    /// kept, and for the latest time at which their aims still count them.
    pub finish_ms: f64,
    pub late_ms: f64,
}

impl Pull {
    fn tighten(&mut self, other: Pull) {
        self.urgency = self.urgency.max(other.urgency);
        self.finish_ms = self.finish_ms.min(other.finish_ms);
        self.late_ms = self.late_ms.min(other.late_ms);
    }
}

/// By job, waiting or not, what those that wait for it ask. `takes_s` is a job's expected time from
/// its release to its end; `times` how many times its deadline an aim of its class still counts.
pub fn pulls(
    pipelines: &Pipelines,
    takes_s: impl Fn(&JobRecord) -> f64,
    times: impl Fn(&JobRecord) -> f64,
) -> HashMap<String, Pull> {
    let mut pulls: HashMap<String, Pull> = HashMap::new();
    // How many that wait for each are still to be worked out; the last jobs come first.
    let mut left: HashMap<&str, usize> = HashMap::new();
    for (id, held) in pipelines.all().filter(|(id, _)| !pipelines.is_doomed(id)) {
        left.entry(id).or_default();
        for other in &held.awaits {
            *left.entry(other).or_default() += 1;
        }
    }
    let mut next: Vec<&str> = left
        .iter()
        .filter(|(_, count)| **count == 0)
        .map(|(id, _)| *id)
        .collect();
    while let Some(id) = next.pop() {
        let Some(held) = pipelines.get(id) else {
            continue;
        };
        let record = &held.record;
        let due = |times: f64| match record.spec.deadline_s {
            Some(due) => record.accepted_ms as f64 + due * times * 1000.0,
            None => f64::INFINITY,
        };
        let mut own = Pull {
            urgency: record.spec.urgency,
            finish_ms: due(1.0),
            late_ms: due(times(record).max(1.0)),
        };
        if let Some(asked) = pulls.get(id) {
            own.tighten(*asked);
        }
        let takes_ms = takes_s(record) * 1000.0;
        let before = Pull {
            urgency: own.urgency,
            finish_ms: own.finish_ms - takes_ms,
            late_ms: own.late_ms - takes_ms,
        };
        for other in &held.awaits {
            let pull = pulls.entry(other.clone()).or_insert(before);
            pull.tighten(before);
            if let Some(count) = left.get_mut(other.as_str()) {
                *count -= 1;
                if *count == 0 {
                    next.push(other);
                }
            }
        }
    }
    pulls
}
