//! Which tasks beyond a limited team's headroom of now wait for machines rather than for quota.
//!
//! A limit bounds what runs at once, not what may ever run. Of 600 short tasks under a limit of 12 the headroom
//! shows the next few; they find a place in time on a single machine, while two thirds of the limit lie idle for
//! as long as the others wait. So the tasks beyond the headroom are mapped along two timelines of the quota: one
//! on which tasks release it where the machines of now let them end, and one as if there were a machine for each
//! task at once. A task that would start later on the first than on the second waits for a machine. All others
//! wait for quota, and no machine is rented for them.

use super::super::JobSnapshot;
use super::super::batch_order;
use super::super::quota_headroom::QuotaHeadroom;
use super::super::quota_timeline::QuotaTimeline;
use super::{Forecaster, MAX_TASKS_PER_JOB, PlacementRank, ROUNDING_TOLERANCE, TaskPlacement};
use crate::placement::index::StartTimesId;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Most tasks beyond the headroom that one forecast maps, over all teams: it bounds the forecast's cost.
const MAX_TASKS: usize = 4_000;
/// Most jobs of which it maps such tasks: each looks at all machines once.
const MAX_JOBS: usize = 400;
/// Tasks are mapped that quota alone would start within so many run times after a machine rented now is up.
const MAX_RUN_TIMES: f64 = 6.0;

/// What machines keep waiting of a limited team's job beyond the headroom of now.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct BeyondHeadroom {
    /// Tasks that will be late and that more machines would start sooner.
    pub helped: u32,
    /// How many more tasks of the job could run, by quota alone, at the time at which a machine rented now is
    /// up: more machines than these fill would be rented for work that its quota keeps waiting.
    pub unused_quota_tasks: u32,
}

/// The quota of one team, as the machines of now let tasks use it, and as they could use it at best.
struct TeamTimelines {
    with_machines: QuotaTimeline,
    quota_alone: QuotaTimeline,
}

/// Tasks of a job that run at the time at which a machine rented now is up.
#[derive(Default)]
struct RunningThen {
    with_machines: u32,
    quota_alone: u32,
}

impl Forecaster<'_> {
    /// Maps the tasks beyond the headroom, of teams that have some. `headroom` is that of now.
    pub(super) fn map_beyond_headroom(&mut self, headroom: &QuotaHeadroom) {
        let mut budget = MAX_TASKS;
        let mut jobs_left = MAX_JOBS;
        let mut teams: BTreeMap<usize, TeamTimelines> = BTreeMap::new();
        for job in batch_order(self.jobs) {
            let view = &self.jobs[job];
            let Some(team) = view.team else {
                continue;
            };
            // A gang that exceeds the headroom waits for quota as a whole.
            if view.gang || self.unmapped(job) == 0 || headroom.tasks(view) == 0 {
                continue;
            }
            let timelines = teams
                .entry(team)
                .or_insert_with(|| self.timelines(team, headroom));
            let quota_start = timelines.quota_alone.earliest(&view.resources);
            if quota_start.is_none_or(|start| start > horizon(view)) {
                continue;
            }
            if budget == 0 || jobs_left == 0 {
                return;
            }
            jobs_left -= 1;
            budget -= self.map_job(job, timelines, budget);
        }
    }

    /// Tasks of the job that were not mapped, whatever the quota.
    fn unmapped(&self, job: usize) -> usize {
        self.jobs[job].waiting.len() - self.progress[job].next_task
    }

    /// A team's quota after all that took headroom.
    fn timelines(&self, team: usize, headroom: &QuotaHeadroom) -> TeamTimelines {
        let mut with_machines = headroom.timeline(team);
        let mut quota_alone = with_machines.clone();
        for (job, placements) in &self.limited_tasks {
            let job = &self.jobs[*job];
            for placement in placements.iter().filter(|_| job.team == Some(team)) {
                with_machines.take(&job.resources, placement.map(|placed| placed.end));
                quota_alone.take(&job.resources, Some(run_time(job, *placement)));
            }
        }
        TeamTimelines {
            with_machines,
            quota_alone,
        }
    }

    /// Maps at most `max` tasks of an array beyond the headroom; returns how many.
    fn map_job(&mut self, job: usize, timelines: &mut TeamTimelines, max: usize) -> usize {
        let view = &self.jobs[job];
        let up_at = view.provisioning_s;
        let start_times = self.start_times(job);
        let mut heap = BinaryHeap::from(self.ranked_machines(job, start_times));
        let mut running = self.running_at(job, up_at);
        let mut helped = 0;
        let count = self.unmapped(job).min(MAX_TASKS_PER_JOB).min(max);
        for mapped in 0..count {
            let quota_start = timelines.quota_alone.earliest(&view.resources);
            let Some(quota_start) = quota_start.filter(|start| *start <= horizon(view)) else {
                self.finish_job(job, helped, &running);
                return mapped;
            };
            let available = timelines.with_machines.earliest(&view.resources);
            let placement =
                available.and_then(|from| self.place_from(job, &mut heap, start_times, from));
            let quota_end = quota_start + run_time(view, placement);
            timelines.quota_alone.take(&view.resources, Some(quota_end));
            running.quota_alone += u32::from(quota_start <= up_at && quota_end > up_at);
            if let Some(placed) = &placement {
                timelines
                    .with_machines
                    .take(&view.resources, Some(placed.end));
                running.with_machines += u32::from(placed.start <= up_at && placed.end > up_at);
            }
            let waits_for_machine = |placed: TaskPlacement| {
                placed.is_late(view) && placed.start > quota_start.max(up_at) + ROUNDING_TOLERANCE
            };
            helped += u32::from(placement.is_none_or(waits_for_machine));
        }
        self.finish_job(job, helped, &running);
        count
    }

    fn finish_job(&mut self, job: usize, helped: u32, running: &RunningThen) {
        self.forecast.beyond_headroom[job] = BeyondHeadroom {
            helped,
            unused_quota_tasks: running.quota_alone.saturating_sub(running.with_machines),
        };
    }

    /// The job's tasks within the headroom that run at a time.
    fn running_at(&self, job: usize, at: f64) -> RunningThen {
        let view = &self.jobs[job];
        let mut running = RunningThen::default();
        for placement in self.limited_tasks.get(&job).into_iter().flatten() {
            running.quota_alone += u32::from(run_time(view, *placement) > at);
            let runs = |placed: TaskPlacement| placed.start <= at && placed.end > at;
            running.with_machines += u32::from(placement.is_some_and(runs));
        }
        running
    }

    /// Places the job's next task on the first machine of the heap, not before `from`. Unlike a task within the
    /// headroom it makes no machine needed: it may start somewhere else.
    fn place_from(
        &mut self,
        job: usize,
        heap: &mut BinaryHeap<Reverse<PlacementRank>>,
        start_times: StartTimesId,
        from: f64,
    ) -> Option<TaskPlacement> {
        let view = &self.jobs[job];
        loop {
            let Reverse(PlacementRank { machine, .. }) = heap.pop()?;
            self.forecast.machines_examined += 1;
            let times = self.machines.task_times(view);
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
                .occupy(machine, &view.resources, start, placement.end);
            let times = self.machines.task_times(view);
            if let Some(next) = self.placement_on(machine, start_times, &times) {
                heap.push(Reverse(self.rank(job, &next)));
            }
            return Some(placement);
        }
    }
}

/// Tasks of a job that quota alone would start later than this are not mapped.
fn horizon(job: &JobSnapshot) -> f64 {
    job.provisioning_s + job.duration * MAX_RUN_TIMES
}

/// Seconds for which a task uses quota; on no machine, its run time alone.
fn run_time(job: &JobSnapshot, placement: Option<TaskPlacement>) -> f64 {
    placement.map_or(job.duration, |placed| placed.end - placed.start)
}

#[cfg(test)]
mod tests;
