//! Cancellations and repeated submissions, at any cell.

use super::site::{NAMES, Site, TIMEOUTS, job, until};
use std::time::{Duration, Instant};

/// A cancellation at a cell that does not own the job is binding for all: each of them answers so, and the
/// job's tasks end in time, as the machines see it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancellation_at_any_cell_binds_all() {
    let mut site = Site::new(Duration::from_secs(60)).await;
    site.start_all().await;
    for number in 0..NAMES.len() {
        site.submit(0, &job(number, 2)).await;
    }
    let runs = async || site.world.lock().unwrap().starts == 2 * NAMES.len();
    until("all tasks run", runs).await;
    for (at, name) in NAMES.iter().enumerate() {
        let requested = Instant::now();
        let id = format!("job-{at}");
        assert_eq!(site.cancel(at, &id).await, "cancelled");
        println!(
            "confirmed at {name} after {:.1} s",
            requested.elapsed().as_secs_f64()
        );
    }
    let idle = async || site.world.lock().unwrap().nothing_runs();
    until("all tasks have ended", idle).await;
    for at in 0..NAMES.len() {
        for number in 0..NAMES.len() {
            let id = format!("job-{number}");
            let is_cancelled = async || site.stage(at, &id).await == "cancelled";
            until("each cell answers so", is_cancelled).await;
            let again = site.submit(at, &job(number, 2)).await;
            assert_eq!(again["stage"], "cancelled");
        }
    }
    tokio::time::sleep(TIMEOUTS.cancel()).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// A job is cancelled while its cell is dead and no other has taken it over yet: it never starts again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_of_a_dead_cell_can_be_cancelled() {
    let mut site = Site::new(Duration::from_secs(60)).await;
    site.start_all().await;
    site.submit(0, &job(0, 2)).await;
    let runs = async || site.world.lock().unwrap().starts == 2;
    until("it runs", runs).await;
    site.cells[0].cluster.kill_all();
    site.cells[0].cluster.cloud.power_off();
    assert_eq!(site.cancel(1, "job-0").await, "cancelled");
    let is_recorded = async || site.ledger.stored("c/e/").len() == 1;
    until("its end is recorded", is_recorded).await;
    assert_eq!(site.stage(2, "job-0").await, "cancelled");
    assert_eq!(site.world.lock().unwrap().starts, 2);
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// Whatever cell a repeated submission reaches, the answer is the job's stage and no second job is created; and
/// a job that was never submitted is unknown everywhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_submission_repeated_at_any_cell_is_one_job() {
    let mut site = Site::new(Duration::from_millis(1000)).await;
    site.start_all().await;
    let submissions = (0..NAMES.len()).map(|at| {
        let site = &site;
        async move { site.submit(at, &job(0, 2)).await }
    });
    for answer in submissions {
        assert!(["queued", "running"].contains(&answer.await["stage"].as_str().unwrap()));
    }
    for at in 0..NAMES.len() {
        let done = async || site.stage(at, "job-0").await == "done";
        until("it is done", done).await;
        assert_eq!(site.submit(at, &job(0, 2)).await["stage"], "done");
        assert_eq!(site.get(at, 0, "/v1/jobs/job-77").await.0, 404);
    }
    assert_eq!(site.world.lock().unwrap().starts, 2);
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}
