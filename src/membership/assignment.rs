//! Who places what: each job and each machine belongs to one controller. The leader decides,
//! from the records alone.
//!
//! The first sharing gave each team whole to a controller, so one team's drop kept one controller
//! busy while the others looked on. Now jobs are parted by their id; only the teams with a limit that
//! is not divided stay whole, since it must hold exactly and one controller alone can see to that. Gangs
//! go to few controllers, whose machines are then not parted into pieces too small for them.

use crate::jobs::{JobRecord, JobSpec, Urgency};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A controller process: one that restarted is another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub incarnation: u64,
}

/// The leader's record of who places which jobs. Controllers are named by their place in
/// `members`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Assignment {
    pub members: Vec<Member>,
    /// Teams with a limit that is not divided, each whole.
    pub teams: BTreeMap<String, usize>,
    /// Who places gangs, and whether there were any when this was parted.
    pub gangs: Vec<usize>,
    pub had_gangs: bool,
    /// Who places the arrays whose id falls on each slot.
    pub slots: Vec<usize>,
}

/// Parts into which array jobs are divided: enough that most numbers of controllers divide them.
const SLOTS: usize = 60;
/// What a controller that places gangs takes of the arrays, and what the leader does.
const GANGS_WEIGHT: f64 = 0.4;
const LEADER_WEIGHT: f64 = 0.8;
/// Controllers for each one that places gangs.
const PER_GANGS: usize = 4;

/// The same in each process and version: FNV-1a.
pub fn hash_slot(id: &str) -> usize {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash >> 20) as usize
}

impl Assignment {
    /// The controller that places a job and ends it.
    pub fn owner(&self, job: &JobRecord) -> Option<&Member> {
        let spec = &job.spec;
        let of = |list: &[usize]| list.get(hash_slot(&spec.id) % list.len().max(1)).copied();
        let named = || {
            let name = job.placer.as_ref()?;
            self.members.iter().position(|m| m.name == *name)
        };
        let at = match self.teams.get(&spec.team) {
            Some(at) => Some(*at),
            None if spec.is_gang() => of(&self.gangs),
            None => named().or_else(|| of(&self.slots)),
        };
        self.members.get(at?)
    }

    /// Whether a job's placer is chosen at its acceptance.
    pub fn may_choose(&self, spec: &JobSpec) -> bool {
        !spec.is_gang() && !self.teams.contains_key(&spec.team)
    }

    fn at(&self, member: &Member) -> Option<usize> {
        self.members.iter().position(|m| m == member)
    }
}

/// What the sharing of jobs depends on.
pub struct Work<'a> {
    /// Teams with a limit that is not divided, and the machines that their work would fill.
    pub whole: &'a BTreeMap<String, f64>,
    /// Whether there are gangs to place.
    pub gangs: bool,
}

/// Parts the work among those present. What belongs to a controller that is still there stays as
/// far as its part allows; it is only done anew when controllers come or go.
pub fn part_jobs(
    present: &BTreeSet<Member>,
    leader: &Member,
    old: &Assignment,
    work: &Work,
) -> Assignment {
    if present.is_empty() {
        return Assignment::default();
    }
    let members: Vec<Member> = present.iter().cloned().collect();
    let gangs_are_new = work.gangs && !old.had_gangs;
    if members == old.members && !gangs_are_new && work.whole.keys().eq(old.teams.keys()) {
        return old.clone();
    }
    let mut shares = Assignment {
        members,
        had_gangs: work.gangs || old.had_gangs,
        ..Assignment::default()
    };
    let count = shares.members.len();
    let still = |at: usize| old.members.get(at).and_then(|m| shares.at(m));
    let mut gangs: Vec<usize> = old.gangs.iter().filter_map(|at| still(*at)).collect();
    gangs.truncate((count / PER_GANGS).max(1));
    // Not the leader, which has its own duties, if it can be helped.
    let mut others: Vec<usize> = (0..count).filter(|at| !gangs.contains(at)).collect();
    others.sort_by_key(|at| shares.members[*at] == *leader);
    gangs.extend(others.iter().take((count / PER_GANGS).max(1) - gangs.len()));
    let weight = |at: usize| {
        let mut weight = 1.0;
        if shares.had_gangs && gangs.contains(&at) {
            weight *= GANGS_WEIGHT;
        }
        if shares.members[at] == *leader {
            weight *= LEADER_WEIGHT;
        }
        weight
    };
    let weights: Vec<f64> = (0..count).map(weight).collect();
    let slots = part_slots(&weights, |slot| {
        old.slots.get(slot).and_then(|at| still(*at))
    });
    let mut teams: BTreeMap<String, usize> = BTreeMap::new();
    let mut burden: Vec<f64> = weights.iter().map(|w| -w * 0.01).collect();
    let mut open = Vec::new();
    for (team, load) in work.whole {
        match old.teams.get(team).and_then(|at| still(*at)) {
            Some(at) => {
                burden[at] += load + 0.1;
                teams.insert(team.clone(), at);
            }
            None => open.push((team, *load)),
        }
    }
    open.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(b.0)));
    for (team, load) in open {
        let least = (0..count).min_by(|a, b| burden[*a].total_cmp(&burden[*b]));
        let at = least.expect("someone is present");
        burden[at] += load + 0.1;
        teams.insert(team.clone(), at);
    }
    shares.gangs = gangs;
    shares.slots = slots;
    shares.teams = teams;
    shares
}

fn part_slots(weights: &[f64], old: impl Fn(usize) -> Option<usize>) -> Vec<usize> {
    let all: f64 = weights.iter().sum();
    // Largest remainders.
    let exact: Vec<f64> = weights.iter().map(|w| w / all * SLOTS as f64).collect();
    let mut quota: Vec<usize> = exact.iter().map(|e| e.floor() as usize).collect();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()));
    let short = SLOTS - quota.iter().sum::<usize>();
    for at in order.into_iter().cycle().take(short) {
        quota[at] += 1;
    }
    let mut slots: Vec<Option<usize>> = vec![None; SLOTS];
    for (slot, place) in slots.iter_mut().enumerate() {
        if let Some(at) = old(slot).filter(|at| quota[*at] > 0) {
            quota[at] -= 1;
            *place = Some(at);
        }
    }
    let mut left = quota
        .iter()
        .enumerate()
        .flat_map(|(at, quota)| std::iter::repeat_n(at, *quota))
        .collect::<Vec<_>>()
        .into_iter();
    slots
        .into_iter()
        .map(|slot| slot.or_else(|| left.next()).unwrap_or(0))
        .collect()
}

/// A machine as far as sharing goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Shared<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub zone: &'a str,
    pub spot: bool,
    pub owner: &'a Member,
    pub tasks: u32,
}

/// A machine that changes hands takes no work until its worker has found its new owner: for less
/// than this, in machines, it is not worth it. Of large shares, nor for less than a part of them.
const LEAST_LACK: f64 = 1.2;
const LEAST_PART: f64 = 0.04;
/// An idle machine loses nothing by it. With a part of the share for these too, 39 of 4,000 machines
/// stood idle at one controller while 78 tasks waited for ever at the other.
const LEAST_LACK_IDLE: f64 = 0.6;
/// One that its owner has to spare as a whole goes for far less: two tasks that fill half a machine waited
/// for ever at a controller without one, while the other was given each that was rented for them. What is
/// spared and what is lacked are above 1 together in either case, or a machine would go to and fro.
const SPARE_IDLE: f64 = 0.95;
const LEAST_LACK_OF_SPARE: f64 = 0.1;

fn least_in_use(target: f64) -> f64 {
    LEAST_LACK.max(target * LEAST_PART)
}

/// Whether a machine should go from one that has so many too many to one that has so many too few.
fn is_worth_moving(machine: &Shared, spare: (f64, f64), lack: (f64, f64)) -> bool {
    let ((surplus, owners_target), (lack, takers_target)) = (spare, lack);
    if machine.tasks > 0 {
        return surplus >= least_in_use(owners_target) && lack >= least_in_use(takers_target);
    }
    (surplus >= LEAST_LACK_IDLE && lack >= LEAST_LACK_IDLE)
        || (surplus >= SPARE_IDLE && lack >= LEAST_LACK_OF_SPARE)
}

/// Machines that work would fill: any, and only such as are not spot machines.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Wanted {
    pub any: f64,
    pub ordinary: f64,
}

/// Machines that each controller's work would fill, by kind and urgency.
pub type Demand = BTreeMap<(Member, String), BTreeMap<Urgency, Wanted>>;

/// How many machines of a kind each should have, spot ones and others.
#[derive(Debug, Default)]
pub struct Targets {
    pub spot: BTreeMap<Member, f64>,
    pub ordinary: BTreeMap<Member, f64>,
}

impl Targets {
    pub fn of(&self, spot: bool) -> &BTreeMap<Member, f64> {
        if spot { &self.spot } else { &self.ordinary }
    }
}

/// More urgent work first, in proportion where it lacks machines. What nobody's work would fill
/// stays where it is: moving it would only begin its hold anew. Spot machines go to work that may
/// use them, which leaves the others to work that may not.
pub fn targets(
    present: &BTreeSet<Member>,
    kind: &str,
    demand: &Demand,
    spot: f64,
    ordinary: f64,
) -> Targets {
    let wants = |m: &Member| demand.get(&(m.clone(), kind.to_owned()));
    let none: BTreeMap<Member, f64> = present.iter().map(|m| (m.clone(), 0.0)).collect();
    let mut targets = Targets {
        spot: none.clone(),
        ordinary: none,
    };
    let (mut spot, mut ordinary) = (spot, ordinary);
    let levels: BTreeSet<Urgency> = present
        .iter()
        .filter_map(wants)
        .flat_map(|d| d.keys().copied())
        .collect();
    for level in levels.into_iter().rev() {
        let at = |m: &Member| wants(m).and_then(|d| d.get(&level)).copied();
        let at = |m: &Member| at(m).unwrap_or_default();
        let any: f64 = present.iter().map(|m| at(m).any).sum();
        let spot_part = if any > 0.0 {
            (spot / any).min(1.0)
        } else {
            0.0
        };
        let rest = |m: &Member| at(m).ordinary + at(m).any * (1.0 - spot_part);
        let all: f64 = present.iter().map(rest).sum();
        let part = if all > 0.0 {
            (ordinary / all).min(1.0)
        } else {
            0.0
        };
        for member in present {
            *targets.spot.get_mut(member).expect("present") += at(member).any * spot_part;
            *targets.ordinary.get_mut(member).expect("present") += rest(member) * part;
        }
        spot -= any * spot_part;
        ordinary -= all * part;
    }
    targets
}

/// What one kind's machines are shared by, while it is worked out.
struct Sharing<'a> {
    targets: BTreeMap<Member, f64>,
    have: BTreeMap<Member, f64>,
    by_zone: BTreeMap<(Member, &'a str), u32>,
}

impl<'a> Sharing<'a> {
    fn lack(&self, member: &Member) -> f64 {
        self.targets[member] - self.have[member]
    }

    /// Of those who lack a machine, who has most in the zone already, then who lacks most. Whole
    /// zones keep room for gangs in one piece.
    fn neediest(&self, zone: &'a str) -> Option<(f64, Member)> {
        let most = self
            .have
            .keys()
            .map(|m| self.lack(m))
            .max_by(f64::total_cmp)?;
        let near = |m: &&Member| self.lack(m) >= most.min(1.0) - 1e-9;
        let in_zone = |m: &Member| self.by_zone.get(&(m.clone(), zone)).copied().unwrap_or(0);
        let best = self.have.keys().filter(near).max_by(|a, b| {
            let zones = in_zone(a).cmp(&in_zone(b));
            zones.then(self.lack(a).total_cmp(&self.lack(b)))
        })?;
        Some((self.lack(best), best.clone()))
    }

    fn moves(&mut self, from: Option<&Member>, to: &Member, zone: &'a str) {
        if let Some(from) = from {
            *self.have.get_mut(from).expect("present") -= 1.0;
            *self.by_zone.entry((from.clone(), zone)).or_default() -= 1;
        }
        *self.have.get_mut(to).expect("present") += 1.0;
        *self.by_zone.entry((to.clone(), zone)).or_default() += 1;
    }
}

/// Which machines change hands, and to whom. Those whose owner is gone go where most is lacking.
/// Beyond that, as many of each kind as each one's work would fill, in proportion where there are
/// too few; emptiest machines first, and of those in use no more than `most` at a time.
pub fn part_machines(
    machines: &[Shared],
    present: &BTreeSet<Member>,
    demand: &Demand,
    most: usize,
) -> Vec<(String, Member)> {
    let mut moves = Vec::new();
    if present.is_empty() {
        return moves;
    }
    let kinds: BTreeSet<(&str, bool)> = machines.iter().map(|m| (m.kind, m.spot)).collect();
    for (kind, spot) in kinds {
        let of_kind = || machines.iter().filter(|m| m.kind == kind);
        let count = |spot| of_kind().filter(|m| m.spot == spot).count() as f64;
        let all = targets(present, kind, demand, count(true), count(false));
        let mut ours: Vec<&Shared> = of_kind().filter(|m| m.spot == spot).collect();
        ours.sort_by_key(|m| (m.zone, m.name));
        let mut sharing = Sharing {
            targets: all.of(spot).clone(),
            have: present.iter().map(|m| (m.clone(), 0.0)).collect(),
            by_zone: BTreeMap::new(),
        };
        for machine in &ours {
            if present.contains(machine.owner) {
                sharing.moves(None, machine.owner, machine.zone);
            }
        }
        for machine in ours.iter().filter(|m| !present.contains(m.owner)) {
            let Some((_, taker)) = sharing.neediest(machine.zone) else {
                return moves;
            };
            sharing.moves(None, &taker, machine.zone);
            moves.push((machine.name.to_owned(), taker));
        }
        if !demand.keys().any(|(_, k)| k == kind) {
            continue; // nobody needs any: moving them about helps nobody
        }
        ours.sort_by_key(|m| m.tasks);
        let mut moved = 0;
        for machine in ours.iter().filter(|m| present.contains(m.owner)) {
            if moved >= most && machine.tasks > 0 {
                break;
            }
            let surplus = -sharing.lack(machine.owner);
            if surplus <= 0.0 {
                continue;
            }
            let Some((lack, taker)) = sharing.neediest(machine.zone) else {
                break;
            };
            let spare = (surplus, sharing.targets[machine.owner]);
            let lack = (lack, sharing.targets[&taker]);
            if taker == *machine.owner || !is_worth_moving(machine, spare, lack) {
                continue;
            }
            sharing.moves(Some(machine.owner), &taker, machine.zone);
            moves.push((machine.name.to_owned(), taker));
            moved += usize::from(machine.tasks > 0);
        }
    }
    moves
}

#[cfg(test)]
mod tests;
