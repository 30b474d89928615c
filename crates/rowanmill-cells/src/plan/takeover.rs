//! Which jobs of absent cells this cell takes over, and when it does so.

use super::{Action, Planner, Round};
use crate::record::LedgerJob;
use crate::replica::LedgerReplica;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// Additional delay per rank of the cells that may take over a job: the cell ranked first starts without
/// one, and each further cell waits this much longer than the one before it.
const TAKEOVER_STAGGER: Duration = Duration::from_secs(2);

impl Planner {
    /// Jobs that this cell may take over now: their owners have been absent for so long that none of the
    /// jobs' tasks can run there any more, and the delay for this cell's rank has passed. The rank differs
    /// from job to job.
    pub fn takeover_candidates<'a>(
        &self,
        replica: &'a LedgerReplica,
        now: Instant,
    ) -> Vec<(&'a String, &'a LedgerJob)> {
        let round = Round { replica, now };
        let jobs = replica.jobs.iter();
        let due = jobs.filter(|(id, job)| self.is_due_for_takeover(round, id, &job.record));
        due.map(|(id, job)| (id, &job.record)).collect()
    }

    fn is_due_for_takeover(&self, round: Round<'_>, id: &str, job: &LedgerJob) -> bool {
        let is_ineligible = job.owner == self.cell || job.declined_by.contains(&self.cell);
        if is_ineligible || round.replica.is_draining(&self.cell) {
            return false;
        }
        let Some(absence) = absence_of(round, &job.owner) else {
            return false;
        };
        absence >= self.takeover_after
            && absence
                >= self.takeover_after + TAKEOVER_STAGGER * self.takeover_rank(round.replica, id)
    }

    /// The takeovers of this round, one for each absent cell. `runnable` holds the candidates that this cell
    /// could run.
    pub(super) fn plan_takeovers(
        &self,
        round: Round<'_>,
        runnable: &BTreeSet<String>,
    ) -> Vec<Action> {
        let mut by_owner: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for (id, job) in self.takeover_candidates(round.replica, round.now) {
            if runnable.contains(id) {
                by_owner.entry(&job.owner).or_default().push(id.clone());
            }
        }
        let take_over = |(from, ids): (&str, Vec<String>)| Action::TakeOver {
            from: from.to_owned(),
            ids,
        };
        by_owner.into_iter().map(take_over).collect()
    }

    /// Rank of this cell among those that may take over a job: the number of other present cells, not being
    /// drained, that have a higher rendezvous hash for the job.
    fn takeover_rank(&self, replica: &LedgerReplica, id: &str) -> u32 {
        let own = rendezvous_hash(&self.cell, id);
        let others = replica.cells.keys();
        let before = others.filter(|name| {
            replica.is_present(name)
                && !replica.is_draining(name)
                && rendezvous_hash(name, id) > own
        });
        before.count() as u32
    }
}

fn rendezvous_hash(cell: &str, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (cell, id).hash(&mut hasher);
    hasher.finish()
}

/// How long a cell has been absent; `None` if it is present, or if its absence has not been read.
fn absence_of(round: Round<'_>, cell: &str) -> Option<Duration> {
    let state = round.replica.cells.get(cell)?;
    if state.presence.is_some() {
        return None;
    }
    state
        .absent_since
        .map(|since| round.now.saturating_duration_since(since))
}
