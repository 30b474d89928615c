//! A state service, jobs and controllers in one thread, stepped by a seed. Every order of answered, lost,
//! late and refused transactions, reads, transfers, exits, kills and returns can occur.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rowanmill_limits::{
    AllotmentRecord, Amount, Division, Holder, Limit, LimitsConfig, MemberDemand, TeamView,
    Versioned, WaitingUnit, divide,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

pub const TEAM: &str = "t";

/// What is left out, to see that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Without {
    Nothing,
    RecordGuard,
    AssignmentGuard,
    /// Starts without an answer count for nothing.
    Unanswered,
    /// Nor do transfers.
    UnansweredTransfers,
    /// A controller takes its own changes for proof that it has read all before them.
    ReadBeforeSettling,
    /// The leader divides by what it has read so far.
    ReadBeforeDividing,
    /// The leader divides without a freeze when the limit changed.
    Freeze,
}

#[derive(Debug, Clone)]
struct Job {
    need: Amount,
    gang: bool,
    since_ms: u64,
    /// Of each task: waiting, placed or done.
    tasks: Vec<Task>,
    revision: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Task {
    Waiting,
    Placed,
    Done,
}

impl Job {
    fn count(&self, of: Task) -> u64 {
        self.tasks.iter().filter(|t| **t == of).count() as u64
    }

    fn amount(&self, tasks: u64) -> Amount {
        self.need.zip(self.need, |need, _| need * tasks)
    }
}

/// The records.
#[derive(Debug, Clone, Default)]
struct Store {
    revision: u64,
    /// Incarnations that are present.
    present: BTreeSet<String>,
    leader: Option<Versioned<String>>,
    assignment: Versioned<Vec<String>>,
    record: Option<Versioned<AllotmentRecord>>,
    jobs: Vec<Job>,
}

#[derive(Debug, Clone)]
enum Put {
    Start { job: usize, tasks: Vec<usize> },
    Record(AllotmentRecord),
    Assignment(Vec<String>),
}

#[derive(Debug, Clone)]
struct Transaction {
    record: Option<u64>,
    assignment: Option<u64>,
    leader: Option<u64>,
    job: Option<(usize, u64)>,
    put: Put,
}

impl Store {
    fn record_revision(&self) -> u64 {
        self.record.as_ref().map_or(0, |kept| kept.revision)
    }

    fn holds(&self, txn: &Transaction) -> bool {
        let leader = self.leader.as_ref().map_or(0, |kept| kept.revision);
        txn.record.is_none_or(|at| at == self.record_revision())
            && txn
                .assignment
                .is_none_or(|at| at == self.assignment.revision)
            && txn.leader.is_none_or(|at| at == leader)
            && txn
                .job
                .is_none_or(|(job, at)| at == self.jobs[job].revision)
    }

    fn put(&mut self, put: &Put, revision: u64) {
        match put {
            Put::Start { job, tasks } => {
                let job = &mut self.jobs[*job];
                for task in tasks {
                    job.tasks[*task] = Task::Placed;
                }
                job.revision = revision;
            }
            Put::Record(record) => {
                let record = record.clone();
                self.record = Some(Versioned { record, revision });
            }
            Put::Assignment(members) => {
                let record = members.clone();
                self.assignment = Versioned { record, revision };
            }
        }
    }

    fn used(&self) -> Amount {
        self.jobs
            .iter()
            .map(|j| j.amount(j.count(Task::Placed)))
            .sum()
    }

    fn owner(&self, job: usize) -> Option<&String> {
        let members = &self.assignment.record;
        members.get(job % members.len().max(1))
    }

    fn demands(&self) -> (Vec<MemberDemand>, Amount) {
        let members = self.assignment.record.iter();
        let mut demands: BTreeMap<&String, MemberDemand> = members
            .map(|m| {
                (
                    m,
                    MemberDemand {
                        member: m.clone(),
                        ..MemberDemand::default()
                    },
                )
            })
            .collect();
        let mut unowned = Amount::ZERO;
        for (at, job) in self.jobs.iter().enumerate() {
            let used = job.amount(job.count(Task::Placed));
            let waiting = job.count(Task::Waiting);
            let Some(demand) = self.owner(at).and_then(|o| demands.get_mut(o)) else {
                unowned = unowned.plus(used);
                continue;
            };
            demand.used = demand.used.plus(used);
            demand.waiting = demand.waiting.plus(job.amount(waiting));
            if at % 2 == 0 {
                demand.timely = demand.timely.plus(job.amount(waiting));
            }
            if waiting > 0 {
                let need = job.amount(if job.gang { waiting } else { 1 });
                let unit = WaitingUnit {
                    since_ms: job.since_ms,
                    job: format!("job-{at}"),
                    need,
                    is_gang: job.gang,
                };
                demand.add_unit(unit);
            }
        }
        (demands.into_values().collect(), unowned)
    }
}

struct Controller {
    name: String,
    replica: Store,
    holder: Holder,
    limit: Limit,
}

/// What becomes of a transaction.
#[derive(Debug, Clone, Copy)]
pub enum Fate {
    Answered,
    /// Carried out, and not answered.
    Lost,
    /// Not answered, and carried out later.
    Late,
    Refused,
}

pub struct Model {
    random: StdRng,
    /// How often a controller reads, and how many steps in 60 are troubles: each schedule has its own mix.
    reads: f64,
    troubles: u32,
    without: Without,
    store: Store,
    controllers: Vec<Option<Controller>>,
    late: Vec<Transaction>,
    incarnations: u64,
    limit: Limit,
    now: Instant,
    /// What becomes of transactions; none: the schedule's luck decides.
    pub fate: Option<Fate>,
    /// Starts that put more in use than the limit of the record that they required.
    pub overshoots: Vec<String>,
    pub starts: usize,
    pub transfers: usize,
    /// Most rounds in a row without a start while something that waits fits what the limit leaves. While a
    /// gang collects room, less of it is used on purpose: schedules with gangs do not count.
    pub longest_idle: usize,
}

pub const CONTROLLERS: usize = 3;
const CPU: u64 = 1_000_000;

fn config() -> LimitsConfig {
    LimitsConfig {
        change_every_s: 0.05,
        ..LimitsConfig::default()
    }
}

impl Model {
    pub fn new(seed: u64, without: Without) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let whole = CPU;
        let cpus = random.random_range(4..12) * whole;
        let cards = random.random_range(1..4) * whole;
        let limit = Limit {
            cpus: Some(cpus),
            cards: Some(cards),
        };
        let count = random.random_range(10..20);
        let jobs = (0..count).map(|at| {
            let gang = random.random_bool(0.3);
            let most = if gang { cpus / whole } else { 8 };
            let tasks = random.random_range(1..=most) as usize;
            let cards = u64::from(!gang && random.random_bool(0.3)) * whole;
            let cpus = if gang {
                whole
            } else {
                random.random_range(1..=2) * whole - 1
            };
            let need = Amount { cpus, cards };
            Job {
                need,
                gang,
                since_ms: at,
                tasks: vec![Task::Waiting; tasks],
                revision: 0,
            }
        });
        let jobs = jobs.collect();
        let mut model = Self {
            reads: random.random_range(0.05..0.6),
            troubles: random.random_range(1..10),
            store: Store {
                jobs,
                ..Store::default()
            },
            controllers: (0..CONTROLLERS).map(|_| None).collect(),
            late: Vec::new(),
            incarnations: 0,
            now: Instant::now(),
            fate: None,
            overshoots: Vec::new(),
            starts: 0,
            transfers: 0,
            longest_idle: 0,
            random,
            without,
            limit,
        };
        (0..CONTROLLERS).for_each(|at| model.restart(at));
        model
    }

    fn restart(&mut self, at: usize) {
        self.incarnations += 1;
        let name = format!("m{at}#{}", self.incarnations);
        let prefix = format!("m{at}#");
        self.expire(|present| present.starts_with(&prefix));
        self.store.present.insert(name.clone());
        self.controllers[at] = Some(Controller {
            holder: Holder::new(config(), &name),
            replica: self.store.clone(),
            limit: self.limit,
            name,
        });
    }

    /// The presence of some is over, and the lead with it.
    fn expire(&mut self, of: impl Fn(&str) -> bool) {
        self.store.present.retain(|name| !of(name));
        if self.store.leader.as_ref().is_some_and(|l| of(&l.record)) {
            self.store.revision += 1;
            self.store.leader = None;
        }
    }

    fn carry_out(&mut self, txn: &Transaction) -> bool {
        if !self.store.holds(txn) {
            return false;
        }
        self.store.revision += 1;
        let revision = self.store.revision;
        self.store.put(&txn.put, revision);
        if let Put::Start { .. } = txn.put {
            self.starts += 1;
            let limit = self.store.record.as_ref().map(|r| r.record.limit);
            let used = self.store.used();
            if !limit.is_some_and(|limit| used.fits(limit)) {
                self.overshoots
                    .push(format!("{used:?} of {limit:?} at {revision}"));
            }
        }
        true
    }

    /// Sends a transaction; whether it was answered as carried out, and none if there is no answer.
    fn send(&mut self, at: usize, mut txn: Transaction) -> Option<bool> {
        match self.without {
            Without::RecordGuard if matches!(txn.put, Put::Start { .. }) => txn.record = None,
            Without::AssignmentGuard if matches!(txn.put, Put::Start { .. }) => {
                txn.assignment = None;
            }
            _ => {}
        }
        let fate = self
            .fate
            .unwrap_or_else(|| match self.random.random_range(0..10) {
                0 => Fate::Lost,
                1 | 2 => Fate::Late,
                3 => Fate::Refused,
                _ => Fate::Answered,
            });
        match fate {
            Fate::Answered => {
                let done = self.carry_out(&txn);
                let revision = self.store.revision;
                if done && let Some(controller) = &mut self.controllers[at] {
                    controller.replica.put(&txn.put, revision);
                }
                Some(done)
            }
            Fate::Refused => Some(false),
            Fate::Lost => {
                self.carry_out(&txn);
                None
            }
            Fate::Late => {
                self.late.push(txn);
                None
            }
        }
    }

    /// One step of one controller, often with a reading before it.
    fn act(&mut self, at: usize) {
        if self.random.random_bool(self.reads) {
            self.read(at);
        }
        match self.random.random_range(0..6) {
            0 => (0..2).for_each(|_| self.lead(at)),
            1 => self.change(at),
            _ => (0..4).for_each(|_| self.start(at)),
        }
    }

    pub fn read(&mut self, at: usize) {
        if let Some(controller) = &mut self.controllers[at] {
            controller.replica = self.store.clone();
            controller.limit = self.limit;
            if self.store.leader.is_none() {
                self.store.revision += 1;
                let (record, revision) = (controller.name.clone(), self.store.revision);
                self.store.leader = Some(Versioned { record, revision });
            }
        }
    }

    pub fn lead(&mut self, at: usize) {
        let Some(controller) = &self.controllers[at] else {
            return;
        };
        let replica = &controller.replica;
        let Some(leader) = replica
            .leader
            .as_ref()
            .filter(|l| l.record == controller.name)
        else {
            return;
        };
        let (leader, assignment) = (Some(leader.revision), replica.assignment.revision);
        let present: Vec<String> = replica.present.iter().cloned().collect();
        if present != replica.assignment.record {
            let put = Put::Assignment(present);
            let assignment = Some(assignment);
            let txn = Transaction {
                record: None,
                assignment,
                leader,
                job: None,
                put,
            };
            self.send(at, txn);
            return;
        }
        let (members, unowned) = replica.demands();
        let frozen_for_certain = self.without == Without::Freeze;
        let record = replica.record.as_ref();
        let record =
            record.filter(|r| !frozen_for_certain || r.record.limit == controller.limit.amount());
        let view = rowanmill_limits::division::LeaderView {
            limit: controller.limit,
            record: record.map(|r| Versioned {
                record: &r.record,
                revision: r.revision,
            }),
            assignment,
            revision: match self.without {
                Without::ReadBeforeDividing => u64::MAX,
                _ => replica.revision,
            },
            members: &members,
            unowned,
        };
        let put = match divide(&view) {
            Division::Keep => return,
            Division::Freeze(record) | Division::Divide(record) => Put::Record(record),
        };
        let record = Some(replica.record_revision());
        let assignment = Some(assignment);
        self.send(
            at,
            Transaction {
                record,
                assignment,
                leader,
                job: None,
                put,
            },
        );
    }

    pub fn change(&mut self, at: usize) {
        let Some(mut controller) = self.controllers[at].take() else {
            return;
        };
        let (members, _) = controller.replica.demands();
        let charged = charged(&members, &controller.name);
        let view = view(
            &controller.replica,
            controller.limit,
            &members,
            self.without,
        );
        controller.holder.settle(TEAM, &view);
        let change = controller
            .holder
            .next_change(TEAM, &view, charged, self.now);
        self.controllers[at] = Some(controller);
        if let Some(change) = change {
            let put = Put::Record(change.record);
            let record = Some(change.follows);
            let txn = Transaction {
                record,
                assignment: None,
                leader: None,
                job: None,
                put,
            };
            let assignment = self.controllers[at]
                .as_ref()
                .unwrap()
                .replica
                .assignment
                .revision;
            match self.send(at, txn) {
                None if self.without != Without::UnansweredTransfers => {
                    let controller = self.controllers[at].as_mut().unwrap();
                    let (given, follows) = (change.given, change.follows);
                    controller
                        .holder
                        .note_unanswered(TEAM, given, follows, assignment);
                }
                answer => self.transfers += usize::from(answer == Some(true)),
            }
        }
    }

    pub fn start(&mut self, at: usize) {
        let Some(mut controller) = self.controllers[at].take() else {
            return;
        };
        let replica = &controller.replica;
        let (members, _) = replica.demands();
        let charged = charged(&members, &controller.name);
        let view = view(replica, controller.limit, &members, self.without);
        controller.holder.settle(TEAM, &view);
        let room = controller.holder.room(TEAM, &view, charged);
        let mine = |job: &usize| replica.owner(*job) == Some(&controller.name);
        let startable = (0..replica.jobs.len()).filter(mine).filter_map(|number| {
            let job = &replica.jobs[number];
            let waiting = (0..job.tasks.len()).filter(|t| job.tasks[*t] == Task::Waiting);
            let mut tasks: Vec<usize> = waiting.collect();
            if !job.gang {
                tasks.truncate(1);
            }
            let need = job.amount(tasks.len() as u64);
            (!tasks.is_empty() && need.fits(room)).then_some((number, tasks, need))
        });
        let mut startable: Vec<_> = startable.collect();
        if startable.is_empty() {
            self.controllers[at] = Some(controller);
            return;
        }
        let chosen = self.random.random_range(0..startable.len());
        let (job, tasks, need) = startable.swap_remove(chosen);
        let (record, assignment) = (replica.record_revision(), replica.assignment.revision);
        let txn = Transaction {
            record: Some(record),
            assignment: Some(assignment),
            leader: None,
            job: Some((job, replica.jobs[job].revision)),
            put: Put::Start { job, tasks },
        };
        self.controllers[at] = Some(controller);
        if self.send(at, txn).is_none() && self.without != Without::Unanswered {
            let controller = self.controllers[at].as_mut().unwrap();
            controller
                .holder
                .note_unanswered(TEAM, need, record, assignment);
        }
    }

    /// A placed task ends, and that is recorded.
    fn exit(&mut self) {
        let placed = |job: &Job| job.tasks.iter().position(|t| *t == Task::Placed);
        let found = self.store.jobs.iter().enumerate();
        let found: Vec<_> = found
            .filter_map(|(at, job)| Some((at, placed(job)?)))
            .collect();
        if found.is_empty() {
            return;
        }
        let (job, task) = found[self.random.random_range(0..found.len())];
        self.store.revision += 1;
        self.store.jobs[job].tasks[task] = Task::Done;
        self.store.jobs[job].revision = self.store.revision;
    }

    /// Carries out one of the late transactions; whether it changed anything.
    pub fn deliver_late(&mut self) -> bool {
        if self.late.is_empty() {
            return false;
        }
        let late = self.random.random_range(0..self.late.len());
        let txn = self.late.swap_remove(late);
        self.carry_out(&txn)
    }

    /// Anything that can go wrong.
    fn trouble(&mut self) {
        let at = self.random.random_range(0..CONTROLLERS);
        match self.random.random_range(0..12) {
            0 => self.controllers[at] = None,
            1 | 2 => self.restart(at),
            3 => {
                let gone = format!("m{at}#");
                self.expire(|name| name.starts_with(&gone));
                self.store.revision += 1;
            }
            4..=7 => {
                let cpus = self.random.random_range(4..12) * CPU;
                self.limit.cpus = Some(cpus);
            }
            _ => {}
        }
    }

    /// So many steps with troubles.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now += Duration::from_millis(20);
            match self.random.random_range(0..60) {
                roll if roll < self.troubles => self.trouble(),
                10 | 11 => self.exit(),
                12..=15 => drop(self.deliver_late()),
                _ => {
                    let at = self.random.random_range(0..CONTROLLERS);
                    self.act(at);
                }
            }
        }
    }

    /// Everybody is there again, and every transaction is answered from now on.
    pub fn recover(&mut self) {
        self.fate = Some(Fate::Answered);
        self.limit.cpus = Some(12 * CPU);
        while !self.late.is_empty() {
            self.deliver_late();
        }
        (0..CONTROLLERS).for_each(|at| self.restart(at));
    }

    /// Rounds in each of which every controller reads and acts once and one task may end; whether all
    /// tasks have started by then.
    pub fn rounds(&mut self, most: usize, with_exits: bool) -> bool {
        let mut idle = 0;
        for _ in 0..most {
            let starts = self.starts;
            self.now += Duration::from_millis(100);
            for at in 0..CONTROLLERS {
                self.read(at);
                self.lead(at);
                self.change(at);
                self.start(at);
            }
            let waits = |job: &Job| job.count(Task::Waiting) > 0;
            if !self.store.jobs.iter().any(waits) {
                return true;
            }
            idle = match self.starts == starts && self.has_usable_room() {
                true => idle + 1,
                false => 0,
            };
            self.longest_idle = self.longest_idle.max(idle);
            if with_exits {
                self.exit();
            }
        }
        false
    }

    fn has_usable_room(&self) -> bool {
        let limit = self.store.record.as_ref().map(|kept| kept.record.limit);
        let left = limit.unwrap_or_default().minus(self.store.used());
        let waits = |job: &&Job| job.count(Task::Waiting) > 0;
        let mut waiting = self.store.jobs.iter().filter(waits);
        waiting.clone().all(|job| !job.gang) && waiting.any(|job| job.need.fits(left))
    }

    /// Three controllers with more work of tasks of 1 CPU than a limit of 12 CPUs, the first one leading.
    /// Nothing runs yet.
    pub fn of_small_tasks(without: Without) -> Self {
        let mut model = Self::new(0, without);
        let job = Job {
            need: Amount {
                cpus: CPU,
                cards: 0,
            },
            gang: false,
            since_ms: 0,
            tasks: vec![Task::Waiting; 10],
            revision: 0,
        };
        model.store.jobs = vec![job; 2 * CONTROLLERS];
        model.fate = Some(Fate::Answered);
        model.set_cpus(12);
        for _ in 0..3 {
            model.read(0);
            model.lead(0);
        }
        (0..CONTROLLERS).for_each(|at| model.read(at));
        model
    }

    /// The limit by the settings, which controllers see when they read next.
    pub fn set_cpus(&mut self, cpus: u64) {
        self.limit.cpus = Some(cpus * CPU);
    }

    /// So many tasks of a job wait; the others are done or run.
    pub fn set_waiting(&mut self, job: usize, tasks: usize) {
        let job = &mut self.store.jobs[job];
        job.tasks.retain(|task| *task != Task::Waiting);
        job.tasks.extend(vec![Task::Waiting; tasks]);
        self.store.revision += 1;
        job.revision = self.store.revision;
    }

    /// CPUs in use.
    pub fn cpus_in_use(&self) -> u64 {
        self.store.used().cpus / CPU
    }

    /// A controller is gone, and its presence is over.
    pub fn end(&mut self, at: usize) {
        self.controllers[at] = None;
        let gone = format!("m{at}#");
        self.expire(|name| name.starts_with(&gone));
        self.store.revision += 1;
    }
}

fn charged(members: &[MemberDemand], name: &str) -> Amount {
    let mine = members.iter().find(|m| m.member == name);
    mine.map_or(Amount::ZERO, |m| m.used)
}

fn view<'a>(
    replica: &'a Store,
    limit: Limit,
    members: &'a [MemberDemand],
    without: Without,
) -> TeamView<'a> {
    let record = replica.record.as_ref();
    TeamView {
        limit,
        record: record.map(|r| Versioned {
            record: &r.record,
            revision: r.revision,
        }),
        assignment: replica.assignment.revision,
        revision: match without {
            Without::ReadBeforeSettling => u64::MAX,
            _ => replica.revision,
        },
        members,
    }
}
