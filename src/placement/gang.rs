//! Gang scheduling: finds the slots on which a gang would complete first. All tasks of a gang start
//! together, as soon as the last of them can.

use super::index::MachineIndex;
use super::{JobSnapshot, ROUNDING_TOLERANCE};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// A gang that could start now waits for later slots only if it would complete earlier there by this
/// fraction of its run time. If the gang must stay in one zone, this only holds for later slots in a zone
/// where it could start now.
const MIN_GAIN_TO_WAIT: f64 = 0.25;

/// A slot for one task of a gang. Times are seconds from now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GangSlot {
    /// Index of the machine in the snapshot.
    pub machine: usize,
    /// When the capacity becomes free.
    pub start: f64,
    /// How long the machine then fetches the image.
    pub fetch: f64,
    /// When the task would end if it did not wait for the rest of the gang.
    pub end: f64,
}

/// A slot with its sort key: the earliest end, rounded to a second, then the emptiest machine. Machines
/// that are reserved for a waiting gang become emptier, so the gang gets the same ones in the next cycle.
/// Otherwise they would be filled again while other machines become free for it.
#[derive(Debug, Clone, Copy)]
struct RankedSlot {
    end_s: u64,
    emptiness: f64,
    /// Number of slots on the same machine that come before this one.
    slots_before: usize,
    slot: GangSlot,
}

impl RankedSlot {
    fn order(&self, other: &Self) -> Ordering {
        self.end_s
            .cmp(&other.end_s)
            .then(other.emptiness.total_cmp(&self.emptiness))
            .then(self.slot.machine.cmp(&other.slot.machine))
            .then(self.slots_before.cmp(&other.slots_before))
    }
}

/// The best slots of a zone, sorted; at most as many as the gang may use there.
#[derive(Debug, Default)]
struct BestSlots(Vec<RankedSlot>);

impl BestSlots {
    fn insert(&mut self, ranked: RankedSlot, max_slots: usize) {
        let is_full = self.0.len() >= max_slots;
        if is_full && self.0.last().is_none_or(|l| l.order(&ranked).is_le()) {
            return;
        }
        if is_full {
            self.0.pop();
        }
        let position = self.0.partition_point(|p| p.order(&ranked).is_le());
        self.0.insert(position, ranked);
    }

    fn sort(&mut self) {
        self.0.sort_by(RankedSlot::order);
    }

    /// The gang's placement on the first slots, if there are enough.
    fn placement(&self, size: usize) -> Option<GangPlacement> {
        let slots: Vec<GangSlot> = self.0.iter().take(size).map(|r| r.slot).collect();
        if slots.len() < size {
            return None;
        }
        // All tasks wait for the last slot and the longest fetch, and the gang ends with its slowest task.
        let max = |of: fn(&GangSlot) -> f64| slots.iter().map(of).fold(0.0, f64::max);
        let start = max(|slot| slot.start) + max(|slot| slot.fetch);
        let end = start + max(|slot| slot.end - slot.start - slot.fetch);
        Some(GangPlacement { end, slots })
    }
}

/// The best slots of a zone: among those that are free now, and among all.
#[derive(Debug, Default)]
struct ZoneSlots {
    at_once: BestSlots,
    any_time: BestSlots,
}

impl ZoneSlots {
    fn merge(mut self, other: Self) -> Self {
        self.at_once.0.extend(other.at_once.0);
        self.any_time.0.extend(other.any_time.0);
        self
    }

    fn sort(mut self) -> Self {
        self.at_once.sort();
        self.any_time.sort();
        self
    }
}

/// Slots for a whole gang, and when it would end there.
struct GangPlacement {
    end: f64,
    slots: Vec<GangSlot>,
}

/// The slots on which `size` tasks of the job would complete first if they start together; `None` if there
/// are not enough slots. If the job must stay in one zone, each zone is tried by itself.
pub fn gang_slots(
    job: &JobSnapshot,
    size: usize,
    machines: &mut MachineIndex,
    machines_examined: &mut u64,
) -> Option<Vec<GangSlot>> {
    let zones = slots_by_zone(job, size, machines, machines_examined).into_values();
    let choices: Vec<ZoneSlots> = if job.one_zone {
        zones.collect()
    } else {
        vec![zones.reduce(ZoneSlots::merge)?.sort()]
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
        let at_once = choice.at_once.placement(size);
        let penalty = if at_once.is_some() {
            job.duration * MIN_GAIN_TO_WAIT
        } else {
            0.0
        };
        consider(at_once, 0.0);
        consider(choice.any_time.placement(size), penalty);
    }
    best.map(|placement| placement.slots)
}

/// The best slots of each zone, at most as many as the zone may hold of the gang's tasks.
fn slots_by_zone(
    job: &JobSnapshot,
    size: usize,
    machines: &mut MachineIndex,
    machines_examined: &mut u64,
) -> BTreeMap<u32, ZoneSlots> {
    let max_slots = size.min(job.most_in_zone as usize);
    let start_times = machines.start_times(&job.resources, size);
    let machines = &*machines;
    let mut zones: BTreeMap<u32, ZoneSlots> = BTreeMap::new();
    let times = machines.task_times(job);
    for machine in machines.usable(job) {
        *machines_examined += 1;
        let fetch = times.fetch(machine);
        for (slots_before, id) in start_times.iter().enumerate() {
            let Some(start) = machines.start(*id, machine) else {
                break;
            };
            let end = start + fetch + times.run(machine);
            let ranked = RankedSlot {
                end_s: end.round() as u64,
                emptiness: machines.emptiness(machine),
                slots_before,
                slot: GangSlot {
                    machine,
                    start,
                    fetch,
                    end,
                },
            };
            let zone_slots = zones.entry(machines.zone(machine)).or_default();
            zone_slots.any_time.insert(ranked, max_slots);
            if start <= ROUNDING_TOLERANCE {
                zone_slots.at_once.insert(ranked, max_slots);
            }
        }
    }
    zones
}
