//! Cells that end at seeded random moments, with their machines or without, and come back at once or late,
//! while users submit, poll and cancel anywhere.

use super::site::{NAMES, Site, job, until};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

const JOBS: usize = 36;
const ENDS: usize = 5;
const CANCELLED_PART: f64 = 0.15;

/// A cell that ended, and when it is started again.
struct Gone {
    cell: usize,
    back: Instant,
}

struct Storm {
    site: Site,
    rng: StdRng,
    gone: Option<Gone>,
    ends: usize,
}

impl Storm {
    fn end_some_cell(&mut self) {
        let cell = self.rng.random_range(0..NAMES.len());
        self.site.cells[cell].cluster.kill_all();
        if self.rng.random_bool(0.5) {
            self.site.cells[cell].cluster.cloud.power_off();
        }
        let away = Duration::from_millis(self.rng.random_range(50..10_000));
        let back = Instant::now() + away;
        self.gone = Some(Gone { cell, back });
        self.ends += 1;
    }

    fn start_what_is_due(&mut self) {
        if let Some(Gone { cell, back }) = self.gone
            && Instant::now() >= back
        {
            self.site.start_cell(cell);
            self.gone = None;
        }
    }

    /// A cell that was not ended.
    fn living(&mut self) -> usize {
        let dead = self.gone.as_ref().map(|gone| gone.cell);
        loop {
            let cell = self.rng.random_range(0..NAMES.len());
            if Some(cell) != dead {
                return cell;
            }
        }
    }

    async fn run(&mut self) {
        for number in 0..JOBS {
            self.start_what_is_due();
            if self.gone.is_none() && self.ends < ENDS && self.rng.random_bool(0.5) {
                self.end_some_cell();
            }
            let at = self.living();
            self.site.submit(at, &job(number, 2)).await;
            let earlier = format!("job-{}", self.rng.random_range(0..=number));
            let at = self.living();
            match self.rng.random_bool(CANCELLED_PART) {
                true => drop(self.site.cancel(at, &earlier).await),
                false => drop(self.site.stage(at, &earlier).await),
            }
            let pause = self.rng.random_range(50..900);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        if let Some(Gone { cell, .. }) = self.gone.take() {
            self.site.start_cell(cell);
        }
    }
}

/// One storm; every job ends once, by the word of each cell.
async fn play(seed: u64) {
    let mut site = Site::new(Duration::from_millis(1500)).await;
    site.start_all().await;
    let mut storm = Storm {
        site,
        rng: StdRng::seed_from_u64(seed),
        gone: None,
        ends: 0,
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
    assert_eq!(site.broken(), Vec::<String>::new(), "seed {seed}");
    let lost = site.world.lock().unwrap().history.violations(true);
    assert!(lost.is_empty(), "seed {seed}: {lost:?}");
    println!("seed {seed}: {} ends of cells", storm.ends);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_job_ends_once_in_a_storm() {
    play(1).await;
}

/// `cargo test --release --test cells many_storms -- --ignored --nocapture`
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "some minutes"]
async fn many_storms() {
    for seed in 2..12 {
        play(seed).await;
    }
}
