//! A deterministic simulation of a ledger, users, and cells with two controllers, their own records and machines
//! each. Simulated time advances in steps, and all random choices derive from one seed.

mod cell;
mod checker;
mod controller;
mod controller_step;
mod delivery;
pub mod ledger;
mod records;
mod users;

use cell::Cell;
use checker::InvariantChecker;
use delivery::DelayedWrite;
use ledger::Ledger;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rowanmill_cells::FinalState;
use rowanmill_cells::record::final_key;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

pub const CELLS: [&str; 3] = ["a", "b", "c"];
const CONTROLLERS_PER_CELL: usize = 2;
const WORKER_LEASE: Duration = Duration::from_secs(4);
/// Maximum time that a task may run after the cancellation of its job was confirmed.
const CANCELLATION_LIMIT: Duration = Duration::from_secs(10);
/// Simulated time per step.
const STEP: Duration = Duration::from_millis(100);
/// Length of the first part of a schedule, in which faults are injected and jobs are submitted.
const FAULT_PERIOD: Duration = Duration::from_secs(80);
/// Time after the fault period within which all jobs must end.
const RECOVERY_PERIOD: Duration = Duration::from_secs(120);

/// A safeguard that is removed, to verify that the checker detects the resulting violations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Defect {
    /// All safeguards are in place.
    None,
    /// Jobs are taken over so soon after a cell became absent that their tasks may still run there.
    TakeOverAtOnce,
    /// Controllers start tasks regardless of the age of their last read of the ledger.
    StartWithoutRead,
    /// A final state is written without preconditions on the ledger's current state.
    FinishWithoutPrecondition,
}

/// Numbers of the events that the schedules are meant to contain.
#[derive(Debug, Default, Clone, Copy)]
pub struct EventCounts {
    /// Delayed writes whose preconditions still held.
    pub late_writes_applied: usize,
    pub takeovers: usize,
    pub handovers: usize,
    pub cancellations: usize,
    /// Restarts of all controllers of a cell.
    pub restarts: usize,
    /// Adoptions that a cell sent for a job that it had relinquished before.
    pub readoptions: usize,
}

impl std::ops::AddAssign for EventCounts {
    fn add_assign(&mut self, other: Self) {
        self.late_writes_applied += other.late_writes_applied;
        self.takeovers += other.takeovers;
        self.handovers += other.handovers;
        self.cancellations += other.cancellations;
        self.restarts += other.restarts;
        self.readoptions += other.readoptions;
    }
}

pub struct Model {
    rng: StdRng,
    defect: Defect,
    start: Instant,
    now: Instant,
    ledger: Ledger,
    cells: Vec<Cell>,
    /// Writes in transit, with the times at which they are carried out.
    delayed_writes: Vec<(Instant, DelayedWrite)>,
    submitted: BTreeSet<String>,
    checker: InvariantChecker,
    pub counts: EventCounts,
}

impl Model {
    pub fn new(seed: u64, defect: Defect) -> Self {
        let start = Instant::now();
        Self {
            rng: StdRng::seed_from_u64(seed),
            defect,
            start,
            now: start,
            ledger: Ledger::default(),
            cells: cell::all_cells(defect, start),
            delayed_writes: Vec::new(),
            submitted: BTreeSet::new(),
            checker: InvariantChecker::new(start),
            counts: EventCounts::default(),
        }
    }

    pub fn violations(&self) -> &[String] {
        self.checker.violations()
    }

    /// Runs the schedule through the fault period and until all jobs have ended, or until an invariant is violated.
    /// Reports the jobs that have not ended in time as violations.
    pub fn run(&mut self) {
        while self.now < self.start + FAULT_PERIOD + RECOVERY_PERIOD {
            self.step();
            if !self.violations().is_empty() {
                return;
            }
            if !self.in_fault_period() && self.all_ended() {
                return;
            }
        }
        for id in &self.checker.accepted.clone() {
            if final_state(&self.ledger, id).is_none() {
                let held = self.ledger.job(id);
                let violation = format!("{id} has not ended: {held:?}");
                self.checker.report_violation(self.now, violation);
            }
        }
    }

    fn in_fault_period(&self) -> bool {
        self.now < self.start + FAULT_PERIOD
    }

    fn all_ended(&self) -> bool {
        let mut accepted = self.checker.accepted.iter();
        self.delayed_writes.is_empty() && accepted.all(|id| final_state(&self.ledger, id).is_some())
    }

    /// True with this probability during the fault period, and always false afterwards.
    fn chance(&mut self, probability: f64) -> bool {
        self.in_fault_period() && self.rng.random_bool(probability)
    }

    fn step(&mut self) {
        self.now += STEP;
        self.ledger.expire_leases(self.now);
        self.carry_out_delayed_writes();
        self.inject_faults();
        self.simulate_users();
        for cell in 0..self.cells.len() {
            for number in 0..CONTROLLERS_PER_CELL {
                self.step_controller(cell, number);
            }
            self.run_machines(cell);
            self.cells[cell].remove_stopped_jobs();
        }
        self.checker.check_cancellations(&self.cells, self.now);
    }

    fn inject_faults(&mut self) {
        if !self.in_fault_period() {
            for cell in &mut self.cells {
                cell.is_full = false;
            }
            return;
        }
        for cell in 0..self.cells.len() {
            let duration = Duration::from_millis(self.rng.random_range(200..25_000));
            let until = self.now + duration;
            if self.chance(0.004) {
                self.cells[cell].kill_controllers(until);
                self.counts.restarts += 1;
            }
            let number = self.rng.random_range(0..CONTROLLERS_PER_CELL);
            if self.chance(0.01) {
                self.cells[cell].controllers[number].cut_off_until = until;
            }
            if self.chance(0.01) {
                self.cells[cell].controllers[number].paused_until = until;
            }
            if self.chance(0.01) {
                self.cells[cell].is_full = self.rng.random_bool(0.5);
            }
        }
    }

    /// Handles the heartbeats of a cell's machines and starts the jobs that the cell can start now.
    fn run_machines(&mut self, cell: usize) {
        let now = self.now;
        for id in self.cells[cell].handle_heartbeats(now) {
            self.checker.job_completed(id);
        }
        for id in self.cells[cell].startable_jobs(now) {
            let starting = &self.cells[cell];
            self.checker.job_starts(&id, starting, &self.cells, now);
            let duration = Duration::from_millis(self.rng.random_range(1_000..15_000));
            self.cells[cell].start_task(&id, now, duration);
        }
    }
}

fn final_state(ledger: &Ledger, id: &str) -> Option<FinalState> {
    ledger.read(&final_key(id))
}
