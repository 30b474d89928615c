//! How long exits of tasks wait, so that several are written together. Starts are never delayed, since a task
//! waits for each of them.

use crate::jobs::TaskRecord;
use crate::jobs::pending_changes::JobChanges;
use crate::membership::assignment::Member;
use crate::state::Replica;
use crate::state::replica::Job;
use std::time::Duration;

/// How long exits wait before they are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FlushDelay {
    /// The delay while nearly all of the write quota is unused.
    pub relaxed: Duration,
    /// The delay otherwise.
    pub constrained: Duration,
}

/// The delay for this controller's own jobs. Nothing waits for these records: the machine's capacity is reused
/// before they are written, the end of a whole job is written at once, and a new owner learns of the exits from the
/// workers, which report an exit until it is written.
pub(super) const OWN_JOB_DELAY: FlushDelay = FlushDelay {
    relaxed: Duration::from_millis(500),
    constrained: Duration::from_secs(25),
};

/// The delay for jobs of other controllers, which learn of the exits from these records.
const OTHER_OWNER_DELAY: FlushDelay = FlushDelay {
    relaxed: Duration::from_millis(300),
    constrained: Duration::from_secs(2),
};

/// The delay for another controller's job that is far from its end: its owner does not act on these completions.
/// Since machines are reassigned together with their running tasks, such records are frequent: with a thousand
/// machines, they took half of a controller's write quota.
const FAR_FROM_END_DELAY: FlushDelay = FlushDelay {
    relaxed: Duration::from_millis(300),
    constrained: Duration::from_secs(10),
};

/// A job is far from its end while less than this share of its tasks is done.
const FAR_FROM_END_SHARE: f64 = 0.8;

/// Exits that have waited for this multiple of the constrained delay are written before starts.
const OVERDUE_FACTOR: u32 = 2;

impl FlushDelay {
    /// The delay of a job's exits, which depends on the job's owner and on the share of its tasks that are done.
    pub fn of_job(replica: &Replica, me: &Member, job: &Job, changes: &JobChanges) -> Self {
        if replica.owner_of(&job.record) == Some(me) {
            OWN_JOB_DELAY
        } else if is_far_from_end(job, changes) {
            FAR_FROM_END_DELAY
        } else {
            OTHER_OWNER_DELAY
        }
    }

    /// Whether exits that have waited for this time are to be written.
    pub fn has_elapsed(self, waited: Duration, has_ample_quota: bool) -> bool {
        let delay = if has_ample_quota {
            self.relaxed
        } else {
            self.constrained
        };
        waited >= delay
    }

    /// Whether exits that have waited for this time are to be written before starts.
    pub fn is_overdue(self, waited: Duration) -> bool {
        waited >= self.constrained * OVERDUE_FACTOR
    }
}

/// Whether all pending changes of a job are completions, and the job is far from its end with them.
fn is_far_from_end(job: &Job, changes: &JobChanges) -> bool {
    let spec = &job.record.spec;
    let done = f64::from(job.done) + changes.len() as f64;
    let all_done = changes.values().all(|change| *change == TaskRecord::Done);
    all_done && !spec.is_gang() && done < f64::from(spec.tasks) * FAR_FROM_END_SHARE
}
