//! Deadlines and urgencies that jobs inherit from the jobs that depend on them, kept between scheduling
//! cycles: propagating them walks all pipelines.

use super::MIN_FETCH_GB_PER_S;
use super::snapshot::eligible_machine_types;
use crate::jobs::{JobRecord, JobSpec};
use crate::node::{Core, Node};
use crate::pipelines::deadlines::{InheritedDeadline, propagate_deadlines};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Without a change of the pipelines, deadlines are propagated this often, with the run times learned
/// meanwhile.
const REFRESH_INTERVAL: Duration = Duration::from_secs(3);

/// Recording a task's start and its end, in seconds.
const RECORDING_S: f64 = 1.0;

/// What jobs inherit from the jobs that depend on them.
#[derive(Debug, Default)]
pub struct InheritedDeadlines {
    by_job: HashMap<String, InheritedDeadline>,
    computed: Option<Computation>,
}

/// From what and when the deadlines were propagated.
#[derive(Debug, Clone, Copy)]
struct Computation {
    pipelines_version: u64,
    at: Instant,
}

impl Computation {
    fn is_current(&self, pipelines_version: u64, now: Instant) -> bool {
        self.pipelines_version == pipelines_version
            && now.saturating_duration_since(self.at) < REFRESH_INTERVAL
    }
}

impl InheritedDeadlines {
    /// What a job inherits, if other jobs depend on it.
    pub(super) fn of(&self, job: &str) -> Option<&InheritedDeadline> {
        self.by_job.get(job)
    }
}

/// Propagates deadlines if the pipelines changed or the last time is `REFRESH_INTERVAL` ago.
pub(super) fn refresh(node: &Node, core: &mut Core, now: Instant) {
    let pipelines_version = core.replica.pipelines.version;
    let computed = core.snapshots.inherited_deadlines.computed;
    if computed.is_some_and(|c| c.is_current(pipelines_version, now)) {
        return;
    }
    // How many times its deadline a job may take to count in an objective of its class.
    let objective_multiple = |record: &JobRecord| {
        let objectives = node.settings.params.objectives.iter();
        let of_class = objectives.filter(|o| o.class == record.spec.class);
        of_class.filter_map(|o| o.times).fold(1.0, f64::max)
    };
    let turnaround_s = |record: &JobRecord| expected_turnaround_s(node, core, &record.spec);
    let by_job = propagate_deadlines(&core.replica.pipelines, turnaround_s, objective_multiple);
    core.snapshots.inherited_deadlines = InheritedDeadlines {
        by_job,
        computed: Some(Computation {
            pipelines_version,
            at: now,
        }),
    };
}

/// Seconds from a job's release to its end where capacity is free: the command is sent with a heartbeat's
/// response, the image is fetched, the task runs, and its end is recorded.
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
