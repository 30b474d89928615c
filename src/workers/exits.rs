//! Records what the exits of tasks teach: run times, deadline misses, and which machines or jobs fail.

use super::agent::AgentStatus;
use super::reconcile::Completion;
use crate::jobs::{JobSpec, TaskId};
use crate::node::{Core, age_s, wall_ms};
use crate::placement::capacity_of;
use crate::placement::snapshot::eligible_machine_types;
use std::time::Instant;

/// From so many jobs with a failed task on, without a completion in between, the machine is at fault.
const FAILED_JOBS_OF_FAULTY_MACHINE: usize = 2;
/// Part of the newest ratio in the smoothed slowness of a machine.
const SLOWNESS_GAIN: f64 = 0.2;
const SLOWNESS_RANGE: (f64, f64) = (0.7, 6.0);
/// Least expected ratio of run time to estimate that a measured one is compared with.
const MIN_EXPECTED_RATIO: f64 = 0.05;

/// Records a completion that the records do not hold yet.
pub fn record_completion(core: &mut Core, status: &mut AgentStatus, completion: &Completion) {
    status.failed_jobs.clear();
    let TaskId { job, index } = &completion.task;
    let Some(job_record) = core.replica.jobs.get(job).map(|job| &job.record) else {
        return;
    };
    let spec = &job_record.spec;
    let age_s = age_s(job_record.accepted_ms, wall_ms());
    let is_late = spec.deadline_s.is_some_and(|deadline_s| age_s > deadline_s);
    // A later attempt may have resumed from a checkpoint.
    let is_first_attempt = core.replica.task_record(job, *index).last_attempt() == 1;
    let run_time_ratio = completion
        .run_time
        .filter(|_| is_first_attempt && spec.estimate_s > 0.0)
        .map(|run_time| run_time.as_secs_f64() / spec.estimate_s);
    let class = spec.class.clone();
    if let Some(share) = machine_share(core, spec) {
        count_completion(core, share, is_late);
    }
    if let Some(ratio) = run_time_ratio {
        learn_run_time(core, status, class, ratio);
    }
}

/// The part of a machine that one task takes.
struct MachineShare {
    machine_type: String,
    /// From 0 to 1.
    share: f64,
}

/// The share of a machine of the type that a job's tasks are counted for.
fn machine_share(core: &Core, spec: &JobSpec) -> Option<MachineShare> {
    let pool = eligible_machine_types(core, spec);
    let machine_type = core.machine_type(pool.first()?)?;
    let share = spec.resources().dominant_share(&capacity_of(machine_type));
    Some(MachineShare {
        machine_type: machine_type.name.clone(),
        share,
    })
}

fn count_completion(core: &mut Core, share: MachineShare, is_late: bool) {
    let MachineShare {
        machine_type,
        share,
    } = share;
    let counts = core
        .scaling
        .completion_counts
        .entry(machine_type)
        .or_default();
    counts.finished += 1;
    counts.finished_work += share;
    counts.late_work += if is_late { share } else { 0.0 };
}

/// Learns the ratio of a measured run time to the job's estimate.
fn learn_run_time(core: &mut Core, status: &mut AgentStatus, class: String, ratio: f64) {
    let estimate = core.runtime_estimates.entry(class).or_default();
    let relative = ratio / estimate.mean().max(MIN_EXPECTED_RATIO);
    let smoothed = status.slowness * (1.0 - SLOWNESS_GAIN) + relative * SLOWNESS_GAIN;
    let (min, max) = SLOWNESS_RANGE;
    status.slowness = smoothed.clamp(min, max);
    estimate.add(ratio);
}

/// Records a failure that the records do not hold yet. A machine on which tasks of several jobs fail is
/// released.
pub fn record_failure(
    core: &mut Core,
    status: &mut AgentStatus,
    machine: &str,
    task: &TaskId,
    now: Instant,
) {
    let failures = core.failures.entry(task.job.clone()).or_default();
    failures.machines.insert(machine.to_owned());
    failures.count += 1;
    failures.last = Some(now);
    if failures.is_job_at_fault() {
        return; // the job is at fault rather than the machine
    }
    status.failed_jobs.insert(task.job.clone());
    if status.failed_jobs.len() >= FAILED_JOBS_OF_FAULTY_MACHINE {
        let reason = "tasks of several jobs failed";
        tracing::info!(machine, reason, "machine quarantined");
        core.scaling.to_drain.push(machine.to_owned());
    }
}
