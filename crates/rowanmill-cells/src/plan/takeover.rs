//! Which jobs of absent cells this cell takes over, and when.

use super::{Action, Planner, Round};
use crate::record::LedgerJob;
use crate::replica::LedgerReplica;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// Of several cells that may take over a job, each next one waits this much longer than the one before.
const TAKEOVER_STAGGER: Duration = Duration::from_secs(2);

impl Planner {
    /// Jobs of cells that have been absent for long enough that nothing of them can run there, and that
    /// this cell is due to take. The order of the cells differs from job to job.
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
        let is_excluded = job.owner == self.cell || job.declined_by.contains(&self.cell);
        if is_excluded || round.replica.is_draining(&self.cell) {
            return false;
        }
        let Some(absence) = absence_of(round, &job.owner) else {
            return false;
        };
        absence >= self.takeover_after
            && absence
                >= self.takeover_after + TAKEOVER_STAGGER * self.takeover_rank(round.replica, id)
    }

    /// The takeovers of this round, one an absent cell. `runnable` are the candidates that this cell could
    /// run.
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

    /// Number of present cells that come before this one in the order for a job: those with a higher
    /// rendezvous hash.
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

/// How long a cell has been absent; `None` if it is present or unknown.
fn absence_of(round: Round<'_>, cell: &str) -> Option<Duration> {
    let state = round.replica.cells.get(cell)?;
    if state.presence.is_some() {
        return None;
    }
    state
        .absent_since
        .map(|since| round.now.saturating_duration_since(since))
}
