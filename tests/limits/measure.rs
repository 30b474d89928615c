//! What dividing a limit costs and brings, in pairs of divided and whole, outside CI:
//!
//!     cargo test --release --test limits -- --ignored --nocapture pairs

use crate::races::for_all;
use crate::site::{CONTROLLERS, Site, job, until};
use std::time::{Duration, Instant};

const JOBS: usize = 300;
const LIMIT: f64 = 12.0;
const TASK: Duration = Duration::from_millis(500);
const PAIRS: usize = 5;

struct Figures {
    /// Submissions taken a second, all sent at once.
    accepted_per_s: f64,
    /// From the end of a task to the start of the next in its place, on the mean.
    freed_to_used_ms: f64,
    /// Transactions and leases of the state service for each start, all duties included.
    changes_per_start: f64,
}

impl std::fmt::Display for Figures {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            f,
            "accepted {:.0}/s, freed to used {:.0} ms, {:.2} changes a start",
            self.accepted_per_s, self.freed_to_used_ms, self.changes_per_start
        )
    }
}

async fn figures(divides_limits: bool) -> Figures {
    let mut site = Site::new(&[("t", LIMIT)], TASK).await;
    site.divides_limits = divides_limits;
    site.start_all().await;
    // Machines for the whole limit are up before anything is measured.
    site.submit(0, &job(JOBS, "t", 60, 1.0)).await;
    let full = || site.most()["t"] == LIMIT;
    until("the limit is used", async || full()).await;
    let starts = |site: &Site| site.cloud.world.lock().unwrap().starts;
    let (changes, started, began) = (site.state.changes(), starts(&site), Instant::now());
    let jobs: Vec<_> = (0..JOBS).map(|n| job(n, "t", 2, 1.0)).collect();
    let submissions = jobs.iter().enumerate();
    for_all(submissions.map(|(n, job)| site.submit(n % CONTROLLERS, job))).await;
    let accepted = began.elapsed();
    tokio::time::sleep(Duration::from_secs(15).saturating_sub(accepted)).await;
    let took = began.elapsed().as_secs_f64();
    let new_starts = (starts(&site) - started) as f64;
    assert_eq!(site.broken(), Vec::<String>::new());
    assert_ne!(
        site.stage(&format!("job-{}", JOBS - 1)).await,
        "done",
        "work waits all along"
    );
    Figures {
        accepted_per_s: JOBS as f64 / accepted.as_secs_f64(),
        freed_to_used_ms: (LIMIT * took / new_starts - TASK.as_secs_f64()) * 1000.0,
        changes_per_start: (site.state.changes() - changes) as f64 / new_starts,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
#[ignore = "a measurement"]
async fn pairs() {
    for pair in 0..PAIRS {
        println!("{pair} divided: {}", figures(true).await);
        println!("{pair} whole:   {}", figures(false).await);
    }
}
