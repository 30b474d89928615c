//! Checks the invariants of a schedule from outside the cells: by the jobs that machines ran and the final states
//! that were reported to users.

use super::{CANCELLATION_LIMIT, Cell};
use rowanmill_cells::FinalState;
use rowanmill_cells::contact::CANCELLATION_EFFECT_DELAY;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

pub struct InvariantChecker {
    start: Instant,
    pub accepted: BTreeSet<String>,
    /// Jobs that completed in any cell.
    completed: BTreeSet<String>,
    /// Cancellations that were recorded but not yet confirmed to users, with the times at which they were recorded.
    recorded_cancellations: BTreeMap<String, Instant>,
    /// Cancellations that were confirmed to users, with the times of the confirmations.
    confirmed_cancellations: BTreeMap<String, Instant>,
    /// The last final state that was reported to users, by job.
    reported_final_states: BTreeMap<String, FinalState>,
    violations: Vec<String>,
}

impl InvariantChecker {
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            accepted: BTreeSet::new(),
            completed: BTreeSet::new(),
            recorded_cancellations: BTreeMap::new(),
            confirmed_cancellations: BTreeMap::new(),
            reported_final_states: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    pub fn report_violation(&mut self, now: Instant, violation: String) {
        let at = now.duration_since(self.start).as_secs_f64();
        self.violations.push(format!("{at:.1} s: {violation}"));
    }

    pub fn job_completed(&mut self, id: String) {
        self.completed.insert(id);
    }

    pub fn cancellation_recorded(&mut self, id: &str, now: Instant) {
        self.recorded_cancellations.insert(id.to_owned(), now);
    }

    /// Confirms recorded cancellations to users once the job is cancelled in its final state, or no controller can
    /// start it any more by a read from before the cancellation.
    pub fn confirm_cancellations(
        &mut self,
        now: Instant,
        final_state: impl Fn(&str) -> Option<FinalState>,
    ) {
        for (id, since) in self.recorded_cancellations.clone() {
            let is_effective = now >= since + CANCELLATION_EFFECT_DELAY;
            if is_effective || final_state(&id) == Some(FinalState::Cancelled) {
                self.recorded_cancellations.remove(&id);
                self.confirmed_cancellations.entry(id).or_insert(now);
            }
        }
    }

    /// Checks a final state that is reported to a user.
    pub fn final_state_reported(&mut self, id: &str, final_state: FinalState, now: Instant) {
        let previous = self
            .reported_final_states
            .insert(id.to_owned(), final_state);
        if previous.is_some_and(|previous| previous != final_state) {
            self.report_violation(now, format!("two final states of {id} were reported"));
        }
        if final_state == FinalState::Done && !self.completed.contains(id) {
            self.report_violation(
                now,
                format!("{id} was reported as done but has not completed"),
            );
        }
        if final_state == FinalState::Done && self.confirmed_cancellations.contains_key(id) {
            self.report_violation(
                now,
                format!("{id} was confirmed as cancelled, then reported as done"),
            );
        }
    }

    /// Checks a job that a cell is about to start.
    pub fn job_starts(&mut self, id: &str, cell: &Cell, cells: &[Cell], now: Instant) {
        if let Some(other) = cells.iter().find(|other| other.running.contains_key(id)) {
            let (here, there) = (cell.name(), other.name());
            self.report_violation(
                now,
                format!("{id} starts in {here} while it runs in {there}"),
            );
        }
        if self.confirmed_cancellations.contains_key(id) {
            self.report_violation(
                now,
                format!("{id} starts after its cancellation was confirmed"),
            );
        }
    }

    /// Checks that no job runs for longer than [`CANCELLATION_LIMIT`] after its cancellation was confirmed.
    pub fn check_cancellations(&mut self, cells: &[Cell], now: Instant) {
        let runs = |id: &str| cells.iter().any(|cell| cell.running.contains_key(id));
        let confirmed = self.confirmed_cancellations.iter();
        let overdue: Vec<String> = confirmed
            .filter(|(id, at)| runs(id) && now > **at + CANCELLATION_LIMIT)
            .map(|(id, _)| id.clone())
            .collect();
        for id in overdue {
            self.report_violation(
                now,
                format!("{id} runs too long after its cancellation was confirmed"),
            );
        }
    }
}
