//! The client's answers about limits: their JSON format, on which scripts rely, and the answers and exit codes while
//! controllers or the state service are down.

use crate::site::{CONTROLLERS, Site, job};
use rowanmill_testing::cluster::ClientOutput;
use rowanmill_testing::until;
use serde_json::Value;
use std::time::Duration;

/// The answer with null in place of the values that differ between runs.
fn without_varying_values(text: &str) -> String {
    let mut answer: Value = serde_json::from_str(text).unwrap();
    for field in ["since_ms", "controller", "free_here"] {
        if answer.get(field).is_some() {
            answer[field] = Value::Null;
        }
    }
    if let Some(teams) = answer.get_mut("teams") {
        for team in teams.as_array_mut().unwrap() {
            for controller in team["controllers"].as_array_mut().unwrap() {
                for field in ["allotment", "used", "waiting"] {
                    controller[field] = Value::Null;
                }
            }
        }
    }
    serde_json::to_string_pretty(&answer).unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_client_tells_which_limit_holds_a_job() {
    let mut site = Site::new(&[("t", 2.0), ("u", 0.0)], Duration::from_secs(30)).await;
    site.start_all().await;
    site.submit(0, &job(1, "t", 5, 1.0)).await;
    site.submit(1, &job(2, "u", 1, 1.0)).await;
    let world = site.cloud.world.clone();
    let running = |id: &str| world.lock().unwrap().running_tasks(id);
    let full = || running("job-1") == 2 && running("job-2") == 1;
    until(
        "t uses its whole limit, and the job of u runs",
        async || full(),
    )
    .await;
    let status = site.client(&["status", "--output", "json"]);
    assert_eq!(status.code, 0);
    let held = site.client(&["explain", "job-1", "--output", "json"]);
    assert_eq!(held.code, 0);
    let free = site.client(&["explain", "job-2", "--output", "json"]);
    let outputs = [status, held, free];
    let shown = outputs
        .map(|output| without_varying_values(&output.text))
        .join("\n");
    insta::assert_snapshot!(shown);
    assert_eq!(
        site.client(&["explain", "job-77"]).code,
        3,
        "the job was never accepted"
    );
    // The client reads the records in the state service, so it answers while all controllers are down.
    (0..CONTROLLERS).for_each(|number| site.kill(number));
    let ClientOutput { code, text } = site.client(&["explain", "job-1"]);
    assert_eq!(code, 0);
    assert!(text.contains("blocked by the limit of team t"), "{text}");
    site.state.set_outage(true);
    let status = site.client(&["status"]);
    assert_eq!(status.code, 4, "the state service is unavailable");
}
