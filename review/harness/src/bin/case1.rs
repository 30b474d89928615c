//! A guest team submits three jobs with as many tasks as a job may have, while other work runs.

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
/// How long users ask.
const ASKING: Duration = Duration::from_secs(84);

/// A gang of very many small tasks: ten CPUs and 10 GB in all.
fn giant(number: u32) -> Value {
    let mut job = array(number, "storefront", 100_000);
    job["shape"] = json!("group");
    job["cpus"] = json!(0.0001);
    job["memGb"] = json!(0.0001);
    job["pullGb"] = json!(0.1);
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
    if has_trouble() {
        let jobs = [giant(2), giant(3), giant(4)];
        let accepted = tokio::join!(
            site.request(0, Method::POST, "/v1/jobs", jobs[0].clone()),
            site.request(1, Method::POST, "/v1/jobs", jobs[1].clone()),
            site.request(2, Method::POST, "/v1/jobs", jobs[2].clone()),
        );
        if accepted.0.0 != 201 && accepted.1.0 != 201 && accepted.2.0 != 201 {
            site.could_not_run("no giant job was accepted").await;
        }
    }
    // Users ask each controller about the small job, once a second.
    let answered = Arc::new(Mutex::new(Instant::now()));
    let begin = Instant::now();
    let mut longest = Duration::ZERO;
    while begin.elapsed() < ASKING && longest <= FORGOTTEN {
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
