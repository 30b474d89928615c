//! Work that one cell cannot place.

use super::kill::wait_until_done;
use super::site::{Site, job};
use serde_json::json;
use std::time::{Duration, Instant};

const JOBS: usize = 6;

/// The cell's cloud has no machines: waiting jobs spill into the others, and each is done once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_without_a_machine_spills_into_other_cells() {
    let spill = json!({"spill": {"after_s": 1.0, "at_once": 4, "moves": 3}});
    let mut site = Site::with_settings(Duration::from_millis(800), spill).await;
    site.cells[0].cluster.cloud.set_capacity(0);
    site.start_all().await;
    let began = Instant::now();
    for number in 0..JOBS {
        site.submit(0, &job(number, 2)).await;
    }
    wait_until_done(&site, 0, JOBS).await;
    println!(
        "all done {:.1} s after submission",
        began.elapsed().as_secs_f64()
    );
    wait_until_done(&site, 2, JOBS).await;
    assert_eq!(site.world.lock().unwrap().starts, 2 * JOBS);
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// No cell has machines: jobs do not move in circles, and once there are machines, all are done.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_that_nobody_can_place_stays_where_it_is() {
    let spill = json!({"spill": {"after_s": 0.5, "at_once": 4, "moves": 3}});
    let mut site = Site::with_settings(Duration::from_millis(800), spill).await;
    for cell in &site.cells {
        cell.cluster.cloud.set_capacity(0);
    }
    site.start_all().await;
    for number in 0..JOBS {
        site.submit(number % 3, &job(number, 2)).await;
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    let moved = |job: &serde_json::Value| job["moves"].as_u64().unwrap();
    let moves: Vec<u64> = site.ledger.stored("c/l/j/").values().map(moved).collect();
    println!("moves: {moves:?}");
    assert!(moves.len() == JOBS && moves.iter().all(|moves| *moves <= 3));
    for cell in &site.cells {
        cell.cluster.cloud.set_capacity(8);
    }
    wait_until_done(&site, 1, JOBS).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}
