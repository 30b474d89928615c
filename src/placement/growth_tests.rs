//! How the cost of placement grows with the number of a job's tasks: users choose that number, and nothing is
//! answered while the controller places tasks.

use super::forecast::forecast;
use super::packing::pack;
use super::quota_headroom::QuotaHeadroom;
use super::tests::{job, machine, unlimited};
use super::*;
use std::time::Instant;

/// A job that fills one CPU in all, however many tasks it has.
fn one_cpu_job(tasks: u32, is_gang: bool) -> JobSnapshot {
    let mut job = job("job-000001", 1.0 / f64::from(tasks), tasks, 0.0);
    job.resources.memory_gb = 1.0 / f64::from(tasks);
    job.gang = is_gang;
    job
}

fn empty_machines(count: usize) -> Vec<MachineSnapshot> {
    (0..count)
        .map(|number| machine(&format!("vm-{number:06}"), 0.0, 16.0))
        .collect()
}

/// What one forecast and one packing of a workload cost, in free slots examined.
fn slots_examined(jobs: &[JobSnapshot], machines: &[MachineSnapshot]) -> u64 {
    let forecast = forecast(jobs, machines, &QuotaHeadroom::default(), 2);
    let packing = pack(jobs, &mut machines.to_vec(), unlimited(), 2, 400);
    forecast.slots_examined + packing.slots_examined
}

/// Guards against controllers that answer nobody for minutes: the placement of a gang of 100,000 tasks took time with
/// the square of its tasks, with the state's lock held (docs/incidents/2026-12-04-giant-gangs-silenced-controllers.md).
#[test]
fn placing_a_gang_costs_no_more_with_more_tasks() {
    let machines = empty_machines(40);
    let small = slots_examined(&[one_cpu_job(500, true)], &machines);
    let large = slots_examined(&[one_cpu_job(5_000, true)], &machines);
    assert!(
        large <= small * 2,
        "{small} slots with 500 tasks, {large} with 5,000"
    );
}

/// Measures how long a forecast and a packing take; checks nothing. Run it in a release build:
/// `cargo test --release -- --ignored --nocapture time_placement_by_tasks`.
#[test]
#[ignore = "a measurement"]
fn time_placement_by_tasks() {
    for is_gang in [true, false] {
        for count in [400, 4_000] {
            for tasks in [1_000, 10_000, 100_000] {
                let machines = empty_machines(count);
                let jobs = [one_cpu_job(tasks, is_gang)];
                let started_at = Instant::now();
                let predicted = forecast(&jobs, &machines, &QuotaHeadroom::default(), 2);
                let forecast_time = started_at.elapsed();
                let started_at = Instant::now();
                let placed = pack(&jobs, &mut machines.clone(), unlimited(), 2, 400);
                println!(
                    "gang {is_gang}, machines {count}, tasks {tasks}: forecast {forecast_time:?}, packing {:?}, slots {} and {}",
                    started_at.elapsed(),
                    predicted.slots_examined,
                    placed.slots_examined
                );
            }
        }
    }
}

/// Measures how long a forecast and a packing of many jobs take; checks nothing. Run it in a release build:
/// `cargo test --release -- --ignored --nocapture time_placement_by_jobs`.
#[test]
#[ignore = "a measurement"]
fn time_placement_by_jobs() {
    for is_gang in [true, false] {
        for count in [40, 400, 4_000] {
            for jobs in [100, 1_000] {
                let machines = empty_machines(count);
                let with_index = |index: usize| JobSnapshot {
                    id: format!("job-{index:06}"),
                    index,
                    ..one_cpu_job(100, is_gang)
                };
                let jobs: Vec<JobSnapshot> = (0..jobs).map(with_index).collect();
                let started_at = Instant::now();
                let predicted = forecast(&jobs, &machines, &QuotaHeadroom::default(), 2);
                let forecast_time = started_at.elapsed();
                let started_at = Instant::now();
                let placed = pack(&jobs, &mut machines.clone(), unlimited(), 2, 400);
                println!(
                    "gang {is_gang}, machines {count}, jobs {}: forecast {forecast_time:?}, packing {:?}, machines {} and {}",
                    jobs.len(),
                    started_at.elapsed(),
                    predicted.machines_examined,
                    placed.machines_examined
                );
            }
        }
    }
}
