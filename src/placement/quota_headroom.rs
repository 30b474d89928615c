//! What each limited team's tasks may still use. All jobs of a team draw on the same room: where each was
//! mapped under the whole of it, several jobs of a team counted the same room several times, and machines
//! were rented for tasks that their limit kept waiting.

use super::{JobSnapshot, Resources, SLACK};

/// The rooms of one mapping.
#[derive(Debug, Clone, Default)]
pub struct QuotaHeadroom {
    headroom: Vec<Room>,
}

#[derive(Debug, Clone)]
struct Room {
    left: Resources,
    /// The team's limit.
    whole: Resources,
    is_closed: bool,
    /// A job that has a part of what is left kept for it, and that part.
    reserved_for: Option<(String, Resources)>,
}

impl QuotaHeadroom {
    /// No team has a limit.
    #[cfg(test)]
    pub const fn none() -> Self {
        Self {
            headroom: Vec::new(),
        }
    }

    /// Adds a team's room; the number by which its jobs name it.
    pub fn add(&mut self, left: Resources, whole: Resources) -> usize {
        self.headroom.push(Room {
            left,
            whole,
            is_closed: false,
            reserved_for: None,
        });
        self.headroom.len() - 1
    }

    /// How many more tasks of a job its team's limit allows.
    pub fn tasks(&self, job: &JobSnapshot) -> usize {
        let Some(team) = job.team else {
            return usize::MAX;
        };
        let team = &self.headroom[team];
        if team.is_closed {
            return 0;
        }
        let mut available = team.left;
        if let Some((reserved_for, part)) = &team.reserved_for
            && *reserved_for != job.id
        {
            available.sub(part);
        }
        let pairs = [
            (available.cpus, job.resources.cpus),
            (available.gpus, job.resources.gpus),
        ];
        let limiting = pairs
            .iter()
            .filter(|(available, resources)| available.is_finite() && *resources > 0.0);
        let tasks = limiting.map(|(available, resources)| {
            ((available + SLACK) / resources).floor().max(0.0) as usize
        });
        tasks.min().unwrap_or(usize::MAX)
    }

    /// So many tasks of a job start.
    pub fn take(&mut self, job: &JobSnapshot, tasks: usize) {
        if let Some(team) = job.team {
            self.headroom[team]
                .left
                .sub(&job.resources.scaled(tasks as f64));
        }
    }

    /// Whether a job has waited for long enough to have what comes free of its team's room kept for it:
    /// smaller work would take that piece by piece for ever. What needs the whole limit must have waited for
    /// `reserve_after`, and what needs a part of it for that part of the time.
    pub fn is_overdue(&self, job: &JobSnapshot, tasks: usize, reserve_after: f64) -> bool {
        let Some(team) = job.team else {
            return false;
        };
        let part = job
            .resources
            .scaled(tasks as f64)
            .dominant_share(&self.headroom[team].whole);
        -job.arrived >= reserve_after * part
    }

    /// Keeps a part of what a team has left for one of its jobs: whatever else of it goes first by time
    /// would take what other controllers gave for that job.
    pub fn reserve_for(&mut self, team: usize, job: &str, part: Resources) {
        self.headroom[team].reserved_for = Some((job.to_owned(), part));
    }

    /// Whether a part is kept for another job of the team.
    pub fn is_reserved_for_other(&self, job: &JobSnapshot) -> bool {
        let reserved_for = job
            .team
            .and_then(|team| self.headroom[team].reserved_for.as_ref());
        reserved_for.is_some_and(|(id, _)| *id != job.id)
    }

    /// Whether a part is kept for this job.
    pub fn is_reserved_for(&self, job: &JobSnapshot) -> bool {
        let reserved_for = job
            .team
            .and_then(|team| self.headroom[team].reserved_for.as_ref());
        reserved_for.is_some_and(|(id, _)| *id == job.id)
    }

    /// Nothing more of the team starts for now.
    pub fn close(&mut self, team: Option<usize>) {
        if let Some(team) = team {
            self.headroom[team].is_closed = true;
        }
    }

    /// How many of each job's waiting tasks may start now, in the batch's order.
    pub fn permitted(mut self, jobs: &[JobSnapshot], order: &[usize]) -> Vec<u32> {
        let mut permitted = vec![0; jobs.len()];
        for at in order {
            let job = &jobs[*at];
            let waiting = job.waiting.len();
            let allowed = self.tasks(job).min(waiting);
            let allowed = match job.gang && allowed < waiting {
                true => 0,
                false => allowed,
            };
            self.take(job, allowed);
            permitted[*at] = allowed as u32;
        }
        permitted
    }
}
