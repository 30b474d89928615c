//! The input of one planner round, and the limits on its actions.

use super::Action;
use crate::record::LedgerJob;
use crate::replica::{LedgerReplica, Versioned};
use crate::scheduler::LocalJobState;
use std::time::Instant;

/// Limit on the jobs that are written to the cell's records in one round.
const MAX_ADOPTIONS_PER_ROUND: usize = 64;
/// Limit on the final states that are read from the ledger in one round.
const MAX_FINAL_STATE_READS_PER_ROUND: usize = 8;

/// The ledger's state and the time by which one round decides.
#[derive(Debug, Clone, Copy)]
pub(super) struct Round<'a> {
    pub replica: &'a LedgerReplica,
    pub now: Instant,
}

/// A job that the ledger says this cell owns.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnedJob<'a> {
    pub id: &'a str,
    pub job: &'a Versioned<LedgerJob>,
    /// Its state in the cell's own records.
    pub state: LocalJobState,
}

/// Counts of the actions that have been planned in this round, for those that are limited in number.
pub(super) struct RoundCounts {
    adoptions: usize,
    final_state_reads: usize,
    /// Jobs that are leaving the cell, including those of earlier rounds.
    pub leaving: usize,
}

impl RoundCounts {
    /// The counts at the beginning of a round in which `leaving` jobs are already leaving the cell.
    pub fn new(leaving: usize) -> Self {
        Self {
            adoptions: 0,
            final_state_reads: 0,
            leaving,
        }
    }

    /// Counts the action and returns true, unless the limit for such actions is reached.
    pub fn admit(&mut self, action: &Action) -> bool {
        match action {
            Action::Adopt { .. } => increment_below(&mut self.adoptions, MAX_ADOPTIONS_PER_ROUND),
            Action::ReadFinalState { .. } => {
                increment_below(&mut self.final_state_reads, MAX_FINAL_STATE_READS_PER_ROUND)
            }
            Action::Withdraw { .. } => {
                self.leaving += 1;
                true
            }
            _ => true,
        }
    }
}

fn increment_below(count: &mut usize, limit: usize) -> bool {
    if *count == limit {
        return false;
    }
    *count += 1;
    true
}
