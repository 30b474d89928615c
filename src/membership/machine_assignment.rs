//! Assignment of machines to controllers: each machine belongs to one, and machines follow the work. This module is the
//! pure decision; it neither writes records nor looks at limits of writes.

use super::assignment::Member;
use crate::jobs::Urgency;
use std::collections::{BTreeMap, BTreeSet};

/// A machine as far as its assignment is concerned.
#[derive(Debug, Clone, PartialEq)]
pub struct AssignableMachine<'a> {
    pub name: &'a str,
    pub machine_type: &'a str,
    pub zone: &'a str,
    pub spot: bool,
    pub owner: &'a Member,
    /// Tasks recorded as placed on it.
    pub tasks: u32,
}

/// A machine's new owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reassignment {
    pub machine: String,
    pub owner: Member,
}

/// Machines that work would fill.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MachineDemand {
    /// By work that may use any machine.
    pub any: f64,
    /// By work that may not use spot machines.
    pub on_demand: f64,
}

/// Machines that each controller's work would fill, by machine type and urgency.
pub type DemandByMember = BTreeMap<(Member, String), BTreeMap<Urgency, MachineDemand>>;

/// How many machines of a type each controller should have.
#[derive(Debug, Default)]
pub struct MachineTargets {
    pub spot: BTreeMap<Member, f64>,
    pub on_demand: BTreeMap<Member, f64>,
}

impl MachineTargets {
    pub fn of(&self, spot: bool) -> &BTreeMap<Member, f64> {
        if spot { &self.spot } else { &self.on_demand }
    }
}

/// Machines of a type that are there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineCounts {
    pub spot: f64,
    pub on_demand: f64,
}

/// Divides machines of a type: more urgent work first, in proportion where it lacks machines. What nobody's work
/// would fill is in no target, so it stays where it is: a reassignment would only restart the time for which an idle
/// machine is kept. Spot machines go to work that may use them, which leaves the others to work that may not.
pub fn machine_targets(
    present: &BTreeSet<Member>,
    machine_type: &str,
    demand: &DemandByMember,
    machines: MachineCounts,
) -> MachineTargets {
    let demand_of = |member: &Member| demand.get(&(member.clone(), machine_type.to_owned()));
    let none: BTreeMap<Member, f64> = present.iter().map(|m| (m.clone(), 0.0)).collect();
    let mut targets = MachineTargets {
        spot: none.clone(),
        on_demand: none,
    };
    let mut left = machines;
    let levels: BTreeSet<Urgency> = present
        .iter()
        .filter_map(demand_of)
        .flat_map(|by_urgency| by_urgency.keys().copied())
        .collect();
    for level in levels.into_iter().rev() {
        let demand_at = |member: &Member| {
            let at_level = demand_of(member).and_then(|by_urgency| by_urgency.get(&level));
            at_level.copied().unwrap_or_default()
        };
        let any: f64 = present.iter().map(|m| demand_at(m).any).sum();
        let spot_share = covered_share(left.spot, any);
        // What spot machines do not cover falls to the others.
        let rest = |m: &Member| demand_at(m).on_demand + demand_at(m).any * (1.0 - spot_share);
        let all: f64 = present.iter().map(rest).sum();
        let on_demand_share = covered_share(left.on_demand, all);
        for member in present {
            let spot = targets.spot.get_mut(member).expect("present");
            *spot += demand_at(member).any * spot_share;
            let on_demand = targets.on_demand.get_mut(member).expect("present");
            *on_demand += rest(member) * on_demand_share;
        }
        left.spot -= any * spot_share;
        left.on_demand -= all * on_demand_share;
    }
    targets
}

/// The part of a demand that so many machines cover.
fn covered_share(machines: f64, demand: f64) -> f64 {
    if demand > 0.0 {
        (machines / demand).min(1.0)
    } else {
        0.0
    }
}

/// Least surplus and deficit, in machines, for which a machine in use is reassigned. It takes no work until its worker
/// has found its new owner: for less than this it is not worth it.
const MIN_IMBALANCE_IN_USE: f64 = 1.2;
/// The same as a part of a controller's target, where that is more.
const MIN_IMBALANCE_SHARE: f64 = 0.04;
/// Least surplus and deficit for which an idle machine is reassigned, which loses nothing by it. With a part of the target for
/// these too, 39 of 4,000 machines stayed idle at one controller while 78 tasks waited without end at the other.
const MIN_IMBALANCE_IDLE: f64 = 0.6;
/// An idle machine that is wholly in surplus is reassigned for a far smaller deficit: two tasks that fill half a machine
/// waited without end at a controller without one, while the other was given each that was rented for them. Least surplus
/// and least deficit are above 1 together in either case, or a machine would move back and forth.
const MIN_SURPLUS_WHOLE: f64 = 0.95;
const MIN_DEFICIT_FOR_WHOLE: f64 = 0.1;

/// How far a controller's machines are from its target.
#[derive(Debug, Clone, Copy)]
struct Imbalance {
    /// Machines above or below the target, as the case may be.
    machines: f64,
    target: f64,
}

impl Imbalance {
    fn justifies_move_in_use(self) -> bool {
        self.machines >= MIN_IMBALANCE_IN_USE.max(self.target * MIN_IMBALANCE_SHARE)
    }
}

/// Whether a machine should move from a controller with a surplus to one with a deficit.
fn exceeds_migration_threshold(
    machine: &AssignableMachine,
    surplus: Imbalance,
    deficit: Imbalance,
) -> bool {
    if machine.tasks > 0 {
        return surplus.justifies_move_in_use() && deficit.justifies_move_in_use();
    }
    let (surplus, deficit) = (surplus.machines, deficit.machines);
    (surplus >= MIN_IMBALANCE_IDLE && deficit >= MIN_IMBALANCE_IDLE)
        || (surplus >= MIN_SURPLUS_WHOLE && deficit >= MIN_DEFICIT_FOR_WHOLE)
}

/// Tolerance of comparisons of machine counts.
const EPSILON: f64 = 1e-9;

/// Machines of one pool of a type, spot or not, by owner, while they are being reassigned.
struct PoolBalance<'a> {
    targets: BTreeMap<Member, f64>,
    owned: BTreeMap<Member, f64>,
    owned_by_zone: BTreeMap<(Member, &'a str), u32>,
}

impl<'a> PoolBalance<'a> {
    /// The machines as their owners have them; machines of absent owners count for nobody.
    fn new(
        present: &BTreeSet<Member>,
        targets: BTreeMap<Member, f64>,
        machines: &[&AssignableMachine<'a>],
    ) -> Self {
        let mut balance = Self {
            targets,
            owned: present.iter().map(|m| (m.clone(), 0.0)).collect(),
            owned_by_zone: BTreeMap::new(),
        };
        for machine in machines.iter().filter(|m| present.contains(m.owner)) {
            balance.add(machine.owner, machine.zone);
        }
        balance
    }

    fn deficit(&self, member: &Member) -> f64 {
        self.targets[member] - self.owned[member]
    }

    /// Of the controllers with a deficit of a machine, or with the largest if there is none, the one that
    /// owns most in the zone already, then the one with the largest deficit: whole zones keep space for gangs in
    /// one piece. `None` without controllers.
    fn neediest(&self, zone: &'a str) -> Option<Member> {
        let deficits = self.owned.keys().map(|m| self.deficit(m));
        let largest = deficits.max_by(f64::total_cmp)?;
        let is_near = |m: &&Member| self.deficit(m) >= largest.min(1.0) - EPSILON;
        let in_zone = |m: &Member| {
            let owned = self.owned_by_zone.get(&(m.clone(), zone));
            owned.copied().unwrap_or(0)
        };
        let neediest = self.owned.keys().filter(is_near).max_by(|a, b| {
            let by_zone = in_zone(a).cmp(&in_zone(b));
            by_zone.then(self.deficit(a).total_cmp(&self.deficit(b)))
        })?;
        Some(neediest.clone())
    }

    fn add(&mut self, owner: &Member, zone: &'a str) {
        *self.owned.get_mut(owner).expect("present") += 1.0;
        *self.owned_by_zone.entry((owner.clone(), zone)).or_default() += 1;
    }

    fn remove(&mut self, owner: &Member, zone: &'a str) {
        *self.owned.get_mut(owner).expect("present") -= 1.0;
        *self.owned_by_zone.entry((owner.clone(), zone)).or_default() -= 1;
    }

    /// Gives a machine of an absent owner to the neediest controller.
    fn adopt(&mut self, machine: &AssignableMachine<'a>) -> Option<Reassignment> {
        let owner = self.neediest(machine.zone)?;
        self.add(&owner, machine.zone);
        Some(reassignment(machine, owner))
    }

    /// Moves a machine to the neediest controller, if that is worth it.
    fn migrate(&mut self, machine: &AssignableMachine<'a>) -> Option<Reassignment> {
        let surplus = Imbalance {
            machines: -self.deficit(machine.owner),
            target: self.targets[machine.owner],
        };
        if surplus.machines <= 0.0 {
            return None;
        }
        let owner = self.neediest(machine.zone)?;
        let deficit = Imbalance {
            machines: self.deficit(&owner),
            target: self.targets[&owner],
        };
        if owner == *machine.owner || !exceeds_migration_threshold(machine, surplus, deficit) {
            return None;
        }
        self.remove(machine.owner, machine.zone);
        self.add(&owner, machine.zone);
        Some(reassignment(machine, owner))
    }
}

fn reassignment(machine: &AssignableMachine, owner: Member) -> Reassignment {
    Reassignment {
        machine: machine.name.to_owned(),
        owner,
    }
}

/// Which machines are reassigned, and to whom. Those whose owner is absent go where the deficit is largest.
/// Beyond that, each controller gets as many of each type as its work would fill, in proportion where there are too few;
/// emptiest machines first, and of those in use at most `max_in_use` of each pool at a time.
pub fn assign_machines(
    machines: &[AssignableMachine],
    present: &BTreeSet<Member>,
    demand: &DemandByMember,
    max_in_use: usize,
) -> Vec<Reassignment> {
    let mut reassignments = Vec::new();
    if present.is_empty() {
        return reassignments;
    }
    let pools: BTreeSet<(&str, bool)> = machines.iter().map(|m| (m.machine_type, m.spot)).collect();
    for (machine_type, spot) in pools {
        let of_type = || machines.iter().filter(|m| m.machine_type == machine_type);
        let count = |spot| of_type().filter(|m| m.spot == spot).count() as f64;
        let counts = MachineCounts {
            spot: count(true),
            on_demand: count(false),
        };
        let targets = machine_targets(present, machine_type, demand, counts);
        let mut pool: Vec<&AssignableMachine> = of_type().filter(|m| m.spot == spot).collect();
        pool.sort_by_key(|m| (m.zone, m.name));
        let mut balance = PoolBalance::new(present, targets.of(spot).clone(), &pool);
        let orphaned = pool.iter().filter(|m| !present.contains(m.owner));
        reassignments.extend(orphaned.filter_map(|machine| balance.adopt(machine)));
        // Without demand for the type, moving its machines helps nobody.
        if demand.keys().any(|(_, demanded)| demanded == machine_type) {
            pool.retain(|m| present.contains(m.owner));
            pool.sort_by_key(|m| m.tasks);
            reassignments.extend(migrations(&mut balance, &pool, max_in_use));
        }
    }
    reassignments
}

/// Moves machines of a pool, emptiest first, to where they are lacking.
fn migrations<'a>(
    balance: &mut PoolBalance<'a>,
    pool: &[&AssignableMachine<'a>],
    max_in_use: usize,
) -> Vec<Reassignment> {
    let mut reassignments = Vec::new();
    let mut moved_in_use = 0;
    for machine in pool {
        let is_in_use = machine.tasks > 0;
        if is_in_use && moved_in_use >= max_in_use {
            break;
        }
        if let Some(reassignment) = balance.migrate(machine) {
            reassignments.push(reassignment);
            moved_in_use += usize::from(is_in_use);
        }
    }
    reassignments
}

#[cfg(test)]
mod tests;
