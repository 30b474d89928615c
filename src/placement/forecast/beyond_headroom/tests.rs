//! Tasks of limited teams beyond the headroom: those that wait for machines are counted, and those that wait for
//! quota are not.

use super::super::forecast;
use super::*;
use crate::placement::tests::{job, machine};
use crate::placement::{FreeSlot, MachineSnapshot, Resources};

const PROVISIONING_S: f64 = 30.0;
/// Startup tasks of each job.
const STARTUP_COUNT: u32 = 2;

fn cpus(cpus: f64) -> Resources {
    Resources {
        cpus,
        gpus: f64::INFINITY,
        memory_gb: f64::INFINITY,
    }
}

/// The headroom of a team with a limit of 12 CPUs. `releases` are the times at which its running tasks end, with
/// their CPUs.
fn headroom(available: f64, releases: &[(f64, f64)]) -> QuotaHeadroom {
    let mut headroom = QuotaHeadroom::default();
    headroom.add(cpus(available), cpus(12.0));
    for (at, cpus) in releases {
        let available = Resources {
            cpus: *cpus,
            ..Resources::default()
        };
        headroom.add_release(0, FreeSlot { at: *at, available });
    }
    headroom
}

/// A late job of the limited team whose tasks request one CPU each.
fn limited_job(tasks: u32, duration: f64) -> JobSnapshot {
    JobSnapshot {
        team: Some(0),
        duration,
        provisioning_s: PROVISIONING_S,
        image_gb: 0.0,
        ..job("a", 1.0, tasks, 1.0)
    }
}

fn beyond(
    job: JobSnapshot,
    machines: &[MachineSnapshot],
    headroom: &QuotaHeadroom,
) -> BeyondHeadroom {
    forecast(&[job], machines, headroom, STARTUP_COUNT).beyond_headroom[0]
}

/// A machine with four CPUs, which tasks of the team use until `at`.
fn busy_until(name: &str, at: f64) -> MachineSnapshot {
    machine(name, at, 4.0)
}

/// With 600 short tasks, a limit of 12 CPUs and one machine with 4, eight more tasks could run on more machines.
#[test]
fn tasks_beyond_the_headroom_that_lack_machines_are_counted() {
    let machines = [busy_until("m", 5.0)];
    let found = beyond(
        limited_job(600, 10.0),
        &machines,
        &headroom(8.0, &[(5.0, 4.0)]),
    );
    assert_eq!(found.unused_quota_tasks, 8);
    assert!(found.helped > 20, "{found:?}");
}

/// With machines for the whole limit, the tasks beyond the headroom wait for quota, however many there are. The same
/// holds if one of these machines is still booting, and if the whole limit is in use.
#[test]
fn tasks_that_lack_quota_are_not_counted() {
    let running = [(5.0, 4.0), (5.0, 4.0)];
    let two_busy = [busy_until("m", 5.0), busy_until("n", 5.0)];
    let idle = machine("o", 0.0, 4.0);
    let booting = machine("o", PROVISIONING_S - 1.0, 4.0);
    for third in [idle, booting] {
        let mut machines = two_busy.to_vec();
        machines.push(third);
        let found = beyond(limited_job(600, 10.0), &machines, &headroom(4.0, &running));
        assert_eq!(found.unused_quota_tasks, 0, "{found:?}");
    }
    let full = headroom(0.0, &[(5.0, 4.0), (5.0, 4.0), (5.0, 4.0)]);
    let found = beyond(limited_job(600, 10.0), &two_busy, &full);
    assert_eq!(found, BeyondHeadroom::default());
}

/// Unused quota counts for no more tasks than the limit permits, and for no more than wait for machines: of the nine
/// waiting tasks in the second case, four run on the present machine.
#[test]
fn unused_quota_is_bounded_by_the_limit_and_by_the_waiting_tasks() {
    let found = beyond(limited_job(600, 10.0), &[], &headroom(12.0, &[]));
    assert_eq!(found.unused_quota_tasks, 12);
    let few = beyond(
        limited_job(9, 60.0),
        &[busy_until("m", 5.0)],
        &headroom(8.0, &[(5.0, 4.0)]),
    );
    assert!(few.unused_quota_tasks <= 5, "{few:?}");
}

/// Nothing is counted for a gang that exceeds the headroom, which waits for quota as a whole, nor for a team without
/// a limit.
#[test]
fn gangs_and_unlimited_teams_have_nothing_beyond_the_headroom() {
    let gang = JobSnapshot {
        gang: true,
        ..limited_job(10, 10.0)
    };
    let machines = [busy_until("m", 5.0)];
    assert_eq!(
        beyond(gang, &machines, &headroom(8.0, &[])),
        BeyondHeadroom::default()
    );
    let unlimited = JobSnapshot {
        team: None,
        ..limited_job(600, 10.0)
    };
    assert_eq!(
        beyond(unlimited, &machines, &headroom(8.0, &[])),
        BeyondHeadroom::default()
    );
}

/// With a limit of 4 GPUs and a single machine with one GPU, three more tasks could run on more machines.
#[test]
fn tasks_that_lack_gpu_machines_are_counted() {
    let gpus = |gpus: f64| Resources {
        cpus: f64::INFINITY,
        gpus,
        memory_gb: f64::INFINITY,
    };
    let mut headroom = QuotaHeadroom::default();
    headroom.add(gpus(3.0), gpus(4.0));
    let available = Resources {
        gpus: 1.0,
        ..Resources::default()
    };
    headroom.add_release(0, FreeSlot { at: 5.0, available });
    let mut with_gpu = machine("g", 5.0, 4.0);
    with_gpu.free_slots[0].available.gpus = 1.0;
    let mut waiting = limited_job(100, 10.0);
    waiting.resources.gpus = 1.0;
    let found = beyond(waiting, &[with_gpu], &headroom);
    assert_eq!(found.unused_quota_tasks, 3);
    assert!(found.helped > 0);
}

/// With 200 teams of five jobs, each of thousands of tasks, the machines examined stay within what the bounds on
/// jobs and on tasks allow.
#[test]
fn the_cost_is_bounded_over_all_teams() {
    const TEAMS: usize = 200;
    const JOBS_PER_TEAM: usize = 5;
    let mut headroom = QuotaHeadroom::default();
    let mut jobs = Vec::new();
    for team in 0..TEAMS {
        headroom.add(cpus(8.0), cpus(12.0));
        for _ in 0..JOBS_PER_TEAM {
            let mut job = limited_job(5_000, 10.0);
            job.id = format!("job-{:04}", jobs.len());
            job.index = jobs.len();
            job.team = Some(team);
            jobs.push(job);
        }
    }
    let machines: Vec<MachineSnapshot> = (0..100)
        .map(|number| machine(&format!("m-{number}"), 0.0, 4.0))
        .collect();
    let predicted = forecast(&jobs, &machines, &headroom, STARTUP_COUNT);
    // Within a team's headroom of eight tasks, the bound allows one search of all machines for each task and one more
    // for the head of the queue. Beyond the headroom, each job examines all machines once, and each task one more.
    let within_headroom = TEAMS * (8 + 1) * (machines.len() + 1);
    let bound = within_headroom + MAX_JOBS * machines.len() + MAX_TASKS;
    let examined = predicted.machines_examined as usize;
    assert!(
        examined <= bound,
        "{examined} machines examined, at most {bound} expected"
    );
}
