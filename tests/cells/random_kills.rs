//! Kills cells at seeded random times, with their machines or without, and restarts them after random downtimes.
//! Meanwhile users submit, poll and cancel jobs at random cells.

use super::site::{CELL_NAMES, Site, job, until};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

const JOBS: usize = 36;
const MAX_KILLS: usize = 5;
const CANCELLED_FRACTION: f64 = 0.15;

/// A cell that is down, and when it is to be restarted.
struct KilledCell {
    cell: usize,
    restart_at: Instant,
}

/// The cells under test, of which at most one is down at a time.
struct RandomKills {
    site: Site,
    rng: StdRng,
    killed: Option<KilledCell>,
    kill_count: usize,
}

impl RandomKills {
    fn kill_random_cell(&mut self) {
        let cell = self.rng.random_range(0..CELL_NAMES.len());
        self.site.cells[cell].cluster.kill_all();
        if self.rng.random_bool(0.5) {
            self.site.cells[cell].cluster.cloud.power_off();
        }
        let downtime = Duration::from_millis(self.rng.random_range(50..10_000));
        let restart_at = Instant::now() + downtime;
        self.killed = Some(KilledCell { cell, restart_at });
        self.kill_count += 1;
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
        let down = self.killed.as_ref().map(|killed| killed.cell);
        loop {
            let cell = self.rng.random_range(0..CELL_NAMES.len());
            if Some(cell) != down {
                return cell;
            }
        }
    }

    /// Submits all jobs, kills and restarts cells meanwhile, and restarts the last killed cell.
    async fn run(&mut self) {
        for number in 0..JOBS {
            self.restart_if_due();
            if self.killed.is_none() && self.kill_count < MAX_KILLS && self.rng.random_bool(0.5) {
                self.kill_random_cell();
            }
            let cell = self.random_running_cell();
            self.site.submit(cell, &job(number, 2)).await;
            let submitted = format!("job-{}", self.rng.random_range(0..=number));
            let cell = self.random_running_cell();
            if self.rng.random_bool(CANCELLED_FRACTION) {
                self.site.cancel(cell, &submitted).await;
            } else {
                self.site.stage(cell, &submitted).await;
            }
            let pause = self.rng.random_range(50..900);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        if let Some(KilledCell { cell, .. }) = self.killed.take() {
            self.site.start_cell(cell);
        }
    }
}

/// Runs random kills with a seed, and checks that each cell reports every job as ended, that no rule is broken and that
/// no job is lost.
async fn run_with_seed(seed: u64) {
    let mut site = Site::new(Duration::from_millis(1500)).await;
    site.start_all().await;
    let mut random_kills = RandomKills {
        site,
        rng: StdRng::seed_from_u64(seed),
        killed: None,
        kill_count: 0,
    };
    random_kills.run().await;
    let site = random_kills.site;
    for number in 0..JOBS {
        let id = format!("job-{number}");
        for (cell, name) in CELL_NAMES.iter().enumerate() {
            let has_ended = async || ["done", "cancelled"].contains(&&*site.stage(cell, &id).await);
            until(&format!("{name} reports {id} as ended"), has_ended).await;
        }
    }
    assert_eq!(site.broken_rules(), Vec::<String>::new(), "seed {seed}");
    let violations = site.world.lock().unwrap().history.violations(true);
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    println!("seed {seed}: {} cells killed", random_kills.kill_count);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_job_ends_once_despite_random_kills() {
    run_with_seed(1).await;
}

/// Run with `cargo test --release --test cells random_kills_with_many_seeds -- --ignored --nocapture`.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "takes several minutes"]
async fn random_kills_with_many_seeds() {
    for seed in 2..12 {
        run_with_seed(seed).await;
    }
}
