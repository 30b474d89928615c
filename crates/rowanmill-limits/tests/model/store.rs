//! The model's state service: its records, and transactions that are applied as a whole or not at all.

use rowanmill_limits::{AllocationRecord, MemberDemand, ResourceAmount, Versioned, WaitingUnit};
use std::collections::{BTreeMap, BTreeSet};

/// A job of the model's only team, with its tasks.
#[derive(Debug, Clone)]
pub struct Job {
    pub need: ResourceAmount,
    pub is_gang: bool,
    pub since_ms: u64,
    pub tasks: Vec<TaskState>,
    pub revision: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    Waiting,
    Placed,
    Done,
}

impl Job {
    pub fn count(&self, state: TaskState) -> u64 {
        self.tasks.iter().filter(|task| **task == state).count() as u64
    }

    pub fn has_waiting(&self) -> bool {
        self.tasks.contains(&TaskState::Waiting)
    }

    /// The indices of the tasks in a state.
    pub fn indices(&self, state: TaskState) -> impl Iterator<Item = usize> {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter_map(move |(index, task)| (*task == state).then_some(index))
    }

    /// The resources that `tasks` of its tasks use.
    pub fn amount(&self, tasks: u64) -> ResourceAmount {
        self.need.zip_with(self.need, |need, _| need * tasks)
    }

    /// The smallest part of the job that can start.
    fn waiting_unit(&self, index: usize) -> WaitingUnit {
        let tasks = if self.is_gang {
            self.count(TaskState::Waiting)
        } else {
            1
        };
        WaitingUnit {
            since_ms: self.since_ms,
            job: format!("job-{index}"),
            need: self.amount(tasks),
            is_gang: self.is_gang,
        }
    }
}

/// All records of the state service.
#[derive(Debug, Clone, Default)]
pub struct Store {
    pub revision: u64,
    /// Incarnations of controllers whose presence has not expired.
    pub present: BTreeSet<String>,
    pub leader: Option<Versioned<String>>,
    pub assignment: Versioned<Vec<String>>,
    pub record: Option<Versioned<AllocationRecord>>,
    pub jobs: Vec<Job>,
}

/// The write of a transaction.
#[derive(Debug, Clone)]
pub enum Write {
    Start { job: usize, tasks: Vec<usize> },
    Record(AllocationRecord),
    Assignment(Vec<String>),
}

/// Revisions that records must have for a transaction to be applied. A `record` or `leader` of 0 requires that
/// there is none.
#[derive(Debug, Clone, Copy, Default)]
pub struct Preconditions {
    pub record: Option<u64>,
    pub assignment: Option<u64>,
    pub leader: Option<u64>,
    /// A job's index and its revision.
    pub job: Option<(usize, u64)>,
}

#[derive(Debug, Clone)]
pub struct Transaction {
    pub preconditions: Preconditions,
    pub write: Write,
}

/// The demand at each controller, and the resources that are used by tasks of jobs without an owner.
pub struct Demand {
    pub members: Vec<MemberDemand>,
    pub unowned: ResourceAmount,
}

impl Demand {
    /// Resources that the tasks of a controller use.
    pub fn used_by(&self, member: &str) -> ResourceAmount {
        let own = self.members.iter().find(|demand| demand.member == member);
        own.map_or(ResourceAmount::ZERO, |demand| demand.used)
    }
}

impl Store {
    pub fn record_revision(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.revision)
    }

    /// A reference to the record with its revision.
    pub fn record_ref(&self) -> Option<Versioned<&AllocationRecord>> {
        self.record.as_ref().map(|versioned| Versioned {
            record: &versioned.record,
            revision: versioned.revision,
        })
    }

    pub fn satisfies(&self, preconditions: &Preconditions) -> bool {
        let leader = self.leader.as_ref().map_or(0, |leader| leader.revision);
        let holds = |required: Option<u64>, current| required.is_none_or(|r| r == current);
        holds(preconditions.record, self.record_revision())
            && holds(preconditions.assignment, self.assignment.revision)
            && holds(preconditions.leader, leader)
            && preconditions
                .job
                .is_none_or(|(job, required)| required == self.jobs[job].revision)
    }

    /// Applies a write at a revision without checking preconditions.
    pub fn apply(&mut self, write: &Write, revision: u64) {
        match write {
            Write::Start { job, tasks } => {
                let job = &mut self.jobs[*job];
                for task in tasks {
                    job.tasks[*task] = TaskState::Placed;
                }
                job.revision = revision;
            }
            Write::Record(record) => {
                let record = record.clone();
                self.record = Some(Versioned { record, revision });
            }
            Write::Assignment(members) => {
                let record = members.clone();
                self.assignment = Versioned { record, revision };
            }
        }
    }

    /// Resources that all placed tasks use.
    pub fn used(&self) -> ResourceAmount {
        self.jobs
            .iter()
            .map(|job| job.amount(job.count(TaskState::Placed)))
            .sum()
    }

    /// The controller that a job is assigned to.
    pub fn owner(&self, job: usize) -> Option<&String> {
        let members = &self.assignment.record;
        members.get(job % members.len().max(1))
    }

    pub fn demand(&self) -> Demand {
        let members = self.assignment.record.iter();
        let mut demands: BTreeMap<&String, MemberDemand> = members
            .map(|member| (member, MemberDemand::idle(member)))
            .collect();
        let mut unowned = ResourceAmount::ZERO;
        for (index, job) in self.jobs.iter().enumerate() {
            match self.owner(index).and_then(|owner| demands.get_mut(owner)) {
                Some(demand) => add_job(demand, index, job),
                None => {
                    let used = job.amount(job.count(TaskState::Placed));
                    unowned = unowned.saturating_add(used);
                }
            }
        }
        Demand {
            members: demands.into_values().collect(),
            unowned,
        }
    }
}

/// Adds a job to its owner's demand. Jobs with an even index can still meet their deadline.
fn add_job(demand: &mut MemberDemand, index: usize, job: &Job) {
    let used = job.amount(job.count(TaskState::Placed));
    demand.used = demand.used.saturating_add(used);
    let waiting = job.amount(job.count(TaskState::Waiting));
    demand.waiting = demand.waiting.saturating_add(waiting);
    if index.is_multiple_of(2) {
        demand.waiting_on_time = demand.waiting_on_time.saturating_add(waiting);
    }
    if job.has_waiting() {
        demand.consider_unit(job.waiting_unit(index));
    }
}
