//! Assignment of jobs to controllers: each job is owned by one controller, which places its tasks and ends it. The leader
//! computes the assignment from the durable records alone. This module contains the computation and has no side effects.
//!
//! Array jobs are distributed by a hash of their identifier. When they were assigned by team, a burst of jobs of one team
//! kept one controller busy while the others were idle. Only the jobs of a team with an undivided quota are all assigned to
//! the same controller, because a single controller can enforce the quota exactly. Gangs are assigned to few controllers, so
//! that the machines are not divided among owners that each have too few for a gang.

use crate::jobs::{JobRecord, JobSpec};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A controller process. A restarted controller has the same name and a new incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub incarnation: u64,
}

/// The leader's durable record of which controller owns which jobs. The other fields refer to controllers by their index
/// in `members`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Assignment {
    pub members: Vec<Member>,
    /// Owners of the jobs of teams with an undivided quota, by team.
    pub teams: BTreeMap<String, usize>,
    /// Owners of gangs.
    pub gangs: Vec<usize>,
    /// Whether there has been any gang since the first assignment.
    pub had_gangs: bool,
    /// Owners of array jobs, by hash slot.
    pub slots: Vec<usize>,
}

/// Number of hash slots of array jobs; divisible by most small numbers of controllers.
const SLOTS: usize = 60;
/// Share of hash slots of a controller that places gangs, relative to one that does not.
const GANG_OWNER_WEIGHT: f64 = 0.4;
/// Share of hash slots of the leader, relative to another controller, because the leader has additional work.
const LEADER_WEIGHT: f64 = 0.8;
/// One of this many controllers places gangs.
const MEMBERS_PER_GANG_OWNER: usize = 4;
/// Load, in machines, that each team counts for in addition to its work, so that teams without work are distributed too.
const LOAD_PER_TEAM: f64 = 0.1;
/// Load, in machines, that is subtracted from a controller per unit of its weight, so that among idle controllers the one
/// with the largest weight is chosen.
const LOAD_PER_WEIGHT: f64 = 0.01;

/// Offset basis and prime of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hash of a job's identifier, which is the same in every process and version. It consists of bits 20 and up of the 64-bit
/// FNV-1a hash, because the lowest bits are poorly distributed.
pub fn job_id_hash(id: &str) -> usize {
    let hash = id.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    (hash >> 20) as usize
}

impl Assignment {
    /// The controller that owns a job; `None` before the first assignment.
    pub fn owner(&self, job: &JobRecord) -> Option<&Member> {
        let spec = &job.spec;
        let index = match self.teams.get(&spec.team) {
            Some(index) => Some(*index),
            None if spec.is_gang() => owner_by_hash(&self.gangs, &spec.id),
            None => self
                .chosen_placer(job)
                .or_else(|| owner_by_hash(&self.slots, &spec.id)),
        };
        self.members.get(index?)
    }

    /// Whether the controller that places a job is chosen by load when the job is accepted.
    pub fn is_placer_chosen(&self, spec: &JobSpec) -> bool {
        !spec.is_gang() && !self.teams.contains_key(&spec.team)
    }

    /// The controller that was chosen when the job was accepted, if it is still registered.
    fn chosen_placer(&self, job: &JobRecord) -> Option<usize> {
        let name = job.placer.as_ref()?;
        self.members.iter().position(|m| m.name == *name)
    }
}

/// Selects one of `owners` by the hash of a job's identifier.
fn owner_by_hash(owners: &[usize], id: &str) -> Option<usize> {
    owners.get(job_id_hash(id) % owners.len().max(1)).copied()
}

/// The work that the assignment of jobs depends on.
pub struct Workload<'a> {
    /// Teams with an undivided quota, with the number of machines that their work would fill.
    pub undivided_teams: &'a BTreeMap<String, f64>,
    /// Whether any unfinished job is a gang.
    pub has_gangs: bool,
}

/// Assigns the jobs to the present controllers. A controller that is still present keeps what it owns, up to its share. The
/// assignment changes only if the present controllers or the teams with an undivided quota change, or if there are gangs for
/// the first time.
pub fn assign_jobs(
    present: &BTreeSet<Member>,
    leader: &Member,
    previous: &Assignment,
    workload: &Workload,
) -> Assignment {
    if present.is_empty() {
        return Assignment::default();
    }
    let has_first_gangs = workload.has_gangs && !previous.had_gangs;
    let has_same_teams = workload.undivided_teams.keys().eq(previous.teams.keys());
    if present.iter().eq(&previous.members) && !has_first_gangs && has_same_teams {
        return previous.clone();
    }
    let assigner = JobAssigner {
        members: present.iter().cloned().collect(),
        leader,
        previous,
        has_gangs: workload.has_gangs || previous.had_gangs,
    };
    let gangs = assigner.assign_gangs();
    let weights = assigner.weights(&gangs);
    let slots = assigner.assign_slots(&weights);
    let teams = assigner.assign_teams(&weights, workload.undivided_teams);
    Assignment {
        members: assigner.members,
        teams,
        gangs,
        had_gangs: assigner.has_gangs,
        slots,
    }
}

/// Inputs of the computation of an assignment. Controllers are referred to by their index in `members`.
struct JobAssigner<'a> {
    members: Vec<Member>,
    leader: &'a Member,
    previous: &'a Assignment,
    has_gangs: bool,
}

impl JobAssigner<'_> {
    /// The index in `members` of a controller of the previous assignment, if it is still present.
    fn current_index(&self, previous_index: usize) -> Option<usize> {
        let member = self.previous.members.get(previous_index)?;
        self.members.iter().position(|m| m == member)
    }

    fn is_leader(&self, index: usize) -> bool {
        self.members[index] == *self.leader
    }

    /// Owners of gangs: the previous owners, then other controllers. The leader comes last because it has additional work.
    fn assign_gangs(&self) -> Vec<usize> {
        let wanted = (self.members.len() / MEMBERS_PER_GANG_OWNER).max(1);
        let previous = self.previous.gangs.iter();
        let mut owners: Vec<usize> = previous
            .filter_map(|index| self.current_index(*index))
            .take(wanted)
            .collect();
        let mut others: Vec<usize> = (0..self.members.len())
            .filter(|index| !owners.contains(index))
            .collect();
        others.sort_by_key(|index| self.is_leader(*index));
        owners.extend(others.iter().take(wanted - owners.len()));
        owners
    }

    /// Relative shares of the array jobs, by controller.
    fn weights(&self, gang_owners: &[usize]) -> Vec<f64> {
        let weight = |index: usize| {
            let mut weight = 1.0;
            if self.has_gangs && gang_owners.contains(&index) {
                weight *= GANG_OWNER_WEIGHT;
            }
            if self.is_leader(index) {
                weight *= LEADER_WEIGHT;
            }
            weight
        };
        (0..self.members.len()).map(weight).collect()
    }

    /// Owners of the hash slots: each controller keeps its previous slots up to its share, and the remaining slots go to the
    /// controllers that are below their share.
    fn assign_slots(&self, weights: &[f64]) -> Vec<usize> {
        let mut slots_left = apportion(weights);
        let mut slots: Vec<Option<usize>> = vec![None; SLOTS];
        for (slot, owner) in slots.iter_mut().enumerate() {
            let previous = self.previous.slots.get(slot);
            let current = previous.and_then(|index| self.current_index(*index));
            if let Some(index) = current.filter(|index| slots_left[*index] > 0) {
                slots_left[index] -= 1;
                *owner = Some(index);
            }
        }
        let mut rest = slots_left
            .iter()
            .enumerate()
            .flat_map(|(index, left)| std::iter::repeat_n(index, *left));
        slots
            .into_iter()
            .map(|owner| owner.or_else(|| rest.next()).unwrap_or(0))
            .collect()
    }

    /// Owners of the teams with an undivided quota: the previous owner if it is still present. The other teams, largest
    /// first, go to the controller with the least work of such teams.
    fn assign_teams(
        &self,
        weights: &[f64],
        teams: &BTreeMap<String, f64>,
    ) -> BTreeMap<String, usize> {
        let mut owners = BTreeMap::new();
        let mut load: Vec<f64> = weights.iter().map(|w| -w * LOAD_PER_WEIGHT).collect();
        let mut unassigned = Vec::new();
        for (team, machines) in teams {
            let previous = self.previous.teams.get(team);
            match previous.and_then(|index| self.current_index(*index)) {
                Some(index) => {
                    load[index] += machines + LOAD_PER_TEAM;
                    owners.insert(team.clone(), index);
                }
                None => unassigned.push((team, *machines)),
            }
        }
        unassigned.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(b.0)));
        for (team, machines) in unassigned {
            let least_loaded = (0..load.len()).min_by(|a, b| load[*a].total_cmp(&load[*b]));
            let index = least_loaded.expect("a controller is present");
            load[index] += machines + LOAD_PER_TEAM;
            owners.insert(team.clone(), index);
        }
        owners
    }
}

/// Divides the hash slots in proportion to the weights, using the largest remainder method.
fn apportion(weights: &[f64]) -> Vec<usize> {
    let total: f64 = weights.iter().sum();
    let exact: Vec<f64> = weights.iter().map(|w| w / total * SLOTS as f64).collect();
    let mut slots: Vec<usize> = exact.iter().map(|e| e.floor() as usize).collect();
    let mut by_remainder: Vec<usize> = (0..weights.len()).collect();
    by_remainder.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()));
    let missing = SLOTS - slots.iter().sum::<usize>();
    for index in by_remainder.into_iter().cycle().take(missing) {
        slots[index] += 1;
    }
    slots
}

#[cfg(test)]
mod tests;
