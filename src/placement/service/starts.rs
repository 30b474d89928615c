//! Plans the starts that packing chose: gives each an attempt number and adds it to the changes to be
//! recorded. No task starts before its record is written.

use crate::jobs::{TaskId, TaskRecord};
use crate::limits;
use crate::metrics::{CpuAccount, CyclePhase};
use crate::node::{Core, Node};
use crate::placement::machine_tasks::spec_of;
use crate::placement::snapshot::ClusterSnapshot;
use crate::placement::{Start, packing};
use std::collections::{HashMap, HashSet};

/// Maximum number of tasks started in a cycle.
const MAX_STARTS: usize = 400;

/// Packs waiting tasks onto free capacity and plans their starts. Returns the jobs that must wait.
pub(super) fn plan_starts(
    node: &Node,
    core: &mut Core,
    snapshot: &mut ClusterSnapshot,
) -> Vec<packing::Unplaced> {
    let placement = {
        let _charge = node.processor_time.charge(CpuAccount::Placement);
        let _timer = node.phase_times.start(CyclePhase::Packing);
        let limits = packing::PackingLimits {
            headroom: &snapshot.headroom,
            reservation_delay_s: core.limits.reservation_delay_s(),
        };
        packing::pack(
            &snapshot.jobs,
            &mut snapshot.machines,
            limits,
            node.policy.startup_count,
            MAX_STARTS,
        )
    };
    let _charge = node.processor_time.charge(CpuAccount::Planning);
    let _timer = node.phase_times.start(CyclePhase::StartPlanning);
    core.metrics.machines_examined += placement.machines_examined;
    core.metrics.slots_examined += placement.slots_examined;
    core.metrics.task_starts += placement.starts.len() as u64;
    let blocked = placement
        .quota_blocked_gangs
        .iter()
        .map(|job| snapshot.jobs[*job].id.clone());
    limits::record_blocked_gangs(core, blocked.collect());
    plan_all(core, snapshot, &placement.starts);
    placement.unplaced
}

fn plan_all(core: &mut Core, snapshot: &ClusterSnapshot, starts: &[Start]) {
    let without_worker = jobs_without_worker(core, snapshot, starts);
    let gang_attempts = gang_attempts(core, snapshot, starts);
    core.pending_changes
        .rank_starts(starts.iter().map(|s| snapshot.jobs[s.job].id.as_str()));
    for start in starts {
        if without_worker.contains(&start.job) {
            continue;
        }
        let id = TaskId::new(&snapshot.jobs[start.job].id, start.task);
        let attempt = match gang_attempts.get(&start.job) {
            Some(attempt) => *attempt,
            None => next_attempt(core, &id.job, std::iter::once(id.index)),
        };
        plan_start(core, &id, attempt, &snapshot.machines[start.machine].name);
    }
}

/// Jobs with a start on a machine whose worker is not connected. None of their tasks starts in this cycle,
/// since a gang starts as a whole or not at all.
fn jobs_without_worker(
    core: &Core,
    snapshot: &ClusterSnapshot,
    starts: &[Start],
) -> HashSet<usize> {
    let has_worker = |start: &&Start| {
        let machine = &snapshot.machines[start.machine];
        core.workers.agents.contains_key(&*machine.name)
    };
    let without = starts.iter().filter(|start| !has_worker(start));
    without.map(|start| start.job).collect()
}

/// Per gang, the number of the attempt that starts now. All tasks of a gang share one attempt number, by
/// which they find one another.
fn gang_attempts(core: &Core, snapshot: &ClusterSnapshot, starts: &[Start]) -> HashMap<usize, u64> {
    let mut attempts = HashMap::new();
    for start in starts {
        let job = &snapshot.jobs[start.job];
        if job.gang {
            attempts
                .entry(start.job)
                .or_insert_with(|| next_attempt(core, &job.id, job.waiting.iter()));
        }
    }
    attempts
}

/// The next attempt number: greater than those of all attempts of these tasks and than
/// `JobRecord::attempt_floor`.
fn next_attempt(core: &Core, job: &str, tasks: impl Iterator<Item = u32>) -> u64 {
    let last_attempts = tasks.map(|task| core.task_record(job, task).last_attempt());
    let floor = core.replica.jobs.get(job);
    let floor = floor.map_or(0, |job| job.record.attempt_floor());
    last_attempts.max().unwrap_or(0).max(floor) + 1
}

/// Adds a start to the changes to be recorded, and its image to those that the machine will have. Does
/// nothing if the job or the machine's worker is gone.
fn plan_start(core: &mut Core, id: &TaskId, attempt: u64, machine: &str) {
    let Some(spec) = spec_of(core, &id.job) else {
        return;
    };
    let (image, image_gb) = (spec.image.clone(), spec.image_gb);
    let Some(worker) = core.workers.agents.get_mut(machine) else {
        return;
    };
    let incarnation = worker.latest_heartbeat.incarnation;
    let machine_type = core
        .machine_types
        .iter()
        .find(|t| t.name == worker.latest_heartbeat.machine_type);
    worker.record_image_use(&image, image_gb, machine_type.map_or(0.0, |t| t.cache_gb));
    let started = TaskRecord::Placed {
        attempt,
        machine: machine.to_owned(),
        incarnation,
    };
    core.record_change(id, started);
}
