//! What one round of the planner decides by, and the bounds on what it does.

use super::Action;
use crate::record::LedgerJob;
use crate::replica::{LedgerReplica, Versioned};
use crate::scheduler::LocalJobState;
use std::time::Instant;

/// Most jobs that are put into the cell's records in one round.
const MAX_ADOPTIONS_PER_ROUND: usize = 64;
/// Most final states that are read from the ledger in one round.
const MAX_FINAL_STATE_READS_PER_ROUND: usize = 8;

/// The state that one round decides by.
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

/// Actions of one round so far that are bounded in number.
pub(super) struct RoundCounts {
    adoptions: usize,
    final_state_reads: usize,
    /// Jobs that are leaving the cell, those of earlier rounds included.
    pub leaving: usize,
}

impl RoundCounts {
    /// The counts at the beginning of a round, when `leaving` jobs are leaving the cell.
    pub fn new(leaving: usize) -> Self {
        Self {
            adoptions: 0,
            final_state_reads: 0,
            leaving,
        }
    }

    /// Whether the round has room for one more such action, which is then counted.
    pub fn admit(&mut self, action: &Action) -> bool {
        match action {
            Action::Adopt { .. } => count_up_to(&mut self.adoptions, MAX_ADOPTIONS_PER_ROUND),
            Action::ReadFinalState { .. } => {
                count_up_to(&mut self.final_state_reads, MAX_FINAL_STATE_READS_PER_ROUND)
            }
            Action::Withdraw { .. } => {
                self.leaving += 1;
                true
            }
            _ => true,
        }
    }
}

fn count_up_to(count: &mut usize, limit: usize) -> bool {
    if *count == limit {
        return false;
    }
    *count += 1;
    true
}
