//! The contents of the controllers' settings files.

use super::Cluster;
use serde_json::{Value, json};

/// A team in the settings.
#[derive(Debug, Clone)]
pub struct TeamSetting {
    /// The team's name.
    pub name: String,
    /// The team's limit in CPUs. 0 means that it has no limit.
    pub limit_cpus: f64,
}

/// The rate limits of the state service, which all controllers share, in the settings.
#[derive(Debug, Clone, Copy)]
pub struct StateRates {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Operations in transactions per second.
    pub writes_per_s: f64,
}

/// The prefix of all controllers' names. The controller's number follows.
const NAME_PREFIX: &str = "millstone-";

fn controller_name(number: usize) -> String {
    format!("{NAME_PREFIX}{number}")
}

/// The number of the controller with this name.
pub(super) fn controller_number(name: &str) -> Option<usize> {
    name.strip_prefix(NAME_PREFIX)?.parse().ok()
}

impl Cluster {
    /// The contents of a controller's settings file.
    pub(super) fn settings(&self, number: usize) -> Value {
        let config = &self.config;
        let others = (0..config.controllers).filter(|other| *other != number);
        let known: Vec<Value> = others
            .map(|other| {
                json!({"member": controller_name(other), "site": "a", "addr": self.mesh[other]})
            })
            .collect();
        let teams = config.teams.iter();
        let teams: Vec<Value> = teams
            .map(|team| json!({"name": team.name, "cpus_max": team.limit_cpus}))
            .collect();
        json!({"member": controller_name(number), "site": "a", "api_addr": self.api[number],
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
