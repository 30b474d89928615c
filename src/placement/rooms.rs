//! What each limited team's tasks may still use. All jobs of a team draw on the same room: where each was
//! mapped under the whole of it, several jobs of a team counted the same room several times, and machines
//! were rented for tasks that their limit kept waiting.

use super::{JobView, Need, SLACK};

/// The rooms of one mapping.
#[derive(Debug, Clone, Default)]
pub struct TeamRooms {
    rooms: Vec<Room>,
}

#[derive(Debug, Clone)]
struct Room {
    left: Need,
    /// The team's limit.
    whole: Need,
    is_closed: bool,
    /// A job that has a part of what is left kept for it, and that part.
    kept_for: Option<(String, Need)>,
}

impl TeamRooms {
    /// No team has a limit.
    #[cfg(test)]
    pub const fn none() -> Self {
        Self { rooms: Vec::new() }
    }

    /// Adds a team's room; the number by which its jobs name it.
    pub fn add(&mut self, left: Need, whole: Need) -> usize {
        self.rooms.push(Room {
            left,
            whole,
            is_closed: false,
            kept_for: None,
        });
        self.rooms.len() - 1
    }

    /// How many more tasks of a job its team's limit allows.
    pub fn tasks(&self, job: &JobView) -> usize {
        let Some(team) = job.team else {
            return usize::MAX;
        };
        let team = &self.rooms[team];
        if team.is_closed {
            return 0;
        }
        let mut room = team.left;
        if let Some((kept_for, part)) = &team.kept_for
            && *kept_for != job.id
        {
            room.sub(part);
        }
        let pairs = [(room.cpus, job.need.cpus), (room.gpus, job.need.gpus)];
        let limiting = pairs
            .iter()
            .filter(|(room, need)| room.is_finite() && *need > 0.0);
        let tasks = limiting.map(|(room, need)| ((room + SLACK) / need).floor().max(0.0) as usize);
        tasks.min().unwrap_or(usize::MAX)
    }

    /// So many tasks of a job start.
    pub fn take(&mut self, job: &JobView, tasks: usize) {
        if let Some(team) = job.team {
            self.rooms[team].left.sub(&job.need.times(tasks as f64));
        }
    }

    /// Whether a job has waited for long enough to have what comes free of its team's room kept for it:
    /// smaller work would take that piece by piece for ever. What needs the whole limit must have waited for
    /// `reserve_after`, and what needs a part of it for that part of the time.
    pub fn is_overdue(&self, job: &JobView, tasks: usize, reserve_after: f64) -> bool {
        let Some(team) = job.team else {
            return false;
        };
        let part = job.need.times(tasks as f64).share(&self.rooms[team].whole);
        -job.arrived >= reserve_after * part
    }

    /// Keeps a part of what a team has left for one of its jobs: whatever else of it goes first by time
    /// would take what other controllers gave for that job.
    pub fn keep_for(&mut self, team: usize, job: &str, part: Need) {
        self.rooms[team].kept_for = Some((job.to_owned(), part));
    }

    /// Whether a part is kept for another job of the team.
    pub fn is_kept_from(&self, job: &JobView) -> bool {
        let kept_for = job.team.and_then(|team| self.rooms[team].kept_for.as_ref());
        kept_for.is_some_and(|(id, _)| *id != job.id)
    }

    /// Whether a part is kept for this job.
    pub fn is_kept_for(&self, job: &JobView) -> bool {
        let kept_for = job.team.and_then(|team| self.rooms[team].kept_for.as_ref());
        kept_for.is_some_and(|(id, _)| *id == job.id)
    }

    /// Nothing more of the team starts for now.
    pub fn close(&mut self, team: Option<usize>) {
        if let Some(team) = team {
            self.rooms[team].is_closed = true;
        }
    }

    /// How many of each job's waiting tasks may start now, in the batch's order.
    pub fn permitted(mut self, jobs: &[JobView], order: &[usize]) -> Vec<u32> {
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
