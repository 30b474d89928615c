//! Cells of an older build of the program and of the present one on one ledger: each takes over the jobs of the
//! other, and their clients answer the same.

use super::kill::wait_until_done;
use super::site::{NAMES, PROGRAM, Site, job, until};
use rowanmill_testing::cluster::{ClientOutput, old_program};
use std::time::Duration;

const JOBS: usize = 9;
const TASKS: u32 = 2;
const TASK: Duration = Duration::from_secs(3);

/// Three cells that run, of which the first is of one build and both others are of another.
async fn site_of(first: &str, others: &str) -> Site {
    let mut site = Site::new(TASK).await;
    site.set_program(0, first);
    (1..NAMES.len()).for_each(|at| site.set_program(at, others));
    site.start_all().await;
    site
}

/// Both builds accept jobs; the cell of one is killed with its machines, and the other build takes its jobs over.
/// When the cell is back, it answers as the others do, and accepts jobs again.
async fn the_first_cell_is_taken_over(first: &str, others: &str) {
    let mut site = site_of(first, others).await;
    for number in 0..JOBS {
        site.submit(number % NAMES.len(), &job(number, TASKS)).await;
    }
    site.submit(1, &job(JOBS, TASKS)).await;
    let runs = async || site.stage(0, "job-0").await == "running";
    until("the first cell runs its work", runs).await;
    // Each cell answers for a job of the other build, and can cancel it.
    assert_eq!(site.cancel(0, &format!("job-{JOBS}")).await, "cancelled");
    assert_eq!(site.cancel(1, "job-6").await, "cancelled");
    site.cells[0].cluster.kill_all();
    site.cells[0].cluster.cloud.power_off();
    let taken = async || {
        let jobs = site.ledger.stored("c/l/j/");
        !jobs.values().any(|job| job["owner"] == NAMES[0])
    };
    until("its jobs are taken over", taken).await;
    site.start_cell(0);
    for at in 0..NAMES.len() {
        wait_until_done(&site, at, 6).await;
        for number in [7, 8] {
            let done = async || site.stage(at, &format!("job-{number}")).await == "done";
            until("it is done", done).await;
        }
        for number in [6, JOBS] {
            let id = format!("job-{number}");
            let is_cancelled = async || site.stage(at, &id).await == "cancelled";
            until("it stays cancelled", is_cancelled).await;
        }
    }
    site.submit(0, &job(JOBS + 1, TASKS)).await;
    let done = async || site.stage(1, &format!("job-{}", JOBS + 1)).await == "done";
    until("it takes new work", done).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
    for cell in &site.cells {
        assert_eq!(cell.cluster.logged_errors(), Vec::<String>::new());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn the_present_build_takes_over_a_cell_of_the_older() {
    the_first_cell_is_taken_over(&old_program(), PROGRAM).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn the_older_build_takes_over_a_cell_of_the_present() {
    the_first_cell_is_taken_over(PROGRAM, &old_program()).await;
}

/// What both builds' clients answer on the same records; the older's first.
async fn both_answer(site: &Site, arguments: &[&str]) -> [ClientOutput; 2] {
    let arguments = [arguments, &["--output", "json"]].concat();
    let mut answers = None;
    let quiet = async || {
        let revision = site.ledger.revision();
        answers = Some([&old_program(), PROGRAM].map(|build| site.client_of(build, &arguments)));
        site.ledger.revision() == revision
    };
    until("no record changes while both are asked", quiet).await;
    answers.unwrap()
}

async fn assert_same_answers(site: &Site, questions: &[(i32, &[&str])]) {
    for (code, question) in questions {
        let [old, present] = both_answer(site, question).await;
        assert_eq!(old, present, "{question:?}");
        assert_eq!(present.code, *code, "{question:?}");
    }
}

/// What a build's client prints for a change, and the records of drained cells after it.
fn change(site: &Site, build: &str, arguments: &[&str]) -> (ClientOutput, Vec<String>) {
    let arguments = [arguments, &["--output", "json"]].concat();
    let output = site.client_of(build, &arguments);
    let drained = site.ledger.stored("c/l/d/").into_keys();
    (output, drained.collect())
}

/// While cells of both builds run, while one is drained by either client, and when one is dead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
async fn the_clients_of_both_builds_answer_the_same() {
    let old = old_program();
    let mut site = site_of(&old, PROGRAM).await;
    for number in 0..NAMES.len() {
        site.submit(number, &job(number, TASKS)).await;
    }
    site.submit(0, &job(3, 100)).await;
    let questions: [(i32, &[&str]); 4] = [
        (0, &["status"]),
        (0, &["explain", "job-3"]),
        (3, &["explain", "job-77777"]),
        (2, &["status", "unknown-word"]),
    ];
    assert_same_answers(&site, &questions).await;
    for (drains, undrains) in [(old.as_str(), PROGRAM), (PROGRAM, old.as_str())] {
        assert_eq!(change(&site, drains, &["drain", "danang"]).0.code, 0);
        assert_same_answers(&site, &questions).await;
        assert_eq!(change(&site, undrains, &["undrain", "danang"]).0.code, 0);
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
    let [by_old, by_present] = [old.as_str(), PROGRAM].map(|build| {
        let changes = changes.iter();
        let outputs = changes.map(|arguments| change(&site, build, arguments));
        outputs.collect::<Vec<_>>()
    });
    assert_eq!(by_old, by_present);
    wait_until_done(&site, 1, NAMES.len()).await;
    let ended = site.ledger.stored("c/e/");
    assert!(ended.len() >= NAMES.len(), "{ended:?}");
    site.cells[0].cluster.kill_all();
    let missing = async || !site.ledger.stored("c/l/n/").contains_key("c/l/n/hanoi");
    until("the first cell is missing", missing).await;
    assert_same_answers(&site, &questions).await;
    assert_same_answers(&site, &[(0, &["explain", "job-0"])]).await;
    site.ledger.set_outage(true);
    let unavailable: [(i32, &[&str]); 4] = [
        (4, &["status"]),
        (4, &["explain", "job-3"]),
        (4, &["drain", "hanoi"]),
        (4, &["undrain", "hanoi"]),
    ];
    assert_same_answers(&site, &unavailable).await;
}
