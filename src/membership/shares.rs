//! Who places what: each team and each machine belongs to one controller. The leader decides,
//! from the records alone.

use crate::jobs::Urgency;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A controller process: one that restarted is another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub incarnation: u64,
}

/// The leader's record of team shares.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Shares {
    pub teams: BTreeMap<String, Member>,
}

/// Parts the teams among those present. Teams of those still there stay; the others go to whoever
/// has least to do, heaviest first. A controller without any team takes one from the one that has
/// most of them.
pub fn part_teams(
    teams: &[String],
    present: &BTreeSet<Member>,
    old: &Shares,
    load: &BTreeMap<String, f64>,
) -> Shares {
    let mut shares = Shares::default();
    if present.is_empty() {
        return shares;
    }
    // Even a team without work counts a little, so that idle teams are parted evenly too.
    let weight = |team: &str| 0.1 + load.get(team).copied().unwrap_or(0.0);
    let mut burden: BTreeMap<&Member, (f64, usize)> =
        present.iter().map(|m| (m, (0.0, 0))).collect();
    let mut open: Vec<&String> = Vec::new();
    for team in teams {
        match old.teams.get(team).and_then(|m| present.get(m)) {
            Some(member) => {
                shares.teams.insert(team.clone(), member.clone());
                let burden = burden.get_mut(member).expect("present");
                burden.0 += weight(team);
                burden.1 += 1;
            }
            None => open.push(team),
        }
    }
    open.sort_by(|a, b| weight(b).total_cmp(&weight(a)).then(a.cmp(b)));
    for team in open {
        let least = burden
            .iter()
            .min_by(|a, b| a.1.0.total_cmp(&b.1.0).then(a.1.1.cmp(&b.1.1)));
        let member = (*least.expect("someone is present").0).clone();
        let entry = burden.get_mut(&member).expect("present");
        entry.0 += weight(team);
        entry.1 += 1;
        shares.teams.insert(team.clone(), member);
    }
    even_out(&mut shares, present, &weight);
    shares
}

/// Those who came back to find all teams taken get the lightest teams of the busiest.
fn even_out(shares: &mut Shares, present: &BTreeSet<Member>, weight: &dyn Fn(&str) -> f64) {
    for member in present {
        if shares.teams.values().any(|m| m == member) {
            continue;
        }
        let mut counts: BTreeMap<&Member, usize> = BTreeMap::new();
        for owner in shares.teams.values() {
            *counts.entry(owner).or_default() += 1;
        }
        let Some((giver, most)) = counts.into_iter().max_by_key(|(_, n)| *n) else {
            return;
        };
        if most < 2 {
            return;
        }
        let giver = giver.clone();
        let mut given: Vec<String> = shares
            .teams
            .iter()
            .filter(|(_, m)| **m == giver)
            .map(|(t, _)| t.clone())
            .collect();
        given.sort_by(|a, b| weight(a).total_cmp(&weight(b)).then(a.cmp(b)));
        for team in given.into_iter().take(most / 2) {
            shares.teams.insert(team, member.clone());
        }
    }
}

/// A machine as far as sharing goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Shared {
    pub name: String,
    pub kind: String,
    pub owner: Member,
    pub tasks: u32,
}

/// A machine that changes hands takes no work until its worker has found its new owner: for less
/// than this, in machines, it is not worth it.
const LEAST_LACK: f64 = 1.2;

fn least_of(machine: &Shared) -> f64 {
    match machine.tasks {
        0 => LEAST_LACK / 2.0,
        _ => LEAST_LACK,
    }
}

/// Machines that each controller's work would fill, by kind and urgency.
pub type Demand = BTreeMap<(Member, String), BTreeMap<Urgency, f64>>;

/// How many machines of a kind each should have: more urgent work first, in proportion where it
/// lacks machines. What nobody's work would fill stays where it is: moving it would only begin
/// its hold anew.
fn targets(
    present: &BTreeSet<Member>,
    kind: &str,
    demand: &Demand,
    total: f64,
) -> BTreeMap<Member, f64> {
    let wants = |m: &Member| demand.get(&(m.clone(), kind.to_owned()));
    let mut targets: BTreeMap<Member, f64> = present.iter().map(|m| (m.clone(), 0.0)).collect();
    let mut left = total;
    let levels: BTreeSet<Urgency> = present
        .iter()
        .filter_map(wants)
        .flat_map(|d| d.keys().copied())
        .collect();
    for level in levels.into_iter().rev() {
        let at = |m: &Member| wants(m).and_then(|d| d.get(&level)).copied().unwrap_or(0.0);
        let all: f64 = present.iter().map(at).sum();
        if all <= 0.0 {
            continue;
        }
        let part = (left / all).min(1.0);
        for (member, target) in &mut targets {
            *target += at(member) * part;
        }
        left -= all * part;
    }
    targets
}

/// Which machines change hands, and to whom. Those whose owner is gone go where most is lacking.
/// Beyond that, as many of each kind as the work of its teams would fill, in proportion where
/// there are too few; emptiest machines first, and of those in use no more than `most` at a time.
pub fn part_machines(
    machines: &[Shared],
    present: &BTreeSet<Member>,
    demand: &Demand,
    most: usize,
) -> Vec<(String, Member)> {
    let mut moves = Vec::new();
    let kinds: BTreeSet<&String> = machines.iter().map(|m| &m.kind).collect();
    for kind in kinds {
        let ours: Vec<&Shared> = machines.iter().filter(|m| m.kind == *kind).collect();
        let targets = targets(present, kind, demand, ours.len() as f64);
        let target = |m: &Member| targets.get(m).copied().unwrap_or(0.0);
        let mut have: BTreeMap<&Member, f64> = present.iter().map(|m| (m, 0.0)).collect();
        for machine in &ours {
            if let Some(count) = have.get_mut(&machine.owner) {
                *count += 1.0;
            }
        }
        let neediest = |have: &BTreeMap<&Member, f64>| {
            let lacks = |m: &Member| target(m) - have[m];
            let best = present
                .iter()
                .max_by(|a, b| lacks(a).total_cmp(&lacks(b)))
                .cloned();
            best.map(|m| (lacks(&m), m))
        };
        for machine in ours.iter().filter(|m| !present.contains(&m.owner)) {
            let Some((_, taker)) = neediest(&have) else {
                return moves;
            };
            *have.get_mut(&taker).expect("present") += 1.0;
            moves.push((machine.name.clone(), taker));
        }
        if !demand.keys().any(|(_, k)| k == kind) {
            continue; // nobody needs any: moving them about helps nobody
        }
        let mut candidates: Vec<&&Shared> =
            ours.iter().filter(|m| present.contains(&m.owner)).collect();
        candidates.sort_by(|a, b| a.tasks.cmp(&b.tasks).then(a.name.cmp(&b.name)));
        let mut moved = 0;
        for machine in candidates {
            let Some((lack, taker)) = neediest(&have) else {
                break;
            };
            let surplus = have[&machine.owner] - target(&machine.owner);
            if (moved >= most && machine.tasks > 0) || lack < least_of(machine) {
                break;
            }
            if surplus < least_of(machine) || machine.owner == taker {
                continue;
            }
            *have.get_mut(&machine.owner).expect("present") -= 1.0;
            *have.get_mut(&taker).expect("present") += 1.0;
            moves.push((machine.name.clone(), taker));
            moved += usize::from(machine.tasks > 0);
        }
    }
    moves
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(name: &str, incarnation: u64) -> Member {
        Member {
            name: name.into(),
            incarnation,
        }
    }

    fn show(shares: &Shares) -> String {
        let teams = shares.teams.iter();
        teams
            .map(|(t, m)| format!("{t} -> {} ({})\n", m.name, m.incarnation))
            .collect()
    }

    #[test]
    fn teams_stay_unless_their_controller_is_gone() {
        let teams: Vec<String> = ["maps", "plans", "scores", "scans"]
            .map(String::from)
            .into();
        let load = BTreeMap::from([("plans".to_string(), 5.0), ("scores".to_string(), 3.0)]);
        let three: BTreeSet<Member> = ["a", "b", "c"].map(|n| member(n, 1)).into();
        let first = part_teams(&teams, &three, &Shares::default(), &load);
        let two: BTreeSet<Member> = [member("a", 1), member("b", 1)].into();
        let after_end = part_teams(&teams, &two, &first, &load);
        // c is back within a moment: another incarnation, which owns nothing by right.
        let mut back = two.clone();
        back.insert(member("c", 2));
        let after_return = part_teams(&teams, &back, &after_end, &load);
        insta::assert_snapshot!(format!(
            "all there\n{}c ended\n{}c is back\n{}",
            show(&first),
            show(&after_end),
            show(&after_return)
        ));
    }

    #[test]
    fn machines_follow_the_work_and_leave_the_dead() {
        let (a, b, gone) = (member("a", 1), member("b", 1), member("c", 1));
        let shared = |name: &str, owner: &Member, tasks| Shared {
            name: name.into(),
            kind: "m".into(),
            owner: owner.clone(),
            tasks,
        };
        let machines = vec![
            shared("vm-1", &a, 3),
            shared("vm-2", &a, 0),
            shared("vm-3", &a, 1),
            shared("vm-4", &b, 2),
            shared("vm-5", &gone, 2),
        ];
        let present = BTreeSet::from([a.clone(), b.clone()]);
        let wants = |member: &Member, urgency, n: f64| {
            (
                (member.clone(), "m".to_string()),
                BTreeMap::from([(urgency, n)]),
            )
        };
        let show = |demand: &Demand| -> String {
            part_machines(&machines, &present, demand, 4)
                .iter()
                .map(|(m, to)| format!("{m} to {}\n", to.name))
                .collect()
        };
        let (low, high) = (Urgency::BestEffort, Urgency::Standard);
        let alike = show(&BTreeMap::from([wants(&a, low, 1.0), wants(&b, low, 4.0)]));
        let urgent = show(&BTreeMap::from([
            wants(&a, high, 4.0),
            wants(&b, low, 40.0),
        ]));
        insta::assert_snapshot!(format!("alike\n{alike}a's is more urgent\n{urgent}"), @r"
        alike
        vm-5 to b
        vm-2 to b
        a's is more urgent
        vm-5 to a
        ");
    }
}
