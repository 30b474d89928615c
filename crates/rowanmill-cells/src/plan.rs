//! Decides which actions a cell's leader takes next, from the replica of the ledger, the cell's own records
//! and the time.
//!
//! The planner does no I/O. It decides by the present state alone and never by earlier requests, so that a
//! new leader continues where the previous one stopped. [`crate::service`] executes the actions.

mod action;
mod dependencies;
mod handover;
mod outside_records;
mod round;
mod takeover;

pub use action::{Action, HandoverReason, LocalJobs};

use crate::config::CellsConfig;
use crate::ranking::Ranking;
use crate::record::{FIRST_EPOCH, FinalState, LedgerJob, OwnershipVersion};
use crate::replica::{LedgerReplica, Versioned};
use crate::scheduler::{LocalJobState, TrackedJob, WithdrawalCondition};
use dependencies::DependencyState;
use handover::AvailableCapacity;
use round::{OwnedJob, Round, RoundCounts};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time after which an ineligible job that the cell still owns is reconsidered: settings may have changed
/// and protection of machines may have ended.
const INELIGIBILITY_TTL: Duration = Duration::from_secs(60);
/// Time that the controller that accepted a job has to write it to the cell's records. After that the
/// leader writes it.
const ACCEPTANCE_WRITE_GRACE: Duration = Duration::from_secs(1);
/// An owned job that was found ineligible for the cell.
#[derive(Debug, Clone, Copy)]
struct Ineligibility {
    epoch: u64,
    since: Instant,
}

/// The planner of one controller, with what it remembers between rounds.
#[derive(Debug)]
pub struct Planner {
    cell: String,
    takeover_after: Duration,
    spill_after: Option<Duration>,
    max_concurrent_spills: usize,
    /// Number of spills after which a job waits longer before each further one.
    spills_before_slowdown: u32,
    ranking: Ranking,
    /// Owned jobs that are missing from the cell's records, with the time at which that was first seen.
    missing_since: BTreeMap<String, Instant>,
    /// Jobs that the cell has relinquished, with the epoch under which its records say so.
    relinquished: BTreeMap<String, u64>,
    /// Jobs that this cell cannot run at present.
    ineligible: BTreeMap<String, Ineligibility>,
}

impl Planner {
    /// A planner for the cell of this name.
    pub fn new(cell: &str, config: &CellsConfig) -> Self {
        Self {
            cell: cell.to_owned(),
            takeover_after: config.takeover_after(),
            spill_after: config.spill.after_s.map(Duration::from_secs_f64),
            max_concurrent_spills: config.spill.at_once,
            spills_before_slowdown: config.spill.moves,
            ranking: config.ranking.clone(),
            missing_since: BTreeMap::new(),
            relinquished: BTreeMap::new(),
            ineligible: BTreeMap::new(),
        }
    }

    /// Remembers that, by its own records, the cell relinquished the job under this epoch.
    pub fn record_relinquished(&mut self, id: &str, epoch: u64) {
        self.relinquished.insert(id.to_owned(), epoch);
    }

    /// Remembers that the cell cannot run the job at present.
    pub fn record_ineligible(&mut self, id: &str, epoch: u64, now: Instant) {
        let ineligibility = Ineligibility { epoch, since: now };
        self.ineligible.insert(id.to_owned(), ineligibility);
    }

    /// The jobs that the ledger says this cell owns.
    pub fn owned_jobs(&self, replica: &LedgerReplica) -> Vec<String> {
        let jobs = replica.jobs.iter();
        let owned = jobs.filter(|(_, job)| job.record.owner == self.cell);
        owned.map(|(id, _)| id.clone()).collect()
    }

    /// The jobs among `tracked` that this cell must not run. Every controller of the cell has to obey this,
    /// not only the leader.
    pub fn halted_jobs(&self, replica: &LedgerReplica, tracked: &[TrackedJob]) -> BTreeSet<String> {
        let halted = tracked.iter().filter(|job| self.is_halted(replica, job));
        halted.map(|job| job.id.clone()).collect()
    }

    fn is_halted(&self, replica: &LedgerReplica, job: &TrackedJob) -> bool {
        match replica.jobs.get(&job.id) {
            Some(current) => current.record.cancelled || current.record.owner != self.cell,
            // The job has ended or its record is unreadable, unless the replica has not read its acceptance
            // yet.
            None => replica.revision >= job.ownership.revision,
        }
    }

    /// The actions of this round. `runnable` holds those of [`Planner::takeover_candidates`] that this cell
    /// could run.
    pub fn plan(
        &mut self,
        replica: &LedgerReplica,
        local_jobs: &LocalJobs,
        now: Instant,
        runnable: &BTreeSet<String>,
    ) -> Vec<Action> {
        let round = Round { replica, now };
        self.discard_outdated(round);
        self.update_missing(local_jobs, now);
        let mut actions = self.plan_owned(round, local_jobs);
        actions.extend(self.plan_withdrawals(replica, &local_jobs.tracked));
        actions.extend(self.plan_takeovers(round, runnable));
        actions
    }

    fn plan_owned(&mut self, round: Round<'_>, local_jobs: &LocalJobs) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut capacity = AvailableCapacity::of_other_cells(round, &self.cell);
        let leaving = self.relinquished.len() + local_jobs.count_withdrawn();
        let mut counts = RoundCounts::new(leaving);
        for (id, state) in &local_jobs.owned {
            let Some(job) = round.replica.jobs.get(id) else {
                continue;
            };
            let owned = OwnedJob {
                id,
                job,
                state: *state,
            };
            let Some(action) = self.next_action(round, &capacity, owned) else {
                continue;
            };
            let is_spill = matches!(action, Action::Withdraw { .. }) && !is_excluded(*state);
            if is_spill && counts.leaving >= self.max_concurrent_spills {
                continue;
            }
            if !counts.admit(&action) {
                continue;
            }
            if matches!(action, Action::Withdraw { .. }) {
                log_withdrawal(id, &job.record, *state);
                if is_excluded(*state) {
                    // Its machines became protected after it was adopted: the cell declines it, and
                    // it returns to the cell that accepted it.
                    self.record_ineligible(id, job.record.epoch, round.now);
                }
            }
            if let Action::HandOver { to, .. } = &action {
                capacity.reserve(to, &job.record);
            }
            actions.push(action);
        }
        actions
    }

    /// Forgets relinquished and ineligible jobs that are no longer open or whose epoch has changed, and
    /// ineligible ones after [`INELIGIBILITY_TTL`].
    fn discard_outdated(&mut self, round: Round<'_>) {
        let is_current = |id: &String, epoch: u64| {
            let job = round.replica.jobs.get(id);
            job.is_some_and(|job| job.record.epoch == epoch)
        };
        self.relinquished.retain(|id, epoch| is_current(id, *epoch));
        self.ineligible.retain(|id, ineligibility| {
            let age = round.now.saturating_duration_since(ineligibility.since);
            is_current(id, ineligibility.epoch) && age < INELIGIBILITY_TTL
        });
    }

    fn update_missing(&mut self, local_jobs: &LocalJobs, now: Instant) {
        let owned = local_jobs.owned.iter();
        let missing = owned.filter(|(_, state)| *state == LocalJobState::Absent);
        let since = |id: &String| self.missing_since.get(id).copied().unwrap_or(now);
        self.missing_since = missing.map(|(id, _)| (id.clone(), since(id))).collect();
    }

    /// Whether the controller that accepted the job may still be writing it to the cell's records.
    fn awaits_acceptance_write(&self, id: &str, job: &LedgerJob, now: Instant) -> bool {
        let since = self.missing_since.get(id).copied().unwrap_or(now);
        job.epoch == FIRST_EPOCH
            && job.depends_on.is_empty()
            && now.saturating_duration_since(since) < ACCEPTANCE_WRITE_GRACE
    }

    /// The next action for one owned job. `capacity` is what other cells have free.
    fn next_action(
        &self,
        round: Round<'_>,
        capacity: &AvailableCapacity,
        owned: OwnedJob<'_>,
    ) -> Option<Action> {
        let OwnedJob { id, job, state } = owned;
        let id = id.to_owned();
        let cancelled = job.record.cancelled;
        match state {
            LocalJobState::Open { .. } if cancelled => Some(Action::Cancel { id }),
            LocalJobState::Open {
                has_started: true, ..
            } => None,
            LocalJobState::Open { age_ms, .. } => {
                let should_leave =
                    is_excluded(state) || self.should_spill(round, capacity, &job.record, age_ms);
                should_leave.then(|| Action::Withdraw {
                    id,
                    ownership: ownership_of(job),
                    condition: WithdrawalCondition::NotStarted,
                })
            }
            LocalJobState::Cancelling | LocalJobState::Withdrawn => None,
            LocalJobState::Completed if !cancelled => Some(Action::Finish {
                id,
                final_state: FinalState::Done,
            }),
            // No task of the job runs here, and no other cell may run it.
            LocalJobState::Completed | LocalJobState::Cancelled => Some(Action::Finish {
                id,
                final_state: FinalState::Cancelled,
            }),
            LocalJobState::Absent if cancelled => Some(Action::Finish {
                id,
                final_state: FinalState::Cancelled,
            }),
            LocalJobState::Absent => self.next_action_for_absent(round, capacity, id, &job.record),
        }
    }

    /// The next action for an owned job that is not in the cell's records.
    fn next_action_for_absent(
        &self,
        round: Round<'_>,
        capacity: &AvailableCapacity,
        id: String,
        job: &LedgerJob,
    ) -> Option<Action> {
        if self.relinquished.contains_key(&id) {
            return self.next_action_for_relinquished(round, capacity, id, job);
        }
        if self.ineligible.contains_key(&id) {
            let epoch = job.epoch;
            return Some(Action::Relinquish { id, epoch });
        }
        if self.awaits_acceptance_write(&id, job, round.now) {
            return None;
        }
        match DependencyState::of(round.replica, job) {
            DependencyState::Completed => Some(Action::Adopt { id }),
            DependencyState::Pending => None,
            DependencyState::Cancelled => Some(Action::CancelInLedger { id }),
            DependencyState::NotCached(id) => Some(Action::ReadFinalState { id }),
        }
    }

    /// The next action for an owned job that the cell has relinquished.
    fn next_action_for_relinquished(
        &self,
        round: Round<'_>,
        capacity: &AvailableCapacity,
        id: String,
        job: &LedgerJob,
    ) -> Option<Action> {
        if self.ineligible.contains_key(&id) {
            // The job stays here until a cell is present that can take it.
            let to = self.choose_cell_for_declined(round, capacity, job)?;
            return Some(Action::HandOver {
                id,
                to,
                reason: HandoverReason::Declined,
            });
        }
        match self.choose_cell_with_capacity(capacity, job) {
            Some(to) => Some(Action::HandOver {
                id,
                to,
                reason: HandoverReason::Waited,
            }),
            None => Some(Action::Reclaim { id }),
        }
    }

    /// Plans the withdrawal of jobs in the cell's records that another cell owns now or that have ended.
    fn plan_withdrawals(&self, replica: &LedgerReplica, tracked: &[TrackedJob]) -> Vec<Action> {
        let mut actions = Vec::new();
        for job in tracked {
            let current = replica.jobs.get(&job.id);
            let is_owned = current.is_some_and(|current| current.record.owner == self.cell);
            if job.is_stopping || is_owned || replica.is_unreadable(&job.id) {
                continue;
            }
            if self.is_halted(replica, job) {
                actions.push(Action::Withdraw {
                    id: job.id.clone(),
                    ownership: current.map_or(job.ownership, ownership_of),
                    condition: WithdrawalCondition::Always,
                });
            }
        }
        actions
    }
}

/// Whether a job that another cell accepted cannot start here because all machines that it may use are
/// protected.
fn is_excluded(state: LocalJobState) -> bool {
    matches!(
        state,
        LocalJobState::Open {
            excluded_by_protection: true,
            ..
        }
    )
}

/// Logs the state because of which an owned job leaves the cell.
fn log_withdrawal(id: &str, job: &LedgerJob, state: LocalJobState) {
    let LocalJobState::Open {
        age_ms,
        excluded_by_protection,
        ..
    } = state
    else {
        return;
    };
    tracing::debug!(
        job = id,
        waited_ms = age_ms,
        excluded_by_protection,
        spill_count = job.spill_count,
        declined_by = ?job.declined_by,
        "job leaves the cell"
    );
}

fn ownership_of(job: &Versioned<LedgerJob>) -> OwnershipVersion {
    OwnershipVersion {
        epoch: job.record.epoch,
        revision: job.revision,
    }
}

#[cfg(test)]
mod tests;
