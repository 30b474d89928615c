//! Which controllers get new machines.

use crate::fleet::{Machine, MachinePool};
use crate::membership::WorkloadEstimate;
use crate::membership::assignment::Member;
use crate::membership::machine_assignment::{MachineCounts, machine_targets};
use crate::node::{Core, Node};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Machines by which the deficits of two controllers may differ and still count as equal, so that a zone's
/// machines are kept together.
const DEFICIT_STEP: f64 = 16.0;

/// The machines of the pool's type and price that a controller has, those just given to it included.
#[derive(Default)]
struct Holding {
    machines: f64,
    in_zone: u32,
}

/// A controller as a candidate for the next machine.
struct Candidate<'a> {
    member: &'a Member,
    /// Machines that it lacks of its target.
    deficit: f64,
    in_zone: u32,
}

impl Candidate<'_> {
    /// By deficit; among nearly equal ones, whoever has most of the zone keeps it whole.
    fn cmp_need(&self, other: &Self) -> Ordering {
        let step = |deficit: f64| (deficit / DEFICIT_STEP).floor();
        let by_step = step(self.deficit).total_cmp(&step(other.deficit));
        by_step
            .then(self.in_zone.cmp(&other.in_zone))
            .then(self.deficit.total_cmp(&other.deficit))
    }
}

/// The owners of `count` new machines of a pool: those controllers whose work lacks most machines, so that
/// few change owner while they boot.
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
    let alike: Vec<&Machine> = machines_of_type(core, &pool.machine_type).collect();
    let machines_after = |spot: bool| {
        let present = alike.iter().filter(|machine| machine.pool.spot == spot);
        let new = if spot == pool.spot { count } else { 0 };
        (present.count() + new) as f64
    };
    let demand = WorkloadEstimate::new(node, core, &assignment.record).by_member;
    let counts = MachineCounts {
        spot: machines_after(true),
        on_demand: machines_after(false),
    };
    let targets = machine_targets(&present, &pool.machine_type, &demand, counts);
    let targets = targets.of(pool.spot);
    let target_of = |member: &Member| targets.get(member).copied().unwrap_or(0.0);

    let mut holdings: BTreeMap<&Member, Holding> = present
        .iter()
        .map(|member| (member, Holding::default()))
        .collect();
    for machine in alike
        .iter()
        .filter(|machine| machine.pool.spot == pool.spot)
    {
        if let Some(holding) = holdings.get_mut(&machine.owner) {
            holding.machines += 1.0;
            holding.in_zone += u32::from(machine.pool.zone == pool.zone);
        }
    }
    let mut owners = Vec::with_capacity(count);
    for _ in 0..count {
        let owner = neediest(&holdings, target_of)
            .unwrap_or(&node.identity)
            .clone();
        if let Some(holding) = holdings.get_mut(&owner) {
            holding.machines += 1.0;
            holding.in_zone += 1;
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

fn neediest<'a>(
    holdings: &BTreeMap<&'a Member, Holding>,
    target_of: impl Fn(&Member) -> f64,
) -> Option<&'a Member> {
    let candidates = holdings.iter().map(|(member, holding)| Candidate {
        member,
        deficit: target_of(member) - holding.machines,
        in_zone: holding.in_zone,
    });
    let neediest = candidates.max_by(Candidate::cmp_need)?;
    Some(neediest.member)
}
