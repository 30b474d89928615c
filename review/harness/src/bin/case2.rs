//! A team at its limit, and one recorded start that the state service carries out late.

use hyper::Method;
use rowanmill_review::has_trouble;
use rowanmill_review::site::{Config, Site, array};
use rowanmill_testing::state::TransactionFault;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// A gang of one task, as `stem-align` has them.
fn gang(number: u32, team: &str, cpus: f64) -> Value {
    let mut job = array(number, team, 1);
    job["grist"] = json!("stem-align");
    job["shape"] = json!("group");
    job["cpus"] = json!(cpus);
    job["memGb"] = json!(20.0);
    job
}

const RUN: Duration = Duration::from_secs(40);

#[tokio::main]
async fn main() {
    let mut site = Site::new(Config {
        teams: vec![("storefront", 7.0), ("audio-eng", 0.0)],
        ..Config::default()
    })
    .await;
    site.start_all().await;
    // A job of another team, without a limit, so that machines are up.
    let mut other = gang(1, "audio-eng", 2.0);
    other["grindS"] = json!(100.0);
    if !site.submit(0, &other, Duration::from_secs(110)).await {
        site.could_not_run("the first job was not accepted").await;
    }
    let deadline = Instant::now() + Duration::from_secs(40);
    while !site.world.is_running("job-000001") {
        if Instant::now() > deadline {
            site.could_not_run("the first job did not start").await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;

    // Two gangs of one task, each as large as the team's limit.
    let first = gang(2, "storefront", 7.0);
    if has_trouble() {
        site.state
            .inject_fault("/job-000002/", TransactionFault::Delayed, 1);
    }
    let mut urgent = gang(3, "storefront", 7.0);
    urgent["urgency"] = json!("urgent");
    if !site.submit(0, &first, RUN).await {
        site.could_not_run("a job was not accepted").await;
    }
    let deadline = Instant::now() + Duration::from_secs(45);
    while has_trouble() && !site.state.has_delayed() && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let held = Instant::now();
    if has_trouble() {
        if !site.state.has_delayed() {
            site.could_not_run("no start was recorded").await;
        }
        site.record
            .line("state service: a transaction with starts of job-000002 gets no answer");
    }
    if !site.submit(1, &urgent, RUN).await {
        site.could_not_run("a job was not accepted").await;
    }
    if has_trouble() {
        let late = Duration::from_secs(6).saturating_sub(held.elapsed());
        tokio::time::sleep(late).await;
        let applied = site.state.deliver_delayed();
        site.record.line(format!(
            "state service: carries the transaction out {:.1} s late: {}",
            held.elapsed().as_secs_f64(),
            if applied == 1 {
                "its guards hold"
            } else {
                "refused"
            }
        ));
    }
    tokio::time::sleep(Duration::from_secs(if has_trouble() { 12 } else { 40 })).await;
    for id in ["job-000002", "job-000003"] {
        site.request(2, Method::GET, &format!("/v1/jobs/{id}"), Value::Null)
            .await;
    }
    site.end_by_rule("quota")
}
