//! An in-memory cache of jobs' final states. The oldest entries are evicted and read from the ledger again
//! when they are needed.

use crate::record::FinalState;
use std::collections::{HashMap, VecDeque};

/// Capacity of the cache.
const MAX_FINAL_STATES: usize = 20_000;

/// Bounded cache of final states, which never change once written.
#[derive(Debug, Default)]
pub(super) struct FinalStateCache {
    states: HashMap<String, FinalState>,
    /// The jobs in `states`, in the order of insertion.
    insertion_order: VecDeque<String>,
}

impl FinalStateCache {
    /// A job's final state, if it is in memory.
    pub(super) fn get(&self, id: &str) -> Option<FinalState> {
        self.states.get(id).copied()
    }

    /// Inserts a job's final state, and evicts the oldest entry if the cache is full.
    pub(super) fn insert(&mut self, id: &str, state: FinalState) {
        if self.states.insert(id.to_owned(), state).is_some() {
            return;
        }
        self.insertion_order.push_back(id.to_owned());
        if self.insertion_order.len() > MAX_FINAL_STATES
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.states.remove(&oldest);
        }
    }
}
