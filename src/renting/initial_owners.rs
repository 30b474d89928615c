//! Chooses the controllers that own new machines.

use crate::fleet::{Machine, MachinePool};
use crate::membership::WorkloadEstimate;
use crate::membership::assignment::Member;
use crate::membership::machine_assignment::{MachineCounts, machine_targets};
use crate::node::{Core, Node};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Step in machines by which deficits are compared. Controllers whose deficits fall into the same step count as
/// equal, so that a zone's machines are kept together.
const DEFICIT_STEP: f64 = 16.0;

/// Number of machines of the pool's type, spot or on-demand like the pool, that a controller owns, including new
/// ones just assigned to it.
#[derive(Default)]
struct OwnedMachines {
    count: f64,
    in_zone: u32,
}

/// A controller as a candidate owner of the next machine.
struct Candidate<'a> {
    member: &'a Member,
    /// Number of machines that it lacks to reach its target.
    deficit: f64,
    in_zone: u32,
}

impl Candidate<'_> {
    /// Ranks the candidate with the larger deficit higher. Within the same step, the candidate with more machines
    /// in the zone ranks higher, so that the zone stays together.
    fn cmp_priority(&self, other: &Self) -> Ordering {
        let step = |deficit: f64| (deficit / DEFICIT_STEP).floor();
        let by_step = step(self.deficit).total_cmp(&step(other.deficit));
        by_step
            .then(self.in_zone.cmp(&other.in_zone))
            .then(self.deficit.total_cmp(&other.deficit))
    }
}

/// Chooses the owners of `count` new machines of a pool. Each machine goes to the controller whose work lacks the
/// most machines, so that few machines change owner while they boot.
pub(super) fn initial_owners(
    node: &Node,
    core: &Core,
    pool: &MachinePool,
    count: usize,
) -> Vec<Member> {
    let present = core.replica.present_members();
    let Some(assignment) = core.replica.assignment.as_ref() else {
        return vec![node.identity.clone(); count];
    };
    let same_type: Vec<&Machine> = machines_of_type(core, &pool.machine_type).collect();
    let machines_after = |spot: bool| {
        let existing = same_type.iter().filter(|machine| machine.pool.spot == spot);
        let new = if spot == pool.spot { count } else { 0 };
        (existing.count() + new) as f64
    };
    let demand = WorkloadEstimate::new(node, core, &assignment.record).by_member;
    let counts = MachineCounts {
        spot: machines_after(true),
        on_demand: machines_after(false),
    };
    let targets = machine_targets(&present, &pool.machine_type, &demand, counts);
    let targets = targets.of(pool.spot);
    let target_of = |member: &Member| targets.get(member).copied().unwrap_or(0.0);

    let mut owned_by_member: BTreeMap<&Member, OwnedMachines> = present
        .iter()
        .map(|member| (member, OwnedMachines::default()))
        .collect();
    for machine in same_type
        .iter()
        .filter(|machine| machine.pool.spot == pool.spot)
    {
        if let Some(owned) = owned_by_member.get_mut(&machine.owner) {
            owned.count += 1.0;
            owned.in_zone += u32::from(machine.pool.zone == pool.zone);
        }
    }
    let mut owners = Vec::with_capacity(count);
    for _ in 0..count {
        let owner = highest_priority_member(&owned_by_member, target_of)
            .unwrap_or(&node.identity)
            .clone();
        if let Some(owned) = owned_by_member.get_mut(&owner) {
            owned.count += 1.0;
            owned.in_zone += 1;
        }
        owners.push(owner);
    }
    owners
}

fn machines_of_type<'a>(
    core: &'a Core,
    machine_type: &'a str,
) -> impl Iterator<Item = &'a Machine> {
    let machines = core.replica.fleet.machines.values();
    machines.filter(move |machine| machine.pool.machine_type == machine_type)
}

fn highest_priority_member<'a>(
    owned_by_member: &BTreeMap<&'a Member, OwnedMachines>,
    target_of: impl Fn(&Member) -> f64,
) -> Option<&'a Member> {
    let candidates = owned_by_member.iter().map(|(member, owned)| Candidate {
        member,
        deficit: target_of(member) - owned.count,
        in_zone: owned.in_zone,
    });
    let highest = candidates.max_by(Candidate::cmp_priority)?;
    Some(highest.member)
}
