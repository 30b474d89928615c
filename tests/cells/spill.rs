//! Jobs that their cell cannot place.

use super::kill::wait_until_done;
use super::site::{Site, job};
use serde_json::json;
use std::time::{Duration, Instant};

const JOBS: usize = 6;

/// One cell's cloud has no machines. Its waiting jobs spill into the other cells, and each task starts once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_of_a_cell_without_machines_spill_into_other_cells() {
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
        "all jobs done {:.1} s after submission",
        began.elapsed().as_secs_f64()
    );
    wait_until_done(&site, 2, JOBS).await;
    assert_eq!(site.world.lock().unwrap().starts, 2 * JOBS);
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

/// While no cell has machines, no job moves more than three times in 8 s: after three moves, it waits for 16 s in each
/// cell. Once there are machines, all jobs complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_that_no_cell_can_place_do_not_circulate() {
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
    let move_count = |job: &serde_json::Value| job["moves"].as_u64().unwrap();
    let moves: Vec<u64> = site
        .ledger
        .stored("c/l/j/")
        .values()
        .map(move_count)
        .collect();
    println!("moves: {moves:?}");
    assert!(moves.len() == JOBS && moves.iter().all(|moves| *moves <= 3));
    for cell in &site.cells {
        cell.cluster.cloud.set_capacity(8);
    }
    wait_until_done(&site, 1, JOBS).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}
