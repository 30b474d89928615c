//! Which waiting jobs leave the cell, and which cells they go to.

use super::{Planner, Round};
use crate::ranking::Candidate;
use crate::record::{CellPresence, LedgerJob};
use crate::replica::{LedgerReplica, Versioned};
use std::time::Duration;

/// Largest age at which a capacity summary is used, counted from when it was read. It is five times the
/// interval at which cells publish their summaries.
pub(super) const MAX_SUMMARY_AGE: Duration = Duration::from_secs(15);
/// Factor on the wait of a job that has spilled `spill.moves` times or more. Such a job waits
/// [`MAX_SUMMARY_AGE`] in addition, so that every summary by which its next cell is chosen was read after its
/// last move.
const SLOWED_WAIT_FACTOR: u32 = 2;

/// The free capacity of the other cells as this cell knows it in one round.
#[derive(Debug, Default)]
pub(super) struct AvailableCapacity {
    candidates: Vec<Candidate>,
}

impl AvailableCapacity {
    /// The capacity of all cells except `own`.
    pub fn of_other_cells(round: Round<'_>, own: &str) -> Self {
        let others = round.replica.cells.keys().filter(|name| *name != own);
        Self {
            candidates: others.filter_map(|name| candidate(round, name)).collect(),
        }
    }

    /// Subtracts the CPUs of a job from the capacity of the cell that it is handed over to.
    pub fn reserve(&mut self, cell: &str, job: &LedgerJob) {
        for candidate in &mut self.candidates {
            if candidate.name == cell {
                candidate.free_cpus = (candidate.free_cpus - job.requested_cpus()).max(0.0);
            }
        }
    }
}

impl Planner {
    /// Whether a waiting job should leave the cell: it has waited long or the cell is being drained, and
    /// another cell has capacity that no task waits for. The caller bounds how many jobs leave at a time.
    pub(super) fn should_spill(
        &self,
        round: Round<'_>,
        capacity: &AvailableCapacity,
        job: &LedgerJob,
        age_ms: u64,
    ) -> bool {
        let waited_long = self
            .wait_before_spill(job.spill_count)
            .is_some_and(|wait| Duration::from_millis(age_ms) >= wait);
        (waited_long || round.replica.is_draining(&self.cell))
            && self.choose_cell_with_capacity(capacity, job).is_some()
    }

    /// How long a job that has spilled `spill_count` times waits in a cell before it may spill again; `None`
    /// if it may not. A job that reaches the configured number of spills waits longer but is not held: a hard
    /// limit would leave a job whose last move led to a cell without machines there for good, even while
    /// other cells have free capacity.
    fn wait_before_spill(&self, spill_count: u32) -> Option<Duration> {
        let wait = self.spill_after?;
        if spill_count < self.spills_before_slowdown {
            return Some(wait);
        }
        let may_spill = self.spills_before_slowdown > 0;
        may_spill.then(|| wait * SLOWED_WAIT_FACTOR + MAX_SUMMARY_AGE)
    }

    /// The next owner of a job that this cell cannot run: the cell that accepted it, if it is another one
    /// and is present, or else a cell with capacity.
    pub(super) fn choose_cell_for_declined(
        &self,
        round: Round<'_>,
        capacity: &AvailableCapacity,
        job: &LedgerJob,
    ) -> Option<String> {
        let home = &job.home;
        if *home != self.cell && round.replica.is_present(home) {
            return Some(home.clone());
        }
        self.choose_cell_with_capacity(capacity, job)
    }

    /// The next owner of a job: the one that the ranking chooses among the cells that have capacity (free
    /// CPUs, or permission to rent machines) and have not declined the job.
    pub(super) fn choose_cell_with_capacity(
        &self,
        capacity: &AvailableCapacity,
        job: &LedgerJob,
    ) -> Option<String> {
        let eligible = capacity.candidates.iter().filter(|candidate| {
            candidate.capacity_score() > 0.0 && !job.declined_by.contains(&candidate.name)
        });
        let eligible: Vec<Candidate> = eligible.cloned().collect();
        self.ranking.choose(&job.description, &eligible)
    }
}

/// A cell with the capacity that it published, less the CPUs of jobs that it received after it computed its
/// summary. `None` if the cell is absent or being drained, if its summary is too old, or if tasks wait there.
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
    let assigned_cpus = cpus_assigned_since_summary(replica, cell, presence);
    Some(Candidate {
        name: cell.to_owned(),
        free_cpus: (summary.free_cpus - assigned_cpus).max(0.0),
        can_rent: summary.can_rent,
    })
}

/// CPUs of the cell's open jobs whose records changed after its capacity summary was computed.
fn cpus_assigned_since_summary(
    replica: &LedgerReplica,
    cell: &str,
    presence: &Versioned<CellPresence>,
) -> f64 {
    // A summary without a revision was computed before it was written, so it counts no later change.
    let counted_revision = presence.record.summary.ledger_revision;
    let counted_revision = counted_revision.unwrap_or(presence.revision);
    let jobs = replica.jobs.values();
    let assigned = jobs.filter(|job| {
        job.record.owner == cell && !job.record.cancelled && job.revision > counted_revision
    });
    assigned.map(|job| job.record.requested_cpus()).sum()
}
