//! How long exits wait to be written together. Starts never wait: a task is waiting for each.

use crate::jobs::TaskRecord;
use crate::jobs::pending_changes::JobChanges;
use crate::membership::assignment::Member;
use crate::state::Replica;
use crate::state::replica::Job;
use std::time::Duration;

/// How long exits may wait to be written together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FlushDelay {
    /// While nearly all of the write quota is unused.
    pub relaxed: Duration,
    /// While the write quota is scarce.
    pub constrained: Duration,
}

/// Of this controller's own jobs. Nobody waits for these records: the capacity of their machine is used
/// again meanwhile, the end of a whole job is written at once, and a next owner learns of the exits again
/// from the workers, which forget nothing before it is written.
pub(super) const OWN_JOB_DELAY: FlushDelay = FlushDelay {
    relaxed: Duration::from_millis(500),
    constrained: Duration::from_secs(25),
};

/// Of another controller's job, which must learn of its exits.
const OTHER_OWNER_DELAY: FlushDelay = FlushDelay {
    relaxed: Duration::from_millis(300),
    constrained: Duration::from_secs(2),
};

/// Of another controller's job that is far from its end: its owner acts on none of these completions.
/// Machines are reassigned with what runs on them, and with a thousand machines half of what a
/// controller could write were such records.
const FAR_FROM_END_DELAY: FlushDelay = FlushDelay {
    relaxed: Duration::from_millis(300),
    constrained: Duration::from_secs(10),
};

/// Up to this share of its tasks done, a job is far from its end.
const FAR_FROM_END_SHARE: f64 = 0.8;

/// After this many times the constrained delay, exits are written before starts.
const OVERDUE_FACTOR: u32 = 2;

impl FlushDelay {
    /// The delay of a job's exits by who owns the job and how much of it is to come.
    pub fn of_job(replica: &Replica, me: &Member, job: &Job, changes: &JobChanges) -> Self {
        if replica.owner_of(&job.record) == Some(me) {
            OWN_JOB_DELAY
        } else if is_far_from_end(job, changes) {
            FAR_FROM_END_DELAY
        } else {
            OTHER_OWNER_DELAY
        }
    }

    /// Whether exits that have waited this long are written now.
    pub fn has_elapsed(self, waited: Duration, has_ample_quota: bool) -> bool {
        let delay = if has_ample_quota {
            self.relaxed
        } else {
            self.constrained
        };
        waited >= delay
    }

    /// Whether exits that have waited this long are written before starts.
    pub fn is_overdue(self, waited: Duration) -> bool {
        waited >= self.constrained * OVERDUE_FACTOR
    }
}

/// Whether all pending changes of a job are completions, and more than a few are to come.
fn is_far_from_end(job: &Job, changes: &JobChanges) -> bool {
    let spec = &job.record.spec;
    let done = f64::from(job.done) + changes.len() as f64;
    let all_done = changes.values().all(|change| *change == TaskRecord::Done);
    all_done && !spec.is_gang() && done < f64::from(spec.tasks) * FAR_FROM_END_SHARE
}
