//! The two job queues of the CVSS paper: the batch queue, ordered by due time, and the startup queue,
//! ordered by arrival. In the batch queue, priority classes are compared before due times.

use super::job::JobSnapshot;
use crate::jobs::Urgency;

/// Priority of a job in the batch queue, compared before the due time; the greater goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PriorityClass {
    /// No task of it has started and its due time has passed: it goes before all others.
    is_overdue: bool,
    /// Its team is within its guaranteed quota.
    is_guaranteed: bool,
    urgency: Urgency,
}

impl From<&JobSnapshot> for PriorityClass {
    fn from(job: &JobSnapshot) -> Self {
        Self {
            is_overdue: job.started == 0 && job.due < 0.0,
            is_guaranteed: job.guaranteed,
            urgency: job.urgency,
        }
    }
}

/// Job indices in the order of the batch queue: by priority class, then by earliest due time. Urgency
/// comes before due times, since less urgent work that took capacity first would be preempted again.
pub fn batch_order(jobs: &[JobSnapshot]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (&jobs[*a], &jobs[*b]);
        let class = PriorityClass::from(b).cmp(&PriorityClass::from(a));
        class.then(a.due.total_cmp(&b.due))
    });
    order
}

/// Job indices in the order of the startup queue: by arrival.
fn startup_order(jobs: &[JobSnapshot]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|a, b| jobs[*a].arrived.total_cmp(&jobs[*b].arrived));
    order
}

/// Both queues as job indices, each with the position of its head.
#[derive(Default)]
pub(super) struct Queues {
    batch: Vec<usize>,
    batch_head: usize,
    startup: Vec<usize>,
    startup_head: usize,
}

impl Queues {
    /// The queues of all jobs, with their heads at the first one.
    pub(super) fn new(jobs: &[JobSnapshot]) -> Self {
        Self {
            batch: batch_order(jobs),
            batch_head: 0,
            startup: startup_order(jobs),
            startup_head: 0,
        }
    }

    /// The job at the head of the batch queue.
    pub(super) fn batch_head(&self) -> Option<usize> {
        self.batch.get(self.batch_head).copied()
    }

    /// The job at the head of the startup queue.
    pub(super) fn startup_head(&self) -> Option<usize> {
        self.startup.get(self.startup_head).copied()
    }

    /// Drops jobs from the batch queue's head as long as the condition holds for them.
    pub(super) fn skip_batch_while(&mut self, should_drop: impl Fn(usize) -> bool) {
        while self.batch_head().is_some_and(&should_drop) {
            self.batch_head += 1;
        }
    }

    /// Drops jobs from the startup queue's head as long as the condition holds for them.
    pub(super) fn skip_startup_while(&mut self, should_drop: impl Fn(usize) -> bool) {
        while self.startup_head().is_some_and(&should_drop) {
            self.startup_head += 1;
        }
    }

    /// Moves the head of the batch queue back to the place that its next due time gives it.
    pub(super) fn defer_batch_head(&mut self, jobs: &[JobSnapshot]) {
        let head = &jobs[self.batch[self.batch_head]];
        let class = PriorityClass::from(head);
        let goes_later = |other: &usize| {
            let other = &jobs[*other];
            let other_class = PriorityClass::from(other);
            other_class < class || (other_class == class && other.due > head.next_due)
        };
        let rest = &self.batch[self.batch_head + 1..];
        let jobs_before = rest.iter().position(goes_later).unwrap_or(rest.len());
        let new_position = self.batch_head + jobs_before;
        self.batch[self.batch_head..=new_position].rotate_left(1);
    }
}
