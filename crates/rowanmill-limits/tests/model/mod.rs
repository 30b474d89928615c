//! A deterministic model of a state service, jobs and controllers, which runs in one thread and is driven by
//! a seed. Transactions can be answered, applied without an answer, applied late or refused. They can be
//! interleaved in any order with reads, completions of tasks, and kills and restarts of controllers.

mod controller;
mod generate;
mod script;
mod store;

use controller::Controller;
use generate::{UNITS_PER_RESOURCE, random_jobs, random_limit};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rowanmill_limits::{TeamLimit, Versioned};
use std::time::{Duration, Instant};
use store::{Job, Store, TaskState, Transaction, Write};

/// A safeguard that the controllers omit, to show that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Omission {
    Nothing,
    /// Starts do not require the record's revision.
    RecordPrecondition,
    /// Starts do not require the assignment's revision.
    AssignmentPrecondition,
    /// Starts in doubt are not charged.
    InDoubtStarts,
    /// Transfers in doubt are not charged.
    InDoubtTransfers,
    /// A controller resolves transactions in doubt without reading first: after its own write, it acts as if
    /// it had also applied all changes that came before that write.
    ReadBeforeResolving,
    /// The leader allocates without first reading all changes up to the previous record and the assignment.
    ReadBeforeAllocating,
    /// The leader allocates without a freeze after the limit changed.
    Freeze,
}

/// The outcome of a transaction. One that is applied has an effect only if its preconditions hold at that time.
#[derive(Debug, Clone, Copy)]
pub enum Outcome {
    Answered,
    /// Applied, but the answer is lost.
    AnswerLost,
    /// Not answered, but applied later.
    Delayed,
    /// Not applied, and answered so.
    Refused,
}

pub struct Model {
    random: StdRng,
    /// The probability that a controller reads before it acts; it differs between schedules.
    read_probability: f64,
    /// The average number of steps in 60 that may inject a fault; it differs between schedules.
    faults_per_60: u32,
    omission: Omission,
    store: Store,
    controllers: Vec<Option<Controller>>,
    delayed: Vec<Transaction>,
    incarnations: u64,
    limit: TeamLimit,
    now: Instant,
    /// The outcome of all transactions; `None` if each one's is random.
    pub outcome: Option<Outcome>,
    /// Descriptions of starts after which more was in use than the limit in the team's record at that time, or
    /// which were applied without such a record.
    pub overshoots: Vec<String>,
    pub starts: usize,
    /// Transfers and fences that were answered as applied.
    pub record_changes: usize,
    /// The longest sequence of rounds without a start while a waiting task fits into the headroom that the
    /// limit leaves. A round in which a gang waits ends the sequence, because headroom that accumulates for a
    /// gang is left unused on purpose.
    pub longest_idle: usize,
}

pub const CONTROLLERS: usize = 3;

/// The prefix of the names of a controller's incarnations.
fn name_prefix(index: usize) -> String {
    format!("m{index}#")
}

impl Model {
    pub fn new(seed: u64, omission: Omission) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let limit = random_limit(&mut random);
        let jobs = random_jobs(&mut random, &limit);
        let mut model = Self {
            read_probability: random.random_range(0.05..0.6),
            faults_per_60: random.random_range(1..10),
            store: Store {
                jobs,
                ..Store::default()
            },
            controllers: (0..CONTROLLERS).map(|_| None).collect(),
            delayed: Vec::new(),
            incarnations: 0,
            now: Instant::now(),
            outcome: None,
            overshoots: Vec::new(),
            starts: 0,
            record_changes: 0,
            longest_idle: 0,
            random,
            omission,
            limit,
        };
        (0..CONTROLLERS).for_each(|index| model.restart(index));
        model
    }

    /// Replaces a controller by its next incarnation.
    fn restart(&mut self, index: usize) {
        self.incarnations += 1;
        let prefix = name_prefix(index);
        let name = format!("{prefix}{}", self.incarnations);
        self.expire(&prefix);
        self.store.present.insert(name.clone());
        let replica = self.store.clone();
        let controller = Controller::new(name, replica, self.limit, self.omission);
        self.controllers[index] = Some(controller);
    }

    /// Expires the presence of the controllers whose names start with `prefix`, and their leadership.
    fn expire(&mut self, prefix: &str) {
        self.store.present.retain(|name| !name.starts_with(prefix));
        let leader = self.store.leader.as_ref();
        if leader.is_some_and(|leader| leader.record.starts_with(prefix)) {
            self.store.revision += 1;
            self.store.leader = None;
        }
    }

    fn expire_controller(&mut self, index: usize) {
        self.expire(&name_prefix(index));
        self.store.revision += 1;
    }

    /// Applies a transaction if its preconditions hold; returns whether they did.
    fn apply(&mut self, transaction: &Transaction) -> bool {
        if !self.store.satisfies(&transaction.preconditions) {
            return false;
        }
        self.store.revision += 1;
        let revision = self.store.revision;
        self.store.apply(&transaction.write, revision);
        if let Write::Start { .. } = transaction.write {
            self.starts += 1;
            self.check_limit();
        }
        true
    }

    fn check_limit(&mut self) {
        let record = self.store.record.as_ref();
        let limit = record.map(|versioned| versioned.record.limit);
        let used = self.store.used();
        if !limit.is_some_and(|limit| used.fits_within(limit)) {
            let revision = self.store.revision;
            self.overshoots
                .push(format!("{used:?} of {limit:?} at {revision}"));
        }
    }

    fn random_outcome(&mut self) -> Outcome {
        match self.random.random_range(0..10) {
            0 => Outcome::AnswerLost,
            1 | 2 => Outcome::Delayed,
            3 => Outcome::Refused,
            _ => Outcome::Answered,
        }
    }

    /// Sends a transaction of a controller. Returns whether it was applied, or `None` if there is no answer.
    fn send(&mut self, index: usize, mut transaction: Transaction) -> Option<bool> {
        if matches!(transaction.write, Write::Start { .. }) {
            match self.omission {
                Omission::RecordPrecondition => transaction.preconditions.record = None,
                Omission::AssignmentPrecondition => transaction.preconditions.assignment = None,
                _ => {}
            }
        }
        let outcome = match self.outcome {
            Some(outcome) => outcome,
            None => self.random_outcome(),
        };
        match outcome {
            Outcome::Answered => {
                let is_applied = self.apply(&transaction);
                let revision = self.store.revision;
                if is_applied && let Some(controller) = &mut self.controllers[index] {
                    controller.replica.apply(&transaction.write, revision);
                }
                Some(is_applied)
            }
            Outcome::Refused => Some(false),
            Outcome::AnswerLost => {
                self.apply(&transaction);
                None
            }
            Outcome::Delayed => {
                self.delayed.push(transaction);
                None
            }
        }
    }

    /// Performs one step of one controller, sometimes after a read.
    fn act(&mut self, index: usize) {
        if self.random.random_bool(self.read_probability) {
            self.read(index);
        }
        match self.random.random_range(0..6) {
            0 => (0..2).for_each(|_| self.lead(index)),
            1 => self.change(index),
            _ => (0..4).for_each(|_| self.start(index)),
        }
    }

    /// Lets a controller read all records and its team's limit. Makes it the leader if there is none, which it
    /// sees at its next read.
    pub fn read(&mut self, index: usize) {
        let Some(controller) = &mut self.controllers[index] else {
            return;
        };
        controller.replica = self.store.clone();
        controller.limit = self.limit;
        if self.store.leader.is_none() {
            self.store.revision += 1;
            self.store.leader = Some(Versioned {
                record: controller.name.clone(),
                revision: self.store.revision,
            });
        }
    }

    /// Lets a controller perform the leader's part if its replica shows it as the leader.
    pub fn lead(&mut self, index: usize) {
        let controller = self.controllers[index].as_ref();
        if let Some(transaction) = controller.and_then(Controller::leader_transaction) {
            self.send(index, transaction);
        }
    }

    /// Lets a controller write a transfer or fence, if one is due.
    pub fn change(&mut self, index: usize) {
        let Some(controller) = &mut self.controllers[index] else {
            return;
        };
        let Some(change) = controller.next_change(self.now) else {
            return;
        };
        let transaction = Transaction {
            preconditions: store::Preconditions {
                record: Some(change.base_revision),
                ..store::Preconditions::default()
            },
            write: Write::Record(change.record),
        };
        match self.send(index, transaction) {
            None if self.omission != Omission::InDoubtTransfers => {
                let controller = self.controllers[index].as_mut().unwrap();
                controller.record_in_doubt(change.transferred, change.base_revision);
            }
            answer => self.record_changes += usize::from(answer == Some(true)),
        }
    }

    /// Lets a controller start one of its waiting units, if it has the headroom for any.
    pub fn start(&mut self, index: usize) {
        let Some(controller) = &mut self.controllers[index] else {
            return;
        };
        let starts = controller.permitted_starts();
        if starts.is_empty() {
            return;
        }
        let start = &starts[self.random.random_range(0..starts.len())];
        let record_revision = controller.replica.record_revision();
        let transaction = controller.start_transaction(start);
        if self.send(index, transaction).is_none() && self.omission != Omission::InDoubtStarts {
            let controller = self.controllers[index].as_mut().unwrap();
            controller.record_in_doubt(start.need, record_revision);
        }
    }

    /// Completes the first placed task of a random job.
    fn complete_task(&mut self) {
        let jobs = self.store.jobs.iter().enumerate();
        let placed: Vec<(usize, usize)> = jobs
            .filter_map(|(index, job)| Some((index, job.indices(TaskState::Placed).next()?)))
            .collect();
        if placed.is_empty() {
            return;
        }
        let (job, task) = placed[self.random.random_range(0..placed.len())];
        self.store.revision += 1;
        self.store.jobs[job].tasks[task] = TaskState::Done;
        self.store.jobs[job].revision = self.store.revision;
    }

    /// Delivers one of the delayed transactions, if there are any; returns whether it was applied.
    pub fn deliver_delayed(&mut self) -> bool {
        if self.delayed.is_empty() {
            return false;
        }
        let index = self.random.random_range(0..self.delayed.len());
        let transaction = self.delayed.swap_remove(index);
        self.apply(&transaction)
    }

    /// Injects a random fault: a kill, a restart, an expired presence or a changed limit; or nothing.
    fn inject_fault(&mut self) {
        let index = self.random.random_range(0..CONTROLLERS);
        match self.random.random_range(0..12) {
            0 => self.controllers[index] = None,
            1 | 2 => self.restart(index),
            3 => self.expire_controller(index),
            4..=7 => {
                let micro_cpus = self.random.random_range(4..12) * UNITS_PER_RESOURCE;
                self.limit.micro_cpus = Some(micro_cpus);
            }
            _ => {}
        }
    }

    /// Runs `steps` steps with faults.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now += Duration::from_millis(20);
            match self.random.random_range(0..60) {
                roll if roll < self.faults_per_60 => self.inject_fault(),
                10 | 11 => self.complete_task(),
                12..=15 => {
                    self.deliver_delayed();
                }
                _ => {
                    let index = self.random.random_range(0..CONTROLLERS);
                    self.act(index);
                }
            }
        }
    }

    /// Sets the limit to 12 CPUs, delivers all delayed transactions, restarts all controllers, and answers every
    /// transaction from now on.
    pub fn recover(&mut self) {
        self.outcome = Some(Outcome::Answered);
        self.limit.micro_cpus = Some(12 * UNITS_PER_RESOURCE);
        while !self.delayed.is_empty() {
            self.deliver_delayed();
        }
        (0..CONTROLLERS).for_each(|index| self.restart(index));
    }

    /// Runs rounds of a tenth of a second each. In each round, every controller reads and then sends at most
    /// one transaction as the leader, one change of the record and one start. If `with_completions` is set,
    /// one task completes at the end of the round. Returns whether no task waits after at most `max_rounds`.
    pub fn run_rounds(&mut self, max_rounds: usize, with_completions: bool) -> bool {
        let mut idle = 0;
        for _ in 0..max_rounds {
            let starts_before = self.starts;
            self.now += Duration::from_millis(100);
            for index in 0..CONTROLLERS {
                self.read(index);
                self.lead(index);
                self.change(index);
                self.start(index);
            }
            if !self.store.jobs.iter().any(Job::has_waiting) {
                return true;
            }
            if self.starts == starts_before && self.has_usable_headroom() {
                idle += 1;
            } else {
                idle = 0;
            }
            self.longest_idle = self.longest_idle.max(idle);
            if with_completions {
                self.complete_task();
            }
        }
        false
    }

    /// Whether a waiting task fits into the headroom that the limit leaves, and no gang waits.
    fn has_usable_headroom(&self) -> bool {
        let record = self.store.record.as_ref();
        let limit = record.map(|versioned| versioned.record.limit);
        let left = limit.unwrap_or_default().saturating_sub(self.store.used());
        let mut waiting = self.store.jobs.iter().filter(|job| job.has_waiting());
        waiting.clone().all(|job| !job.is_gang) && waiting.any(|job| job.need.fits_within(left))
    }
}
