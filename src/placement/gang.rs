//! Where a gang would be complete first: its tasks start together, with the last of them.

use super::index::MachineIndex;
use super::{JobSnapshot, SLACK};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// For so much of its run time a gang does not wait where it could start.
const WORTH_WAITING: f64 = 0.25;

/// A place for one task of a gang.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GangSlot {
    pub machine: usize,
    pub start: f64,
    pub fetch: f64,
    pub end: f64,
}

/// A place, and what decides which of several is taken: the earliest end, to the second; among equals
/// the emptiest machine, so that what a waiting gang has had set aside so far stays with it, or else
/// its machines would be filled again while others are emptied for it.
#[derive(Debug, Clone, Copy)]
struct RankedSlot {
    end_s: u64,
    emptiness: f64,
    /// How many places on the machine come before it.
    beside: usize,
    place: GangSlot,
}

impl RankedSlot {
    fn order(&self, other: &Self) -> Ordering {
        self.end_s
            .cmp(&other.end_s)
            .then(other.emptiness.total_cmp(&self.emptiness))
            .then(self.place.machine.cmp(&other.place.machine))
            .then(self.beside.cmp(&other.beside))
    }
}

/// The first places of a zone by their rank, no more than may be used.
#[derive(Debug, Default)]
struct BestSlots(Vec<RankedSlot>);

impl BestSlots {
    fn offer(&mut self, ranked: RankedSlot, most: usize) {
        let full = self.0.len() >= most;
        if full && self.0.last().is_none_or(|l| l.order(&ranked).is_le()) {
            return;
        }
        if full {
            self.0.pop();
        }
        let at = self.0.partition_point(|p| p.order(&ranked).is_le());
        self.0.insert(at, ranked);
    }
}

/// What a zone offers: places that are free now, and places at any time.
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
        self.at_once.0.sort_by(RankedSlot::order);
        self.any_time.0.sort_by(RankedSlot::order);
        self
    }
}

/// Where a gang of that size would be complete first. A gang for one zone is tried in each.
pub fn gang_slots(
    job: &JobSnapshot,
    size: usize,
    machines: &mut MachineIndex,
    machines_examined: &mut u64,
) -> Option<Vec<GangSlot>> {
    let zones = offers(job, size, machines, machines_examined).into_values();
    let offers: Vec<ZoneSlots> = match job.one_zone {
        true => zones.collect(),
        false => vec![zones.reduce(ZoneSlots::merge)?.sort()],
    };
    let mut best: Option<(f64, Vec<GangSlot>)> = None;
    for offer in offers {
        // What is free now is taken although other machines, free a little later, would be done
        // sooner: a gang that always waits for the next better one never starts.
        let at_once = complete(size, &offer.at_once);
        let patience = match at_once.is_some() {
            true => job.duration * WORTH_WAITING,
            false => 0.0,
        };
        let later = complete(size, &offer.any_time);
        for (found, handicap) in [(at_once, 0.0), (later, patience)] {
            if let Some((end, places)) = found
                && best.as_ref().is_none_or(|(e, _)| end + handicap < *e)
            {
                best = Some((end + handicap, places));
            }
        }
    }
    best.map(|(_, places)| places)
}

/// The first places in each zone, as many as a zone may have of the gang.
fn offers(
    job: &JobSnapshot,
    size: usize,
    machines: &mut MachineIndex,
    machines_examined: &mut u64,
) -> BTreeMap<u32, ZoneSlots> {
    let most = size.min(job.most_in_zone as usize);
    let start_times = machines.start_times(&job.resources, size);
    let machines = &*machines;
    let mut offers: BTreeMap<u32, ZoneSlots> = BTreeMap::new();
    let times = machines.task_times(job);
    for machine in machines.usable(job) {
        *machines_examined += 1;
        let fetch = times.fetch(machine);
        for (beside, id) in start_times.iter().enumerate() {
            let Some(start) = machines.start(*id, machine) else {
                break;
            };
            let end = start + fetch + times.run(machine);
            let ranked = RankedSlot {
                end_s: end.round() as u64,
                emptiness: machines.emptiness(machine),
                beside,
                place: GangSlot {
                    machine,
                    start,
                    fetch,
                    end,
                },
            };
            let offer = offers.entry(machines.zone(machine)).or_default();
            offer.any_time.offer(ranked, most);
            if start <= SLACK {
                offer.at_once.offer(ranked, most);
            }
        }
    }
    offers
}

/// The first places, if there are enough, and when the gang would end there: it starts with its last
/// task and runs as fast as its slowest machine.
fn complete(size: usize, first: &BestSlots) -> Option<(f64, Vec<GangSlot>)> {
    let places: Vec<GangSlot> = first.0.iter().take(size).map(|r| r.place).collect();
    if places.len() < size {
        return None;
    }
    let most = |of: &dyn Fn(&GangSlot) -> f64| places.iter().map(of).fold(0.0, f64::max);
    let ready = most(&|p| p.start) + most(&|p| p.fetch);
    let end = ready + most(&|p| p.end - p.start - p.fetch);
    Some((end, places))
}
