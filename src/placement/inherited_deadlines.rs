//! Deadlines and urgencies that jobs inherit from the jobs that depend on them. They are kept between scheduling
//! cycles, because propagating them visits all pipelines.

use super::MIN_FETCH_GB_PER_S;
use super::snapshot::eligible_machine_types;
use crate::jobs::{JobRecord, JobSpec};
use crate::node::{Core, Node};
use crate::pipelines::deadlines::{InheritedDeadline, propagate_deadlines};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// While the pipelines do not change, deadlines are propagated again at this interval, to apply the latest
/// estimates of run times.
const REFRESH_INTERVAL: Duration = Duration::from_secs(3);

/// Seconds that recording a task's start and its end takes.
const RECORDING_S: f64 = 1.0;

/// The deadlines and urgencies that jobs inherit from the jobs that depend on them.
#[derive(Debug, Default)]
pub struct InheritedDeadlines {
    by_job: HashMap<String, InheritedDeadline>,
    last_propagation: Option<Propagation>,
}

/// The time at which the deadlines were propagated, and the version of the pipelines that was used.
#[derive(Debug, Clone, Copy)]
struct Propagation {
    pipelines_version: u64,
    at: Instant,
}

impl Propagation {
    fn is_current(&self, pipelines_version: u64, now: Instant) -> bool {
        self.pipelines_version == pipelines_version
            && now.saturating_duration_since(self.at) < REFRESH_INTERVAL
    }
}

impl InheritedDeadlines {
    /// What the job inherits, if other jobs depend on it.
    pub(super) fn of(&self, job: &str) -> Option<&InheritedDeadline> {
        self.by_job.get(job)
    }
}

/// Propagates the deadlines if the pipelines have changed since the last propagation, or if it was at least
/// `REFRESH_INTERVAL` ago.
pub(super) fn refresh(node: &Node, core: &mut Core, now: Instant) {
    let pipelines_version = core.replica.pipelines.version;
    let last_propagation = core.snapshots.inherited_deadlines.last_propagation;
    if last_propagation.is_some_and(|last| last.is_current(pipelines_version, now)) {
        return;
    }
    // The largest multiple of its deadline within which a job still meets an objective of its class, at least 1.
    let objective_multiple = |record: &JobRecord| {
        let objectives = node.settings.params.objectives.iter();
        let of_class = objectives.filter(|o| o.class == record.spec.class);
        of_class.filter_map(|o| o.times).fold(1.0, f64::max)
    };
    let turnaround_s = |record: &JobRecord| expected_turnaround_s(node, core, &record.spec);
    let by_job = propagate_deadlines(&core.replica.pipelines, turnaround_s, objective_multiple);
    core.snapshots.inherited_deadlines = InheritedDeadlines {
        by_job,
        last_propagation: Some(Propagation {
            pipelines_version,
            at: now,
        }),
    };
}

/// Expected seconds from a job's release to its end if capacity is free. In this time the start command is sent
/// with the response to a heartbeat, the image is fetched, the task runs, and its start and end are recorded.
fn expected_turnaround_s(node: &Node, core: &Core, spec: &JobSpec) -> f64 {
    let machine_types = eligible_machine_types(core, spec);
    let cheapest = machine_types
        .first()
        .and_then(|name| core.machine_type(name));
    let fetch_gb_per_s =
        cheapest.map_or(f64::INFINITY, |t| t.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S));
    // Half a heartbeat interval is the mean wait for the next heartbeat.
    let command_s = node.settings.params.workers.report_s * 0.5 + RECORDING_S;
    command_s + spec.image_gb / fetch_gb_per_s + core.expected_run_time_s(spec)
}
