//! The command-line client against cells that run, fail and are drained.

use super::kill::wait_until_done;
use super::site::{Site, job, until};
use rowanmill_testing::cluster::ClientOutput;
use serde_json::Value;
use std::time::Duration;

/// The exit codes that scripts distinguish.
const UNKNOWN_CELL: i32 = 2;
const UNKNOWN_JOB: i32 = 3;
const NO_LEDGER: i32 = 4;

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

/// While a cell is dead, during the takeover and after it, the client always has an answer from which the job's
/// path can be followed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_client_answers_through_a_takeover() {
    let mut site = Site::new(Duration::from_secs(3)).await;
    site.start_all().await;
    site.submit(0, &job(0, 2)).await;
    let runs = async || site.stage(0, "job-0").await == "running";
    until("it runs", runs).await;
    let before = explain(&site, "job-0");
    assert_eq!(
        (&before["owner"], &before["epoch"]),
        (&"hanoi".into(), &1.into())
    );
    site.cells[0].cluster.kill_all();
    site.cells[0].cluster.cloud.power_off();
    let missing = async || status(&site)["cells"][1]["present"] == false;
    until("the cell is missing", missing).await;
    assert_eq!(explain(&site, "job-0")["owner_present"], false);
    let taken = async || explain(&site, "job-0")["epoch"] == 2;
    until("it is another's", taken).await;
    wait_until_done(&site, 1, 1).await;
    let over = async || explain(&site, "job-0")["state"] == "done";
    until("its end is known", over).await;
    assert_eq!(site.client(&["explain", "job-77"]).code, UNKNOWN_JOB);
    site.ledger.set_outage(true);
    assert_eq!(site.client(&["status"]).code, NO_LEDGER);
}

/// Waiting jobs leave a drained cell, it gets no others, and it accepts work again once it is undrained.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_cell_is_left_and_comes_back() {
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
    let done = async || site.stage(0, "job-4").await == "done";
    until("it takes work again", done).await;
    assert!(site.cells[0].cluster.cloud.rented_count() > 0);
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}
