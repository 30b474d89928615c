//! Gang scheduling: where a gang would be complete first. Its tasks start together, with the last of them.

use super::index::MachineIndex;
use super::{JobSnapshot, SLACK};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Share of its run time that a gang must gain to wait although it could start now.
const WORTH_WAITING: f64 = 0.25;

/// A slot for one task of a gang. Times are seconds from now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GangSlot {
    /// Index of the machine in the snapshot.
    pub machine: usize,
    /// When the capacity is free.
    pub start: f64,
    /// How long the image's fetch takes then.
    pub fetch: f64,
    /// When the task would end, if it started by itself.
    pub end: f64,
}

/// A slot with what decides between several: the earliest end, to the second; among equals the emptiest
/// machine, so that what was reserved for a waiting gang stays with it. Otherwise its machines would be
/// filled again while others are emptied for it.
#[derive(Debug, Clone, Copy)]
struct RankedSlot {
    end_s: u64,
    emptiness: f64,
    /// How many slots on the same machine come before it.
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

/// The best slots of a zone in order, no more than may be used.
#[derive(Debug, Default)]
struct BestSlots(Vec<RankedSlot>);

impl BestSlots {
    fn offer(&mut self, ranked: RankedSlot, max_slots: usize) {
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
    fn complete(&self, size: usize) -> Option<GangPlacement> {
        let slots: Vec<GangSlot> = self.0.iter().take(size).map(|r| r.slot).collect();
        if slots.len() < size {
            return None;
        }
        // It starts with its last task and runs as fast as its slowest machine.
        let max = |of: fn(&GangSlot) -> f64| slots.iter().map(of).fold(0.0, f64::max);
        let start = max(|slot| slot.start) + max(|slot| slot.fetch);
        let end = start + max(|slot| slot.end - slot.start - slot.fetch);
        Some(GangPlacement { end, slots })
    }
}

/// What a zone offers: slots that are free now, and slots at any time.
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

/// Where a gang of that size would be complete first. A gang for one zone is tried in each.
pub fn gang_slots(
    job: &JobSnapshot,
    size: usize,
    machines: &mut MachineIndex,
    machines_examined: &mut u64,
) -> Option<Vec<GangSlot>> {
    let zones = slots_by_zone(job, size, machines, machines_examined).into_values();
    let offers: Vec<ZoneSlots> = if job.one_zone {
        zones.collect()
    } else {
        vec![zones.reduce(ZoneSlots::merge)?.sort()]
    };
    let mut best: Option<GangPlacement> = None;
    let mut consider = |placement: Option<GangPlacement>, handicap: f64| {
        let Some(mut placement) = placement else {
            return;
        };
        placement.end += handicap;
        if best.as_ref().is_none_or(|best| placement.end < best.end) {
            best = Some(placement);
        }
    };
    for offer in offers {
        // What is free now is taken although other machines, free a little later, would be done
        // sooner: a gang that always waits for the next better one never starts.
        let at_once = offer.at_once.complete(size);
        let handicap = if at_once.is_some() {
            job.duration * WORTH_WAITING
        } else {
            0.0
        };
        consider(at_once, 0.0);
        consider(offer.any_time.complete(size), handicap);
    }
    best.map(|placement| placement.slots)
}

/// The best slots in each zone, as many as a zone may have of the gang.
fn slots_by_zone(
    job: &JobSnapshot,
    size: usize,
    machines: &mut MachineIndex,
    machines_examined: &mut u64,
) -> BTreeMap<u32, ZoneSlots> {
    let max_slots = size.min(job.most_in_zone as usize);
    let start_times = machines.start_times(&job.resources, size);
    let machines = &*machines;
    let mut offers: BTreeMap<u32, ZoneSlots> = BTreeMap::new();
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
            let offer = offers.entry(machines.zone(machine)).or_default();
            offer.any_time.offer(ranked, max_slots);
            if start <= SLACK {
                offer.at_once.offer(ranked, max_slots);
            }
        }
    }
    offers
}
