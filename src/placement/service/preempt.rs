//! Evicts tasks for jobs of higher urgency, or of teams within their guaranteed quota, that would otherwise
//! start too late, and reserves the cleared machines. `placement::preemption` chooses the tasks.

use super::evictions::evict;
use crate::jobs::{JobSpec, TaskId, TaskRecord, Urgency};
use crate::node::{Core, Node};
use crate::placement::Resources;
use crate::placement::due_times::effective_urgency;
use crate::placement::machine_snapshot::STOP_S;
use crate::placement::machine_tasks::tasks_on;
use crate::placement::packing::Unplaced;
use crate::placement::preemption::{PreemptionInput, RunningTask, plan_preemption};
use crate::placement::snapshot::ClusterSnapshot;
use crate::placement::team_usage::{exceeds_guarantee, team_usage};
use crate::workers::TaskAttempt;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Once a cycle has cleared capacity on this many machines, it preempts tasks for no further job.
const MAX_CLEARED_MACHINES: usize = 24;

/// The grace period of a preempted task that saves a checkpoint is its expected time for saving, times
/// `SAVE_GRACE_FACTOR`, plus `SAVE_GRACE_MARGIN_S`.
const SAVE_GRACE_FACTOR: f64 = 1.5;
const SAVE_GRACE_MARGIN_S: f64 = 1.0;

/// Plans evictions so that unplaced jobs of the snapshot start in time.
pub(super) fn preempt(
    node: &Node,
    core: &mut Core,
    snapshot: &ClusterSnapshot,
    unplaced: &[Unplaced],
    now: Instant,
) {
    log_reservations(snapshot, unplaced);
    let preempting = jobs_that_may_preempt(core, snapshot, unplaced);
    if preempting.is_empty() {
        return;
    }
    let usage = team_usage(node, core);
    let tasks = RunningTasks {
        node,
        core,
        usage: &usage,
        now,
    };
    let plan = plan_preemption(&PreemptionInput {
        jobs: &snapshot.jobs,
        requests: &snapshot.preemption_requests,
        unplaced: &preempting,
        machines: &snapshot.machines,
        running_tasks: &|machine| tasks.on_machine(machine),
        eviction_takes_s: STOP_S + node.settings.params.workers.report_s,
        max_machines: MAX_CLEARED_MACHINES,
    });
    for eviction in plan.evictions {
        let TaskId { job, index } = &eviction.task;
        tracing::debug!(job, task = index, "task preempted");
        evict(core, eviction);
    }
    let reserved_until = now + reservation_time(node);
    for cleared in plan.cleared {
        let machines = cleared.machines.iter();
        let names = machines.map(|m| snapshot.machines[*m].name.clone());
        let job = &snapshot.jobs[cleared.job].id;
        core.snapshots
            .reserve_for(job, names.collect(), reserved_until);
    }
}

fn log_reservations(snapshot: &ClusterSnapshot, unplaced: &[Unplaced]) {
    for waiting in unplaced.iter().filter(|u| u.reserved) {
        let job = &snapshot.jobs[waiting.job];
        let (tasks, start) = (job.waiting.len(), waiting.start);
        tracing::debug!(
            job = job.id,
            tasks,
            start,
            due = job.due,
            "capacity reserved"
        );
    }
}

/// The unplaced jobs that belong to a team within its guaranteed quota or are more urgent than some
/// running job.
fn jobs_that_may_preempt(
    core: &Core,
    snapshot: &ClusterSnapshot,
    unplaced: &[Unplaced],
) -> Vec<Unplaced> {
    let running = core.replica.jobs.values().filter(|j| j.placed > 0);
    let lowest_running = running
        .map(|j| effective_urgency(core, &j.record.spec))
        .min()
        .unwrap_or(Urgency::Critical);
    let may_preempt = |waiting: &&Unplaced| {
        let request = &snapshot.preemption_requests[waiting.job];
        request.guaranteed || request.urgency > lowest_running
    };
    unplaced.iter().filter(may_preempt).cloned().collect()
}

/// How long machines are reserved for the job for which they are cleared. The stop command is sent with the
/// response to a heartbeat, the exit is reported by the next one, and saving takes time in between. A fixed
/// 10 s was too short at a heartbeat interval of 4 s: the machines were filled again just before the last of
/// them was free and had to be cleared again, up to nine times for one gang.
fn reservation_time(node: &Node) -> Duration {
    node.settings.heartbeat_interval() * 3 + Duration::from_secs(5)
}

/// Looks up the tasks on machines as input for preemption.
struct RunningTasks<'a> {
    node: &'a Node,
    core: &'a Core,
    /// The resources that each team uses.
    usage: &'a HashMap<String, Resources>,
    now: Instant,
}

impl RunningTasks<'_> {
    /// The tasks of unfinished jobs on a machine; empty if its worker is not connected.
    fn on_machine(&self, machine: &str) -> Vec<RunningTask> {
        let core = self.core;
        let Some(worker) = core.workers.agents.get(machine) else {
            return Vec::new();
        };
        let mut running = Vec::new();
        for id in tasks_on(core, machine) {
            let id = id.into_owned();
            let Some(job) = core.replica.jobs.get(&id.job) else {
                continue;
            };
            let spec = &job.record.spec;
            let TaskRecord::Placed { attempt, .. } = *core.task_record(&id.job, id.index) else {
                continue;
            };
            let ran = worker.attempts.running_for(&id, self.now);
            let ran_s = ran.map_or(0.0, |ran| ran.as_secs_f64());
            running.push(RunningTask {
                attempt,
                resources: spec.resources(),
                urgency: effective_urgency(core, spec),
                borrowing: self.is_borrowing(&spec.team),
                lost_s: lost_work_s(spec, ran_s),
                grace_s: grace_s(spec),
                not_preemptible: self.is_being_stopped(&id, attempt)
                    || (spec.is_gang() && spec.tasks > 1),
                id,
            });
        }
        running
    }

    fn is_being_stopped(&self, task: &TaskId, attempt: u64) -> bool {
        let stopped = TaskAttempt {
            task: task.clone(),
            attempt,
        };
        self.core.workers.pending_stops.contains_key(&stopped)
    }

    /// Whether a team uses more than its guaranteed quota.
    fn is_borrowing(&self, team: &str) -> bool {
        let mut teams = self.node.settings.params.teams.iter();
        let settings = teams.find(|t| t.name == team);
        let usage = self.usage.get(team).copied().unwrap_or_default();
        settings.is_some_and(|t| exceeds_guarantee(t, &usage))
    }
}

fn can_save(spec: &JobSpec) -> bool {
    spec.checkpoint_interval_s > 0.0
}

/// Seconds of work that are lost if a task that ran for `ran_s` seconds is preempted.
fn lost_work_s(spec: &JobSpec, ran_s: f64) -> f64 {
    if can_save(spec) {
        spec.checkpoint_write_s
    } else {
        ran_s
    }
}

/// Seconds that a preempted task gets for saving.
fn grace_s(spec: &JobSpec) -> f64 {
    if can_save(spec) {
        spec.checkpoint_write_s * SAVE_GRACE_FACTOR + SAVE_GRACE_MARGIN_S
    } else {
        0.0
    }
}
