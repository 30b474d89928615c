use super::super::gang::gang_slots;
use super::super::tests::{job, machine};
use super::super::{FreeSlot, JobSnapshot, MachineSnapshot, ROUNDING_TOLERANCE, TasksByZone};
use super::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;

/// A reference implementation of the search for gang slots: it examines every machine each time and sorts all
/// slots.
mod reference {
    use super::*;

    type GangPlacement = (f64, Vec<(usize, f64)>);

    pub fn gang_slots(
        job: &JobSnapshot,
        size: usize,
        machines: &[MachineSnapshot],
    ) -> Option<Vec<(usize, f64)>> {
        let zones: BTreeSet<u32> = machines.iter().map(|m| m.zone).collect();
        let zones: Vec<Option<u32>> = match job.one_zone {
            true => zones.into_iter().map(Some).collect(),
            false => vec![None],
        };
        let mut best: Option<GangPlacement> = None;
        for zone in zones {
            let slots = ordered_slots(job, size, machines, zone);
            let free: Vec<_> = slots
                .iter()
                .copied()
                .filter(|p| p.1 <= ROUNDING_TOLERANCE)
                .collect();
            let at_once = choose_slots(job, size, machines, &free);
            let later_penalty = if at_once.is_some() {
                job.duration * 0.25
            } else {
                0.0
            };
            let later = choose_slots(job, size, machines, &slots);
            for (found, penalty) in [(at_once, 0.0), (later, later_penalty)] {
                if let Some((end, slots)) = found
                    && best.as_ref().is_none_or(|b| end + penalty < b.0)
                {
                    best = Some((end + penalty, slots));
                }
            }
        }
        best.map(|b| b.1)
    }

    /// Machine and start of each slot: the earliest end first, rounded to a second, and the emptiest machine among
    /// equal ends.
    fn ordered_slots(
        job: &JobSnapshot,
        size: usize,
        machines: &[MachineSnapshot],
        zone: Option<u32>,
    ) -> Vec<(usize, f64)> {
        let mut slots = Vec::new();
        for (index, machine) in machines.iter().enumerate() {
            if zone.is_some_and(|z| z != machine.zone) || !job.may_use(machine) {
                continue;
            }
            let mut requested = Resources::default();
            for _ in 0..size {
                requested.add(&job.resources);
                if let Some(start) = machine.earliest_start(&requested) {
                    let end = start + fetch_and_run(job, machine);
                    slots.push((end.round() as u64, machine.emptiness(), index, start));
                }
            }
        }
        slots.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        slots.into_iter().map(|p| (p.2, p.3)).collect()
    }

    fn fetch_and_run(job: &JobSnapshot, machine: &MachineSnapshot) -> f64 {
        machine.fetch_time(job) + job.duration * machine.slowness
    }

    fn choose_slots(
        job: &JobSnapshot,
        size: usize,
        machines: &[MachineSnapshot],
        slots: &[(usize, f64)],
    ) -> Option<GangPlacement> {
        let mut zones = TasksByZone::new();
        let mut chosen = Vec::new();
        for (index, start) in slots {
            let zone = machines[*index].zone;
            if chosen.len() < size && job.may_add_in_zone(&zones, zone) {
                *zones.entry(zone).or_default() += 1;
                chosen.push((*index, *start));
            }
        }
        let max = |of: &dyn Fn(&(usize, f64)) -> f64| chosen.iter().map(of).fold(0.0, f64::max);
        let run = max(&|p| job.duration * machines[p.0].slowness);
        let end = max(&|p| p.1) + max(&|p| machines[p.0].fetch_time(job)) + run;
        (chosen.len() == size).then_some((end, chosen))
    }
}

fn random_machine(number: u32, rng: &mut StdRng) -> MachineSnapshot {
    let mut snapshot = machine(&format!("vm-{number}"), 0.0, 16.0);
    snapshot.machine_type = rng.random_range(0..2);
    snapshot.zone = rng.random_range(0..3);
    snapshot.spot = rng.random_bool(0.3);
    snapshot.images = (0..3).filter(|_| rng.random_bool(0.5)).collect();
    let busy = f64::from(rng.random_range(0..16));
    snapshot.free_slots[0].available.cpus = 16.0 - busy;
    if busy > 0.0 {
        let available = Resources {
            cpus: busy,
            ..Resources::default()
        };
        let at = f64::from(rng.random_range(1..60));
        snapshot.free_slots.push(FreeSlot { at, available });
    }
    snapshot
}

fn random_gang(rng: &mut StdRng) -> JobSnapshot {
    let size = rng.random_range(1..=8);
    let cpus = [3.0, 7.0, 15.0][rng.random_range(0..3)];
    let mut gang = job("gang", cpus, size, 0.0);
    gang.gang = true;
    gang.image = rng.random_range(0..3);
    gang.spot = rng.random_bool(0.5);
    gang.machine_types = if rng.random_bool(0.5) {
        vec![0]
    } else {
        vec![0, 1]
    };
    match rng.random_range(0..4) {
        0 => gang.one_zone = true,
        1 => gang.most_in_zone = size.div_ceil(2),
        2 => gang.zone = Some(rng.random_range(0..3)),
        _ => {}
    }
    gang
}

/// The index must lead to the same slots as the reference search, also after tasks and reservations have changed
/// machines whose values it had cached.
#[test]
fn gang_slots_match_the_reference_search() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut gangs_placed = 0;
    for _ in 0..40 {
        let count = rng.random_range(1..30);
        let mut machines: Vec<_> = (0..count).map(|n| random_machine(n, &mut rng)).collect();
        let mut index = MachineIndex::new(&mut machines);
        for _ in 0..30 {
            let gang = random_gang(&mut rng);
            let size = gang.waiting.len();
            let expected = reference::gang_slots(&gang, size, index.machines());
            let found = gang_slots(&gang, size, &mut index, &mut 0);
            let found = found.map(|slots| -> Vec<(usize, f64)> {
                let each_task = slots
                    .iter()
                    .flat_map(|p| std::iter::repeat_n((p.machine, p.start), p.tasks));
                each_task.collect()
            });
            assert_eq!(found, expected, "{gang:?}\n{:?}", index.machines());
            let Some(slots) = found else {
                continue;
            };
            gangs_placed += 1;
            for (machine, start) in slots {
                if rng.random_bool(0.5) {
                    index.occupy(machine, &gang.resources, start, start + gang.duration);
                } else {
                    index.reserve(
                        machine,
                        Reservation {
                            at: start,
                            resources: gang.resources,
                            job: 0,
                        },
                    );
                }
            }
        }
    }
    assert!(gangs_placed > 200, "only {gangs_placed} gangs found slots");
}

/// With more distinct requests than `MAX_CACHED_REQUESTS`, the start times are still right, and at most
/// `MAX_CACHED_REQUESTS` requests are cached.
#[test]
fn start_times_of_many_requests_are_right_and_bounded() {
    let mut machines = vec![machine("a", 0.0, 16.0), machine("b", 5.0, 8.0)];
    let mut index = MachineIndex::new(&mut machines);
    for tenths in 1..=200 {
        let resources = Resources {
            cpus: f64::from(tenths) / 10.0,
            ..Resources::default()
        };
        let id = index.start_times(&resources);
        let expected = |at: f64, available: f64| {
            (resources.cpus <= available + ROUNDING_TOLERANCE).then_some(at)
        };
        assert_eq!(index.start(id, 0), expected(0.0, 16.0));
        assert_eq!(index.start(id, 1), expected(5.0, 8.0));
        assert!(index.start_times.len() <= MAX_CACHED_REQUESTS);
    }
}
