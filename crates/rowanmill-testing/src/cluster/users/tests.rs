use super::*;
use crate::DEFAULT_TIMEOUTS;
use crate::cluster::{ClusterConfig, StateRates};
use crate::jobs::JobRequest;
use std::sync::Arc;

/// A cluster without controllers.
async fn cluster() -> Cluster {
    Cluster::new(ClusterConfig {
        program: "",
        controllers: 0,
        teams: Vec::new(),
        task_duration: Duration::ZERO,
        timeouts: DEFAULT_TIMEOUTS,
        state_rates: StateRates {
            requests_per_s: 1.0,
            writes_per_s: 1.0,
        },
        max_sockets: 1,
        retry: Retry {
            attempts: 1,
            pause: Duration::ZERO,
        },
        world: Arc::default(),
    })
    .await
}

#[tokio::test]
async fn the_world_learns_from_submissions_which_jobs_are_gangs() {
    let cluster = cluster().await;
    let request = |number| JobRequest {
        number,
        team: "t",
        tasks: 2,
        cpus: 1.0,
        memory_gb: 1.0,
        deadline_s: 1.0,
    };
    cluster.record_submission("job-1", &request(1).gang());
    cluster.record_submission("job-2", &request(2).array());
    let world = cluster.cloud.world.lock().unwrap();
    assert_eq!(world.gang_size("job-1"), Some(2));
    assert_eq!(world.gang_size("job-2"), None);
}
