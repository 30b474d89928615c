//! A cell is lost in the middle of its work.

use super::site::{NAMES, Site, job, until};
use std::time::{Duration, Instant};

const JOBS: usize = 12;
const TASKS: u32 = 3;

/// Waits until every job is done by the word of a living cell.
async fn all_done(site: &Site, at: usize, jobs: usize) {
    for number in 0..jobs {
        let id = format!("job-{number}");
        let done = async || site.stage(at, &id).await == "done";
        until(&format!("{id} is done"), done).await;
    }
}

/// The first milestone: three cells as processes, one of them killed with its machines while its jobs run;
/// every job is done once, by the word of both others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_jobs_of_a_killed_cell_are_done_elsewhere() {
    let mut site = Site::new(Duration::from_millis(2500)).await;
    site.start_all().await;
    for number in 0..JOBS {
        let told = site.submit(number % NAMES.len(), &job(number, TASKS)).await;
        assert_eq!(told["stage"], "queued");
    }
    let runs = async || site.stage(0, "job-0").await == "running";
    until("the first cell runs its work", runs).await;
    site.cells[0].kill_all();
    site.cells[0].cloud.power_off();
    let killed = Instant::now();
    all_done(&site, 1, JOBS).await;
    println!(
        "all done {:.1} s after the end of a cell",
        killed.elapsed().as_secs_f64()
    );
    all_done(&site, 2, JOBS).await;
    assert_eq!(site.broken(), Vec::<String>::new());
}
