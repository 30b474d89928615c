//! The leader's reconciliation of the recorded owners of jobs and machines with the registered controllers: each job and
//! each machine gets a registered owner, and machines are reassigned to controllers whose work lacks them.
//!
//! [`plan`] decides on the changes, [`prepare`] puts as many as the limits allow into one transaction, and [`rebalance`]
//! writes it.

use super::assignment::{Assignment, Member, Workload, assign_jobs};
use super::load::WorkloadEstimate;
use super::machine_assignment::{AssignableMachine, Reassignment, assign_machines};
use super::schema_versions::FeatureLevel;
use crate::fleet::{RentalPart, split_to_fit};
use crate::metrics::CpuAccount;
use crate::node::{Core, Node};
use crate::state::{Operation, Precondition, RecordKey};
use rowanmill_state::WritePriority;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Out of this many machines, one in use may be moved between registered controllers at a time.
const MACHINES_PER_MOVE_IN_USE: usize = 50;
/// Interval between rebalancings while no takeover is needed.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(1);
/// The same interval while writes are scarce. Rental records then use up writes that are needed to start tasks.
const INTERVAL_AT_SCARCE_WRITES: Duration = Duration::from_secs(2);
/// Writes are scarce while the write headroom, from 0 to 1, is below this value.
const SCARCE_WRITE_HEADROOM: f64 = 0.5;
/// Maximum number of rental records that a rebalancing among registered controllers writes. More would keep the
/// starts of tasks from being recorded.
const MAX_INTERVAL_RECORDS: usize = 4;
/// Number of rental records that a takeover may always write at once, even beyond this controller's share of the write
/// rate.
const MIN_TAKEOVER_RECORDS: usize = 10;

/// When this controller last rebalanced as the leader, and the controllers that were registered then.
#[derive(Debug, Default)]
pub(super) struct RebalanceState {
    last_run: Option<Instant>,
    members: BTreeSet<Member>,
}

/// The reason for a rebalancing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trigger {
    /// The interval has passed, and there is no reason for a takeover.
    Interval,
    /// The registered controllers have changed, there is no assignment of jobs yet, or a machine has no registered owner.
    /// `is_due` says whether the interval has passed too.
    Takeover { is_due: bool },
}

impl Trigger {
    /// Whether machines in use may be moved from one registered controller to another.
    fn may_move_machines_in_use(self) -> bool {
        matches!(self, Self::Interval | Self::Takeover { is_due: true })
    }
}

/// The changes of owners that a rebalancing decides on.
struct Plan {
    /// The new assignment of jobs, and the revision of the record that it replaces; `None` if it is unchanged.
    assignment: Option<(Assignment, u64)>,
    machines: Vec<Reassignment>,
}

/// One transaction of a rebalancing.
struct Transaction {
    preconditions: Vec<Precondition>,
    operations: Vec<Operation>,
    /// Number of machines that the plan reassigns. Rental records beyond the limits are left to a later transaction.
    machines: usize,
}

/// Whether the teams' quotas are divided among the controllers, which requires that every registered controller is
/// configured to do so. As soon as a controller of the previous version registers, the quotas are undivided again.
fn divides_quotas(node: &Node, core: &Core) -> bool {
    let mut present = core.replica.presence.values();
    node.supported_level >= FeatureLevel::DIVIDED_QUOTAS
        && present.all(|p| p.record.supported_level >= FeatureLevel::DIVIDED_QUOTAS)
}

/// Decides whether to rebalance now. If so, records the time and the registered controllers.
fn trigger(node: &Node, core: &mut Core) -> Option<Trigger> {
    let present = core.replica.present_members();
    let machines = &core.replica.fleet.machines;
    let state = &core.membership.rebalance;
    let is_takeover = present != state.members
        || core.replica.assignment.is_none()
        || machines.values().any(|m| !present.contains(&m.owner));
    let interval = if node.state.write_headroom() < SCARCE_WRITE_HEADROOM {
        INTERVAL_AT_SCARCE_WRITES
    } else {
        REBALANCE_INTERVAL
    };
    let is_due = state.last_run.is_none_or(|at| at.elapsed() >= interval);
    if core.machine_types.is_empty() || !(is_due || is_takeover) {
        return None;
    }
    core.membership.rebalance = RebalanceState {
        last_run: Some(Instant::now()),
        members: present,
    };
    if is_takeover {
        Some(Trigger::Takeover { is_due })
    } else {
        Some(Trigger::Interval)
    }
}

/// Decides which jobs and machines to reassign.
fn plan(node: &Node, core: &Core, trigger: Trigger) -> Plan {
    let replica = &core.replica;
    let present = replica.present_members();
    let initial = Assignment::default();
    let current = replica.assignment.as_ref();
    let previous = current.map_or(&initial, |versioned| &versioned.record);
    let estimate = WorkloadEstimate::new(node, core, previous);
    let undivided_teams = if divides_quotas(node, core) {
        BTreeMap::new()
    } else {
        estimate.by_limited_team
    };
    let workload = Workload {
        undivided_teams: &undivided_teams,
        has_gangs: estimate.has_gangs,
    };
    let assignment = assign_jobs(&present, &node.identity, previous, &workload);
    let demand = WorkloadEstimate::new(node, core, &assignment).by_member;
    let machines = assignable_machines(core);
    let max_in_use = if trigger.may_move_machines_in_use() {
        (machines.len() / MACHINES_PER_MOVE_IN_USE).max(1)
    } else {
        0
    };
    let machines = assign_machines(&machines, &present, &demand, max_in_use);
    let is_changed = *previous != assignment;
    let revision = current.map_or(0, |versioned| versioned.revision);
    Plan {
        assignment: is_changed.then_some((assignment, revision)),
        machines,
    }
}

/// All machines, with their recorded owners and numbers of tasks.
fn assignable_machines(core: &Core) -> Vec<AssignableMachine<'_>> {
    let replica = &core.replica;
    let machines = replica.fleet.machines.iter();
    machines
        .map(|(name, machine)| AssignableMachine {
            name,
            machine_type: &machine.pool.machine_type,
            zone: &machine.pool.zone,
            spot: machine.pool.spot,
            owner: &machine.owner,
            tasks: replica
                .tasks_by_machine
                .get(name)
                .map_or(0, |tasks| tasks.len() as u32),
        })
        .collect()
}

/// The maximum number of rental records that a rebalancing may write now.
fn max_rental_records(node: &Node, trigger: Trigger) -> usize {
    match trigger {
        // Until a takeover is complete, the leases of the affected workers run out and no tasks start on their machines.
        // Therefore it may use the writes reserved for users, and the share of the write rate of absent controllers.
        Trigger::Takeover { .. } => {
            let available = node.state.available_writes(WritePriority::UserFacing);
            let limit = node.settings.max_transaction_operations() - 1;
            limit.min(available.max(MIN_TAKEOVER_RECORDS))
        }
        Trigger::Interval => {
            MAX_INTERVAL_RECORDS.min(node.state.available_writes(WritePriority::Background))
        }
    }
}

/// The transaction that makes as many of the planned changes as the limits allow. `revision` is that of the leader record,
/// which must be unchanged.
fn prepare(node: &Node, plan: &Plan, trigger: Trigger, revision: u64) -> Transaction {
    let mut transaction = Transaction {
        preconditions: vec![Precondition {
            key: RecordKey::Leader.into(),
            revision,
        }],
        operations: Vec::new(),
        machines: 0,
    };
    if let Some((assignment, revision)) = &plan.assignment {
        transaction.preconditions.push(Precondition {
            key: RecordKey::Assignment.into(),
            revision: *revision,
        });
        let put = Operation::put(RecordKey::Assignment, assignment);
        transaction.operations.push(put);
    }
    let max_records = max_rental_records(node, trigger);
    add_rentals(node, &plan.machines, max_records, &mut transaction);
    transaction
}

/// Adds the rental records of reassigned machines to the transaction, each rental completely or not at all. The fencing
/// token of a reassigned machine is incremented. Later writes of the previous owner then fail on their preconditions, and
/// the worker ignores the previous owner's answers.
fn add_rentals(
    node: &Node,
    machines: &[Reassignment],
    max_records: usize,
    transaction: &mut Transaction,
) {
    let owners: BTreeMap<&str, &Member> = machines
        .iter()
        .map(|reassignment| (reassignment.machine.as_str(), &reassignment.owner))
        .collect();
    let core = node.core();
    let fleet = &core.replica.fleet;
    let mut reassigned = 0;
    let changed = fleet.with_machines_changed(owners.keys().copied(), |machine| {
        if let Some(owner) = owners.get(machine.name.as_str()) {
            machine.owner = (*owner).clone();
            machine.fencing_token += 1;
            reassigned += 1;
        }
        true
    });
    transaction.machines = reassigned;
    let mut bytes = 0;
    let mut records = 0;
    for (name, rental) in changed {
        let parts = split_to_fit(&name, rental, node.settings.max_value_bytes());
        let put =
            |part: &RentalPart| Operation::put(RecordKey::Rental(&part.name), &part.rental.record);
        let puts: Vec<Operation> = parts.iter().map(put).collect();
        bytes += puts.iter().map(Operation::bytes).sum::<usize>();
        records += puts.len();
        if bytes > crate::state::MAX_TRANSACTION_BYTES || records > max_records {
            break;
        }
        let preconditions = parts.iter().map(|part| Precondition {
            key: RecordKey::Rental(&part.name).into(),
            revision: part.rental.revision,
        });
        transaction.preconditions.extend(preconditions);
        transaction.operations.extend(puts);
    }
}

/// Reassigns jobs and machines without a registered owner, and moves machines to controllers whose work lacks them. Only the
/// leader may call this. `revision` is that of the leader record. If the transaction is refused, a later call makes a new
/// plan.
pub async fn rebalance(node: &Arc<Node>, revision: u64) {
    let (plan, trigger) = {
        let _charge = node.processor_time.charge(CpuAccount::Scaling);
        let mut core = node.core();
        let Some(trigger) = trigger(node, &mut core) else {
            return;
        };
        (plan(node, &core, trigger), trigger)
    };
    if plan.assignment.is_none() && plan.machines.is_empty() {
        return;
    }
    let transaction = prepare(node, &plan, trigger, revision);
    let Transaction {
        preconditions,
        operations,
        machines,
    } = transaction;
    if operations.is_empty() {
        return;
    }
    match node
        .state
        .compare_and_swap(&preconditions, &operations)
        .await
    {
        Ok(revision) => {
            if let Some((assignment, _)) = &plan.assignment {
                let assignment = serde_json::to_string(assignment).unwrap_or_default();
                tracing::info!(assignment, "jobs reassigned");
            }
            let records = operations.len();
            tracing::info!(machines, records, "machines reassigned");
            node.core().apply(operations, revision);
        }
        Err(error) => {
            tracing::debug!(%error, "reassignment not written");
            node.read_barrier().await;
        }
    }
}
