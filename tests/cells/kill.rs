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
        until(&format!("{id} is done"), is_done).await;
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
    until("the first cell runs its jobs", is_running).await;
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

/// The controllers of a cell are killed while its machines run on until their leases expire. After other cells have
/// taken over its jobs, it is restarted. It must not run them again, must report the same outcome as the others, and
/// must run new jobs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cell_restarted_after_a_takeover_runs_no_task_twice() {
    let mut site = Site::new(Duration::from_millis(3000)).await;
    site.start_all().await;
    for number in 0..6 {
        site.submit(0, &job(number, TASKS)).await;
    }
    let is_running = async || site.stage(0, "job-5").await == "running";
    until("the first cell runs its jobs", is_running).await;
    site.cells[0].cluster.kill_all();
    let are_taken_over = async || {
        let jobs = site.ledger.stored("c/l/j/");
        !jobs.values().any(|job| job["owner"] == CELL_NAMES[0])
    };
    until("other cells own its jobs", are_taken_over).await;
    site.start_cell(0);
    wait_until_done(&site, 1, 6).await;
    wait_until_done(&site, 0, 6).await;
    site.submit(0, &job(6, TASKS)).await;
    let is_done = async || site.stage(0, "job-6").await == "done";
    until("the restarted cell completes a new job", is_done).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// All controllers of a cell are killed and restarted within a fraction of a second. The cell keeps its jobs, and its
/// machines continue to run their tasks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cell_restarted_at_once_keeps_its_jobs() {
    let mut site = Site::new(Duration::from_millis(4000)).await;
    site.start_all().await;
    for number in 0..6 {
        site.submit(0, &job(number, TASKS)).await;
    }
    let is_running = async || site.stage(0, "job-5").await == "running";
    until("the first cell runs its jobs", is_running).await;
    site.cells[0].cluster.kill_all();
    site.start_cell(0);
    wait_until_done(&site, 0, 6).await;
    let final_records = site.ledger.stored("c/e/");
    assert_eq!(final_records.len(), 6, "{final_records:?}");
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}
