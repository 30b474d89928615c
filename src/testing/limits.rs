//! Team limits are divided among the controllers while every controller is configured to divide them. As soon as
//! one is not, a single controller manages each whole limit again.

use super::tests::{TestCluster, job};
use super::{Controller, ControllerConfig, DEFAULT_CONFIG};
use rowanmill_testing::until;
use std::time::Duration;

const TEAM_LIMIT_CPUS: f64 = 4.0;

fn config_with(divides_limits: bool) -> ControllerConfig {
    ControllerConfig {
        divides_limits,
        team_limit_cpus: TEAM_LIMIT_CPUS,
        ..DEFAULT_CONFIG
    }
}

async fn start(cluster: &TestCluster, number: usize, divides_limits: bool) -> Controller {
    let controller = cluster.start_with(config_with(divides_limits), number);
    let ready = async || cluster.get(number, "/healthz").await.0 == 200;
    until("the controller is healthy", ready).await;
    controller
}

/// The number of controllers to which parts of the team's limit are allocated. 0 if one controller manages the whole
/// limit, or if it is not allocated yet.
fn allocation_count(cluster: &TestCluster) -> usize {
    let assignments = cluster.state.stored("r/shares");
    let is_undivided = |assignment: &serde_json::Value| assignment["teams"].get("t").is_some();
    if assignments.values().next().is_none_or(is_undivided) {
        return 0;
    }
    let records = cluster.state.stored("r/a/t");
    let record = records.values().next();
    let allocations = record.and_then(|record| record["allotments"].as_object());
    allocations.map_or(0, |allocations| allocations.len())
}

/// Guards against a team that uses more than its limit during an upgrade and a downgrade: controllers that divide
/// limits replace those that do not, one at a time. Then one of them is replaced by a controller that does not divide
/// limits. At the start and after each replacement, jobs are submitted whose tasks together need more than the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_are_divided_only_while_every_controller_divides_them() {
    let cluster = TestCluster::new(2, Duration::from_millis(250)).await;
    cluster
        .cloud
        .world
        .lock()
        .unwrap()
        .quota
        .set_limit("t", 4000);
    let submit = async |wave: usize| {
        for n in wave * 10..wave * 10 + 10 {
            let id = format!("job-{n}");
            {
                let mut world = cluster.cloud.world.lock().unwrap();
                world.quota.record_job(&id, "t", 1000);
            }
            cluster.submit(n % 2, &job(&id, 6, 1.0)).await;
        }
    };
    let first = start(&cluster, 0, false).await;
    let second = start(&cluster, 1, false).await;
    submit(1).await;
    assert_eq!(
        allocation_count(&cluster),
        0,
        "no controller divides limits"
    );
    drop(first);
    let _first = start(&cluster, 0, true).await;
    submit(2).await;
    assert_eq!(
        allocation_count(&cluster),
        0,
        "one of two controllers does not divide limits"
    );
    drop(second);
    let second = start(&cluster, 1, true).await;
    until("the limit is divided", async || {
        allocation_count(&cluster) == 2
    })
    .await;
    submit(3).await;
    drop(second);
    let _second = start(&cluster, 1, false).await;
    until("the limit is undivided again", async || {
        allocation_count(&cluster) == 0
    })
    .await;
    submit(4).await;
    for n in 10..50 {
        let id = format!("job-{n}");
        let done = async || cluster.stage(0, &id).await == "done";
        until(&format!("{id} is done"), done).await;
    }
    assert_eq!(cluster.broken_rules(), Vec::<String>::new());
    let peak = cluster.cloud.world.lock().unwrap().quota.peak_usage("t");
    assert_eq!(
        peak, 4000,
        "the team must have used its whole limit at some time, and no more"
    );
}
