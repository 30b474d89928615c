//! Assignment of machines to controllers: each machine is owned by one controller, and machines are reassigned to
//! controllers whose work lacks them. This module computes the reassignments. It does not write records and does not
//! consider write limits.

use super::assignment::Member;
use crate::jobs::Urgency;
use std::collections::{BTreeMap, BTreeSet};

/// The properties of a machine that its assignment depends on.
#[derive(Debug, Clone, PartialEq)]
pub struct AssignableMachine<'a> {
    pub name: &'a str,
    pub machine_type: &'a str,
    pub zone: &'a str,
    pub spot: bool,
    pub owner: &'a Member,
    /// Number of tasks recorded as placed on the machine.
    pub tasks: u32,
}

/// A machine's new owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reassignment {
    pub machine: String,
    pub owner: Member,
}

/// Number of machines that work would fill.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MachineDemand {
    /// For work that may use any machine.
    pub any: f64,
    /// For work that may not use spot machines.
    pub on_demand: f64,
}

/// Number of machines that each controller's work would fill, by machine type and urgency.
pub type DemandByMember = BTreeMap<(Member, String), BTreeMap<Urgency, MachineDemand>>;

/// The number of spot and on-demand machines of a type that each controller should own.
#[derive(Debug, Default)]
pub struct MachineTargets {
    pub spot: BTreeMap<Member, f64>,
    pub on_demand: BTreeMap<Member, f64>,
}

impl MachineTargets {
    /// The targets for spot machines or for on-demand machines.
    pub fn of(&self, spot: bool) -> &BTreeMap<Member, f64> {
        if spot { &self.spot } else { &self.on_demand }
    }
}

/// The number of existing machines of a type.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineCounts {
    pub spot: f64,
    pub on_demand: f64,
}

/// Divides the machines of a type among the controllers, more urgent work first. If there are too few machines for an
/// urgency, they are divided in proportion to demand. Machines beyond the total demand are in no target, so they keep their
/// owners; reassigning an idle machine would only restart the time for which it is kept. Work that may use any machine gets
/// spot machines first, which leaves on-demand machines for work that may not use spot machines.
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
        // Demand that spot machines do not cover is added to the demand for on-demand machines.
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

/// The share of a demand that the given number of machines covers.
fn covered_share(machines: f64, demand: f64) -> f64 {
    if demand > 0.0 {
        (machines / demand).min(1.0)
    } else {
        0.0
    }
}

/// Minimum surplus and minimum deficit, in machines, for reassigning a machine in use. The machine receives no new work
/// until its worker has found the new owner, which a smaller imbalance does not justify.
const MIN_IMBALANCE_IN_USE: f64 = 1.2;
/// The same minimum as a share of a controller's target. The larger of the two minimums applies.
const MIN_IMBALANCE_SHARE: f64 = 0.04;
/// Minimum surplus and minimum deficit, in machines, for reassigning an idle machine, which costs nothing. There is no
/// minimum relative to the target: with one, 39 of 4,000 machines stayed idle at one controller while 78 tasks waited
/// indefinitely at the other.
const MIN_IMBALANCE_IDLE: f64 = 0.6;
/// With a surplus of nearly a whole machine, a smaller deficit suffices for reassigning an idle machine. Otherwise two tasks
/// that filled half a machine waited indefinitely at a controller without machines, because every machine rented for them
/// was assigned to the other controller. In both rules, minimum surplus and minimum deficit add up to more than 1, so that a
/// machine does not move back and forth.
const MIN_SURPLUS_FOR_SMALL_DEFICIT: f64 = 0.95;
const MIN_SMALL_DEFICIT: f64 = 0.1;

/// The difference between the number of machines that a controller owns and its target.
#[derive(Debug, Clone, Copy)]
struct Imbalance {
    /// Machines above the target for a surplus, below it for a deficit.
    machines: f64,
    target: f64,
}

impl Imbalance {
    /// Whether the imbalance is large enough for reassigning a machine in use.
    fn justifies_move_in_use(self) -> bool {
        self.machines >= MIN_IMBALANCE_IN_USE.max(self.target * MIN_IMBALANCE_SHARE)
    }
}

/// Whether a machine should be reassigned from a controller with this surplus to one with this deficit.
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
        || (surplus >= MIN_SURPLUS_FOR_SMALL_DEFICIT && deficit >= MIN_SMALL_DEFICIT)
}

/// Tolerance for comparing machine counts.
const EPSILON: f64 = 1e-9;

/// The spot or on-demand machines of one type: each controller's target and current number of machines. Updated with each
/// reassignment.
struct PoolBalance<'a> {
    targets: BTreeMap<Member, f64>,
    owned: BTreeMap<Member, f64>,
    owned_by_zone: BTreeMap<(Member, &'a str), u32>,
}

impl<'a> PoolBalance<'a> {
    /// The balance before any reassignment. Machines of absent owners do not count for any controller.
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

    /// Machines that a controller lacks; negative for a surplus.
    fn deficit(&self, member: &Member) -> f64 {
        self.targets[member] - self.owned[member]
    }

    /// The controller that should receive a machine in `zone`. Candidates are the controllers that lack at least one
    /// machine; if there are none, those with the largest deficit. Among the candidates, the one with the most machines
    /// in the zone is chosen, then the one with the largest deficit. Concentrating a zone at one controller keeps
    /// capacity together for gangs that must run in a single zone. `None` if there is no controller.
    fn choose_recipient(&self, zone: &'a str) -> Option<Member> {
        let deficits = self.owned.keys().map(|m| self.deficit(m));
        let largest = deficits.max_by(f64::total_cmp)?;
        let is_candidate = |m: &&Member| self.deficit(m) >= largest.min(1.0) - EPSILON;
        let in_zone = |m: &Member| {
            let owned = self.owned_by_zone.get(&(m.clone(), zone));
            owned.copied().unwrap_or(0)
        };
        let recipient = self.owned.keys().filter(is_candidate).max_by(|a, b| {
            let by_zone = in_zone(a).cmp(&in_zone(b));
            by_zone.then(self.deficit(a).total_cmp(&self.deficit(b)))
        })?;
        Some(recipient.clone())
    }

    fn add(&mut self, owner: &Member, zone: &'a str) {
        *self.owned.get_mut(owner).expect("present") += 1.0;
        *self.owned_by_zone.entry((owner.clone(), zone)).or_default() += 1;
    }

    fn remove(&mut self, owner: &Member, zone: &'a str) {
        *self.owned.get_mut(owner).expect("present") -= 1.0;
        *self.owned_by_zone.entry((owner.clone(), zone)).or_default() -= 1;
    }

    /// Reassigns a machine of an absent owner.
    fn reassign_orphan(&mut self, machine: &AssignableMachine<'a>) -> Option<Reassignment> {
        let owner = self.choose_recipient(machine.zone)?;
        self.add(&owner, machine.zone);
        Some(reassignment(machine, owner))
    }

    /// Reassigns a machine of a present owner if the imbalance between the owner and the recipient is large enough.
    fn migrate(&mut self, machine: &AssignableMachine<'a>) -> Option<Reassignment> {
        let surplus = Imbalance {
            machines: -self.deficit(machine.owner),
            target: self.targets[machine.owner],
        };
        if surplus.machines <= 0.0 {
            return None;
        }
        let owner = self.choose_recipient(machine.zone)?;
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

/// Computes which machines are reassigned, and their new owners. All machines of absent owners are reassigned,
/// preferably to controllers with a deficit. Then machines of present owners are moved towards the targets of
/// [`machine_targets`], those with the fewest tasks first. Of the machines with tasks, at most `max_in_use` of each pool
/// are moved in one call.
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
        reassignments.extend(orphaned.filter_map(|machine| balance.reassign_orphan(machine)));
        // Without demand for the machine type, moving its machines has no benefit.
        if demand.keys().any(|(_, demanded)| demanded == machine_type) {
            pool.retain(|m| present.contains(m.owner));
            pool.sort_by_key(|m| m.tasks);
            reassignments.extend(migrations(&mut balance, &pool, max_in_use));
        }
    }
    reassignments
}

/// Moves machines from controllers with a surplus to controllers with a deficit. `pool` is sorted by number of tasks.
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
