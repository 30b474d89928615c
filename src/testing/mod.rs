//! Controllers for tests, each on a thread with its own runtime, against the stand-ins of
//! `rowanmill-testing`.

pub mod compatibility;
mod documentation;
mod fault_scenarios;
mod fleet_scale;
mod limits;
mod load_profile;
mod tests;

use crate::membership::schema_versions::FeatureLevel;
use crate::serve::{Configuration, run_controller};
use rowanmill_config::ConfigFile;
use rowanmill_testing::{DEFAULT_TIMEOUTS, Timeouts};
use serde_json::{Value, json};
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// The addresses of a controller, kept over its restarts.
#[derive(Clone, Copy)]
struct Seat {
    api: SocketAddr,
    mesh: SocketAddr,
}

/// A running controller; dropping it ends it at once, in the middle of whatever it does.
struct Controller {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// What a controller is started as.
#[derive(Clone, Copy)]
struct Version {
    /// What it supports; `NONE` is the version before.
    supported_level: FeatureLevel,
    /// Limits of the state service, and those that it is told of.
    value_kb: f64,
    next: Option<(f64, usize, f64)>,
    timeouts: Timeouts,
    /// Whether teams' limits are divided.
    divides_limits: bool,
    /// The limit of the team, in CPUs.
    limit: f64,
    /// All controllers of a test share one process and its memory.
    memory_mb: f64,
}

const PRESENT: Version = Version {
    supported_level: FeatureLevel::COMPACT_PAGES,
    value_kb: 8.0,
    next: None,
    timeouts: DEFAULT_TIMEOUTS,
    divides_limits: false,
    limit: 6.0,
    memory_mb: 10_000.0,
};

impl Controller {
    fn start(number: usize, seats: &[Seat], state: SocketAddr, cloud: SocketAddr) -> Self {
        Self::start_as(PRESENT, number, seats, state, cloud)
    }

    fn start_as(
        version: Version,
        number: usize,
        seats: &[Seat],
        state: SocketAddr,
        cloud: SocketAddr,
    ) -> Self {
        let next = version.next.map(|(value_kb, txn_ops, write_rps)| {
            json!({"value_kb": value_kb, "txn_ops": txn_ops, "write_rps": write_rps})
        });
        let name = |n: usize| format!("millstone-{n}");
        let others = seats.iter().enumerate().filter(|(n, _)| *n != number);
        let known: Vec<Value> = others
            .map(|(n, s)| json!({"member": name(n), "site": "a", "addr": s.mesh}))
            .collect();
        let settings = json!({"member": name(number), "site": "a", "api_addr": seats[number].api,
            "mesh_addr": seats[number].mesh, "known": known,
            "endpoints": {"cloud": cloud, "state": state},
            "params": {"size": seats.len(), "zones": ["a"],
                "teams": [{"name": "t", "cpus_max": version.limit}],
                "workers": {"report_s": 0.3, "lease_s": version.timeouts.lease_s, "gang_wait_s": 5.0,
                    "gang_peer_s": 2.0, "cancel_s": version.timeouts.cancel_s},
                "state": {"rps": 1000.0, "write_rps": 500.0, "value_kb": version.value_kb,
                    "txn_ops": 24, "next": next},
                "cloud": {"rps": 50.0, "list_lag_s": 1.0},
                "limits": {"core_share": 1.0, "mem_mb": version.memory_mb, "sockets": 500},
                "skew_ms": 25.0}});
        let settings = crate::settings::Settings::parse(&settings.to_string(), "test").unwrap();
        let configuration = Configuration {
            settings,
            policy: crate::policy::Policy::default(),
            cell: None,
            limits: version.divides_limits.then(Default::default),
        };
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_all().build().unwrap();
            runtime.block_on(async {
                tokio::select! {
                    ended = run_controller(version.supported_level, configuration) => ended.unwrap(),
                    _ = stopped => {}
                }
            });
        });
        Self {
            stop: Some(stop),
            thread: Some(thread),
        }
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
