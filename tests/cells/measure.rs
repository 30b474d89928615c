//! Measurements of what cells cost. They check nothing: run them in a release build, by
//! `cargo test --release --test cells measure -- --ignored --nocapture --test-threads 1`.

use super::site::{NAMES, Site, job, until};
use std::time::{Duration, Instant};

const ROUNDS: usize = 5;
const JOBS_PER_ROUND: usize = 10;

/// The value that the given fraction of sorted values does not exceed.
fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * fraction).round() as usize]
}

fn print(what: &str, mut times: Vec<f64>) {
    times.sort_by(f64::total_cmp);
    let (median, p95, largest) = (
        quantile(&times, 0.5),
        quantile(&times, 0.95),
        quantile(&times, 1.0),
    );
    let count = times.len();
    println!(
        "{what}: median {median:.2} s, 95th percentile {p95:.2} s, largest {largest:.2} s of {count}"
    );
}

/// The time from the end of a cell and its machines until each of its jobs runs again, elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "a measurement of some minutes"]
async fn time_of_a_spillover() {
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let mut site = Site::new(Duration::from_secs(60)).await;
        site.start_all().await;
        for number in 0..JOBS_PER_ROUND {
            site.submit(0, &job(number, 2)).await;
        }
        let runs = async || site.world.lock().unwrap().starts == 2 * JOBS_PER_ROUND;
        until("all tasks run", runs).await;
        site.cells[0].cluster.kill_all();
        site.cells[0].cluster.cloud.power_off();
        let ended = Instant::now();
        let mut again = [None; JOBS_PER_ROUND];
        let all_again = async || {
            for (number, since) in again.iter_mut().enumerate() {
                let runs = site
                    .world
                    .lock()
                    .unwrap()
                    .running_tasks(&format!("job-{number}"))
                    > 0;
                if runs && since.is_none() {
                    *since = Some(ended.elapsed().as_secs_f64());
                }
            }
            again.iter().all(Option::is_some)
        };
        until("all run again", all_again).await;
        times.extend(again.into_iter().flatten());
    }
    print("from the end of a cell to a task elsewhere", times);
}

/// One cell accepts jobs of one task as fast as its users send them, with a ledger and without.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "a measurement of some minutes"]
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
                site.start_all_unregistered().await;
            }
            let changes = site.ledger.revision();
            let began = Instant::now();
            let mut answers = Vec::new();
            for number in 0..JOBS {
                let requested = Instant::now();
                site.submit(0, &job(number, 1)).await;
                answers.push(requested.elapsed().as_secs_f64());
            }
            let submitted = began.elapsed().as_secs_f64();
            for number in 0..JOBS {
                let id = format!("job-{number}");
                let done = async || site.stage(0, &id).await == "done";
                until("it is done", done).await;
            }
            let all = began.elapsed().as_secs_f64();
            let writes = (site.ledger.revision() - changes) as f64 / JOBS as f64;
            println!(
                "round {round}, {} cells: {:.0} jobs a second accepted, all done after {all:.1} s, \
                 {writes:.2} changes of the ledger a job",
                if with_cells { NAMES.len() } else { 0 },
                JOBS as f64 / submitted,
            );
            print("  an acceptance", answers);
        }
    }
}
