//! Cells that are killed while their jobs run.

use super::site::{CELL_NAMES, Site, job, until};
use std::time::{Duration, Instant};

const JOBS: usize = 12;
const TASKS: u32 = 3;

/// Waits until a cell reports each of the first `jobs` jobs as done.
pub async fn wait_until_done(site: &Site, cell: usize, jobs: usize) {
    for number in 0..jobs {
        let id = format!("job-{number}");
        let is_done = async || site.stage(cell, &id).await == "done";
        let what = format!("{} reports {id} as done", CELL_NAMES[cell]);
        until(&what, is_done).await;
    }
}

/// One of three cells is killed with its machines while its jobs run. Both other cells report every job as done, and
/// no task runs on two machines at a time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_jobs_of_a_killed_cell_complete_in_other_cells() {
    let mut site = Site::new(Duration::from_millis(2500)).await;
    site.start_all().await;
    for number in 0..JOBS {
        let answer = site
            .submit(number % CELL_NAMES.len(), &job(number, TASKS))
            .await;
        assert_eq!(answer["stage"], "queued");
    }
    let is_running = async || site.stage(0, "job-0").await == "running";
    until("job-0 is running", is_running).await;
    site.cells[0].cluster.kill_all();
    site.cells[0].cluster.cloud.power_off();
    let killed = Instant::now();
    wait_until_done(&site, 1, JOBS).await;
    println!(
        "all jobs done {:.1} s after the cell was killed",
        killed.elapsed().as_secs_f64()
    );
    wait_until_done(&site, 2, JOBS).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// The controllers of a cell are killed while its machines continue to run tasks until their leases expire. After other
/// cells have taken over its jobs, it is restarted. No task may run on two machines at a time, and the restarted cell
/// must report the same outcome as the others and must run new jobs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_task_runs_in_two_cells_at_a_time_after_a_takeover_and_a_restart() {
    let mut site = Site::new(Duration::from_millis(3000)).await;
    site.start_all().await;
    for number in 0..6 {
        site.submit(0, &job(number, TASKS)).await;
    }
    let is_running = async || site.stage(0, "job-5").await == "running";
    until("job-5 is running", is_running).await;
    site.cells[0].cluster.kill_all();
    let are_taken_over = async || {
        let jobs = site.ledger.stored("c/l/j/");
        !jobs.values().any(|job| job["owner"] == CELL_NAMES[0])
    };
    until("the first cell owns no open job", are_taken_over).await;
    site.start_cell(0);
    wait_until_done(&site, 1, 6).await;
    wait_until_done(&site, 0, 6).await;
    site.submit(0, &job(6, TASKS)).await;
    let is_done = async || site.stage(0, "job-6").await == "done";
    until("the restarted cell reports its new job as done", is_done).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// All controllers of a cell are killed and restarted at once. All of its jobs complete, the ledger has a final state
/// for each of them and for no other job, and no task runs on two machines at a time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_jobs_of_a_cell_restarted_at_once_complete() {
    let mut site = Site::new(Duration::from_millis(4000)).await;
    site.start_all().await;
    for number in 0..6 {
        site.submit(0, &job(number, TASKS)).await;
    }
    let is_running = async || site.stage(0, "job-5").await == "running";
    until("job-5 is running", is_running).await;
    site.cells[0].cluster.kill_all();
    site.start_cell(0);
    wait_until_done(&site, 0, 6).await;
    let final_states = site.ledger.stored("c/e/");
    assert_eq!(final_states.len(), 6, "{final_states:?}");
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}
