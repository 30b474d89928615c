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

fn status(site: &Site) -> Value {
    let ClientOutput { code, text } = site.client(&["status", "--output", "json"]);
    assert_eq!(code, 0, "{text}");
    serde_json::from_str(&text).unwrap()
}

fn explain(site: &Site, id: &str) -> Value {
    let ClientOutput { code, text } = site.client(&["explain", id, "--output", "json"]);
    assert_eq!(code, 0, "{text}");
    serde_json::from_str(&text).unwrap()
}

/// The client reports the owner and the state of a job before a cell is killed, while the cell is absent, and after
/// another cell has taken the job over. Its exit codes tell an unknown job from an unavailable ledger.
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
    let is_absent = async || status(&site)["cells"][1]["present"] == false;
    until("the cell is reported as absent", is_absent).await;
    assert_eq!(explain(&site, "job-0")["owner_present"], false);
    let is_taken_over = async || explain(&site, "job-0")["epoch"] == 2;
    until("another cell owns the job", is_taken_over).await;
    wait_until_done(&site, 1, 1).await;
    let is_done = async || explain(&site, "job-0")["state"] == "done";
    until("the job is reported as done", is_done).await;
    assert_eq!(site.client(&["explain", "job-77"]).code, UNKNOWN_JOB);
    site.ledger.set_outage(true);
    assert_eq!(site.client(&["status"]).code, LEDGER_UNAVAILABLE);
}

/// Jobs that are submitted to a drained cell move to other cells and complete there, and the drained cell rents no
/// machines. After it is undrained, it runs jobs again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_cell_runs_no_jobs_until_it_is_undrained() {
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
    assert_eq!(status(&site)["cells"][1]["draining"], true);
    assert_eq!(site.client(&["undrain", "hanoi"]).code, 0);
    site.cells[0].cluster.cloud.set_capacity(8);
    site.submit(0, &job(4, 2)).await;
    let is_done = async || site.stage(0, "job-4").await == "done";
    until("a job that is submitted after the drain is done", is_done).await;
    assert!(site.cells[0].cluster.cloud.rented_count() > 0);
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}
