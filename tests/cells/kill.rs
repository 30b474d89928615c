//! A cell fails in the middle of its work.

use super::site::{NAMES, Site, job, until};
use std::time::{Duration, Instant};

const JOBS: usize = 12;
const TASKS: u32 = 3;

/// Waits until a cell answers for every job that it is done.
pub async fn wait_until_done(site: &Site, at: usize, jobs: usize) {
    for number in 0..jobs {
        let id = format!("job-{number}");
        let done = async || site.stage(at, &id).await == "done";
        until(&format!("{id} is done"), done).await;
    }
}

/// The first milestone: three cells as processes, one of them killed with its machines while its jobs run;
/// every job is done once, as both others answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_jobs_of_a_killed_cell_are_done_elsewhere() {
    let mut site = Site::new(Duration::from_millis(2500)).await;
    site.start_all().await;
    for number in 0..JOBS {
        let answer = site.submit(number % NAMES.len(), &job(number, TASKS)).await;
        assert_eq!(answer["stage"], "queued");
    }
    let runs = async || site.stage(0, "job-0").await == "running";
    until("the first cell runs its work", runs).await;
    site.cells[0].cluster.kill_all();
    site.cells[0].cluster.cloud.power_off();
    let killed = Instant::now();
    wait_until_done(&site, 1, JOBS).await;
    println!(
        "all done {:.1} s after the end of a cell",
        killed.elapsed().as_secs_f64()
    );
    wait_until_done(&site, 2, JOBS).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// The controllers of a cell are killed, and its machines run on until their leases expire; others take over its
/// jobs; then it is restarted, and must neither run them nor answer otherwise. It accepts new work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cell_that_is_back_after_a_takeover_runs_nothing_twice() {
    let mut site = Site::new(Duration::from_millis(3000)).await;
    site.start_all().await;
    for number in 0..6 {
        site.submit(0, &job(number, TASKS)).await;
    }
    let runs = async || site.stage(0, "job-5").await == "running";
    until("the first cell runs its work", runs).await;
    site.cells[0].cluster.kill_all();
    let taken = async || {
        let jobs = site.ledger.stored("c/l/j/");
        !jobs.values().any(|job| job["owner"] == NAMES[0])
    };
    until("its jobs are taken over", taken).await;
    site.start_cell(0);
    wait_until_done(&site, 1, 6).await;
    wait_until_done(&site, 0, 6).await;
    site.submit(0, &job(6, TASKS)).await;
    let done = async || site.stage(0, "job-6").await == "done";
    until("it takes new work", done).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// All controllers of a cell are killed and restarted within a fraction of a second: nothing is taken over, and
/// its machines keep their work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cell_that_is_back_at_once_keeps_its_jobs() {
    let mut site = Site::new(Duration::from_millis(4000)).await;
    site.start_all().await;
    for number in 0..6 {
        site.submit(0, &job(number, TASKS)).await;
    }
    let runs = async || site.stage(0, "job-5").await == "running";
    until("the first cell runs its work", runs).await;
    site.cells[0].cluster.kill_all();
    site.start_cell(0);
    wait_until_done(&site, 0, 6).await;
    let finals = site.ledger.stored("c/e/");
    assert_eq!(finals.len(), 6, "{finals:?}");
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}
