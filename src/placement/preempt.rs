//! Making room: tasks that are stopped so that work of higher priority, or of a team within its
//! guarantee, starts in time; and tasks that save before the cloud takes their machine.

use super::{JobView, MachineView, Mapping, Need};
use crate::jobs::Urgency;
use crate::workers::TaskId;
use std::collections::BTreeMap;

/// A task on a machine, as far as stopping it goes.
#[derive(Debug, Clone)]
pub struct Occupant {
    pub id: TaskId,
    pub attempt: u64,
    pub need: Need,
    pub urgency: Urgency,
    /// Its team uses more than its guarantee: it may be stopped for a team within its own.
    pub borrowing: bool,
    /// Seconds of work that stopping it would lose.
    pub lost_s: f64,
    pub grace_s: f64,
    /// It is being stopped already, or part of a larger gang, which is left alone.
    pub fixed: bool,
}

/// A job that may make room for itself.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    pub urgency: Urgency,
    /// Its team's unfinished jobs all fit into its guarantee.
    pub guaranteed: bool,
}

/// Most work that is lost for a start, in seconds of the starting task's own size. Beyond it the
/// work done twice makes more tasks late than it saves.
const MOST_LOST_S: f64 = 2.0;

fn may_stop(claim: &Claim, victim: &Occupant) -> bool {
    !victim.fixed && (victim.urgency < claim.urgency || (claim.guaranteed && victim.borrowing))
}

/// Which tasks to stop. Only single tasks that would be late where they now are expected to
/// start, and in time if room were made, make room; each on the machine where least is lost.
pub fn choose(
    jobs: &[JobView],
    claims: &[Claim],
    mapping: &Mapping,
    machines: &[MachineView],
    occupants: &BTreeMap<String, Vec<Occupant>>,
    stop_takes_s: f64,
    most: usize,
) -> Vec<(TaskId, u64, f64)> {
    let mut stops: Vec<(TaskId, u64, f64)> = Vec::new();
    let mut touched: Vec<&str> = Vec::new();
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|a, b| {
        let key = |i: &usize| (std::cmp::Reverse(claims[*i].urgency), jobs[*i].due);
        let (a, b) = (key(a), key(b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    });
    for index in order {
        let job = &jobs[index];
        let late = mapping.mapped[index].late;
        if late == 0 || (job.gang && job.waiting.len() > 1) {
            continue;
        }
        for _ in 0..late {
            if touched.len() >= most {
                return stops;
            }
            let mut found: Option<(f64, &str, Vec<&Occupant>)> = None;
            for machine in machines {
                if touched.contains(&machine.name.as_str())
                    || !super::allowed(job, &job.zones, machine)
                {
                    continue;
                }
                let fetch = super::fetch_time(job, machine);
                let start = stop_takes_s + fetch;
                let end = start + job.duration * machine.slowness;
                let in_time = match job.by {
                    super::By::Start => start <= job.due,
                    super::By::End => end <= job.due,
                };
                let there = occupants.get(&machine.name);
                let Some(there) = there.filter(|_| in_time) else {
                    continue;
                };
                let Some((lost, victims)) = victims(&job.need, &claims[index], machine, there)
                else {
                    continue;
                };
                let cost = lost + fetch * job.need.cpus;
                if found.as_ref().is_none_or(|(least, ..)| cost < *least) {
                    found = Some((cost, &machine.name, victims));
                }
            }
            let Some((_, machine, victims)) = found else {
                break;
            };
            touched.push(machine);
            stops.extend(victims.iter().map(|v| (v.id.clone(), v.attempt, v.grace_s)));
        }
    }
    stops
}

/// The tasks of a machine whose stopping frees enough at the least loss.
fn victims<'a>(
    need: &Need,
    claim: &Claim,
    machine: &MachineView,
    there: &'a [Occupant],
) -> Option<(f64, Vec<&'a Occupant>)> {
    let mut room = Need::default();
    for chunk in machine.chunks.iter().filter(|c| c.at <= 0.0) {
        room.add(&chunk.room);
    }
    let mut candidates: Vec<&Occupant> = there.iter().filter(|v| may_stop(claim, v)).collect();
    candidates.sort_by(|a, b| a.lost_s.total_cmp(&b.lost_s));
    let mut chosen = Vec::new();
    let mut lost = 0.0;
    for victim in candidates {
        if need.fits(&room) {
            break;
        }
        room.add(&victim.need);
        lost += victim.lost_s * victim.need.cpus.max(victim.need.gpus * 8.0);
        chosen.push(victim);
    }
    let bearable = lost <= MOST_LOST_S * need.cpus.max(need.gpus * 8.0);
    (need.fits(&room) && !chosen.is_empty() && bearable).then_some((lost, chosen))
}

#[cfg(test)]
mod tests {
    use super::super::Mapped;
    use super::super::tests::{job, machine};
    use super::*;

    #[test]
    fn only_lower_priority_gives_way_and_least_is_lost() {
        let mut urgent = job("urgent", 3.0, 1, 20.0);
        urgent.by = super::super::By::Start;
        let occupant = |id: &str, urgency, lost_s| Occupant {
            id: (id.to_string(), 0),
            attempt: 1,
            need: Need {
                cpus: 2.0,
                gpus: 0.0,
                memory_gb: 1.0,
            },
            urgency,
            borrowing: true,
            lost_s,
            grace_s: 0.0,
            fixed: false,
        };
        let machines = vec![machine("far", 0.0, 1.0), machine("near", 0.0, 1.0)];
        let low = Urgency::BestEffort;
        let occupants = BTreeMap::from([
            ("far".to_string(), vec![occupant("old", low, 50.0)]),
            (
                "near".to_string(),
                vec![
                    occupant("equal", Urgency::Standard, 1.0),
                    occupant("young", low, 2.0),
                ],
            ),
        ]);
        let late = Mapping {
            mapped: vec![Mapped { tasks: 1, late: 1 }],
            ..Mapping::default()
        };
        let mut trace = String::new();
        for (what, guaranteed, due) in [
            ("by priority", false, 20.0),
            ("within its guarantee", true, 20.0),
            ("late whatever is stopped", false, 2.0),
        ] {
            let claim = Claim {
                urgency: Urgency::Standard,
                guaranteed,
            };
            urgent.due = due;
            let stops = choose(
                &[urgent.clone()],
                &[claim],
                &late,
                &machines,
                &occupants,
                3.0,
                2,
            );
            let names: Vec<&str> = stops.iter().map(|s| s.0.0.as_str()).collect();
            trace.push_str(&format!("{what}: stop {names:?}\n"));
        }
        insta::assert_snapshot!(trace, @r#"
        by priority: stop ["young"]
        within its guarantee: stop ["equal"]
        late whatever is stopped: stop []
        "#);
    }
}
