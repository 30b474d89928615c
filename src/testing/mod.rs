//! Tests of whole controllers against stand-ins for the state service, the cloud and the workers; snapshots of every
//! interface, in `compatibility`; and a check of the paths on the pages for newcomers, in `documentation`.

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

/// The addresses of a controller, which stay the same when it restarts.
#[derive(Clone, Copy)]
struct ControllerAddrs {
    api: SocketAddr,
    mesh: SocketAddr,
}

/// A controller that runs on a thread with its own runtime. Dropping it ends its tasks at whatever await points they
/// have reached, without a graceful shutdown.
struct Controller {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// The feature level and the settings with which a controller is started.
#[derive(Clone, Copy)]
struct ControllerConfig {
    /// The feature level that the controller supports, without that of divided limits, which `divides_limits` adds.
    /// `NONE` is that of the previous version.
    supported_level: FeatureLevel,
    /// Maximum size of a value in the state service, in KiB, according to the settings. The stand-in applies only the
    /// limits that a test sets on it.
    value_kb: f64,
    /// Lower limits of the state service that the settings announce: value size in KiB, operations per transaction
    /// and writes per second.
    next_state_limits: Option<(f64, usize, f64)>,
    timeouts: Timeouts,
    /// Whether the controller is configured to divide the teams' limits among the controllers.
    divides_limits: bool,
    /// The team's limit, in CPUs.
    team_limit_cpus: f64,
    /// Memory limit in MB. The controller compares it with the allocated memory of the whole test process, which
    /// contains all controllers of a test.
    memory_mb: f64,
}

const DEFAULT_CONFIG: ControllerConfig = ControllerConfig {
    supported_level: FeatureLevel::COMPACT_PAGES,
    value_kb: 8.0,
    next_state_limits: None,
    timeouts: DEFAULT_TIMEOUTS,
    divides_limits: false,
    team_limit_cpus: 6.0,
    memory_mb: 10_000.0,
};

impl Controller {
    fn start(
        number: usize,
        addrs: &[ControllerAddrs],
        state: SocketAddr,
        cloud: SocketAddr,
    ) -> Self {
        Self::start_with(DEFAULT_CONFIG, number, addrs, state, cloud)
    }

    fn start_with(
        config: ControllerConfig,
        number: usize,
        addrs: &[ControllerAddrs],
        state: SocketAddr,
        cloud: SocketAddr,
    ) -> Self {
        let next = config.next_state_limits.map(|(value_kb, txn_ops, write_rps)| {
            json!({"value_kb": value_kb, "txn_ops": txn_ops, "write_rps": write_rps})
        });
        let name = |n: usize| format!("millstone-{n}");
        let peers = addrs.iter().enumerate().filter(|(n, _)| *n != number);
        let known: Vec<Value> = peers
            .map(|(n, peer)| json!({"member": name(n), "site": "a", "addr": peer.mesh}))
            .collect();
        let settings = json!({"member": name(number), "site": "a", "api_addr": addrs[number].api,
            "mesh_addr": addrs[number].mesh, "known": known,
            "endpoints": {"cloud": cloud, "state": state},
            "params": {"size": addrs.len(), "zones": ["a"],
                "teams": [{"name": "t", "cpus_max": config.team_limit_cpus}],
                "workers": {"report_s": 0.3, "lease_s": config.timeouts.lease_s, "gang_wait_s": 5.0,
                    "gang_peer_s": 2.0, "cancel_s": config.timeouts.cancel_s},
                "state": {"rps": 1000.0, "write_rps": 500.0, "value_kb": config.value_kb,
                    "txn_ops": 24, "next": next},
                "cloud": {"rps": 50.0, "list_lag_s": 1.0},
                "limits": {"core_share": 1.0, "mem_mb": config.memory_mb, "sockets": 500},
                "skew_ms": 25.0}});
        let settings = crate::settings::Settings::parse(&settings.to_string(), "test").unwrap();
        let configuration = Configuration {
            settings,
            policy: crate::policy::Policy::default(),
            cell: None,
            limits: config.divides_limits.then(Default::default),
        };
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_all().build().unwrap();
            runtime.block_on(async {
                tokio::select! {
                    ended = run_controller(config.supported_level, configuration) => ended.unwrap(),
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
