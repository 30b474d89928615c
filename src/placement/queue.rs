//! The orders of the paper's two queues: batch by due time, startup by arrival.

use super::job::JobSnapshot;
use crate::jobs::Urgency;

/// What decides between jobs before their due times; the greater goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PriorityClass {
    /// It has waited too long to begin: it goes before all others.
    is_overdue: bool,
    /// Its team is within its guarantee.
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

/// Job indices in the order of the batch queue: by priority class, then by earliest due time. Capacity
/// that less urgent work took from more urgent work would only be preempted again.
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
pub(super) fn startup_order(jobs: &[JobSnapshot]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|a, b| jobs[*a].arrived.total_cmp(&jobs[*b].arrived));
    order
}
