//! Gang scheduling: finds the slots on which a gang would complete first. All tasks of a gang start
//! together, as soon as the last of them can. The cost follows the number of machines and of their free slots, and
//! not the number of tasks: tasks that could start on a machine at the same time are handled as a group.

use super::index::MachineIndex;
use super::machine::StartGroup;
use super::{JobSnapshot, ROUNDING_TOLERANCE};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

/// A gang that could start now waits for later slots only if it would complete earlier there by this
/// fraction of its run time. If the gang must stay in one zone, this only holds for later slots in a zone
/// where it could start now.
const MIN_GAIN_TO_WAIT: f64 = 0.25;

/// Slots on one machine for tasks of a gang that could start at the same time. Times are seconds from now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GangSlots {
    /// Index of the machine in the snapshot.
    pub machine: usize,
    /// Number of tasks.
    pub tasks: usize,
    /// When the capacity becomes free.
    pub start: f64,
    /// How long the machine then fetches the image.
    pub fetch: f64,
    /// When the tasks would end if they did not wait for the rest of the gang.
    pub end: f64,
}

/// Slots with their sort key: the earliest end, rounded to a second, then the emptiest machine. Machines
/// that are reserved for a waiting gang become emptier, so the gang gets the same ones in the next cycle.
/// Otherwise they would be filled again while other machines become free for it.
#[derive(Debug, Clone, Copy)]
struct RankedSlots {
    end_s: u64,
    emptiness: f64,
    /// Number of slots on the same machine that come before these.
    slots_before: usize,
    slots: GangSlots,
}

impl Ord for RankedSlots {
    fn cmp(&self, other: &Self) -> Ordering {
        self.end_s
            .cmp(&other.end_s)
            .then(other.emptiness.total_cmp(&self.emptiness))
            .then(self.slots.machine.cmp(&other.slots.machine))
            .then(self.slots_before.cmp(&other.slots_before))
    }
}

impl PartialOrd for RankedSlots {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankedSlots {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for RankedSlots {}

/// The best slots of a zone, at least as many as the gang may use there if there are so many. The heap yields the
/// worst ones first.
#[derive(Debug, Default)]
struct BestSlots {
    ranked: BinaryHeap<RankedSlots>,
    tasks: usize,
}

impl BestSlots {
    fn insert(&mut self, ranked: RankedSlots, max_tasks: usize) {
        let is_full = self.tasks >= max_tasks;
        if is_full && self.ranked.peek().is_none_or(|worst| *worst <= ranked) {
            return;
        }
        self.tasks += ranked.slots.tasks;
        self.ranked.push(ranked);
        while let Some(worst) = self.ranked.peek()
            && self.tasks - worst.slots.tasks >= max_tasks
        {
            self.tasks -= worst.slots.tasks;
            self.ranked.pop();
        }
    }

    /// The slots, best first, for at most `max_tasks` tasks.
    fn into_sorted(self, max_tasks: usize) -> Vec<RankedSlots> {
        take_tasks(self.ranked.into_sorted_vec(), max_tasks)
    }
}

/// The first of the slots, for at most `max_tasks` tasks.
fn take_tasks(mut ranked: Vec<RankedSlots>, max_tasks: usize) -> Vec<RankedSlots> {
    let mut tasks_left = max_tasks;
    for ranked in &mut ranked {
        let slots = &mut ranked.slots;
        slots.tasks = slots.tasks.min(tasks_left);
        tasks_left -= slots.tasks;
    }
    ranked.retain(|ranked| ranked.slots.tasks > 0);
    ranked
}

/// The best slots of a zone: among those that are free now, and among all.
#[derive(Debug, Default)]
struct ZoneSlots {
    at_once: BestSlots,
    any_time: BestSlots,
}

/// The same, each sorted.
#[derive(Debug, Default)]
struct SortedSlots {
    at_once: Vec<RankedSlots>,
    any_time: Vec<RankedSlots>,
}

impl ZoneSlots {
    fn into_sorted(self, max_tasks: usize) -> SortedSlots {
        SortedSlots {
            at_once: self.at_once.into_sorted(max_tasks),
            any_time: self.any_time.into_sorted(max_tasks),
        }
    }
}

impl SortedSlots {
    fn merge(mut self, other: Self) -> Self {
        self.at_once.extend(other.at_once);
        self.any_time.extend(other.any_time);
        self
    }

    fn sort(mut self) -> Self {
        self.at_once.sort_unstable();
        self.any_time.sort_unstable();
        self
    }
}

/// Slots for a whole gang, and when it would end there.
struct GangPlacement {
    end: f64,
    slots: Vec<GangSlots>,
}

impl GangPlacement {
    /// The placement of a gang on the first of these slots, if there are enough.
    fn on_first(ranked: Vec<RankedSlots>, size: usize) -> Option<Self> {
        let ranked = take_tasks(ranked, size);
        let slots: Vec<GangSlots> = ranked.into_iter().map(|ranked| ranked.slots).collect();
        if slots.iter().map(|slots| slots.tasks).sum::<usize>() < size {
            return None;
        }
        // All tasks wait for the last slot and the longest fetch, and the gang ends with its slowest task.
        let max = |of: fn(&GangSlots) -> f64| slots.iter().map(of).fold(0.0, f64::max);
        let start = max(|slots| slots.start) + max(|slots| slots.fetch);
        let end = start + max(|slots| slots.end - slots.start - slots.fetch);
        Some(Self { end, slots })
    }
}

/// The slots on which `size` tasks of the job would complete first if they start together; `None` if there
/// are not enough slots. If the job must stay in one zone, each zone is tried by itself.
pub fn gang_slots(
    job: &JobSnapshot,
    size: usize,
    machines: &mut MachineIndex,
    machines_examined: &mut u64,
) -> Option<Vec<GangSlots>> {
    let max_in_zone = size.min(job.most_in_zone as usize);
    let zones = slots_by_zone(job, max_in_zone, machines, machines_examined).into_values();
    let zones = zones.map(|zone| zone.into_sorted(max_in_zone));
    let choices: Vec<SortedSlots> = if job.one_zone {
        zones.collect()
    } else {
        vec![zones.reduce(SortedSlots::merge)?.sort()]
    };
    let mut best: Option<GangPlacement> = None;
    let mut consider = |placement: Option<GangPlacement>, penalty: f64| {
        let Some(mut placement) = placement else {
            return;
        };
        placement.end += penalty;
        if best.as_ref().is_none_or(|best| placement.end < best.end) {
            best = Some(placement);
        }
    };
    for choice in choices {
        // Slots that are free now are preferred even if later ones would complete a little earlier: a
        // gang that always waits for slightly better slots never starts.
        let at_once = GangPlacement::on_first(choice.at_once, size);
        let penalty = if at_once.is_some() {
            job.duration * MIN_GAIN_TO_WAIT
        } else {
            0.0
        };
        consider(at_once, 0.0);
        consider(GangPlacement::on_first(choice.any_time, size), penalty);
    }
    best.map(|placement| placement.slots)
}

/// The best slots of each zone, for at least `max_in_zone` tasks if there are so many.
fn slots_by_zone(
    job: &JobSnapshot,
    max_in_zone: usize,
    machines: &mut MachineIndex,
    machines_examined: &mut u64,
) -> BTreeMap<u32, ZoneSlots> {
    let start_times = if max_in_zone > 1 {
        machines.start_times_of_groups(&job.resources)
    } else {
        machines.start_times(&job.resources)
    };
    let machines = &*machines;
    let mut zones: BTreeMap<u32, ZoneSlots> = BTreeMap::new();
    let times = machines.task_times(job);
    for machine in machines.usable(job) {
        *machines_examined += 1;
        let fetch = times.fetch(machine);
        let run = times.run(machine);
        let mut add = |group: StartGroup, slots_before: usize| {
            let end = group.start + fetch + run;
            let ranked = RankedSlots {
                end_s: end.round() as u64,
                emptiness: machines.emptiness(machine),
                slots_before,
                slots: GangSlots {
                    machine,
                    tasks: group.tasks,
                    start: group.start,
                    fetch,
                    end,
                },
            };
            let zone_slots = zones.entry(machines.zone(machine)).or_default();
            zone_slots.any_time.insert(ranked, max_in_zone);
            if group.start <= ROUNDING_TOLERANCE {
                zone_slots.at_once.insert(ranked, max_in_zone);
            }
        };
        let Some(start) = machines.start(start_times, machine) else {
            continue;
        };
        if max_in_zone == 1 {
            add(StartGroup { start, tasks: 1 }, 0);
            continue;
        }
        let mut slots_before = 0;
        for group in machines.start_groups(start_times, machine) {
            let tasks = group.tasks.min(max_in_zone - slots_before);
            add(StartGroup { tasks, ..*group }, slots_before);
            slots_before += tasks;
            if slots_before == max_in_zone {
                break;
            }
        }
    }
    zones
}
