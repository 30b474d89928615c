//! The model: a ledger, cells with two controllers each, their own records and machines, and users.

mod cell;
pub mod ledger;

use cell::{Cell, LocalChange};
use ledger::Ledger;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rowanmill_cells::WithdrawalCondition;
use rowanmill_cells::contact::CANCELLATION_EFFECT_DELAY;
use rowanmill_cells::plan::Action;
use rowanmill_cells::record::{FinalState, LedgerJob, OwnershipVersion, final_key};
use rowanmill_cells::transaction::{self, LedgerChange, Transaction};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

pub const CELLS: [&str; 3] = ["a", "b", "c"];
pub const CONTROLLERS: usize = 2;
pub const WORKER_LEASE: Duration = Duration::from_secs(4);
pub const CANCEL: Duration = Duration::from_secs(10);
const JOBS: usize = 8;
const TICK: Duration = Duration::from_millis(100);
const TROUBLES: Duration = Duration::from_secs(80);
const QUIET: Duration = Duration::from_secs(120);

/// What is taken out of the design, to see that the check notices.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// Jobs are taken over as soon as a cell is missing.
    TakeOverAtOnce,
    /// Controllers start tasks however old their reading of the ledger is.
    StartWithoutReading,
    /// An end is written whatever the ledger says by now.
    FinishWithoutGuard,
}

/// How often things happened that the schedules are for.
#[derive(Debug, Default, Clone, Copy)]
pub struct Totals {
    pub late_applied: usize,
    pub takeovers: usize,
    pub handovers: usize,
    pub cancelled: usize,
    pub returns: usize,
    /// Jobs that were taken by a cell that had given them up before.
    pub taken_again: usize,
}

impl Totals {
    pub fn add(&mut self, other: &Totals) {
        self.late_applied += other.late_applied;
        self.takeovers += other.takeovers;
        self.handovers += other.handovers;
        self.cancelled += other.cancelled;
        self.returns += other.returns;
        self.taken_again += other.taken_again;
    }
}

/// A change that was sent and is carried out later, or never answered.
enum Late {
    Ledger(Transaction),
    Local(usize, LocalChange),
}

pub struct Model {
    rng: StdRng,
    fault: Fault,
    start: Instant,
    now: Instant,
    ledger: Ledger,
    cells: Vec<Cell>,
    late: Vec<(Instant, Late)>,
    submitted: BTreeSet<String>,
    accepted: BTreeSet<String>,
    /// Jobs whose tasks completed somewhere.
    completed: BTreeSet<String>,
    /// When a cancellation was recorded, and when it was told.
    cancelling: BTreeMap<String, Instant>,
    cancelled: BTreeMap<String, Instant>,
    told: BTreeMap<String, FinalState>,
    broken: Vec<String>,
    pub totals: Totals,
}

impl Model {
    pub fn new(seed: u64, fault: Fault) -> Self {
        let start = Instant::now();
        Self {
            rng: StdRng::seed_from_u64(seed),
            fault,
            start,
            now: start,
            ledger: Ledger::default(),
            cells: (0..CELLS.len())
                .map(|at| Cell::new(at, fault, start))
                .collect(),
            late: Vec::new(),
            submitted: BTreeSet::new(),
            accepted: BTreeSet::new(),
            completed: BTreeSet::new(),
            cancelling: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            told: BTreeMap::new(),
            broken: Vec::new(),
            totals: Totals::default(),
        }
    }

    pub fn violations(&self) -> &[String] {
        &self.broken
    }

    fn note_broken(&mut self, what: String) {
        let at = self.now.duration_since(self.start).as_secs_f64();
        self.broken.push(format!("{at:.1} s: {what}"));
    }

    pub fn run(&mut self) {
        while self.now < self.start + TROUBLES + QUIET {
            self.tick();
            if !self.broken.is_empty() {
                return;
            }
            if !self.in_trouble() && self.all_over() {
                return;
            }
        }
        for id in self.accepted.clone() {
            if self.final_state(&id).is_none() {
                let held = self.ledger.job(&id);
                self.note_broken(format!("{id} has no end: {held:?}"));
            }
        }
    }

    fn in_trouble(&self) -> bool {
        self.now < self.start + TROUBLES
    }

    fn final_state(&self, id: &str) -> Option<FinalState> {
        self.ledger.read(&final_key(id))
    }

    fn all_over(&self) -> bool {
        self.late.is_empty()
            && self
                .accepted
                .iter()
                .all(|id| self.final_state(id).is_some())
    }

    fn chance(&mut self, part: f64) -> bool {
        self.in_trouble() && self.rng.random_bool(part)
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.ledger.end_leases(self.now);
        self.carry_out_late();
        self.make_trouble();
        self.users();
        for at in 0..self.cells.len() {
            for controller in 0..CONTROLLERS {
                self.controller(at, controller);
            }
            self.machines(at);
            self.cells[at].settle();
        }
        self.check();
    }

    fn carry_out_late(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.late)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.late = rest;
        for (_, late) in due {
            let applied = match late {
                Late::Ledger(transaction) => self.ledger.transact(&transaction, now).is_ok(),
                Late::Local(cell, change) => self.cells[cell].records.apply(&change),
            };
            self.totals.late_applied += usize::from(applied);
        }
    }

    fn make_trouble(&mut self) {
        if !self.in_trouble() {
            for cell in &mut self.cells {
                cell.calm();
            }
            return;
        }
        for at in 0..self.cells.len() {
            let long = Duration::from_millis(self.rng.random_range(200..25_000));
            if self.chance(0.004) {
                self.cells[at].kill(self.now + long);
                self.totals.returns += 1;
            }
            let controller = self.rng.random_range(0..CONTROLLERS);
            if self.chance(0.01) {
                self.cells[at].controllers[controller].cut_until = self.now + long;
            }
            if self.chance(0.01) {
                self.cells[at].controllers[controller].pause(self.now + long);
            }
            if self.chance(0.01) {
                let full = self.rng.random_bool(0.5);
                self.cells[at].full = full;
            }
        }
    }

    fn users(&mut self) {
        self.confirm_cancellations();
        let at = self.rng.random_range(0..self.cells.len());
        if self.submitted.len() < JOBS && self.chance(0.05) {
            let id = format!("job-{}", self.submitted.len());
            self.submitted.insert(id.clone());
            self.submit(at, &id);
        }
        if self.chance(0.01)
            && let Some(id) = self.some_job()
        {
            self.cancel(at, &id);
        }
        if let Some(id) = self.some_job()
            && let Some(last) = self.final_state(&id)
        {
            self.tell(&id, last);
        }
    }

    fn some_job(&mut self) -> Option<String> {
        let count = self.accepted.len();
        let nth = self.rng.random_range(0..count.max(1));
        self.accepted.iter().nth(nth).cloned()
    }

    fn submit(&mut self, at: usize, id: &str) {
        let job = LedgerJob {
            owner: CELLS[at].to_owned(),
            epoch: 1,
            home: CELLS[at].to_owned(),
            cancelled: false,
            spill_count: 0,
            declined_by: Vec::new(),
            depends_on: Vec::new(),
            accepted_ms: 0,
            description: json!({}),
        };
        // However it goes on, the user repeats it until it stands.
        let transaction = transaction::publish(id, &job);
        let Some(mark) = self.send(transaction.clone()) else {
            self.late
                .push((self.now + Duration::from_secs(1), Late::Ledger(transaction)));
            self.accepted.insert(id.to_owned());
            return;
        };
        self.accepted.insert(id.to_owned());
        let ownership = OwnershipVersion {
            epoch: 1,
            revision: mark,
        };
        let put = LocalChange::Put {
            id: id.to_owned(),
            ownership,
            given_up: 0,
        };
        self.send_local(at, put);
    }

    /// Any controller that can read the ledger confirms a cancellation.
    fn cancel(&mut self, at: usize, id: &str) {
        let Some(held) = self.ledger.job(id) else {
            return;
        };
        if self.cells[at].reading(self.now).is_none() || held.0.cancelled {
            return;
        }
        let transaction = transaction::update_job(id, held.1, &held.0.into_cancelled());
        if self.send(transaction).is_some() {
            self.cancelling.insert(id.to_owned(), self.now);
            self.totals.cancelled += 1;
        }
    }

    /// Users are told of cancellations once these have settled, or the job has ended.
    fn confirm_cancellations(&mut self) {
        for (id, since) in self.cancelling.clone() {
            let settled = self.now >= since + CANCELLATION_EFFECT_DELAY;
            if settled || self.final_state(&id) == Some(FinalState::Cancelled) {
                self.cancelling.remove(&id);
                self.cancelled.entry(id).or_insert(self.now);
            }
        }
    }

    fn tell(&mut self, id: &str, last: FinalState) {
        let before = self.told.insert(id.to_owned(), last);
        if before.is_some_and(|before| before != last) {
            self.note_broken(format!("{id} was told two ends"));
        }
        if last == FinalState::Done && !self.completed.contains(id) {
            self.note_broken(format!("{id} is told done and is not"));
        }
        if last == FinalState::Done && self.cancelled.contains_key(id) {
            self.note_broken(format!("{id} was told cancelled and then done"));
        }
    }

    /// Sends a transaction: it may be carried out without an answer, late, or not at all.
    fn send(&mut self, transaction: Transaction) -> Option<u64> {
        let now = self.now;
        if self.chance(0.1) {
            let _ = self.ledger.transact(&transaction, now);
            return None;
        }
        if self.chance(0.15) {
            let late = Duration::from_millis(self.rng.random_range(100..40_000));
            self.late.push((now + late, Late::Ledger(transaction)));
            return None;
        }
        self.ledger.transact(&transaction, now).ok()
    }

    fn send_local(&mut self, at: usize, change: LocalChange) {
        if self.chance(0.15) {
            let late = Duration::from_millis(self.rng.random_range(100..40_000));
            self.late.push((self.now + late, Late::Local(at, change)));
            return;
        }
        self.cells[at].records.apply(&change);
    }

    fn controller(&mut self, at: usize, number: usize) {
        let now = self.now;
        let stands =
            self.cells[at].controllers[number].stands_until(now, self.cells[at].dead_until);
        if stands {
            return;
        }
        let cell = &mut self.cells[at];
        if cell.controllers[number].cut_until <= now {
            cell.read(number, &mut self.ledger, now);
        }
        let controller = &self.cells[at].controllers[number];
        if controller.cut_until > now || !controller.is_loaded() {
            return;
        }
        // Two may take themselves for the leader for a while.
        let leads = number == 0 || self.rng.random_bool(0.05);
        if !leads {
            return;
        }
        self.keep_present(at, number);
        if self.rng.random_bool(0.5) {
            return;
        }
        let actions = self.cells[at].plan(number, now);
        for action in actions {
            self.act(at, number, action);
        }
    }

    fn keep_present(&mut self, at: usize, number: usize) {
        let now = self.now;
        if let Some(transaction) = self.cells[at].keep_present(number, &mut self.ledger, now)
            && self.send(transaction).is_none()
        {
            self.cells[at].controllers[number].lease = None;
        }
    }

    fn act(&mut self, at: usize, number: usize, action: Action) {
        match &action {
            Action::Adopt { id } => self.adopt(at, number, id),
            Action::Cancel { id } => self.change_record(at, id, None, WithdrawalCondition::Always),
            Action::Withdraw {
                id,
                ownership,
                condition,
            } => self.change_record(at, id, Some(*ownership), *condition),
            Action::Relinquish { .. } | Action::ReadFinalState { .. } => {}
            _ => self.change_ledger(at, number, &action),
        }
    }

    fn change_ledger(&mut self, at: usize, number: usize, action: &Action) {
        let replica = &self.cells[at].controllers[number].replica;
        let Some(step) = LedgerChange::for_action(replica, CELLS[at], action, 8) else {
            return;
        };
        let mut transaction = step.transaction;
        if self.fault == Fault::FinishWithoutGuard && matches!(action, Action::Finish { .. }) {
            transaction.preconditions.clear();
        }
        let Some(mark) = self.send(transaction) else {
            return;
        };
        match action {
            Action::TakeOver { .. } => self.totals.takeovers += 1,
            Action::HandOver { .. } => self.totals.handovers += 1,
            _ => {}
        }
        let now = self.now;
        let replica = &mut self.cells[at].controllers[number].replica;
        for (id, record) in step.updated_jobs {
            replica.apply_own_write(&id, record, mark, now);
        }
        if let Some((id, last)) = step.ended_job {
            replica.record_final_state(&id, last);
        }
    }

    fn adopt(&mut self, at: usize, number: usize, id: &str) {
        let cell = &mut self.cells[at];
        let Some(held) = cell.controllers[number].replica.jobs.get(id).cloned() else {
            return;
        };
        if cell.records.has(id) {
            return;
        }
        let given_up = cell.records.given_up(id);
        if let Some((epoch, _)) = given_up
            && epoch == held.record.epoch
        {
            cell.controllers[number]
                .planner
                .record_relinquished(id, epoch);
            return;
        }
        self.totals.taken_again += usize::from(given_up.is_some());
        let put = LocalChange::Put {
            id: id.to_owned(),
            ownership: OwnershipVersion {
                epoch: held.record.epoch,
                revision: held.revision,
            },
            given_up: given_up.map_or(0, |(_, mark)| mark),
        };
        self.send_local(at, put);
    }

    fn change_record(
        &mut self,
        at: usize,
        id: &str,
        ownership: Option<OwnershipVersion>,
        condition: WithdrawalCondition,
    ) {
        let cell = &self.cells[at];
        if condition == WithdrawalCondition::NotStarted && cell.running.contains_key(id) {
            return;
        }
        let Some(mark) = cell.records.mark(id) else {
            return;
        };
        let id = id.to_owned();
        let change = match ownership {
            Some(ownership) => LocalChange::Withdraw {
                id,
                mark,
                ownership,
            },
            None => LocalChange::Cancel { id, mark },
        };
        self.send_local(at, change);
    }

    /// What the machines of a cell do: they ask one of its controllers, and obey.
    fn machines(&mut self, at: usize) {
        let now = self.now;
        let ran = self.cells[at].report(now);
        self.completed.extend(ran);
        for id in self.cells[at].startable(now) {
            let elsewhere =
                (0..self.cells.len()).find(|c| self.cells[*c].running.contains_key(&id));
            if let Some(other) = elsewhere {
                let (here, there) = (CELLS[at], CELLS[other]);
                self.note_broken(format!("{id} starts in {here} and runs in {there}"));
            }
            if self.cancelled.contains_key(&id) {
                self.note_broken(format!("{id} starts after its cancellation"));
            }
            let takes = Duration::from_millis(self.rng.random_range(1_000..15_000));
            self.cells[at].start(&id, now, takes);
        }
    }

    fn check(&mut self) {
        let late = |(id, at): (&String, &Instant)| {
            let runs = self.cells.iter().any(|c| c.running.contains_key(id));
            (runs && self.now > *at + CANCEL).then(|| id.clone())
        };
        let late: Vec<String> = self.cancelled.iter().filter_map(late).collect();
        for id in late {
            self.note_broken(format!("{id} runs too long after its cancellation"));
        }
    }
}
