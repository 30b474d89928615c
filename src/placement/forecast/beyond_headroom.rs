//! Finds the tasks beyond a limited team's current headroom that wait for machines rather than for quota.
//!
//! A limit bounds the tasks that run at the same time, not their total. Of 600 short tasks under a limit of 12, the
//! headroom covers only the next few. These can run in time on a single machine, so that a forecast of them alone
//! asks for no more machines, and two thirds of the limit stay unused while the other tasks wait.
//!
//! The tasks beyond the headroom are therefore assigned along two timelines of the team's quota. On the first,
//! tasks run on the current machines and release quota when they end there. The second assumes a free machine for
//! each task as soon as the quota permits it. A task that starts later on the first timeline than on the second
//! waits for a machine. All other tasks wait for quota, and no machines are rented for them.

use super::super::JobSnapshot;
use super::super::batch_order;
use super::super::quota_headroom::QuotaHeadroom;
use super::super::quota_timeline::QuotaTimeline;
use super::{
    Forecaster, LimitedTasks, MAX_TASKS_PER_JOB, PlacementRank, ROUNDING_TOLERANCE, TaskPlacement,
};
use crate::placement::index::StartTimesId;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Most tasks beyond the headroom that one forecast assigns, over all teams. This bounds the forecast's cost.
const MAX_TASKS: usize = 4_000;
/// Most jobs with tasks beyond the headroom that one forecast covers, because each examines all machines once.
const MAX_JOBS: usize = 400;
/// Length of the horizon in run times of a task, counted from the time at which a machine rented now is up. Tasks
/// that could not start within it, even with unlimited machines, are not assigned.
const HORIZON_RUN_TIMES: f64 = 6.0;

/// The tasks of a limited team's job, beyond the current headroom, that wait for machines.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct BeyondHeadroom {
    /// Tasks that are expected to be late and that would start sooner with more machines.
    pub helped: u32,
    /// How many more tasks of the job the quota would let run at the time at which a machine rented now is up.
    /// This bounds the machines to rent for the job: on any others the quota would keep its tasks waiting.
    pub unused_quota_tasks: u32,
}

/// The quota of one team over time, in two cases.
struct TeamTimelines {
    /// Tasks run on the current machines.
    with_machines: QuotaTimeline,
    /// Tasks start as soon as the quota permits, as if there were a free machine for each.
    quota_alone: QuotaTimeline,
}

/// Tasks of a job that run at the time at which a machine rented now is up, on each timeline.
#[derive(Default)]
struct RunningTasks {
    with_machines: u32,
    quota_alone: u32,
}

impl Forecaster<'_> {
    /// Assigns tasks beyond the headroom, for teams that have any headroom. `headroom` is the current one, before
    /// the forecast used it.
    pub(super) fn assign_beyond_headroom(&mut self, headroom: &QuotaHeadroom) {
        let mut tasks_left = MAX_TASKS;
        let mut jobs_left = MAX_JOBS;
        let mut teams: BTreeMap<usize, TeamTimelines> = BTreeMap::new();
        for job in batch_order(self.jobs) {
            let job_snapshot = &self.jobs[job];
            let Some(team) = job_snapshot.team else {
                continue;
            };
            // A gang starts as a whole, so that one that exceeds the headroom waits for quota.
            if job_snapshot.gang || self.unassigned(job) == 0 || headroom.tasks(job_snapshot) == 0 {
                continue;
            }
            let timelines = teams
                .entry(team)
                .or_insert_with(|| self.timelines(team, headroom));
            let quota_start = timelines.quota_alone.earliest(&job_snapshot.resources);
            if quota_start.is_none_or(|start| start > horizon(job_snapshot)) {
                continue;
            }
            if tasks_left == 0 || jobs_left == 0 {
                return;
            }
            jobs_left -= 1;
            tasks_left -= self.assign_job(job, timelines, tasks_left);
        }
    }

    /// Tasks of the job that are not assigned, whatever the quota permits.
    fn unassigned(&self, job: usize) -> usize {
        self.jobs[job].waiting.len() - self.progress[job].next_task
    }

    /// A team's timelines once the tasks within the headroom have taken their quota.
    fn timelines(&self, team: usize, headroom: &QuotaHeadroom) -> TeamTimelines {
        let mut with_machines = headroom.timeline(team);
        let mut quota_alone = with_machines.clone();
        for (job, limited) in &self.limited_tasks {
            let job = &self.jobs[*job];
            for LimitedTasks { tasks, placement } in
                limited.iter().filter(|_| job.team == Some(team))
            {
                let used = job.resources.scaled(*tasks as f64);
                with_machines.take(&used, placement.map(|placed| placed.end));
                quota_alone.take(&used, Some(run_time(job, *placement)));
            }
        }
        TeamTimelines {
            with_machines,
            quota_alone,
        }
    }

    /// Assigns at most `max` tasks of an array beyond the headroom; returns how many were assigned.
    fn assign_job(&mut self, job: usize, timelines: &mut TeamTimelines, max: usize) -> usize {
        let job_snapshot = &self.jobs[job];
        let provisioned_at = job_snapshot.provisioning_s;
        let start_times = self.start_times(job);
        let mut heap = BinaryHeap::from(self.ranked_machines(job, start_times));
        let mut running = self.running_at(job, provisioned_at);
        let mut helped = 0;
        let count = self.unassigned(job).min(MAX_TASKS_PER_JOB).min(max);
        for assigned in 0..count {
            let quota_start = timelines.quota_alone.earliest(&job_snapshot.resources);
            let Some(quota_start) = quota_start.filter(|start| *start <= horizon(job_snapshot))
            else {
                self.record_job(job, helped, &running);
                return assigned;
            };
            let available = timelines.with_machines.earliest(&job_snapshot.resources);
            let placement =
                available.and_then(|from| self.place_not_before(job, &mut heap, start_times, from));
            let quota_end = quota_start + run_time(job_snapshot, placement);
            timelines
                .quota_alone
                .take(&job_snapshot.resources, Some(quota_end));
            running.quota_alone +=
                u32::from(quota_start <= provisioned_at && quota_end > provisioned_at);
            if let Some(placed) = &placement {
                timelines
                    .with_machines
                    .take(&job_snapshot.resources, Some(placed.end));
                running.with_machines +=
                    u32::from(placed.start <= provisioned_at && placed.end > provisioned_at);
            }
            let waits_for_machine = |placed: TaskPlacement| {
                placed.is_late(job_snapshot)
                    && placed.start > quota_start.max(provisioned_at) + ROUNDING_TOLERANCE
            };
            helped += u32::from(placement.is_none_or(waits_for_machine));
        }
        self.record_job(job, helped, &running);
        count
    }

    /// Records the result for a job.
    fn record_job(&mut self, job: usize, helped: u32, running: &RunningTasks) {
        self.forecast.beyond_headroom[job] = BeyondHeadroom {
            helped,
            unused_quota_tasks: running.quota_alone.saturating_sub(running.with_machines),
        };
    }

    /// Counts the job's tasks within the headroom that run at `at`.
    fn running_at(&self, job: usize, at: f64) -> RunningTasks {
        let job_snapshot = &self.jobs[job];
        let mut running = RunningTasks::default();
        for LimitedTasks { tasks, placement } in self.limited_tasks.get(&job).into_iter().flatten()
        {
            let tasks = *tasks as u32;
            let runs = |placed: TaskPlacement| placed.start <= at && placed.end > at;
            running.quota_alone += tasks * u32::from(run_time(job_snapshot, *placement) > at);
            running.with_machines += tasks * u32::from(placement.is_some_and(runs));
        }
        running
    }

    /// Places the job's next task on the first machine of the heap that it may use, not before `from`. Unlike
    /// for a task within the headroom, the machine is not added to `machines_needed`, because the task may start
    /// elsewhere.
    fn place_not_before(
        &mut self,
        job: usize,
        heap: &mut BinaryHeap<Reverse<PlacementRank>>,
        start_times: StartTimesId,
        from: f64,
    ) -> Option<TaskPlacement> {
        let job_snapshot = &self.jobs[job];
        loop {
            let Reverse(PlacementRank { machine, .. }) = heap.pop()?;
            self.forecast.machines_examined += 1;
            let times = self.machines.task_times(job_snapshot);
            let placement = self.placement_on(machine, start_times, &times);
            let Some(placement) = placement.filter(|_| self.may_add_in_zone(job, machine)) else {
                continue;
            };
            let start = placement.start.max(from);
            let placement = TaskPlacement {
                start,
                end: start + (placement.end - placement.start),
                ..placement
            };
            self.machines
                .occupy(machine, &job_snapshot.resources, start, placement.end);
            let times = self.machines.task_times(job_snapshot);
            if let Some(next) = self.placement_on(machine, start_times, &times) {
                heap.push(Reverse(self.rank(job, &next)));
            }
            return Some(placement);
        }
    }
}

/// The horizon in seconds from now: tasks of the job that the quota would not let start by then are not assigned.
fn horizon(job: &JobSnapshot) -> f64 {
    job.provisioning_s + job.duration * HORIZON_RUN_TIMES
}

/// Seconds for which a task uses quota: from its start to its end, with the fetch of its image. Without a
/// placement it is the run time alone.
fn run_time(job: &JobSnapshot, placement: Option<TaskPlacement>) -> f64 {
    placement.map_or(job.duration, |placed| placed.end - placed.start)
}

#[cfg(test)]
mod tests;
