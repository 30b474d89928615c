//! The demand that the waiting tasks of one job add for its machine type.

use crate::cloud::MachineType;
use crate::placement::forecast::{BeyondHeadroom, JobForecast};
use crate::placement::{FallbackMachineType, JobSnapshot, capacity_of};
use crate::renting::summary::DemandForecast;

/// The waiting tasks of a job, with their forecast.
pub(super) struct WaitingWork<'a> {
    pub job: &'a JobSnapshot,
    /// The cheapest machine type that the job may run on.
    pub machine_type: &'a MachineType,
    /// Number of tasks that the team's limit allows to start.
    pub permitted: u32,
    pub forecast: JobForecast,
    /// Tasks beyond the limit's current headroom that wait for machines.
    pub beyond_headroom: BeyondHeadroom,
    /// The next machine type that the tasks may run on, and the fraction of such a machine that each task fills.
    pub substitute: Option<&'a FallbackMachineType>,
}

impl WaitingWork<'_> {
    /// Logs the forecast of a limited team's job, the number of machines wanted for it, and the values that limit
    /// this number.
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

    /// Number of machines that would be filled by those late tasks that new machines help, if each task fills
    /// `share` of a machine. Tasks beyond the team's headroom raise the number at most to the machines that the
    /// team's unused quota could fill at once.
    fn machines_filled(&self, share: f64) -> f64 {
        let per_slot = tasks_per_slot(self.job.due, self.job.duration, self.machine_type.boot_s);
        let BeyondHeadroom {
            helped,
            unused_quota_tasks,
        } = self.beyond_headroom;
        let slots = f64::from(self.forecast.helped) / per_slot;
        let all_slots = f64::from(self.forecast.helped + helped) / per_slot;
        let unused_quota = f64::from(self.permitted.min(unused_quota_tasks));
        share * slots.max(all_slots.min(unused_quota))
    }
}

/// Number of late tasks that a slot of a new machine can run one after the other before they are due. If not even
/// one would end in time, no machine prevents the miss, and the tasks are spread over `LATE_WORK_WINDOW_S` instead.
/// All times are in seconds.
fn tasks_per_slot(due: f64, duration: f64, boot_s: f64) -> f64 {
    let window = due - boot_s;
    let window = if window >= duration {
        window
    } else {
        LATE_WORK_WINDOW_S
    };
    (window / duration).floor().clamp(1.0, MAX_TASKS_PER_SLOT)
}

/// Time in seconds within which machines rented for work that is late in any case should run it.
const LATE_WORK_WINDOW_S: f64 = 120.0;
/// Upper bound on the number of tasks that a slot is expected to run one after the other.
const MAX_TASKS_PER_SLOT: f64 = 6.0;
