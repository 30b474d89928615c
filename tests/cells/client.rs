//! The command-line client while cells run, fail and are drained.

use super::kill::wait_until_done;
use super::site::{Site, job, until};
use rowanmill_testing::cluster::ClientOutput;
use serde_json::Value;
use std::time::Duration;

/// Exit codes of the client, on which scripts rely.
const UNKNOWN_CELL: i32 = 2;
const UNKNOWN_JOB: i32 = 3;
const LEDGER_UNAVAILABLE: i32 = 4;

/// The client's report on the cell `hanoi`, the second one in alphabetical order.
fn status_of_hanoi(site: &Site) -> Value {
    let ClientOutput { code, text } = site.client(&["status", "--output", "json"]);
    assert_eq!(code, 0, "{text}");
    let mut status: Value = serde_json::from_str(&text).unwrap();
    status["cells"][1].take()
}

fn explain(site: &Site, id: &str) -> Value {
    let ClientOutput { code, text } = site.client(&["explain", id, "--output", "json"]);
    assert_eq!(code, 0, "{text}");
    serde_json::from_str(&text).unwrap()
}

/// The client reports the owner of a job, then that the owner is absent after it was killed, that another cell has
/// taken the job over, and that the job is done. Its exit codes tell an unknown job from an unavailable ledger.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_client_answers_during_a_takeover() {
    let mut site = Site::new(Duration::from_secs(3)).await;
    site.start_all().await;
    site.submit(0, &job(0, 2)).await;
    let is_running = async || site.stage(0, "job-0").await == "running";
    until("the job runs", is_running).await;
    let before = explain(&site, "job-0");
    assert_eq!(
        (&before["owner"], &before["epoch"]),
        (&"hanoi".into(), &1.into())
    );
    site.cells[0].cluster.kill_all();
    site.cells[0].cluster.cloud.power_off();
    let is_absent = async || status_of_hanoi(&site)["present"] == false;
    until("hanoi is reported as absent", is_absent).await;
    assert_eq!(explain(&site, "job-0")["owner_present"], false);
    let is_taken_over = async || explain(&site, "job-0")["epoch"] == 2;
    until("another cell has taken the job over", is_taken_over).await;
    wait_until_done(&site, 1, 1).await;
    let is_done = async || explain(&site, "job-0")["state"] == "done";
    until("the job is reported as done", is_done).await;
    assert_eq!(site.client(&["explain", "job-77"]).code, UNKNOWN_JOB);
    site.ledger.set_outage(true);
    assert_eq!(site.client(&["status"]).code, LEDGER_UNAVAILABLE);
}

/// Jobs that are submitted to a drained cell, whose cloud has no machines, complete in other cells. After the cell is
/// undrained and its cloud has machines, it rents some and runs jobs again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_of_a_drained_cell_complete_in_other_cells() {
    let mut site = Site::new(Duration::from_millis(800)).await;
    site.start_all().await;
    assert_eq!(site.client(&["drain", "nowhere"]).code, UNKNOWN_CELL);
    assert_eq!(site.client(&["drain", "hanoi"]).code, 0);
    site.cells[0].cluster.cloud.set_capacity(0);
    for number in 0..4 {
        site.submit(0, &job(number, 2)).await;
    }
    wait_until_done(&site, 0, 4).await;
    assert_eq!(site.cells[0].cluster.cloud.rented_count(), 0);
    assert_eq!(status_of_hanoi(&site)["draining"], true);
    assert_eq!(site.client(&["undrain", "hanoi"]).code, 0);
    site.cells[0].cluster.cloud.set_capacity(8);
    site.submit(0, &job(4, 2)).await;
    let is_done = async || site.stage(0, "job-4").await == "done";
    until("job-4, submitted after the undrain, is done", is_done).await;
    assert!(site.cells[0].cluster.cloud.rented_count() > 0);
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}
