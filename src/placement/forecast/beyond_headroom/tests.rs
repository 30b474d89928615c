//! Both sides of a limit: what machines keep waiting is seen, and what quota keeps waiting rents nothing.

use super::super::forecast;
use super::*;
use crate::placement::tests::{job, machine};
use crate::placement::{FreeSlot, MachineSnapshot, Resources};

const BOOT_S: f64 = 30.0;
/// Startup tasks of each job.
const STARTUP_COUNT: u32 = 2;

fn cpus(cpus: f64) -> Resources {
    Resources {
        cpus,
        gpus: f64::INFINITY,
        memory_gb: f64::INFINITY,
    }
}

/// A team's headroom of CPUs under its limit of 12, with what its running tasks release.
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

/// A late job of the limited team with tasks of one CPU.
fn limited_job(tasks: u32, duration: f64) -> JobSnapshot {
    JobSnapshot {
        team: Some(0),
        duration,
        provisioning_s: BOOT_S,
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

/// A machine of four CPUs that run tasks of the team until then.
fn busy_until(name: &str, at: f64) -> MachineSnapshot {
    machine(name, at, 4.0)
}

/// 600 short tasks, a limit of 12 and one machine of 4: eight more could run if there were machines.
#[test]
fn tasks_that_lack_machines_are_seen_beyond_the_headroom() {
    let machines = [busy_until("m", 5.0)];
    let found = beyond(
        limited_job(600, 10.0),
        &machines,
        &headroom(8.0, &[(5.0, 4.0)]),
    );
    assert_eq!(found.unused_quota_tasks, 8);
    assert!(found.helped > 20, "{found:?}");
}

/// With machines for the whole limit, quota alone keeps the rest waiting, however much that is. The same holds
/// where the missing machines boot, and where nothing of the limit is left.
#[test]
fn tasks_that_lack_quota_need_no_machine() {
    let running = [(5.0, 4.0), (5.0, 4.0)];
    let two_busy = [busy_until("m", 5.0), busy_until("n", 5.0)];
    let idle = machine("o", 0.0, 4.0);
    let booting = machine("o", BOOT_S - 1.0, 4.0);
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

/// The limit bounds what is counted, and so does the work: no more than waits.
#[test]
fn no_more_is_counted_than_the_limit_and_the_work_allow() {
    let found = beyond(limited_job(600, 10.0), &[], &headroom(12.0, &[]));
    assert_eq!(found.unused_quota_tasks, 12);
    let few = beyond(
        limited_job(9, 60.0),
        &[busy_until("m", 5.0)],
        &headroom(8.0, &[(5.0, 4.0)]),
    );
    assert!(few.unused_quota_tasks <= 5, "{few:?}");
}

/// A gang that exceeds the headroom waits for quota as a whole, and a team without a limit is not looked at.
#[test]
fn gangs_and_unlimited_teams_are_left_to_the_headroom() {
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

/// GPUs that the limit has, and machines do not.
#[test]
fn a_limit_of_gpus_counts_likewise() {
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

/// Hundreds of teams with several jobs of thousands of tasks cost no more than the bounds on jobs and on mapped
/// tasks.
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
    // Within the headroom of eight tasks each looks at all machines at most, as do a team's searches for its
    // head; beyond it each job does once, and each mapped task looks at one more.
    let within_headroom = TEAMS * (8 + 1) * (machines.len() + 1);
    let bound = within_headroom + MAX_JOBS * machines.len() + MAX_TASKS;
    assert!(predicted.machines_examined as usize <= bound);
}
