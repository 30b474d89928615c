//! One machine fails a task. The job is then left waiting, although another machine that fits is idle.

use hyper::Method;
use rowanmill_review::has_trouble;
use rowanmill_review::site::{Config, Site, Timeouts, array};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// "Once the troubles are over, no job is left waiting for 90 s while a machine that fits has room".
const LEFT_WAITING: Duration = Duration::from_secs(90);
const LIMIT: Duration = Duration::from_secs(115);

/// A gang of one task, as `rebalance-solve` has them.
fn gang(number: u32, cpus: f64) -> Value {
    let mut job = array(number, "pin-xe", 1);
    job["grist"] = json!("rebalance-solve");
    job["shape"] = json!("group");
    job["cpus"] = json!(cpus);
    job["memGb"] = json!(2.0 * cpus);
    job["pullGb"] = json!(0.02);
    job["grindS"] = json!(10.0);
    job
}

#[tokio::main]
async fn main() {
    let begin = Instant::now();
    let mut site = Site::new(Config {
        teams: vec![("pin-xe", 0.0), ("ban-do", 0.0)],
        timeouts: Timeouts {
            report_s: 3.0,
            lease_s: 24.0,
            cancel_s: 49.0,
        },
        capacity: 3,
        boot_s: 2.0,
        sku: "tre-16",
        ..Config::default()
    })
    .await;
    if has_trouble() {
        site.world.set_sick(&["vm-000001"]);
    }
    site.start_all().await;
    if !site.submit(0, &gang(1, 9.0), Duration::from_secs(10)).await {
        site.could_not_run("the job was not accepted").await;
    }
    let sack = "job-000001/0";
    let is_done = |site: &Site| site.world.inner.lock().unwrap().done.contains(sack);
    // The trouble is over once the machine has failed the task.
    while has_trouble() && site.world.failed_on(sack) == 0 {
        if begin.elapsed() > Duration::from_secs(20) {
            site.could_not_run("the job was not tried in time").await;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let over = Instant::now();
    if has_trouble() {
        site.world.set_sick(&[]);
    }
    let mut next_poll = Instant::now();
    while begin.elapsed() < LIMIT {
        if is_done(&site) {
            site.record.line("job-000001 has run");
            site.request(2, Method::GET, "/v1/jobs/job-000001", Value::Null)
                .await;
            site.end(rowanmill_review::RULE_HELD);
        }
        if Instant::now() >= next_poll {
            next_poll = Instant::now() + Duration::from_secs(5);
            site.request(2, Method::GET, "/v1/jobs/job-000001", Value::Null)
                .await;
        }
        // All machines have 16 CPUs; the job needs 9.
        if let Some((machine, empty)) = site.world.longest_empty()
            && !site.world.is_running("job-000001")
            && empty.min(over.elapsed()) > LEFT_WAITING
        {
            site.request(2, Method::GET, "/v1/jobs/job-000001", Value::Null)
                .await;
            site.record.line(format!(
                "BROKEN job-000001 was left waiting: the trouble is over for {:.0} s, and {machine} has been up and \
                 empty for {:.0} s",
                over.elapsed().as_secs_f64(),
                empty.as_secs_f64()
            ));
            site.end(rowanmill_review::RULE_BROKEN);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    site.record
        .line("no machine was empty for long enough while the job waited");
    site.end(rowanmill_review::RULE_HELD)
}
