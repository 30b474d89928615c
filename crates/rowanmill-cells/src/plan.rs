//! Decides what a cell's leader does next: a state machine over the ledger's replica, the cell's own
//! records and the time.
//!
//! It does no I/O and decides by the present state alone, never by what was requested before, so that a
//! controller that becomes the leader continues where another stopped. [`crate::service`] carries out the
//! actions.

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
use handover::AvailableRoom;
use round::{OwnedJob, Round, RoundCounts};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A job that was found ineligible is reconsidered after this time if it is still here: settings change,
/// and protections end.
const INELIGIBILITY_TTL: Duration = Duration::from_secs(60);
/// Time that the controller that accepted a job has to put it into the cell's records. After it the leader
/// does so.
const ACCEPTANCE_WRITE_GRACE: Duration = Duration::from_secs(1);
/// An owned job that was found ineligible for the cell.
#[derive(Debug, Clone, Copy)]
struct Ineligibility {
    epoch: u64,
    since: Instant,
}

/// The state machine of one controller.
#[derive(Debug)]
pub struct Planner {
    cell: String,
    takeover_after: Duration,
    spill_after: Option<Duration>,
    max_concurrent_spills: usize,
    /// Moves of a job after which it moves more slowly.
    max_hasty_spills: u32,
    ranking: Ranking,
    /// Since when owned jobs have been missing from the cell's records.
    missing_since: BTreeMap<String, Instant>,
    /// Jobs that the cell's records say were relinquished, with the epoch of that.
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
            max_hasty_spills: config.spill.moves,
            ranking: config.ranking.clone(),
            missing_since: BTreeMap::new(),
            relinquished: BTreeMap::new(),
            ineligible: BTreeMap::new(),
        }
    }

    /// Notes that the cell's records say that it relinquished the job under this epoch.
    pub fn record_relinquished(&mut self, id: &str, epoch: u64) {
        self.relinquished.insert(id.to_owned(), epoch);
    }

    /// Notes that the cell cannot run the job at present.
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

    /// Which of these jobs this cell must not run. This binds each controller, leader or not.
    pub fn halted_jobs(&self, replica: &LedgerReplica, tracked: &[TrackedJob]) -> BTreeSet<String> {
        let halted = tracked.iter().filter(|job| self.is_halted(replica, job));
        halted.map(|job| job.id.clone()).collect()
    }

    fn is_halted(&self, replica: &LedgerReplica, job: &TrackedJob) -> bool {
        match replica.jobs.get(&job.id) {
            Some(held) => held.record.cancelled || held.record.owner != self.cell,
            // It ended, unless this replica has yet to read its acceptance.
            None => replica.revision >= job.ownership.revision,
        }
    }

    /// The actions of this round. `runnable` are those of [`Planner::takeover_candidates`] that this cell
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
        let mut room = AvailableRoom::of_other_cells(round, &self.cell);
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
            let Some(action) = self.next_action(round, &room, owned) else {
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
                    // Protection that began after the job was adopted: it returns to its home.
                    self.record_ineligible(id, job.record.epoch, round.now);
                }
            }
            if let Action::HandOver { to, .. } = &action {
                room.take(to, &job.record);
            }
            actions.push(action);
        }
        actions
    }

    /// Drops notes about jobs whose epoch has changed, or that are too old.
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

    /// Whether the controller that accepted the job may still be about to put it into the cell's records.
    fn awaits_acceptance_write(&self, id: &str, job: &LedgerJob, now: Instant) -> bool {
        let since = self.missing_since.get(id).copied().unwrap_or(now);
        job.epoch == FIRST_EPOCH
            && job.depends_on.is_empty()
            && now.saturating_duration_since(since) < ACCEPTANCE_WRITE_GRACE
    }

    /// The next action for one owned job, when other cells have this room.
    fn next_action(
        &self,
        round: Round<'_>,
        room: &AvailableRoom,
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
                let leaves =
                    is_excluded(state) || self.should_spill(round, room, &job.record, age_ms);
                leaves.then(|| Action::Withdraw {
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
            // None of its tasks runs here, and no other cell runs it.
            LocalJobState::Completed | LocalJobState::Cancelled => Some(Action::Finish {
                id,
                final_state: FinalState::Cancelled,
            }),
            LocalJobState::Absent if cancelled => Some(Action::Finish {
                id,
                final_state: FinalState::Cancelled,
            }),
            LocalJobState::Absent => self.next_action_for_absent(round, room, id, &job.record),
        }
    }

    /// The next action for an owned job that is not in the cell's records.
    fn next_action_for_absent(
        &self,
        round: Round<'_>,
        room: &AvailableRoom,
        id: String,
        job: &LedgerJob,
    ) -> Option<Action> {
        if self.relinquished.contains_key(&id) {
            return self.next_action_for_relinquished(round, room, id, job);
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
            DependencyState::Unread(id) => Some(Action::ReadFinalState { id }),
        }
    }

    /// The next action for an owned job that the cell has relinquished.
    fn next_action_for_relinquished(
        &self,
        round: Round<'_>,
        room: &AvailableRoom,
        id: String,
        job: &LedgerJob,
    ) -> Option<Action> {
        if self.ineligible.contains_key(&id) {
            // Without another cell that could take it, it stays until one is present.
            let to = self.choose_cell_for_declined(round, room, job)?;
            return Some(Action::HandOver {
                id,
                to,
                reason: HandoverReason::Declined,
            });
        }
        match self.choose_roomiest_cell(room, job) {
            Some(to) => Some(Action::HandOver {
                id,
                to,
                reason: HandoverReason::Waited,
            }),
            None => Some(Action::Reclaim { id }),
        }
    }

    /// Withdrawals of jobs of the cell's records that another cell owns by now, or that have ended.
    fn plan_withdrawals(&self, replica: &LedgerReplica, tracked: &[TrackedJob]) -> Vec<Action> {
        let mut actions = Vec::new();
        for job in tracked {
            let held = replica.jobs.get(&job.id);
            let is_owned = held.is_some_and(|held| held.record.owner == self.cell);
            if job.is_stopping || is_owned || replica.is_unreadable(&job.id) {
                continue;
            }
            if self.is_halted(replica, job) {
                actions.push(Action::Withdraw {
                    id: job.id.clone(),
                    ownership: held.map_or(job.ownership, ownership_of),
                    condition: WithdrawalCondition::Always,
                });
            }
        }
        actions
    }
}

/// Whether a job that has not started is kept from starting by protection.
fn is_excluded(state: LocalJobState) -> bool {
    matches!(
        state,
        LocalJobState::Open {
            excluded_by_protection: true,
            ..
        }
    )
}

/// Logs why an owned job leaves the cell, by the state that decided it.
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
