//! The settings file that the platform hands over: read, checked, named by field when wrong.

use crate::jobs::pages::Layout;
use rowanmill_state::StateShare;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Why a settings file was refused. Each message is one line and names the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("settings {path}: cannot be read: {source}")]
    Unreadable {
        path: String,
        source: std::io::Error,
    },
    #[error("settings {path}: {source}")]
    Malformed {
        path: String,
        source: serde_json::Error,
    },
    #[error("settings {path}: field `{field}`: {reason}")]
    Invalid {
        path: String,
        field: &'static str,
        reason: String,
    },
}

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    pub member: String,
    pub api_addr: SocketAddr,
    pub mesh_addr: SocketAddr,
    #[serde(rename = "known")]
    pub peers: Vec<Peer>,
    pub endpoints: Endpoints,
    pub params: Params,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    #[serde(default)]
    pub member: String,
    pub addr: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    pub size: u32,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: WorkerParams,
    pub state: StateParams,
    pub cloud: CloudParams,
    pub limits: Limits,
    pub skew_ms: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: String,
    pub within_s: Option<f64>,
    pub times: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct WorkerParams {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct StateParams {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// What will hold from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// The state service's limits to come; what is absent stays as it is.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct NextLimits {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateParams {
    fn next(&self) -> NextLimits {
        self.next.unwrap_or_default()
    }

    /// Changes that every transaction must do with, now and later.
    pub fn min_transaction_operations(&self) -> usize {
        let next = self.next().txn_ops.unwrap_or(self.txn_ops);
        self.txn_ops.min(next)
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudParams {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    pub core_share: f64,
    pub mem_mb: f64,
    pub sockets: usize,
}

impl Team {
    /// Whether there is a limit on what its tasks use at a time.
    pub fn is_limited(&self) -> bool {
        self.cpus_max > 0.0 || self.gpus_max > 0.0
    }

    pub fn has_guarantee(&self) -> bool {
        self.cpus > 0.0 || self.gpus > 0.0
    }
}

impl Settings {
    pub fn state_share(&self) -> StateShare {
        let nodes = f64::from(self.params.size);
        StateShare {
            requests: self.params.state.rps / nodes,
            writes: self.params.state.write_rps / nodes,
        }
    }

    /// This node's part once the lower limits hold.
    pub fn announced_state_share(&self) -> StateShare {
        let nodes = f64::from(self.params.size);
        let (now, next) = (self.state_share(), self.params.state.next());
        let least = |now: f64, next: Option<f64>| next.map_or(now, |n| now.min(n / nodes));
        StateShare {
            requests: least(now.requests, next.rps),
            writes: least(now.writes, next.write_rps),
        }
    }

    /// Bytes that every new value must do with: the limit may fall at any moment.
    pub fn max_value_bytes(&self) -> usize {
        let state = &self.params.state;
        let next = state.next().value_kb.unwrap_or(state.value_kb);
        (state.value_kb.min(next) * 1024.0) as usize
    }

    /// Changes of a transaction, likewise.
    pub fn max_transaction_operations(&self) -> usize {
        self.params.state.min_transaction_operations()
    }

    /// The names of all controllers that there are to be.
    pub fn member_names(&self) -> Vec<&str> {
        let peers = self.peers.iter().map(|p| p.member.as_str());
        peers.chain([self.member.as_str()]).collect()
    }

    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: shown.clone(),
            source,
        })?;
        Self::parse(&text, &shown)
    }

    pub fn parse(text: &str, shown: &str) -> Result<Self, SettingsError> {
        let settings: Self =
            serde_json::from_str(text).map_err(|source| SettingsError::Malformed {
                path: shown.to_owned(),
                source,
            })?;
        settings
            .validate()
            .map_err(|(field, reason)| SettingsError::Invalid {
                path: shown.to_owned(),
                field,
                reason,
            })?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), (&'static str, String)> {
        let p = &self.params;
        if self.member.is_empty() {
            return Err(("member", "must not be empty".into()));
        }
        if p.size == 0 {
            return Err(("params.size", "must be at least 1".into()));
        }
        let above_zero = [
            ("params.workers.report_s", p.workers.report_s),
            ("params.workers.lease_s", p.workers.lease_s),
            ("params.workers.gang_wait_s", p.workers.gang_wait_s),
            ("params.workers.gang_peer_s", p.workers.gang_peer_s),
            ("params.workers.cancel_s", p.workers.cancel_s),
            ("params.state.rps", p.state.rps),
            ("params.state.write_rps", p.state.write_rps),
            ("params.state.value_kb", p.state.value_kb),
            ("params.cloud.rps", p.cloud.rps),
            ("params.limits.core_share", p.limits.core_share),
            ("params.limits.mem_mb", p.limits.mem_mb),
        ];
        for (field, value) in above_zero {
            if !value.is_finite() || value <= 0.0 {
                return Err((field, format!("must be above 0, is {value}")));
            }
        }
        for (field, value) in [
            ("params.cloud.list_lag_s", p.cloud.list_lag_s),
            ("params.skew_ms", p.skew_ms),
        ] {
            if !value.is_finite() || value < 0.0 {
                return Err((field, format!("must not be negative, is {value}")));
            }
        }
        if p.state.txn_ops < 4 {
            return Err((
                "params.state.txn_ops",
                format!("must be at least 4, is {}", p.state.txn_ops),
            ));
        }
        let next = p.state.next();
        for (field, value) in [
            ("params.state.next.rps", next.rps),
            ("params.state.next.write_rps", next.write_rps),
            ("params.state.next.value_kb", next.value_kb),
        ] {
            if let Some(value) = value.filter(|v| !v.is_finite() || *v <= 0.0) {
                return Err((field, format!("must be above 0, is {value}")));
            }
        }
        if let Some(ops) = next.txn_ops.filter(|ops| *ops < 4) {
            return Err((
                "params.state.next.txn_ops",
                format!("must be at least 4, is {ops}"),
            ));
        }
        if p.limits.sockets < 32 {
            return Err((
                "params.limits.sockets",
                format!("must be at least 32, is {}", p.limits.sockets),
            ));
        }
        for team in &p.teams {
            for amount in [team.cpus, team.cpus_max, team.gpus, team.gpus_max] {
                if !amount.is_finite() || amount < 0.0 {
                    return Err((
                        "params.teams",
                        format!("team `{}` has an amount of {amount}", team.name),
                    ));
                }
            }
        }
        Ok(())
    }

    pub fn worker_lease(&self) -> Duration {
        Duration::from_secs_f64(self.params.workers.lease_s)
    }

    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.params.workers.report_s)
    }

    /// Presence leases: short enough that a takeover ends within a worker's lease.
    pub fn presence_ttl(&self) -> Duration {
        Duration::from_secs_f64((self.params.workers.lease_s * 0.25).clamp(2.0, 5.0))
    }

    /// How long a node may renew workers after its last proof of state contact. Past this, a
    /// cancellation it never heard of could outlive `cancel_s` on a machine it keeps alive. The
    /// margin is for what passes between the end of a lease and the end of its tasks, and for
    /// clocks that run apart; where `cancel_s` is hardly above `lease_s` it takes a third of what
    /// lies between, and where it is not above it no lease may be renewed without a new reading.
    pub fn disconnected_lease_limit(&self) -> Duration {
        let w = &self.params.workers;
        let between = w.cancel_s * 0.998 - w.lease_s * 1.001 - self.params.skew_ms / 1000.0;
        Duration::from_secs_f64((between - (between / 3.0).min(2.0)).max(0.0))
    }

    /// How long a reading of the log may wait for changes: so that the proof that it gives is
    /// never much older than workers may be answered by it.
    pub fn watch_timeout(&self) -> Duration {
        (self.disconnected_lease_limit() / 3)
            .clamp(Duration::from_millis(100), Duration::from_secs(1))
    }

    /// How jobs are divided into pages of progress.
    pub fn page_layout(&self) -> Layout {
        let state = &self.params.state;
        // A placed task is written as [attempt,"machine",session]: 48 bytes cover long names. The
        // version before reckoned with the limit of now alone, and pages of both must agree.
        let wide = ((state.value_kb * 1024.0) as usize / 48).clamp(8, 512);
        // Of dense pages the names of machines are the most, and what does not fit waits.
        let dense = (self.max_value_bytes() / 16).clamp(8, 512);
        Layout {
            wide,
            dense: match self.max_value_bytes() < (state.value_kb * 1024.0) as usize {
                true => dense.min(wide),
                false => wide,
            },
            value_bytes: self.max_value_bytes(),
        }
    }
}

#[cfg(test)]
mod tests;
