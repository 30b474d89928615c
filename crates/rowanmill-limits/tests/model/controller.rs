//! A controller of the model, which decides by the records that it has read so far.

use super::Omission;
use super::store::{Demand, Preconditions, Store, TaskState, Transaction, Write};
use rowanmill_limits::{
    AllocationDecision, AllocationRecord, InDoubtTransaction, LeaderView, LimitsConfig,
    QuotaHolder, RecordChange, ResourceAmount, TeamLimit, TeamView, Versioned, decide_allocation,
};
use std::time::Instant;

pub const TEAM: &str = "t";

/// A revision that no record reaches. A controller acts as if all changes were applied if this is its applied
/// revision.
const ALL_CHANGES: u64 = u64::MAX;

pub struct Controller {
    pub name: String,
    pub replica: Store,
    pub holder: QuotaHolder,
    /// The team's limit in the settings that the controller has read.
    pub limit: TeamLimit,
    pub omission: Omission,
}

/// Tasks of one job that start together, and the resources that they need.
pub struct Start {
    job: usize,
    tasks: Vec<usize>,
    pub need: ResourceAmount,
}

impl Controller {
    pub fn new(name: String, replica: Store, limit: TeamLimit, omission: Omission) -> Self {
        let config = LimitsConfig {
            change_every_s: 0.05,
            ..LimitsConfig::default()
        };
        Self {
            holder: QuotaHolder::new(config, &name),
            replica,
            limit,
            name,
            omission,
        }
    }

    /// The revision up to which the controller has applied all changes, or [`ALL_CHANGES`] if it omits the
    /// safeguard `omission`.
    fn applied_revision(&self, omission: Omission) -> u64 {
        if self.omission == omission {
            return ALL_CHANGES;
        }
        self.replica.revision
    }

    fn view<'a>(&'a self, demand: &'a Demand) -> TeamView<'a> {
        TeamView {
            limit: self.limit,
            record: self.replica.record_ref(),
            assignment_revision: self.replica.assignment.revision,
            applied_revision: self.applied_revision(Omission::ReadBeforeResolving),
            members: &demand.members,
        }
    }

    /// The transaction that the controller should send now if it is the leader, if any: an assignment to the
    /// controllers that are present, or else a frozen record or a new allocation of the limit.
    pub fn leader_transaction(&self) -> Option<Transaction> {
        let leader = self.replica.leader.as_ref()?;
        if leader.record != self.name {
            return None;
        }
        let mut preconditions = Preconditions {
            assignment: Some(self.replica.assignment.revision),
            leader: Some(leader.revision),
            ..Preconditions::default()
        };
        let present: Vec<String> = self.replica.present.iter().cloned().collect();
        if present != self.replica.assignment.record {
            return Some(Transaction {
                preconditions,
                write: Write::Assignment(present),
            });
        }
        preconditions.record = Some(self.replica.record_revision());
        let record = self.next_record()?;
        Some(Transaction {
            preconditions,
            write: Write::Record(record),
        })
    }

    fn next_record(&self) -> Option<AllocationRecord> {
        let demand = self.replica.demand();
        let limit = self.limit.as_amount();
        // Without the freeze, a record that divides another limit is treated as absent.
        let counts = |versioned: &Versioned<&AllocationRecord>| {
            self.omission != Omission::Freeze || versioned.record.limit == limit
        };
        let view = LeaderView {
            limit: self.limit,
            record: self.replica.record_ref().filter(counts),
            assignment_revision: self.replica.assignment.revision,
            applied_revision: self.applied_revision(Omission::ReadBeforeAllocating),
            members: &demand.members,
            unowned: demand.unowned,
        };
        match decide_allocation(&view) {
            AllocationDecision::Keep => None,
            AllocationDecision::Freeze(record) | AllocationDecision::Allocate(record) => {
                Some(record)
            }
        }
    }

    /// The transfer or fence that the controller should write to the team's record, if any.
    pub fn next_change(&mut self, now: Instant) -> Option<RecordChange> {
        let demand = self.replica.demand();
        let charged = demand.used_by(&self.name);
        let mut holder = std::mem::take(&mut self.holder);
        let view = self.view(&demand);
        holder.resolve_in_doubt(TEAM, &view);
        let change = holder.next_change(TEAM, &view, charged, now);
        self.holder = holder;
        change
    }

    /// The next start of each of its jobs, without those that exceed its headroom now.
    pub fn permitted_starts(&mut self) -> Vec<Start> {
        let demand = self.replica.demand();
        let charged = demand.used_by(&self.name);
        let mut holder = std::mem::take(&mut self.holder);
        let view = self.view(&demand);
        holder.resolve_in_doubt(TEAM, &view);
        let headroom = holder.headroom(TEAM, &view, charged);
        self.holder = holder;
        let jobs = 0..self.replica.jobs.len();
        jobs.filter(|job| self.replica.owner(*job) == Some(&self.name))
            .filter_map(|job| self.next_start(job))
            .filter(|start| start.need.fits_within(headroom))
            .collect()
    }

    /// The smallest start of a job, if any of it waits.
    fn next_start(&self, index: usize) -> Option<Start> {
        let job = &self.replica.jobs[index];
        let mut tasks: Vec<usize> = job.indices(TaskState::Waiting).collect();
        if !job.is_gang {
            tasks.truncate(1);
        }
        let need = job.amount(tasks.len() as u64);
        (!tasks.is_empty()).then_some(Start {
            job: index,
            tasks,
            need,
        })
    }

    pub fn start_transaction(&self, start: &Start) -> Transaction {
        let preconditions = Preconditions {
            record: Some(self.replica.record_revision()),
            assignment: Some(self.replica.assignment.revision),
            leader: None,
            job: Some((start.job, self.replica.jobs[start.job].revision)),
        };
        Transaction {
            preconditions,
            write: Write::Start {
                job: start.job,
                tasks: start.tasks.clone(),
            },
        }
    }

    /// Charges a transaction that got no answer and required the record at `record_revision`.
    pub fn record_in_doubt(&mut self, amount: ResourceAmount, record_revision: u64) {
        let transaction = InDoubtTransaction {
            amount,
            record_revision,
            assignment_revision: self.replica.assignment.revision,
        };
        self.holder.record_in_doubt(TEAM, transaction);
    }
}
