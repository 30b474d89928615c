//! A guest team submits jobs with as many tasks as a job may have, which wait for a small one, while other work runs.

use hyper::Method;
use rowanmill_review::has_trouble;
use rowanmill_review::site::{Config, Site, array};
use rowanmill_testing::ask;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a user waits for the answer to a question.
const PATIENCE: Duration = Duration::from_secs(2);
/// "a job about which no question is answered for 75 s counts as forgotten, however others fare"
const FORGOTTEN: Duration = Duration::from_secs(75);
/// Seconds after the beginning of the case until which users ask.
const ASKED_UNTIL_S: f64 = 111.0;

/// How many giant jobs the guest team submits.
const GIANTS: u32 = 30;

/// A gang of very many small tasks: one CPU and 1 GB in all.
fn giant(number: u32) -> Value {
    let mut job = array(number, "storefront", 100_000);
    job["shape"] = json!("group");
    job["cpus"] = json!(0.00001);
    job["memGb"] = json!(0.00001);
    job["pullGb"] = json!(0.1);
    job["awaits"] = json!(["job-000002"]);
    job
}

#[tokio::main]
async fn main() {
    let mut site = Site::new(Config {
        boot_s: 2.0,
        ..Config::default()
    })
    .await;
    site.start_all().await;
    let mut small = array(1, "audio-eng", 4);
    small["pullGb"] = json!(0.1);
    if !site.submit(0, &small, Duration::from_secs(200)).await {
        site.could_not_run("the small job was not accepted").await;
    }
    let begin = Instant::now();
    while !site.world.is_running("job-000001") {
        if begin.elapsed() > Duration::from_secs(20) {
            site.could_not_run("the small job did not start").await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let mut first = array(2, "storefront", 1);
    first["pullGb"] = json!(0.1);
    if !site.submit(1, &first, Duration::from_secs(7)).await {
        site.could_not_run("the first job of the pipeline was not accepted")
            .await;
    }
    if has_trouble() {
        let all = (3..3 + GIANTS).collect::<Vec<u32>>();
        for numbers in all.chunks(3) {
            let jobs = [giant(numbers[0]), giant(numbers[1]), giant(numbers[2])];
            let accepted = tokio::join!(
                site.submit(0, &jobs[0], Duration::from_secs(60)),
                site.submit(1, &jobs[1], Duration::from_secs(60)),
                site.submit(2, &jobs[2], Duration::from_secs(60)),
            );
            if accepted != (true, true, true) {
                site.could_not_run("a giant job was not accepted").await;
            }
        }
    }
    // Users ask each controller about the small job, once a second.
    let answered = Arc::new(Mutex::new(Instant::now()));
    let mut longest = Duration::ZERO;
    while site.record.now_s() < ASKED_UNTIL_S && longest <= FORGOTTEN {
        for (number, addr) in site.api.iter().enumerate() {
            let (addr, record, answered) = (*addr, site.record.clone(), answered.clone());
            tokio::spawn(async move {
                let sent = record.now_s();
                let question = format!(
                    "user: GET /v1/jobs/job-000001 at millstone-{number}, asked at {sent:.1}"
                );
                let answer = ask(addr, Method::GET, "/v1/jobs/job-000001", Value::Null);
                match tokio::time::timeout(PATIENCE, answer).await {
                    Ok((status, body)) if status != 0 => {
                        record.line(format!("{question}: {status} {body}"));
                        if status == 200 {
                            *answered.lock().unwrap() = Instant::now();
                        }
                    }
                    _ => record.line(format!("{question}: no answer")),
                }
            });
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        longest = longest.max(answered.lock().unwrap().elapsed());
    }
    site.record.line(format!(
        "the longest time in which no question about job-000001 was answered: {:.0} s",
        longest.as_secs_f64()
    ));
    if longest > FORGOTTEN {
        site.record.line("BROKEN forgotten: job-000001");
        site.end(rowanmill_review::RULE_BROKEN);
    }
    site.end(rowanmill_review::RULE_HELD)
}
