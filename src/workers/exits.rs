//! Updates statistics from the exits of tasks: run times, missed deadlines, and failures by machine and by job.

use super::agent::AgentStatus;
use super::reconcile::Completion;
use crate::jobs::{JobSpec, TaskId};
use crate::node::{Core, age_s, wall_ms};
use crate::placement::capacity_of;
use crate::placement::snapshot::eligible_machine_types;
use std::time::Instant;

/// Number of different jobs whose tasks fail on a machine, without a completion in between, from which the machine is
/// considered faulty.
const FAULTY_MACHINE_MIN_FAILED_JOBS: usize = 2;
/// Weight of the newest ratio in a machine's exponentially smoothed slowness.
const SLOWNESS_GAIN: f64 = 0.2;
/// Lower and upper bound of a machine's slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.7, 6.0);
/// Lower bound on the expected ratio of run time to estimate, by which a measured ratio is divided.
const MIN_EXPECTED_RATIO: f64 = 0.05;

/// Updates the statistics with a completion that is not recorded yet.
pub fn record_completion(core: &mut Core, status: &mut AgentStatus, completion: &Completion) {
    status.failed_jobs.clear();
    let TaskId { job, index } = &completion.task;
    let Some(job_record) = core.replica.jobs.get(job).map(|job| &job.record) else {
        return;
    };
    let spec = &job_record.spec;
    let age_s = age_s(job_record.accepted_ms, wall_ms());
    let is_late = spec.deadline_s.is_some_and(|deadline_s| age_s > deadline_s);
    // The run time of a later attempt is not comparable: the task may have resumed from a checkpoint.
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
        update_run_time_estimate(core, status, class, ratio);
    }
}

/// The share of a machine's resources that one task uses.
struct MachineShare {
    machine_type: String,
    /// From 0 to 1.
    share: f64,
}

/// The share of a machine of the cheapest eligible type that one task of the job uses. Completions of the job count for
/// that type.
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

/// Updates the run time estimate of a job's class and the machine's slowness with `ratio`, a measured run time divided by
/// the job's own estimate.
fn update_run_time_estimate(core: &mut Core, status: &mut AgentStatus, class: String, ratio: f64) {
    let estimate = core.runtime_estimates.entry(class).or_default();
    let relative = ratio / estimate.mean().max(MIN_EXPECTED_RATIO);
    let smoothed = status.slowness * (1.0 - SLOWNESS_GAIN) + relative * SLOWNESS_GAIN;
    let (min, max) = SLOWNESS_RANGE;
    status.slowness = smoothed.clamp(min, max);
    estimate.add(ratio);
}

/// Counts a failure that is not recorded yet. A machine on which tasks of several jobs have failed is drained.
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
        return; // the job is faulty rather than the machine
    }
    status.failed_jobs.insert(task.job.clone());
    if status.failed_jobs.len() >= FAULTY_MACHINE_MIN_FAILED_JOBS {
        let reason = "tasks of several jobs failed";
        tracing::info!(machine, reason, "machine quarantined");
        core.scaling.to_drain.push(machine.to_owned());
    }
}
