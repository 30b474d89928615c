use super::super::gang::gang_slots;
use super::super::tests::{job, machine};
use super::super::{FreeSlot, JobSnapshot, MachineSnapshot, ROUNDING_TOLERANCE, TasksByZone};
use super::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;

/// The plain search: every machine is looked at for every question, and all places are put in order.
mod plain {
    use super::*;

    type Found = (f64, Vec<(usize, f64)>);

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
        let mut best: Option<Found> = None;
        for zone in zones {
            let places = ordered_places(job, size, machines, zone);
            let free: Vec<_> = places
                .iter()
                .copied()
                .filter(|p| p.1 <= ROUNDING_TOLERANCE)
                .collect();
            let at_once = take(job, size, machines, &free);
            let patience = if at_once.is_some() {
                job.duration * 0.25
            } else {
                0.0
            };
            let later = take(job, size, machines, &places);
            for (found, handicap) in [(at_once, 0.0), (later, patience)] {
                if let Some((end, places)) = found
                    && best.as_ref().is_none_or(|b| end + handicap < b.0)
                {
                    best = Some((end + handicap, places));
                }
            }
        }
        best.map(|b| b.1)
    }

    /// Machine and start of each place, the earliest end first and the emptiest machine among equals.
    fn ordered_places(
        job: &JobSnapshot,
        size: usize,
        machines: &[MachineSnapshot],
        zone: Option<u32>,
    ) -> Vec<(usize, f64)> {
        let mut places = Vec::new();
        for (index, machine) in machines.iter().enumerate() {
            if zone.is_some_and(|z| z != machine.zone) || !job.may_use(machine) {
                continue;
            }
            let mut all = Resources::default();
            for _ in 0..size {
                all.add(&job.resources);
                if let Some(start) = machine.earliest_start(&all) {
                    let end = start + fetch_and_run(job, machine);
                    places.push((end.round() as u64, machine.emptiness(), index, start));
                }
            }
        }
        places.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        places.into_iter().map(|p| (p.2, p.3)).collect()
    }

    fn fetch_and_run(job: &JobSnapshot, machine: &MachineSnapshot) -> f64 {
        machine.fetch_time(job) + job.duration * machine.slowness
    }

    fn take(
        job: &JobSnapshot,
        size: usize,
        machines: &[MachineSnapshot],
        places: &[(usize, f64)],
    ) -> Option<Found> {
        let mut zones = TasksByZone::new();
        let mut taken = Vec::new();
        for (index, start) in places {
            let zone = machines[*index].zone;
            if taken.len() < size && job.may_add_in_zone(&zones, zone) {
                *zones.entry(zone).or_default() += 1;
                taken.push((*index, *start));
            }
        }
        let most = |of: &dyn Fn(&(usize, f64)) -> f64| taken.iter().map(of).fold(0.0, f64::max);
        let run = most(&|p| job.duration * machines[p.0].slowness);
        let end = most(&|p| p.1) + most(&|p| machines[p.0].fetch_time(job)) + run;
        (taken.len() == size).then_some((end, taken))
    }
}

fn draw_machine(number: u32, rng: &mut StdRng) -> MachineSnapshot {
    let mut view = machine(&format!("vm-{number}"), 0.0, 16.0);
    view.machine_type = rng.random_range(0..2);
    view.zone = rng.random_range(0..3);
    view.spot = rng.random_bool(0.3);
    view.images = (0..3).filter(|_| rng.random_bool(0.5)).collect();
    let busy = f64::from(rng.random_range(0..16));
    view.free_slots[0].available.cpus = 16.0 - busy;
    if busy > 0.0 {
        let available = Resources {
            cpus: busy,
            ..Resources::default()
        };
        let at = f64::from(rng.random_range(1..60));
        view.free_slots.push(FreeSlot { at, available });
    }
    view
}

fn draw_gang(rng: &mut StdRng) -> JobSnapshot {
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

/// What the index keeps must be what a plain search would find, whatever changed in between.
#[test]
fn the_index_finds_what_a_plain_search_finds() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut found_some = 0;
    for _ in 0..40 {
        let count = rng.random_range(1..30);
        let mut machines: Vec<_> = (0..count).map(|n| draw_machine(n, &mut rng)).collect();
        let mut index = MachineIndex::new(&mut machines);
        for _ in 0..30 {
            let gang = draw_gang(&mut rng);
            let size = gang.waiting.len();
            let expected = plain::gang_slots(&gang, size, index.machines());
            let found = gang_slots(&gang, size, &mut index, &mut 0);
            let found = found.map(|places| -> Vec<(usize, f64)> {
                places.iter().map(|p| (p.machine, p.start)).collect()
            });
            assert_eq!(found, expected, "{gang:?}\n{:?}", index.machines());
            let Some(places) = found else {
                continue;
            };
            found_some += 1;
            for (machine, start) in places {
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
    assert!(found_some > 200, "only {found_some} gangs found places");
}

/// With more needs than are kept the oldest are worked out anew, and memory stays bounded.
#[test]
fn the_start_times_of_many_needs_are_bounded_and_right() {
    let mut machines = vec![machine("a", 0.0, 16.0), machine("b", 5.0, 8.0)];
    let mut index = MachineIndex::new(&mut machines);
    for tenths in 1..=200 {
        let resources = Resources {
            cpus: f64::from(tenths) / 10.0,
            ..Resources::default()
        };
        let id = index.start_times(&resources, 1)[0];
        let expected = |at: f64, available: f64| {
            (resources.cpus <= available + ROUNDING_TOLERANCE).then_some(at)
        };
        assert_eq!(index.start(id, 0), expected(0.0, 16.0));
        assert_eq!(index.start(id, 1), expected(5.0, 8.0));
        assert!(index.start_times.len() <= MAX_MEMOIZED_REQUESTS);
    }
}
