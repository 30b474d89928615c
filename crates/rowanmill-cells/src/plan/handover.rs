//! Which job leaves the cell because it waits, and which cell it goes to.

use super::{Planner, Round};
use crate::ranking::Candidate;
use crate::record::{CellPresence, LedgerJob};
use crate::replica::{LedgerReplica, Versioned};
use std::time::Duration;

/// A capacity summary that was read longer ago than this is not relied on: five times the interval at
/// which cells publish it.
pub(super) const MAX_SUMMARY_AGE: Duration = Duration::from_secs(15);
/// A job that moved `moves` times waits this many times as long as before in each further cell, and
/// [`MAX_SUMMARY_AGE`] more: all summaries that it then relies on were read after its last move.
const SLOWED_WAIT_FACTOR: u32 = 2;

/// The cells that have room, as far as this cell can know in one round.
#[derive(Debug, Default)]
pub(super) struct AvailableRoom {
    candidates: Vec<Candidate>,
}

impl AvailableRoom {
    /// The room in all cells but `own`.
    pub fn of_other_cells(round: Round<'_>, own: &str) -> Self {
        let others = round.replica.cells.keys().filter(|name| *name != own);
        Self {
            candidates: others.filter_map(|name| candidate(round, name)).collect(),
        }
    }

    /// Takes from a cell's room what a job that is handed over to it uses.
    pub fn take(&mut self, cell: &str, job: &LedgerJob) {
        for candidate in &mut self.candidates {
            if candidate.name == cell {
                candidate.free_cpus = (candidate.free_cpus - job.requested_cpus()).max(0.0);
            }
        }
    }
}

impl Planner {
    /// Whether a job that waits should leave the cell. It has waited long, or the cell is being drained;
    /// few jobs are leaving; and another cell has room that no work waits for.
    pub(super) fn should_spill(
        &self,
        round: Round<'_>,
        room: &AvailableRoom,
        job: &LedgerJob,
        age_ms: u64,
    ) -> bool {
        let waited_long = self
            .wait_before_spill(job.spill_count)
            .is_some_and(|wait| Duration::from_millis(age_ms) >= wait);
        (waited_long || round.replica.is_draining(&self.cell))
            && self.choose_roomiest_cell(room, job).is_some()
    }

    /// How long a job that has moved `spill_count` times waits in a cell before it may move again. The
    /// number of moves bounds only the haste: were it the end, a job whose last move led to a cell without
    /// machines would stay there for good beside cells with room.
    fn wait_before_spill(&self, spill_count: u32) -> Option<Duration> {
        let wait = self.spill_after?;
        if spill_count < self.max_hasty_spills {
            return Some(wait);
        }
        let may_move = self.max_hasty_spills > 0;
        may_move.then(|| wait * SLOWED_WAIT_FACTOR + MAX_SUMMARY_AGE)
    }

    /// The next owner of a job that this cell cannot run: its home, rather than nobody, or else a cell that
    /// has room.
    pub(super) fn choose_cell_for_declined(
        &self,
        round: Round<'_>,
        room: &AvailableRoom,
        job: &LedgerJob,
    ) -> Option<String> {
        let home = &job.home;
        if *home != self.cell && round.replica.is_present(home) {
            return Some(home.clone());
        }
        self.choose_roomiest_cell(room, job)
    }

    /// The next owner of a job: of the cells that have room and have not declined it, the one that the
    /// ranking chooses.
    pub(super) fn choose_roomiest_cell(
        &self,
        room: &AvailableRoom,
        job: &LedgerJob,
    ) -> Option<String> {
        let willing = room.candidates.iter().filter(|candidate| {
            candidate.capacity_score() > 0.0 && !job.declined_by.contains(&candidate.name)
        });
        let willing: Vec<Candidate> = willing.cloned().collect();
        self.ranking.choose(&job.description, &willing)
    }
}

/// A cell with the capacity that it published, less what other cells' jobs use that it did not know of then;
/// `None` if it is absent or drained, if the summary is too old, or if work waits there.
fn candidate(round: Round<'_>, cell: &str) -> Option<Candidate> {
    let replica = round.replica;
    let state = replica.cells.get(cell)?;
    let presence = state.presence.as_ref()?;
    let summary = &presence.record.summary;
    let age = round
        .now
        .saturating_duration_since(state.presence_updated_at?);
    let is_usable = !replica.is_draining(cell) && age <= MAX_SUMMARY_AGE;
    if !is_usable || summary.waiting_tasks > 0 {
        return None;
    }
    let sent_since = cpus_sent_since(replica, cell, presence);
    Some(Candidate {
        name: cell.to_owned(),
        free_cpus: (summary.free_cpus - sent_since).max(0.0),
        can_rent: summary.can_rent,
    })
}

/// CPUs of the cell's open jobs that changed after its capacity summary was computed.
fn cpus_sent_since(replica: &LedgerReplica, cell: &str, presence: &Versioned<CellPresence>) -> f64 {
    // A summary without a revision was computed before it was written.
    let known = presence.record.summary.ledger_revision;
    let known = known.unwrap_or(presence.revision);
    let jobs = replica.jobs.values();
    let sent = jobs
        .filter(|job| job.record.owner == cell && !job.record.cancelled && job.revision > known);
    sent.map(|job| job.record.requested_cpus()).sum()
}
