//! Limits are divided once every controller is configured to, and whole again as soon as one is not.

use super::tests::{Site, job};
use super::{Controller, PRESENT, Version};
use rowanmill_testing::until;
use std::time::Duration;

const LIMIT: f64 = 4.0;

fn version_that(divides_limits: bool) -> Version {
    Version {
        divides_limits,
        limit: LIMIT,
        ..PRESENT
    }
}

async fn start(site: &Site, number: usize, divides_limits: bool) -> Controller {
    let controller = site.start_as(version_that(divides_limits), number);
    let ready = async || site.get(number, "/healthz").await.0 == 200;
    until("the controller is healthy", ready).await;
    controller
}

/// The number of controllers that the team's limit is divided among; 0 if one controller has it whole.
fn divided_among(site: &Site) -> usize {
    let assignments = site.state.stored("r/shares");
    let is_whole = |shares: &serde_json::Value| shares["teams"].get("t").is_some();
    if assignments.values().next().is_none_or(is_whole) {
        return 0;
    }
    let records = site.state.stored("r/a/t");
    let record = records.values().next();
    let allocations = record.and_then(|record| record["allotments"].as_object());
    allocations.map_or(0, |allocations| allocations.len())
}

/// Rule `quota` during an upgrade and a downgrade: controllers that divide limits replace those that do not, one
/// at a time, and one of them is replaced again, while the team always has more work than its limit allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_are_divided_while_every_controller_can_and_whole_otherwise() {
    let site = Site::new(2, Duration::from_millis(250)).await;
    site.cloud.world.lock().unwrap().quota.set_limit("t", 4000);
    let submit = async |wave: usize| {
        for n in wave * 10..wave * 10 + 10 {
            let id = format!("job-{n}");
            {
                let mut world = site.cloud.world.lock().unwrap();
                world.quota.record_job(&id, "t", 1000);
            }
            site.submit(n % 2, &job(&id, 6, 1.0)).await;
        }
    };
    let first = start(&site, 0, false).await;
    let second = start(&site, 1, false).await;
    submit(1).await;
    assert_eq!(divided_among(&site), 0);
    drop(first);
    let _first = start(&site, 0, true).await;
    submit(2).await;
    assert_eq!(divided_among(&site), 0, "one of two is not configured to");
    drop(second);
    let second = start(&site, 1, true).await;
    until("it is divided", async || divided_among(&site) == 2).await;
    submit(3).await;
    drop(second);
    let _second = start(&site, 1, false).await;
    until("it is whole again", async || divided_among(&site) == 0).await;
    submit(4).await;
    for n in 10..50 {
        let id = format!("job-{n}");
        let done = async || site.stage(0, &id).await == "done";
        until("it is done", done).await;
    }
    assert_eq!(site.broken_rules(), Vec::<String>::new());
    let peak = site.cloud.world.lock().unwrap().quota.peak_usage("t");
    assert_eq!(peak, 4000, "the whole limit is used");
}
