//! The settings of a cluster's controllers.

use super::Cluster;
use serde_json::{Value, json};

/// A team as the settings name it.
#[derive(Debug, Clone)]
pub struct TeamSetting {
    /// Its name.
    pub name: String,
    /// Its limit in CPUs; 0 for none.
    pub limit_cpus: f64,
}

/// What the settings say of the state service, which all controllers share.
#[derive(Debug, Clone, Copy)]
pub struct StateRates {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Changes a second.
    pub writes_per_s: f64,
}

/// The beginning of all controllers' names.
const NAME_PREFIX: &str = "millstone-";

fn name_of(number: usize) -> String {
    format!("{NAME_PREFIX}{number}")
}

/// The number of the controller with a name.
pub(super) fn number_of(name: &str) -> Option<usize> {
    name.strip_prefix(NAME_PREFIX)?.parse().ok()
}

impl Cluster {
    /// The settings of a controller.
    pub(super) fn settings(&self, number: usize) -> Value {
        let config = &self.config;
        let others = (0..config.controllers).filter(|other| *other != number);
        let known: Vec<Value> = others
            .map(|other| json!({"member": name_of(other), "site": "a", "addr": self.mesh[other]}))
            .collect();
        let teams = config.teams.iter();
        let teams: Vec<Value> = teams
            .map(|team| json!({"name": team.name, "cpus_max": team.limit_cpus}))
            .collect();
        json!({"member": name_of(number), "site": "a", "api_addr": self.api[number],
            "mesh_addr": self.mesh[number], "known": known,
            "endpoints": {"cloud": self.cloud_addr, "state": self.state_addrs[number]},
            "params": {"size": config.controllers, "zones": ["a"], "teams": teams,
                "workers": {"report_s": 0.3, "lease_s": config.timeouts.lease_s, "gang_wait_s": 5.0,
                    "gang_peer_s": 2.0, "cancel_s": config.timeouts.cancel_s},
                "state": {"rps": config.state_rates.requests_per_s,
                    "write_rps": config.state_rates.writes_per_s, "value_kb": 8.0,
                    "txn_ops": 24},
                "cloud": {"rps": 50.0, "list_lag_s": 1.0},
                "limits": {"core_share": 1.0, "mem_mb": 1000.0, "sockets": config.max_sockets},
                "skew_ms": 25.0}})
    }
}
