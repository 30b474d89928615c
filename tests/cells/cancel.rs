//! Cancellations and repeated submissions that are sent to any of the cells.

use super::site::{CELL_NAMES, Site, TIMEOUTS, job, until};
use std::time::{Duration, Instant};

/// A cancellation is valid in all cells, also if the cell that receives it does not own the job. Each cell reports
/// the job as cancelled, and no machine runs its tasks for longer than `cancel_s` after the confirmation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancellation_at_any_cell_is_valid_in_all_cells() {
    let mut site = Site::new(Duration::from_secs(60)).await;
    site.start_all().await;
    for number in 0..CELL_NAMES.len() {
        site.submit(0, &job(number, 2)).await;
    }
    let all_started = async || site.world.lock().unwrap().starts == 2 * CELL_NAMES.len();
    until("all tasks have started", all_started).await;
    for (cell, name) in CELL_NAMES.iter().enumerate() {
        let requested = Instant::now();
        let id = format!("job-{cell}");
        assert_eq!(site.cancel(cell, &id).await, "cancelled");
        println!(
            "cell {name} confirmed the cancellation after {:.1} s",
            requested.elapsed().as_secs_f64()
        );
    }
    let idle = async || site.world.lock().unwrap().nothing_runs();
    until("all tasks have ended", idle).await;
    for (cell, name) in CELL_NAMES.iter().enumerate() {
        for number in 0..CELL_NAMES.len() {
            let id = format!("job-{number}");
            let is_cancelled = async || site.stage(cell, &id).await == "cancelled";
            until(&format!("{name} reports {id} as cancelled"), is_cancelled).await;
            let repeated = site.submit(cell, &job(number, 2)).await;
            assert_eq!(repeated["stage"], "cancelled");
        }
    }
    tokio::time::sleep(TIMEOUTS.workers.cancel()).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// A job can be cancelled while its owner is down and no other cell has taken it over. Its tasks do not start
/// again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_of_a_killed_cell_can_be_cancelled() {
    let mut site = Site::new(Duration::from_secs(60)).await;
    site.start_all().await;
    site.submit(0, &job(0, 2)).await;
    let has_started = async || site.world.lock().unwrap().starts == 2;
    until("the job's tasks have started", has_started).await;
    site.cells[0].cluster.kill_all();
    site.cells[0].cluster.cloud.power_off();
    assert_eq!(site.cancel(1, "job-0").await, "cancelled");
    let is_recorded = async || site.ledger.stored("c/e/").len() == 1;
    until("the ledger has the job's final state", is_recorded).await;
    assert_eq!(site.stage(2, "job-0").await, "cancelled");
    assert_eq!(site.world.lock().unwrap().starts, 2);
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// A submission that is repeated at any cell is answered with the stage of the existing job and does not create a
/// second one. Every cell answers 404 for a job that was never submitted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_submission_repeated_at_any_cell_creates_one_job() {
    let mut site = Site::new(Duration::from_millis(1000)).await;
    site.start_all().await;
    let answers = (0..CELL_NAMES.len()).map(|cell| {
        let site = &site;
        async move { site.submit(cell, &job(0, 2)).await }
    });
    for answer in answers {
        assert!(["queued", "running"].contains(&answer.await["stage"].as_str().unwrap()));
    }
    for (cell, name) in CELL_NAMES.iter().enumerate() {
        let done = async || site.stage(cell, "job-0").await == "done";
        until(&format!("{name} reports the job as done"), done).await;
        assert_eq!(site.submit(cell, &job(0, 2)).await["stage"], "done");
        assert_eq!(site.get(cell, 0, "/v1/jobs/job-77").await.0, 404);
    }
    assert_eq!(site.world.lock().unwrap().starts, 2);
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}
