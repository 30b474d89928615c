//! Team limits while controllers are killed, suspended or disconnected from the state service, and while the state
//! service fails.

use crate::site::{CONTROLLERS, Site, TIMEOUTS, Teams, job};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rowanmill_testing::state::TransactionFault;
use rowanmill_testing::until;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const TEAMS: Teams = &[("a", 10.0), ("b", 10.0), ("c", 5.0), ("d", 2.5)];
const JOBS: usize = 2000;

/// Two thousand jobs of four teams are submitted in five waves of concurrent requests. After each wave a controller
/// that a seeded generator chooses, often the leader, is killed and restarted at once or later.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn thousands_of_submissions_while_controllers_are_killed() {
    let mut site = Site::new(TEAMS, Duration::from_millis(100)).await;
    site.start_all().await;
    let team = |n: usize| TEAMS[n % TEAMS.len()].0;
    let jobs: Vec<_> = (0..JOBS).map(|n| job(n, team(n), 1, 0.5)).collect();
    let mut random = StdRng::seed_from_u64(7);
    for wave in jobs.chunks(JOBS / 5) {
        site.submit_all(wave).await;
        let killed = match site.leader() {
            Some(leader) if random.random_bool(0.5) => leader,
            _ => random.random_range(0..CONTROLLERS),
        };
        site.kill(killed);
        if random.random_bool(0.5) {
            let pause = random.random_range(500..2500);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        site.start(killed);
    }
    let ids: Vec<String> = (0..JOBS).map(|n| format!("job-{n}")).collect();
    site.wait_until_all_end(&ids, Duration::from_secs(150))
        .await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// While a team is at its limit, the state service delays some transactions that change progress pages or quota
/// allocations and loses the answers to others, the leader is suspended for longer than its presence lease, the state
/// service has an outage, and another controller is disconnected from it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delayed_transactions_outages_and_a_suspended_leader() {
    let mut site = Site::new(&[("t", 6.0)], Duration::from_millis(400)).await;
    site.start_all().await;
    let jobs: Vec<_> = (0..30).map(|n| job(n, "t", 10, 1.0)).collect();
    site.submit_all(&jobs).await;
    let full = || site.peak_cpus()["t"] == 6.0;
    until("the limit is fully used", async || full()).await;
    for key in ["r/p/", "r/q/", "r/a/"] {
        site.state.inject_fault(key, TransactionFault::Delayed, 2);
        site.state
            .inject_fault(key, TransactionFault::AnswerLost, 1);
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    site.state.deliver_delayed();
    let leader = site.leader().unwrap_or(0);
    site.signal(leader, "-STOP");
    tokio::time::sleep(TIMEOUTS.lease() + Duration::from_secs(2)).await;
    site.signal(leader, "-CONT");
    site.state.set_outage(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.state.set_outage(false);
    let disconnected = (leader + 1) % CONTROLLERS;
    site.state_cuts[disconnected].store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.state_cuts[disconnected].store(false, Ordering::Relaxed);
    site.state.deliver_delayed();
    let ids: Vec<String> = (0..30).map(|n| format!("job-{n}")).collect();
    site.wait_until_all_end(&ids, Duration::from_secs(120))
        .await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// Tasks of cancelled jobs on machines that cannot reach a controller count against their team's limit until it is
/// certain that they have ended, even if the leader is killed. Other tasks start only then.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_tasks_on_unreachable_machines_count_against_the_limit() {
    let mut site = Site::new(&[("t", 4.0)], Duration::from_secs(60)).await;
    site.start_all().await;
    site.submit(0, &job(1, "t", 4, 1.0)).await;
    let world = site.cloud.world.clone();
    let running = |id: &str| world.lock().unwrap().running_tasks(id);
    until("the first job runs", async || running("job-1") == 4).await;
    {
        let mut world = site.cloud.world.lock().unwrap();
        world.cannot_send = world.machines_running("job-1");
    }
    site.cancel("job-1").await;
    site.submit(1, &job(2, "t", 2, 1.0)).await;
    let leader = site.leader().unwrap_or(0);
    site.kill(leader);
    let killed = Instant::now();
    until("the second job runs", async || running("job-2") == 2).await;
    assert!(
        killed.elapsed() > TIMEOUTS.lease() / 2,
        "the cancelled tasks count against the limit for at least half a lease"
    );
    site.start(leader);
    site.cancel("job-2").await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
    assert_eq!(site.peak_cpus()["t"], 4.0);
}
