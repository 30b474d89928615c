//! Judges a schedule from outside the cells, by what machines ran and what users were told.

use super::{CANCELLATION_LIMIT, Cell};
use rowanmill_cells::FinalState;
use rowanmill_cells::contact::CANCELLATION_EFFECT_DELAY;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

pub struct Judge {
    start: Instant,
    pub accepted: BTreeSet<String>,
    /// Jobs whose tasks completed somewhere.
    completed: BTreeSet<String>,
    /// Cancellations that are recorded and not confirmed to users yet, with the time of the record.
    recorded_cancellations: BTreeMap<String, Instant>,
    /// When cancellations were confirmed to users.
    confirmed_cancellations: BTreeMap<String, Instant>,
    reported_ends: BTreeMap<String, FinalState>,
    violations: Vec<String>,
}

impl Judge {
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            accepted: BTreeSet::new(),
            completed: BTreeSet::new(),
            recorded_cancellations: BTreeMap::new(),
            confirmed_cancellations: BTreeMap::new(),
            reported_ends: BTreeMap::new(),
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

    /// Confirms recorded cancellations to users once no controller can start the job by an earlier read, or
    /// the job has ended.
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

    /// A user is told how a job ended.
    pub fn end_reported(&mut self, id: &str, end: FinalState, now: Instant) {
        let before = self.reported_ends.insert(id.to_owned(), end);
        if before.is_some_and(|before| before != end) {
            self.report_violation(now, format!("{id} was told two ends"));
        }
        if end == FinalState::Done && !self.completed.contains(id) {
            self.report_violation(now, format!("{id} is told done and is not"));
        }
        if end == FinalState::Done && self.confirmed_cancellations.contains_key(id) {
            self.report_violation(now, format!("{id} was told cancelled and then done"));
        }
    }

    /// A cell is about to start a job.
    pub fn job_starts(&mut self, id: &str, cell: &Cell, cells: &[Cell], now: Instant) {
        if let Some(other) = cells.iter().find(|other| other.running.contains_key(id)) {
            let (here, there) = (cell.name(), other.name());
            self.report_violation(now, format!("{id} starts in {here} and runs in {there}"));
        }
        if self.confirmed_cancellations.contains_key(id) {
            self.report_violation(now, format!("{id} starts after its cancellation"));
        }
    }

    /// Checks that no job runs for too long after its cancellation was confirmed.
    pub fn check_cancellations(&mut self, cells: &[Cell], now: Instant) {
        let runs = |id: &str| cells.iter().any(|cell| cell.running.contains_key(id));
        let confirmed = self.confirmed_cancellations.iter();
        let overdue: Vec<String> = confirmed
            .filter(|(id, at)| runs(id) && now > **at + CANCELLATION_LIMIT)
            .map(|(id, _)| id.clone())
            .collect();
        for id in overdue {
            self.report_violation(now, format!("{id} runs too long after its cancellation"));
        }
    }
}
