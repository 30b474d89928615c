//! The times at which a waiting job's tasks should start or finish. They follow from the job's own deadline,
//! from those of the jobs that depend on it, and from the service-level objectives of its class.

use super::Milestone;
use crate::jobs::{JobRecord, JobSpec, Urgency};
use crate::membership::assignment::job_id_hash;
use crate::node::{Core, Node};
use crate::policy::JobFacts;
use crate::settings::ObjectiveKind;

/// A milestone and the time at which it is due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DueTime {
    /// Seconds after the job's arrival (its submission, or its release by its dependencies).
    pub after_arrival_s: f64,
    /// The milestone that is due then.
    pub milestone: Milestone,
}

impl DueTime {
    const fn start(after_arrival_s: f64) -> Self {
        Self {
            after_arrival_s,
            milestone: Milestone::Start,
        }
    }

    const fn finish(after_arrival_s: f64) -> Self {
        Self {
            after_arrival_s,
            milestone: Milestone::Finish,
        }
    }

    /// Whether a job of this age and expected run time, both in seconds, can still meet the due time.
    fn is_attainable(&self, age_s: f64, expected_s: f64) -> bool {
        match self.milestone {
            Milestone::Start => age_s <= self.after_arrival_s,
            Milestone::Finish => age_s + expected_s <= self.after_arrival_s,
        }
    }
}

/// The earliest due time that a job of this age can still meet. A job that has missed all its due times is
/// treated like one that never had any: it is due to start after a multiple of its expected run time. If it kept
/// a due time that has passed, it would precede work that can still be in time.
pub fn earliest_due_time(node: &Node, core: &Core, record: &JobRecord, age_s: f64) -> DueTime {
    attainable_due_times(node, core, record, age_s)[0]
}

/// The higher of a job's own urgency and the urgency that it inherits from the jobs that depend on it.
pub fn effective_urgency(core: &Core, spec: &JobSpec) -> Urgency {
    let inherited = core.snapshots.inherited_deadlines.of(&spec.id);
    inherited.map_or(spec.urgency, |i| i.urgency.max(spec.urgency))
}

/// All due times that a job of this age can still meet, the earliest first; never empty.
pub(super) fn attainable_due_times(
    node: &Node,
    core: &Core,
    record: &JobRecord,
    age_s: f64,
) -> Vec<DueTime> {
    let spec = &record.spec;
    let expected_s = core.expected_run_time_s(spec);
    let mut due_times = Vec::new();
    add_deadlines(core, record, &mut due_times);
    add_objectives(node, record, &mut due_times);
    due_times.retain(|due| due.is_attainable(age_s, expected_s));
    due_times.sort_by(|a, b| a.after_arrival_s.total_cmp(&b.after_arrival_s));
    if due_times.is_empty() {
        let after_arrival_s = expected_s * start_within_factor(node, spec);
        due_times.push(DueTime::start(after_arrival_s));
    }
    due_times
}

/// Adds the job's own deadline, and the times by which it must finish for the jobs that depend on it to be in
/// time.
fn add_deadlines(core: &Core, record: &JobRecord, due_times: &mut Vec<DueTime>) {
    due_times.extend(record.deadline_s().map(DueTime::finish));
    let Some(inherited) = core.snapshots.inherited_deadlines.of(&record.spec.id) else {
        return;
    };
    for at_ms in [inherited.finish_by_ms, inherited.objective_finish_by_ms] {
        if at_ms.is_finite() {
            let after_arrival_s = (at_ms - record.eligible_since_ms() as f64) / 1000.0;
            due_times.push(DueTime::finish(after_arrival_s));
        }
    }
}

/// Adds the service-level objectives of the job's class.
fn add_objectives(node: &Node, record: &JobRecord, due_times: &mut Vec<DueTime>) {
    let spec = &record.spec;
    let objectives = node.settings.params.objectives.iter();
    for objective in objectives.filter(|o| o.class == spec.class) {
        match (&objective.kind, objective.within_s, objective.times) {
            (ObjectiveKind::Start, Some(within_s), _) => due_times.push(DueTime::start(within_s)),
            (ObjectiveKind::Finish, Some(within_s), _) => {
                due_times.push(DueTime::finish(within_s));
            }
            (ObjectiveKind::Deadline, _, Some(times)) => {
                // `times` multiplies the whole deadline, which counts from the submission. `left_s` counts from the
                // release.
                if let (Some(left_s), Some(whole_s)) = (record.deadline_s(), spec.deadline_s) {
                    due_times.push(DueTime::finish(left_s + whole_s * (times - 1.0)));
                }
            }
            _ => {}
        }
    }
}

/// The time from its arrival within which a job without due times should start, by the policy, as a multiple of
/// its expected run time.
fn start_within_factor(node: &Node, spec: &JobSpec) -> f64 {
    node.policy.start_within_factor(&JobFacts {
        class: &spec.class,
        urgency: spec.urgency.name(),
        tasks: f64::from(spec.tasks),
        estimate: spec.estimate_s,
    })
}

/// The shortest starvation limit: a job with no started task precedes all others this many seconds after its
/// arrival, whatever the objectives of its class. Urgency and due times order the other jobs, and this limit
/// keeps any of them from starving.
const STARVATION_LIMIT_S: f64 = 190.0;
/// Under lasting overload every job would exceed its starvation limit in the end, and if such jobs always went
/// first, none would be in time. Therefore only one in two of the largest jobs of a class, and one in four of
/// its other jobs, has the limit above. The remaining jobs have a multiple of it, up to this many times.
const STARVATION_MULTIPLES_OF_LARGEST: usize = 2;
const STARVATION_MULTIPLES_OF_OTHERS: usize = 4;
/// A job counts among the largest of its class if its size is at least this fraction of that of the largest one.
const LARGEST_FRACTION: f64 = 0.5;

/// Seconds after its arrival from which a job with no started task precedes all others. `size` is the dominant
/// share of a task times the number of tasks, and `largest_size` is the size of the largest job of the class.
pub(super) fn starvation_limit_s(spec: &JobSpec, size: f64, largest_size: f64) -> f64 {
    let multiples = if size >= largest_size * LARGEST_FRACTION {
        STARVATION_MULTIPLES_OF_LARGEST
    } else {
        STARVATION_MULTIPLES_OF_OTHERS
    };
    STARVATION_LIMIT_S * (1 + job_id_hash(&spec.id) % multiples) as f64
}
