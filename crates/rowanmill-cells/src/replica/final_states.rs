//! Final states of jobs in memory. The oldest are dropped, and read from the ledger again when needed.

use crate::record::FinalState;
use std::collections::{HashMap, VecDeque};

/// Final states that are kept.
const MAX_FINAL_STATES: usize = 20_000;

/// Bounded cache of final states, which never change once written.
#[derive(Debug, Default)]
pub(super) struct FinalStateCache {
    states: HashMap<String, FinalState>,
    /// The same jobs, in the order in which they were inserted.
    order: VecDeque<String>,
}

impl FinalStateCache {
    /// A job's final state, if it is in memory.
    pub(super) fn get(&self, id: &str) -> Option<FinalState> {
        self.states.get(id).copied()
    }

    /// Inserts a job's final state, and drops the oldest if there are too many.
    pub(super) fn insert(&mut self, id: &str, state: FinalState) {
        if self.states.insert(id.to_owned(), state).is_some() {
            return;
        }
        self.order.push_back(id.to_owned());
        if self.order.len() > MAX_FINAL_STATES
            && let Some(oldest) = self.order.pop_front()
        {
            self.states.remove(&oldest);
        }
    }
}
