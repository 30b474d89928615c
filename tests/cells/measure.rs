//! Measurements of the time of a takeover, and of the time and the ledger revisions per job. They check no bounds. Run
//! them in a release build:
//! `cargo test --release --test cells measure -- --ignored --nocapture --test-threads 1`

use super::site::{CELL_NAMES, Site, job, until};
use std::time::{Duration, Instant};

const ROUNDS: usize = 5;
const JOBS_PER_ROUND: usize = 10;

/// The quantile of sorted values at `fraction`: the value at the nearest index.
fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * fraction).round() as usize]
}

/// Prints quantiles of times in seconds.
fn print_quantiles(label: &str, mut times: Vec<f64>) {
    times.sort_by(f64::total_cmp);
    let (median, p95, maximum) = (
        quantile(&times, 0.5),
        quantile(&times, 0.95),
        quantile(&times, 1.0),
    );
    let count = times.len();
    println!(
        "{label}: median {median:.2} s, 95th percentile {p95:.2} s, maximum {maximum:.2} s, {count} values"
    );
}

/// The time from the moment at which a cell and its machines are killed until each of its jobs runs in another cell.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "measurement that takes several minutes"]
async fn time_of_a_takeover() {
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let mut site = Site::new(Duration::from_secs(60)).await;
        site.start_all().await;
        for number in 0..JOBS_PER_ROUND {
            site.submit(0, &job(number, 2)).await;
        }
        let have_started = async || site.world.lock().unwrap().starts == 2 * JOBS_PER_ROUND;
        until("all tasks have started", have_started).await;
        site.cells[0].cluster.kill_all();
        site.cells[0].cluster.cloud.power_off();
        let killed = Instant::now();
        let mut restart_times = [None; JOBS_PER_ROUND];
        let are_all_running = async || {
            for (number, restart_time) in restart_times.iter_mut().enumerate() {
                let is_running = site
                    .world
                    .lock()
                    .unwrap()
                    .running_tasks(&format!("job-{number}"))
                    > 0;
                if is_running && restart_time.is_none() {
                    *restart_time = Some(killed.elapsed().as_secs_f64());
                }
            }
            restart_times.iter().all(Option::is_some)
        };
        until("all jobs run in other cells", are_all_running).await;
        times.extend(restart_times.into_iter().flatten());
    }
    print_quantiles(
        "from the kill of a cell until a job runs in another cell",
        times,
    );
}

/// How fast a cell accepts jobs of one task that are submitted one after the other, how long all of them take, and how
/// many ledger revisions each takes. Runs the measurement without cells and with them, and so without the ledger and
/// with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "measurement that takes several minutes"]
async fn cost_of_the_ledger() {
    const JOBS: usize = 300;
    for round in 0..3 {
        for with_cells in [false, true] {
            let task_duration = Duration::from_millis(300);
            let mut site;
            if with_cells {
                site = Site::new(task_duration).await;
                site.start_all().await;
            } else {
                site = Site::without_cells(task_duration).await;
                site.start_all_until_healthy().await;
            }
            let first_revision = site.ledger.revision();
            let began = Instant::now();
            let mut answer_times = Vec::new();
            for number in 0..JOBS {
                let requested = Instant::now();
                site.submit(0, &job(number, 1)).await;
                answer_times.push(requested.elapsed().as_secs_f64());
            }
            let submission_s = began.elapsed().as_secs_f64();
            for number in 0..JOBS {
                let id = format!("job-{number}");
                let is_done = async || site.stage(0, &id).await == "done";
                until(&format!("{id} is done"), is_done).await;
            }
            let total_s = began.elapsed().as_secs_f64();
            let revisions = (site.ledger.revision() - first_revision) as f64 / JOBS as f64;
            println!(
                "round {round}, {} cells: {:.0} jobs accepted per second, all done after {total_s:.1} s, \
                 {revisions:.2} ledger revisions per job",
                if with_cells { CELL_NAMES.len() } else { 0 },
                JOBS as f64 / submission_s,
            );
            print_quantiles("  time of an acceptance", answer_times);
        }
    }
}
