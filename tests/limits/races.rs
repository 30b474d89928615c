//! Controllers that use the limit of one team concurrently.

use crate::site::{CONTROLLERS, Site, gang, job};
use rowanmill_testing::until;
use serde_json::json;
use std::time::{Duration, Instant};

// Guards against a fault that occurred in about one of forty runs: a controller without a machine kept quota for one
// task, so the team never used its whole limit. Only two machines had been rented ("rental confirmed" twice), and they
// were reassigned among the three controllers ("machines reassigned"). The third controller had quota but no machine
// ("limited team's job forecast" with permitted=1 late=1 helped=1). It did not transfer the quota, because each
// controller kept what its oldest task needs: "quota allocation changed" came only after its work had ended. It now
// transfers this quota, too, to a controller that waits for the limit and has a machine.

/// Jobs of one task each are submitted to all controllers at once under a limit of three tasks. A fourth task never
/// runs at the same time, and the whole limit is used.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_submissions_use_the_whole_limit_and_no_more() {
    let mut site = Site::new(&[("t", 3.0)], Duration::from_millis(300)).await;
    site.start_all().await;
    let jobs: Vec<_> = (0..60).map(|n| job(n, "t", 1, 1.0)).collect();
    site.submit_all(&jobs).await;
    let ids: Vec<String> = (0..60).map(|n| format!("job-{n}")).collect();
    site.wait_until_all_end(&ids, Duration::from_secs(90)).await;
    assert_eq!(site.broken_rules(), Vec::<String>::new());
    assert_eq!(site.peak_cpus()["t"], 3.0, "the whole limit is used");
}

/// An upper bound of the time until the gang runs. With the settings of these tests, the steps take at most 28 s
/// together: headroom is reserved for the gang after at most 9 s, the other controllers learn of it within 5 s, the
/// tasks that run by then end within a second, a forecast includes the gang after 5 s, the leader rents machines for it
/// after another 5 s, and these report 3 s later.
const MAX_GANG_DELAY: Duration = Duration::from_secs(30);

/// A gang that needs most of the limit starts within a bounded time, although single tasks of its team wait at every
/// controller for much longer than that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gang_that_needs_most_of_the_limit_starts_while_many_tasks_wait() {
    let mut site = Site::new(&[("t", 8.0)], Duration::from_millis(700)).await;
    site.start_all().await;
    let competing: Vec<_> = (0..12).map(|n| job(n, "t", 60, 1.0)).collect();
    site.submit_all(&competing).await;
    let running = |id: &str| site.cloud.world.lock().unwrap().running_tasks(id);
    let full = || site.peak_cpus()["t"] == 8.0;
    until("the limit is fully used", async || full()).await;
    let submitted = Instant::now();
    site.submit(0, &gang(100, "t", 6, 1.0)).await;
    until("the gang runs", async || running("job-100") == 6).await;
    let took = submitted.elapsed();
    assert!(took < MAX_GANG_DELAY, "the gang started after {took:?}");
    let stage = site.stage("job-11").await;
    assert_ne!(stage, "done", "other jobs of the team are still open");
    for n in 0..12 {
        site.cancel(&format!("job-{n}")).await;
    }
    assert_eq!(site.broken_rules(), Vec::<String>::new());
}

// Guards against a forecast that ignored all tasks beyond the current headroom. One controller had the whole limit and
// one machine of 4 CPUs while 600 tasks waited. The log repeated "scaling decided late=3.0 counted=3.0 wanted=0.0
// decision=ScaleOut(100)": the forecast covered the 12 tasks for which there was headroom. All of them were late, but
// none would start sooner on a new machine, since the one machine would start all 12, of half a second each, before a
// new one is up. The forecast now also covers the tasks behind these 12. "limited team's job forecast" logs how many of
// them would start sooner with more machines as helped_beyond_headroom, and as unused_quota_tasks how many more tasks
// the quota would let run once a new machine is up. No machines are rented for more tasks beyond the headroom than
// these.

/// Machines are rented for a team that lacks machines rather than quota, until it uses its whole limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn machines_are_rented_until_a_team_reaches_its_limit() {
    let mut site = Site::new(&[("t", 12.0)], Duration::from_millis(500)).await;
    site.start_all().await;
    for number in 0..CONTROLLERS {
        let mut late = job(number, "t", 200, 1.0);
        late["dueS"] = json!(2.0);
        site.submit(number, &late).await;
    }
    let full = || site.peak_cpus()["t"] == 12.0;
    until("the limit is fully used", async || full()).await;
}
