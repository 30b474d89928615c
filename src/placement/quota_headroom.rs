//! What each limited team's tasks may still use. All jobs of a team draw on the same headroom: where each
//! was mapped under the whole of it, several jobs of a team counted the same quota several times, and
//! machines were rented for tasks that their quota kept waiting.

use super::quota_timeline::QuotaTimeline;
use super::{FreeSlot, JobSnapshot, ROUNDING_TOLERANCE, Resources};

/// The headroom of all limited teams during one packing or forecast.
#[derive(Debug, Clone, Default)]
pub struct QuotaHeadroom {
    teams: Vec<TeamHeadroom>,
}

#[derive(Debug, Clone)]
struct TeamHeadroom {
    remaining: Resources,
    /// The team's quota.
    limit: Resources,
    /// Nothing more of the team starts for now.
    is_closed: bool,
    reservation: Option<QuotaReservation>,
    /// What running tasks will release; only forecasts need it.
    releases: Vec<FreeSlot>,
}

/// A part of what remains that only one job may use.
#[derive(Debug, Clone)]
struct QuotaReservation {
    job: String,
    amount: Resources,
}

impl QuotaHeadroom {
    /// The headroom where no team has a quota.
    #[cfg(test)]
    pub const fn none() -> Self {
        Self { teams: Vec::new() }
    }

    /// Adds a team; returns the index by which its jobs name it.
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

    /// Adds what a running task of a team will release.
    pub fn add_release(&mut self, team: usize, release: FreeSlot) {
        self.teams[team].releases.push(release);
    }

    /// The team's quota over time, without what is reserved for one of its jobs.
    pub(super) fn timeline(&self, team: usize) -> QuotaTimeline {
        let team = &self.teams[team];
        let mut available = team.remaining;
        if let Some(reservation) = &team.reservation {
            available.sub(&reservation.amount);
        }
        QuotaTimeline::new(available, &team.releases)
    }

    /// How many more tasks of a job its team's quota permits.
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

    /// Subtracts what `tasks` tasks of a job use.
    pub fn take(&mut self, job: &JobSnapshot, tasks: usize) {
        if let Some(team) = job.team {
            let used = job.resources.scaled(tasks as f64);
            self.teams[team].remaining.sub(&used);
        }
    }

    /// Whether a job has waited for long enough to have quota that becomes free reserved for it: smaller
    /// work would otherwise take it piece by piece for ever. What needs the whole limit must have waited
    /// for `delay_s`, and what needs a share of it for that share of the time.
    pub fn is_due_for_reservation(&self, job: &JobSnapshot, tasks: usize, delay_s: f64) -> bool {
        let Some(team) = job.team else {
            return false;
        };
        let requested = job.resources.scaled(tasks as f64);
        let share = requested.dominant_share(&self.teams[team].limit);
        -job.arrived >= delay_s * share
    }

    /// Reserves a part of what a team has left for one of its jobs: otherwise other work of the team that
    /// goes first by time would take what other controllers transferred for that job.
    pub fn reserve_for(&mut self, team: usize, job: &str, amount: Resources) {
        self.teams[team].reservation = Some(QuotaReservation {
            job: job.to_owned(),
            amount,
        });
    }

    /// Whether a part is reserved for another job of the team.
    pub fn is_reserved_for_other(&self, job: &JobSnapshot) -> bool {
        self.reservation_of(job)
            .is_some_and(|reservation| reservation.job != job.id)
    }

    /// Whether a part is reserved for this job.
    pub fn is_reserved_for(&self, job: &JobSnapshot) -> bool {
        self.reservation_of(job)
            .is_some_and(|reservation| reservation.job == job.id)
    }

    fn reservation_of(&self, job: &JobSnapshot) -> Option<&QuotaReservation> {
        self.teams[job.team?].reservation.as_ref()
    }

    /// Lets nothing more of the team start for now.
    pub fn close(&mut self, team: Option<usize>) {
        if let Some(team) = team {
            self.teams[team].is_closed = true;
        }
    }

    /// Per job, how many of its waiting tasks the quotas permit now, if jobs are served in this order.
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
