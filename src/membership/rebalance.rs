//! The leader's reconciliation of the durable assignment with the controllers that are registered: each job and each
//! machine belongs to one of them, and machines follow the work.
//!
//! [`plan`] decides, [`prepare`] turns the decision into one transaction within the limits, [`rebalance`] writes it.

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

/// One machine in use of so many is reassigned at a time while all controllers are registered.
const MACHINES_PER_MOVE_IN_USE: usize = 50;
/// Interval between rebalancings while no controller comes or goes.
const INTERVAL: Duration = Duration::from_secs(1);
/// The same while writes are scarce: rental records then take the place of starts of tasks.
const INTERVAL_AT_SCARCE_WRITES: Duration = Duration::from_secs(2);
/// Part of the write rate below whose headroom writes count as scarce.
const SCARCE_WRITE_HEADROOM: f64 = 0.5;
/// Most rental records that a rebalancing among registered controllers writes: more would keep starts of tasks from
/// being recorded.
const MAX_RECORDS: usize = 4;
/// Rental records that a takeover may always write at once, whatever this controller's part of the write rate.
const MIN_TAKEOVER_RECORDS: usize = 10;

/// When the leader rebalanced last, and among whom.
#[derive(Debug, Default)]
pub(super) struct RebalanceState {
    last_run: Option<Instant>,
    members: BTreeSet<Member>,
}

/// Why a rebalancing runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trigger {
    /// The interval is over, and everything belongs to a registered controller.
    Interval,
    /// Controllers came or went, or something belongs to none of them. `is_due` says whether the interval
    /// is over, too.
    Takeover { is_due: bool },
}

impl Trigger {
    /// Whether machines in use may be reassigned from one registered controller to another.
    fn may_move_machines_in_use(self) -> bool {
        matches!(self, Self::Interval | Self::Takeover { is_due: true })
    }
}

/// What has to change so that everything belongs to a registered controller.
struct Plan {
    /// The new assignment of jobs, and the revision of the record that it replaces; `None` if it stays.
    assignment: Option<(Assignment, u64)>,
    machines: Vec<Reassignment>,
}

/// One transaction of a rebalancing.
struct Transaction {
    preconditions: Vec<Precondition>,
    operations: Vec<Operation>,
    /// Machines that the plan reassigns; rentals beyond the limits follow in a later transaction.
    machines: usize,
}

/// Whether quotas are divided among the controllers: only once every registered one is configured to. One of the previous
/// version takes no part in it, and its quotas are undivided again from its registration on.
fn divides_quotas(node: &Node, core: &Core) -> bool {
    let mut present = core.replica.presence.values();
    node.supported_level >= FeatureLevel::DIVIDED_QUOTAS
        && present.all(|p| p.record.supported_level >= FeatureLevel::DIVIDED_QUOTAS)
}

/// Decides whether to rebalance now, and records that it does.
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
        INTERVAL
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

/// Decides which jobs and machines are reassigned.
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

/// How many rental records a rebalancing may write now.
fn max_rental_records(node: &Node, trigger: Trigger) -> usize {
    match trigger {
        // Until a takeover is done its workers' leases run out and nobody's tasks start: it may use what is
        // reserved for users, and what the absent controllers do not write.
        Trigger::Takeover { .. } => {
            let available = node.state.available_writes(WritePriority::UserFacing);
            let most = node.settings.max_transaction_operations() - 1;
            most.min(available.max(MIN_TAKEOVER_RECORDS))
        }
        Trigger::Interval => {
            MAX_RECORDS.min(node.state.available_writes(WritePriority::Background))
        }
    }
}

/// The transaction that carries out as much of a plan as the limits allow, under the leader record's `revision`.
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

/// Adds the rental records of reassigned machines, whole rentals at a time. A reassigned machine gets the next
/// fencing token, so that whatever its previous owner still writes fails on its preconditions, and the worker drops that
/// owner's answers.
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

/// Reassigns what belongs to no registered controller, and machines to where work lacks them. Only the leader
/// may call it, with the leader record's `revision`. A refused transaction is planned again by a later call.
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
