//! Runs a forecast step by step, in turns with the controller's other tasks. However many jobs wait and however many
//! machines there are, heartbeats, health checks and polls are answered between two turns.

use super::{BeyondHeadroom, Forecast, Forecaster, JobForecast, JobProgress, Lateness};
use crate::placement::index::MachineIndex;
use crate::placement::queue::Queues;
use crate::placement::quota_headroom::QuotaHeadroom;
use crate::placement::{JobSnapshot, MachineSnapshot};
use std::collections::BTreeMap;

/// A turn ends once it has examined this many machines and free slots: about a millisecond of a whole core.
const MAX_EXAMINED_PER_TURN: u64 = 20_000;

/// Makes the forecast of all waiting tasks. The first `startup_count` tasks of each job that is not a
/// gang are startup tasks. The runtime's other tasks run between two turns.
pub async fn forecast_in_turns(
    jobs: &[JobSnapshot],
    machines: &[MachineSnapshot],
    headroom: &QuotaHeadroom,
    startup_count: u32,
) -> Forecast {
    let mut machines = machines.to_vec();
    let mut forecaster = Forecaster::new(jobs, &mut machines, headroom, startup_count);
    let mut examined_before = 0;
    while forecaster.step() {
        let examined = forecaster.examined();
        if examined - examined_before >= MAX_EXAMINED_PER_TURN {
            examined_before = examined;
            tokio::task::yield_now().await;
        }
    }
    forecaster.finish(headroom)
}

/// The same without turns.
#[cfg(test)]
pub fn forecast(
    jobs: &[JobSnapshot],
    machines: &[MachineSnapshot],
    headroom: &QuotaHeadroom,
    startup_count: u32,
) -> Forecast {
    let mut machines = machines.to_vec();
    let mut forecaster = Forecaster::new(jobs, &mut machines, headroom, startup_count);
    while forecaster.step() {}
    forecaster.finish(headroom)
}

impl<'a> Forecaster<'a> {
    fn new(
        jobs: &'a [JobSnapshot],
        machines: &'a mut [MachineSnapshot],
        headroom: &QuotaHeadroom,
        startup_count: u32,
    ) -> Self {
        Self {
            jobs,
            progress: jobs.iter().map(JobProgress::new).collect(),
            headroom: headroom.clone(),
            machines: MachineIndex::new(machines),
            forecast: Forecast {
                jobs: vec![JobForecast::default(); jobs.len()],
                beyond_headroom: vec![BeyondHeadroom::default(); jobs.len()],
                ..Forecast::default()
            },
            gangs_placed: 0,
            last_gang_lateness: Lateness::ON_TIME,
            limited_tasks: BTreeMap::new(),
            queues: Queues::new(jobs),
            startup_count,
        }
    }

    /// Assigns the next startup task, or the tasks of the job at the head of the batch queue. Returns false if there
    /// are none.
    fn step(&mut self) -> bool {
        let mut queues = std::mem::take(&mut self.queues);
        queues.skip_batch_while(|job| self.remaining(job) == 0);
        queues.skip_startup_while(|job| !self.has_startup_task(job));
        let startup_head = queues.startup_head();
        let batch_head = queues.batch_head();
        self.queues = queues;
        let Some(head) = batch_head else {
            return false;
        };
        if self.jobs[head].gang {
            self.place_gang(head);
        } else if let Some(first) = startup_head.filter(|first| *first != head)
            && let Some(placement) = self.best_placement(first)
            && self.startup_may_pass(first, &placement, head)
        {
            self.place(first, &placement, 1);
        } else {
            self.place_array(head);
        }
        true
    }

    /// Machines and free slots that were examined so far.
    fn examined(&self) -> u64 {
        self.forecast.machines_examined + self.machines.slots_examined()
    }

    fn finish(mut self, headroom: &QuotaHeadroom) -> Forecast {
        self.assign_beyond_headroom(headroom);
        self.forecast.slots_examined = self.machines.slots_examined();
        self.forecast
    }
}

#[cfg(test)]
mod tests;
