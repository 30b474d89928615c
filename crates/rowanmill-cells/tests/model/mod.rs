//! The model: a ledger, cells with two controllers each, their own records and machines, and users. Time
//! passes in steps, and all chance comes from one seed.

mod cell;
mod controller;
mod controller_step;
mod delivery;
mod judge;
pub mod ledger;
mod records;
mod users;

use cell::Cell;
use delivery::DelayedWrite;
use judge::Judge;
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
/// Longest time that a task may run after its job's cancellation was confirmed.
const CANCELLATION_LIMIT: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(100);
/// Faults happen, and jobs are submitted, during the first part of a schedule.
const FAULT_PERIOD: Duration = Duration::from_secs(80);
/// Then all jobs must end within this time.
const RECOVERY_PERIOD: Duration = Duration::from_secs(120);

/// What is taken out of the design, to see that the judge notices.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Defect {
    None,
    /// Jobs are taken over as soon as a cell is absent.
    TakeOverAtOnce,
    /// Controllers start tasks however old their read of the ledger is.
    StartWithoutRead,
    /// A final state is written whatever the ledger holds by now.
    FinishWithoutPrecondition,
}

/// How often the events happened that the schedules are for.
#[derive(Debug, Default, Clone, Copy)]
pub struct EventCounts {
    pub late_writes_applied: usize,
    pub takeovers: usize,
    pub handovers: usize,
    pub cancellations: usize,
    /// Cells whose controllers ended and came back.
    pub restarts: usize,
    /// Jobs that were adopted by a cell that had relinquished them before.
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
    delayed_writes: Vec<(Instant, DelayedWrite)>,
    submitted: BTreeSet<String>,
    judge: Judge,
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
            judge: Judge::new(start),
            counts: EventCounts::default(),
        }
    }

    pub fn violations(&self) -> &[String] {
        self.judge.violations()
    }

    /// Plays the schedule until all jobs have ended, or to its first violation.
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
        for id in &self.judge.accepted.clone() {
            if final_state(&self.ledger, id).is_none() {
                let held = self.ledger.job(id);
                let violation = format!("{id} has no end: {held:?}");
                self.judge.report_violation(self.now, violation);
            }
        }
    }

    fn in_fault_period(&self) -> bool {
        self.now < self.start + FAULT_PERIOD
    }

    fn all_ended(&self) -> bool {
        let mut accepted = self.judge.accepted.iter();
        self.delayed_writes.is_empty() && accepted.all(|id| final_state(&self.ledger, id).is_some())
    }

    /// True with this probability, and never after the fault period.
    fn chance(&mut self, probability: f64) -> bool {
        self.in_fault_period() && self.rng.random_bool(probability)
    }

    fn step(&mut self) {
        self.now += STEP;
        self.ledger.expire_leases(self.now);
        self.carry_out_delayed_writes();
        self.inject_faults();
        self.act_as_users();
        for cell in 0..self.cells.len() {
            for number in 0..CONTROLLERS_PER_CELL {
                self.act_as_controller(cell, number);
            }
            self.run_machines(cell);
            self.cells[cell].remove_stopped_jobs();
        }
        self.judge.check_cancellations(&self.cells, self.now);
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

    /// The machines of a cell report to one of its controllers, obey, and start what it has them start.
    fn run_machines(&mut self, cell: usize) {
        let now = self.now;
        for id in self.cells[cell].handle_heartbeats(now) {
            self.judge.job_completed(id);
        }
        for id in self.cells[cell].startable_jobs(now) {
            let starting = &self.cells[cell];
            self.judge.job_starts(&id, starting, &self.cells, now);
            let duration = Duration::from_millis(self.rng.random_range(1_000..15_000));
            self.cells[cell].start_task(&id, now, duration);
        }
    }
}

fn final_state(ledger: &Ledger, id: &str) -> Option<FinalState> {
    ledger.read(&final_key(id))
}
