//! Which job leaves the cell because it waits, and which cell it goes to.

use super::{Planner, Round};
use crate::ranking::Candidate;
use crate::record::LedgerJob;
use std::time::Duration;

/// A capacity summary that was read longer ago than this is not relied on: five times the interval at
/// which cells publish it.
pub(super) const MAX_SUMMARY_AGE: Duration = Duration::from_secs(15);

impl Planner {
    /// Whether a job that waits should leave the cell. It has waited long and has not moved too often, or
    /// the cell is being drained; few jobs are leaving; and another cell has room that no work waits for.
    pub(super) fn should_spill(
        &self,
        round: Round<'_>,
        job: &LedgerJob,
        age_ms: u64,
        leaving: usize,
    ) -> bool {
        let waited_long = self
            .spill_after
            .is_some_and(|after| Duration::from_millis(age_ms) >= after);
        let may_move = waited_long && job.spill_count < self.max_spills_per_job;
        (may_move || round.replica.is_draining(&self.cell))
            && leaving < self.max_concurrent_spills
            && self.choose_roomiest_cell(round, job).is_some()
    }

    /// The next owner of a job that this cell cannot run: its home, rather than nobody, or else a cell that
    /// has room.
    pub(super) fn choose_cell_for_declined(
        &self,
        round: Round<'_>,
        job: &LedgerJob,
    ) -> Option<String> {
        let home = &job.home;
        if *home != self.cell && round.replica.is_present(home) {
            return Some(home.clone());
        }
        self.choose_roomiest_cell(round, job)
    }

    /// The next owner of a job: of the cells that are present, are not drained and have not declined it,
    /// the one that the ranking chooses.
    pub(super) fn choose_roomiest_cell(&self, round: Round<'_>, job: &LedgerJob) -> Option<String> {
        let replica = round.replica;
        let eligible = replica.cells.keys().filter(|name| {
            **name != self.cell
                && !job.declined_by.contains(name)
                && replica.is_present(name)
                && !replica.is_draining(name)
        });
        let candidates: Vec<Candidate> =
            eligible.filter_map(|name| candidate(round, name)).collect();
        self.ranking.choose(&job.description, &candidates)
    }
}

/// A cell with the capacity that it published; `None` if that is too old, or if work waits there.
fn candidate(round: Round<'_>, cell: &str) -> Option<Candidate> {
    let state = round.replica.cells.get(cell)?;
    let summary = &state.presence.as_ref()?.record.summary;
    let age = round
        .now
        .saturating_duration_since(state.presence_updated_at?);
    let candidate = Candidate {
        name: cell.to_owned(),
        free_cpus: summary.free_cpus,
        can_rent: summary.can_rent,
    };
    let has_room =
        age <= MAX_SUMMARY_AGE && summary.waiting_tasks == 0 && candidate.capacity_score() > 0.0;
    has_room.then_some(candidate)
}
