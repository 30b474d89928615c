//! Cells that are killed at seeded random moments, with their machines or without, and restarted at once or
//! later, while users submit, poll and cancel at any cell.

use super::site::{NAMES, Site, job, until};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

const JOBS: usize = 36;
const KILLS: usize = 5;
const CANCELLED_FRACTION: f64 = 0.15;

/// A cell that was killed, and when it is restarted.
struct KilledCell {
    cell: usize,
    restart_at: Instant,
}

struct Storm {
    site: Site,
    rng: StdRng,
    killed: Option<KilledCell>,
    kills: usize,
}

impl Storm {
    fn kill_random_cell(&mut self) {
        let cell = self.rng.random_range(0..NAMES.len());
        self.site.cells[cell].cluster.kill_all();
        if self.rng.random_bool(0.5) {
            self.site.cells[cell].cluster.cloud.power_off();
        }
        let downtime = Duration::from_millis(self.rng.random_range(50..10_000));
        let restart_at = Instant::now() + downtime;
        self.killed = Some(KilledCell { cell, restart_at });
        self.kills += 1;
    }

    fn restart_if_due(&mut self) {
        if let Some(KilledCell { cell, restart_at }) = self.killed
            && Instant::now() >= restart_at
        {
            self.site.start_cell(cell);
            self.killed = None;
        }
    }

    /// A random cell that runs.
    fn random_running_cell(&mut self) -> usize {
        let dead = self.killed.as_ref().map(|killed| killed.cell);
        loop {
            let cell = self.rng.random_range(0..NAMES.len());
            if Some(cell) != dead {
                return cell;
            }
        }
    }

    async fn run(&mut self) {
        for number in 0..JOBS {
            self.restart_if_due();
            if self.killed.is_none() && self.kills < KILLS && self.rng.random_bool(0.5) {
                self.kill_random_cell();
            }
            let at = self.random_running_cell();
            self.site.submit(at, &job(number, 2)).await;
            let earlier = format!("job-{}", self.rng.random_range(0..=number));
            let at = self.random_running_cell();
            if self.rng.random_bool(CANCELLED_FRACTION) {
                self.site.cancel(at, &earlier).await;
            } else {
                self.site.stage(at, &earlier).await;
            }
            let pause = self.rng.random_range(50..900);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        if let Some(KilledCell { cell, .. }) = self.killed.take() {
            self.site.start_cell(cell);
        }
    }
}

/// One storm; every job ends once, as each cell answers.
async fn run_storm(seed: u64) {
    let mut site = Site::new(Duration::from_millis(1500)).await;
    site.start_all().await;
    let mut storm = Storm {
        site,
        rng: StdRng::seed_from_u64(seed),
        killed: None,
        kills: 0,
    };
    storm.run().await;
    let site = storm.site;
    for number in 0..JOBS {
        let id = format!("job-{number}");
        for (at, name) in NAMES.iter().enumerate() {
            let over = async || ["done", "cancelled"].contains(&&*site.stage(at, &id).await);
            until(&format!("{id} has ended, by {name}"), over).await;
        }
    }
    assert_eq!(site.broken_rules(), Vec::<String>::new(), "seed {seed}");
    let lost = site.world.lock().unwrap().history.violations(true);
    assert!(lost.is_empty(), "seed {seed}: {lost:?}");
    println!("seed {seed}: {} cells killed", storm.kills);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_job_ends_once_in_a_storm() {
    run_storm(1).await;
}

/// `cargo test --release --test cells many_storms -- --ignored --nocapture`
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "some minutes"]
async fn many_storms() {
    for seed in 2..12 {
        run_storm(seed).await;
    }
}
