//! Jobs that spill into cells whose operators have protected machines.

use super::kill::wait_until_done;
use super::site::{Site, job, until};
use serde_json::json;
use std::time::Duration;

const JOBS: usize = 6;

// Guards against two faults:
//
// - The wait of an adopted job was counted from its acceptance by its first cell, so a job that hue had just adopted
//   left at once, 2.7 s after its acceptance. The capacity summary of hanoi was older than the job's move to hue
//   (ledger revisions 2 and 16) and still showed no waiting tasks and permission to rent, so the job went back to
//   hanoi, whose cloud has no machines. It then moved to danang, which declined it, returned to hanoi with no move
//   left, since `moves` was a hard limit, and waited there forever.
// - The leader of hue withdrew jobs that the other controller of hue had just started, so some runs had 16 starts
//   instead of 14. The job's progress pages are now among the preconditions of a withdrawal. The withdrawal then fails,
//   and the leader logs "cell record not written" with the key of the page.

/// One of three cells has no machines, and another protects all of its machines. The protected machines run no tasks
/// of the first cell but run those of their own cell, and each task starts once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spilled_jobs_do_not_run_on_protected_machines() {
    let spill = json!({"spill": {"after_s": 1.0, "at_once": 4, "moves": 3}});
    let mut site = Site::with_settings(Duration::from_millis(800), spill).await;
    site.cells[0].cluster.cloud.set_capacity(0);
    site.cells[1]
        .cluster
        .set_policy("protected = zone == \"a\"\n");
    site.start_all().await;
    for number in 0..JOBS {
        site.submit(0, &job(number, 2)).await;
    }
    wait_until_done(&site, 0, JOBS).await;
    assert_eq!(
        site.cells[1].cluster.cloud.rented_count(),
        0,
        "no machines are rented there for spilled jobs"
    );
    site.submit(1, &job(JOBS, 2)).await;
    let is_done = async || site.stage(1, &format!("job-{JOBS}")).await == "done";
    until("the protecting cell completes its own job", is_done).await;
    assert!(site.cells[1].cluster.cloud.rented_count() > 0);
    assert_eq!(site.world.lock().unwrap().starts, 2 * (JOBS + 1));
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// The first cell has no machines, and both others protect all of theirs. Each job of the first cell is handed over to
/// both others, which decline it. It returns, and completes once the first cell has machines.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_fits_only_protected_machines_returns_to_its_first_cell() {
    let spill = json!({"spill": {"after_s": 0.5, "at_once": 4, "moves": 8}});
    let mut site = Site::with_settings(Duration::from_millis(800), spill).await;
    site.cells[0].cluster.cloud.set_capacity(0);
    for cell in [1, 2] {
        site.cells[cell].cluster.set_policy("protected = true\n");
    }
    site.start_all().await;
    for number in 0..3 {
        site.submit(0, &job(number, 2)).await;
    }
    let have_returned = async || {
        let jobs = site.ledger.stored("c/l/j/");
        let declined_count =
            |job: &serde_json::Value| job["declined"].as_array().map_or(0, Vec::len);
        jobs.values()
            .all(|job| declined_count(job) == 2 && job["owner"] == "hanoi")
    };
    until(
        "both other cells have declined all jobs, and hanoi owns these again",
        have_returned,
    )
    .await;
    site.cells[0].cluster.cloud.set_capacity(8);
    wait_until_done(&site, 0, 3).await;
    assert_eq!(
        site.cells[1].cluster.cloud.rented_count() + site.cells[2].cluster.cloud.rented_count(),
        0
    );
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}
