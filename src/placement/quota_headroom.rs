//! The part of its quota that each limited team may still use (headroom). All jobs of a team share one
//! headroom: if each job were placed against the whole of it, several jobs of a team would count the same
//! quota several times, and machines would be rented for tasks that their quota keeps waiting.

use super::quota_timeline::QuotaTimeline;
use super::{FreeSlot, JobSnapshot, ROUNDING_TOLERANCE, Resources};

/// The headroom of all limited teams during one packing or forecast.
#[derive(Debug, Clone, Default)]
pub struct QuotaHeadroom {
    teams: Vec<TeamHeadroom>,
}

#[derive(Debug, Clone)]
struct TeamHeadroom {
    /// What the team may still use, with the part that is reserved for one of its jobs.
    remaining: Resources,
    /// The team's whole quota.
    limit: Resources,
    /// No further tasks of the team may start in this packing.
    is_closed: bool,
    reservation: Option<QuotaReservation>,
    /// What running tasks will release. Only forecasts fill and read it.
    releases: Vec<FreeSlot>,
}

/// The part of a team's remaining quota that only one job may use.
#[derive(Debug, Clone)]
struct QuotaReservation {
    job: String,
    amount: Resources,
}

impl QuotaHeadroom {
    /// A headroom without limited teams.
    #[cfg(test)]
    pub const fn none() -> Self {
        Self { teams: Vec::new() }
    }

    /// Adds a limited team. Returns its index, which its jobs hold in `JobSnapshot::team`.
    pub fn add(&mut self, remaining: Resources, limit: Resources) -> usize {
        self.teams.push(TeamHeadroom {
            remaining,
            limit,
            is_closed: false,
            reservation: None,
            releases: Vec::new(),
        });
        self.teams.len() - 1
    }

    /// Adds what a running task of the team will release, and when.
    pub fn add_release(&mut self, team: usize, release: FreeSlot) {
        self.teams[team].releases.push(release);
    }

    /// The team's quota over time, without the part that is reserved for one of its jobs.
    pub(super) fn timeline(&self, team: usize) -> QuotaTimeline {
        let team = &self.teams[team];
        let mut available = team.remaining;
        if let Some(reservation) = &team.reservation {
            available.sub(&reservation.amount);
        }
        QuotaTimeline::new(available, &team.releases)
    }

    /// How many more tasks of the job its team's headroom permits; `usize::MAX` without a limit.
    pub fn tasks(&self, job: &JobSnapshot) -> usize {
        let Some(team) = job.team else {
            return usize::MAX;
        };
        let team = &self.teams[team];
        if team.is_closed {
            return 0;
        }
        let mut available = team.remaining;
        if let Some(reservation) = &team.reservation
            && reservation.job != job.id
        {
            available.sub(&reservation.amount);
        }
        let amounts = [
            (available.cpus, job.resources.cpus),
            (available.gpus, job.resources.gpus),
        ];
        let limiting = amounts
            .iter()
            .filter(|(available, requested)| available.is_finite() && *requested > 0.0);
        let tasks = limiting.map(|(available, requested)| {
            ((available + ROUNDING_TOLERANCE) / requested)
                .floor()
                .max(0.0) as usize
        });
        tasks.min().unwrap_or(usize::MAX)
    }

    /// Subtracts what `tasks` tasks of the job use.
    pub fn take(&mut self, job: &JobSnapshot, tasks: usize) {
        if let Some(team) = job.team {
            let used = job.resources.scaled(tasks as f64);
            self.teams[team].remaining.sub(&used);
        }
    }

    /// Whether `tasks` tasks of a job have waited long enough to have quota reserved for them as it becomes
    /// free. Otherwise smaller tasks would keep taking each part of the quota that is released, and the job
    /// would never start. A request for the whole limit must have waited for `delay_s`, and a request for a
    /// share of the limit for that share of `delay_s`.
    pub fn is_due_for_reservation(&self, job: &JobSnapshot, tasks: usize, delay_s: f64) -> bool {
        let Some(team) = job.team else {
            return false;
        };
        let requested = job.resources.scaled(tasks as f64);
        let share = requested.dominant_share(&self.teams[team].limit);
        -job.arrived >= delay_s * share
    }

    /// Reserves a part of a team's remaining quota for one of its jobs. Otherwise other jobs of the team that
    /// come first in the queue would take the quota that other controllers transferred for this job.
    pub fn reserve_for(&mut self, team: usize, job: &str, amount: Resources) {
        self.teams[team].reservation = Some(QuotaReservation {
            job: job.to_owned(),
            amount,
        });
    }

    /// Whether a part of the quota is reserved for another job of the team.
    pub fn is_reserved_for_other(&self, job: &JobSnapshot) -> bool {
        self.reservation_of(job)
            .is_some_and(|reservation| reservation.job != job.id)
    }

    /// Whether a part of the quota is reserved for this job.
    pub fn is_reserved_for(&self, job: &JobSnapshot) -> bool {
        self.reservation_of(job)
            .is_some_and(|reservation| reservation.job == job.id)
    }

    fn reservation_of(&self, job: &JobSnapshot) -> Option<&QuotaReservation> {
        self.teams[job.team?].reservation.as_ref()
    }

    /// Stops all further starts of the team in this packing; does nothing if `team` is `None`.
    pub fn close(&mut self, team: Option<usize>) {
        if let Some(team) = team {
            self.teams[team].is_closed = true;
        }
    }

    /// For each job, how many of its waiting tasks the quotas permit now if jobs are served in `order`. A gang
    /// is permitted as a whole or not at all.
    pub fn permitted(mut self, jobs: &[JobSnapshot], order: &[usize]) -> Vec<u32> {
        let mut permitted = vec![0; jobs.len()];
        for index in order {
            let job = &jobs[*index];
            let waiting = job.waiting.len();
            let tasks = self.tasks(job).min(waiting);
            let tasks = if job.gang && tasks < waiting {
                0
            } else {
                tasks
            };
            self.take(job, tasks);
            permitted[*index] = tasks as u32;
        }
        permitted
    }
}
