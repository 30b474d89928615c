//! Tests of an older build of the program together with the current build. Cells of both builds share one ledger, each
//! build takes over jobs of the other, and the clients of both print the same.

use super::kill::wait_until_done;
use super::site::{CELL_NAMES, PROGRAM, Site, job, until};
use rowanmill_testing::cluster::{ClientOutput, old_program};
use std::time::Duration;

/// The number of jobs that are distributed over the cells in turn.
const JOBS: usize = 9;
const TASKS_PER_JOB: u32 = 2;
const TASK_DURATION: Duration = Duration::from_secs(3);

/// Starts three cells: the first with one build, and the other two with another build.
async fn start_site(first: &str, others: &str) -> Site {
    let mut site = Site::new(TASK_DURATION).await;
    site.set_program(0, first);
    (1..CELL_NAMES.len()).for_each(|cell| site.set_program(cell, others));
    site.start_all().await;
    site
}

/// Cells of both builds accept jobs. The first cell is killed with its machines, and cells of the other build take over
/// its jobs. After its restart, the first cell must report the same outcomes as the others, and must run new jobs.
async fn take_over_the_first_cell(first: &str, others: &str) {
    let mut site = start_site(first, others).await;
    for number in 0..JOBS {
        site.submit(number % CELL_NAMES.len(), &job(number, TASKS_PER_JOB))
            .await;
    }
    site.submit(1, &job(JOBS, TASKS_PER_JOB)).await;
    let is_running = async || site.stage(0, "job-0").await == "running";
    until("job-0 is running", is_running).await;
    // Cells of each build can cancel a job that a cell of the other build accepted.
    assert_eq!(site.cancel(0, &format!("job-{JOBS}")).await, "cancelled");
    assert_eq!(site.cancel(1, "job-6").await, "cancelled");
    site.cells[0].cluster.kill_all();
    site.cells[0].cluster.cloud.power_off();
    let are_taken_over = async || {
        let jobs = site.ledger.stored("c/l/j/");
        !jobs.values().any(|job| job["owner"] == CELL_NAMES[0])
    };
    until("the first cell owns no open job", are_taken_over).await;
    site.start_cell(0);
    for (cell, name) in CELL_NAMES.iter().enumerate() {
        wait_until_done(&site, cell, 6).await;
        for number in [7, 8] {
            let id = format!("job-{number}");
            let is_done = async || site.stage(cell, &id).await == "done";
            until(&format!("{name} reports {id} as done"), is_done).await;
        }
        for number in [6, JOBS] {
            let id = format!("job-{number}");
            let is_cancelled = async || site.stage(cell, &id).await == "cancelled";
            until(&format!("{name} reports {id} as cancelled"), is_cancelled).await;
        }
    }
    site.submit(0, &job(JOBS + 1, TASKS_PER_JOB)).await;
    let is_done = async || site.stage(1, &format!("job-{}", JOBS + 1)).await == "done";
    until("the restarted cell's new job is done", is_done).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
    for cell in &site.cells {
        assert_eq!(cell.cluster.logged_errors(), Vec::<String>::new());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn the_current_build_takes_over_jobs_of_the_older_build() {
    take_over_the_first_cell(&old_program(), PROGRAM).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn the_older_build_takes_over_jobs_of_the_current_build() {
    take_over_the_first_cell(PROGRAM, &old_program()).await;
}

/// Runs a command with the clients of the older and the current build, in this order, on the same records. Returns
/// their outputs.
async fn outputs_of_both(site: &Site, arguments: &[&str]) -> [ClientOutput; 2] {
    let arguments = [arguments, &["--output", "json"]].concat();
    let mut outputs = None;
    let is_unchanged = async || {
        let revision = site.ledger.revision();
        outputs = Some([&old_program(), PROGRAM].map(|build| site.client_of(build, &arguments)));
        site.ledger.revision() == revision
    };
    until("no record changes while both clients run", is_unchanged).await;
    outputs.unwrap()
}

/// Runs each of these commands with the clients of both builds, and checks that their outputs are the same and that
/// both exit with the given code.
async fn assert_same_outputs(site: &Site, commands: &[(i32, &[&str])]) {
    for (code, arguments) in commands {
        let [old, current] = outputs_of_both(site, arguments).await;
        assert_eq!(old, current, "{arguments:?}");
        assert_eq!(current.code, *code, "{arguments:?}");
    }
}

/// Runs a command that drains or undrains a cell with a build's client. Returns the client's output, and the keys of
/// the records of drained cells after it.
fn run_change(site: &Site, build: &str, arguments: &[&str]) -> (ClientOutput, Vec<String>) {
    let arguments = [arguments, &["--output", "json"]].concat();
    let output = site.client_of(build, &arguments);
    let drained = site.ledger.stored("c/l/d/").into_keys();
    (output, drained.collect())
}

/// The outputs are compared while cells of both builds run, while one cell is drained by the client of either build,
/// after one cell was killed, and during an outage of the ledger.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn the_clients_of_both_builds_print_the_same() {
    let old = old_program();
    let mut site = start_site(&old, PROGRAM).await;
    for number in 0..CELL_NAMES.len() {
        site.submit(number, &job(number, TASKS_PER_JOB)).await;
    }
    site.submit(0, &job(3, 100)).await;
    let commands: [(i32, &[&str]); 4] = [
        (0, &["status"]),
        (0, &["explain", "job-3"]),
        (3, &["explain", "job-77777"]),
        (2, &["status", "unknown-word"]),
    ];
    assert_same_outputs(&site, &commands).await;
    for (first, second) in [(old.as_str(), PROGRAM), (PROGRAM, old.as_str())] {
        assert_eq!(run_change(&site, first, &["drain", "danang"]).0.code, 0);
        assert_same_outputs(&site, &commands).await;
        assert_eq!(run_change(&site, second, &["undrain", "danang"]).0.code, 0);
        assert!(site.ledger.stored("c/l/d/").is_empty());
    }
    let changes: [&[&str]; 7] = [
        &["drain", "danang"],
        &["drain", "danang"],
        &["drain", "nowhere"],
        &["undrain", "danang"],
        &["undrain", "danang"],
        &["undrain", "nowhere"],
        &["drain"],
    ];
    let [by_old, by_current] = [old.as_str(), PROGRAM].map(|build| {
        let changes = changes.iter();
        let outputs = changes.map(|arguments| run_change(&site, build, arguments));
        outputs.collect::<Vec<_>>()
    });
    assert_eq!(by_old, by_current);
    wait_until_done(&site, 1, CELL_NAMES.len()).await;
    let final_states = site.ledger.stored("c/e/");
    assert!(final_states.len() >= CELL_NAMES.len(), "{final_states:?}");
    site.cells[0].cluster.kill_all();
    let is_unregistered = async || !site.ledger.stored("c/l/n/").contains_key("c/l/n/hanoi");
    until("the first cell is no longer registered", is_unregistered).await;
    assert_same_outputs(&site, &commands).await;
    assert_same_outputs(&site, &[(0, &["explain", "job-0"])]).await;
    site.ledger.set_outage(true);
    let unavailable: [(i32, &[&str]); 4] = [
        (4, &["status"]),
        (4, &["explain", "job-3"]),
        (4, &["drain", "hanoi"]),
        (4, &["undrain", "hanoi"]),
    ];
    assert_same_outputs(&site, &unavailable).await;
}
