//! What the waiting tasks of one job add to the demand for its machine type.

use crate::cloud::MachineType;
use crate::placement::forecast::{BeyondHeadroom, JobForecast};
use crate::placement::{FallbackPool, JobSnapshot, capacity_of};
use crate::renting::summary::DemandForecast;

/// The waiting tasks of a job, with what the forecast says of them.
pub(super) struct WaitingWork<'a> {
    pub job: &'a JobSnapshot,
    /// The cheapest machine type that fits.
    pub machine_type: &'a MachineType,
    /// Tasks that the team's limit lets start.
    pub permitted: u32,
    pub forecast: JobForecast,
    /// What machines keep waiting beyond what the limit lets start now.
    pub beyond_headroom: BeyondHeadroom,
    /// The next machine type that the tasks may run on, and the part of such a machine that each fills.
    pub substitute: Option<&'a FallbackPool>,
}

impl WaitingWork<'_> {
    /// Logs, of a limited team's job, what the forecast counts and what bounds the machines rented for it.
    pub fn log_if_limited(&self) {
        if self.job.team.is_none() {
            return;
        }
        let share = self
            .job
            .resources
            .dominant_share(&capacity_of(self.machine_type));
        tracing::debug!(
            job = self.job.id,
            waiting = self.job.waiting.len(),
            permitted = self.permitted,
            late = self.forecast.late,
            helped = self.forecast.helped,
            helped_beyond_headroom = self.beyond_headroom.helped,
            unused_quota_tasks = self.beyond_headroom.unused_quota_tasks,
            wanted = self.machines_filled(share),
            "limited team's job forecast"
        );
    }

    pub fn add_to(&self, demand: &mut DemandForecast) {
        let job = self.job;
        let share = job
            .resources
            .dominant_share(&capacity_of(self.machine_type));
        demand.waiting += job.waiting.len() as u32;
        let permitted = f64::from(self.permitted) * share;
        demand.counted_now += permitted;
        if job.due < 0.0 {
            demand.late_now += permitted;
        }
        let beyond_headroom = self.beyond_headroom.helped;
        demand.counted_next += f64::from(self.forecast.tasks + beyond_headroom) * share;
        demand.late_next += f64::from(self.forecast.late + beyond_headroom) * share;
        let machines = self.machines_filled(share);
        demand.wanted_machines += machines;
        if !job.spot {
            return;
        }
        demand.wanted_spot_machines += machines;
        if let Some(substitute) = self.substitute {
            let machines = self.machines_filled(substitute.dominant_share);
            let substitutes = &mut demand.wanted_substitutes;
            *substitutes.entry(substitute.name.clone()).or_default() += machines;
        }
    }

    /// Machines that the late tasks would fill which new machines help, each task filling `share` of one. For
    /// those beyond the team's headroom no more are counted than its unused quota could fill at once.
    fn machines_filled(&self, share: f64) -> f64 {
        let rounds = rounds_in_time(self.job.due, self.job.duration, self.machine_type.boot_s);
        let BeyondHeadroom {
            helped,
            unused_quota_tasks,
        } = self.beyond_headroom;
        let slots = f64::from(self.forecast.helped) / rounds;
        let all_slots = f64::from(self.forecast.helped + helped) / rounds;
        let unused_quota = f64::from(self.permitted.min(unused_quota_tasks));
        share * slots.max(all_slots.min(unused_quota))
    }
}

/// How many late tasks a slot of a new machine can run one after the other, in time. Where none would be in
/// time, no machine cures the miss, and the work is spread over `MAX_LATE_WORK_S`. All times in seconds.
fn rounds_in_time(due: f64, duration: f64, boot_s: f64) -> f64 {
    let window = due - boot_s;
    let window = if window >= duration {
        window
    } else {
        MAX_LATE_WORK_S
    };
    (window / duration).floor().clamp(1.0, MAX_ROUNDS)
}

/// How long work that is late anyway may take on machines rented for it.
const MAX_LATE_WORK_S: f64 = 120.0;
/// Rounds that are counted on at most.
const MAX_ROUNDS: f64 = 6.0;
