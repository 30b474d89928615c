//! The settings file that the platform hands over: read, checked, named by field when wrong.

use crate::jobs::pages::Layout;
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
    pub fn least_ops(&self) -> usize {
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

/// One node's part of the state service's limits.
#[derive(Debug, Clone, Copy)]
pub struct StateShare {
    pub requests: f64,
    pub writes: f64,
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
    pub fn next_share(&self) -> StateShare {
        let nodes = f64::from(self.params.size);
        let (now, next) = (self.state_share(), self.params.state.next());
        let least = |now: f64, next: Option<f64>| next.map_or(now, |n| now.min(n / nodes));
        StateShare {
            requests: least(now.requests, next.rps),
            writes: least(now.writes, next.write_rps),
        }
    }

    /// Bytes that every new value must do with: the limit may fall at any moment.
    pub fn value_bytes(&self) -> usize {
        let state = &self.params.state;
        let next = state.next().value_kb.unwrap_or(state.value_kb);
        (state.value_kb.min(next) * 1024.0) as usize
    }

    /// Changes of a transaction, likewise.
    pub fn txn_ops(&self) -> usize {
        self.params.state.least_ops()
    }

    /// The names of all controllers that there are to be.
    pub fn members(&self) -> Vec<&str> {
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

    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.params.workers.lease_s)
    }

    pub fn report_every(&self) -> Duration {
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
    pub fn blind_limit(&self) -> Duration {
        let w = &self.params.workers;
        let between = w.cancel_s * 0.998 - w.lease_s * 1.001 - self.params.skew_ms / 1000.0;
        Duration::from_secs_f64((between - (between / 3.0).min(2.0)).max(0.0))
    }

    /// How long a reading of the log may wait for changes: so that the proof that it gives is
    /// never much older than workers may be answered by it.
    pub fn follow_hold(&self) -> Duration {
        (self.blind_limit() / 3).clamp(Duration::from_millis(100), Duration::from_secs(1))
    }

    /// How jobs are divided into pages of progress.
    pub fn layout(&self) -> Layout {
        let state = &self.params.state;
        // A placed task is written as [attempt,"machine",session]: 48 bytes cover long names. The
        // version before reckoned with the limit of now alone, and pages of both must agree.
        let wide = ((state.value_kb * 1024.0) as usize / 48).clamp(8, 512);
        // Of dense pages the names of machines are the most, and what does not fit waits.
        let dense = (self.value_bytes() / 16).clamp(8, 512);
        Layout {
            wide,
            dense: match self.value_bytes() < (state.value_kb * 1024.0) as usize {
                true => dense.min(wide),
                false => wide,
            },
            value_bytes: self.value_bytes(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::most_hired;
    use serde_json::json;

    fn settings(size: u32, sockets: usize, value_kb: f64, lease_s: f64, cancel_s: f64) -> String {
        json!({"member": "n", "site": "a", "api_addr": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
            "known": [], "endpoints": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
            "params": {"size": size, "zones": ["a"], "teams": [{"name": "t"}],
                "workers": {"report_s": 5.0, "lease_s": lease_s, "gang_wait_s": 35.0,
                    "gang_peer_s": 8.0, "cancel_s": cancel_s},
                "state": {"rps": 150.0, "write_rps": 50.0, "value_kb": value_kb, "txn_ops": 24},
                "cloud": {"rps": 9.0, "list_lag_s": 8.0},
                "limits": {"core_share": 0.2, "mem_mb": 188.0, "sockets": sockets},
                "skew_ms": 25.0}})
        .to_string()
    }

    /// One controller left of three or of five carries all machines of a fleet half as large again
    /// as any yet: their connections must fit, and a takeover must end within a worker's lease.
    #[test]
    fn what_follows_from_the_settings_holds_for_a_fleet_half_as_large_again() {
        let mut trace = String::new();
        for (machines, size, sockets, kb, lease_s, cancel_s) in [
            (2080_usize, 3, 3663, 8.0, 31.0, 56.0),
            (1580, 5, 3332, 32.0, 22.0, 47.0),
        ] {
            let s = Settings::parse(&settings(size, sockets, kb, lease_s, cancel_s), "t").unwrap();
            let records = machines.div_ceil(most_hired(s.value_bytes()));
            // The leader writes ten records at a time and waits for each answer.
            let takeover =
                s.presence_ttl() + Duration::from_millis(700) * records.div_ceil(10) as u32;
            assert!(machines + 200 < sockets - crate::api::OWN_SOCKETS);
            assert!(takeover < s.lease());
            assert!(s.blind_limit() + s.lease() < Duration::from_secs_f64(cancel_s));
            trace.push_str(&format!(
                "{machines} machines: {records} records, {} tasks a page, taken over within {:.1} s \
                 of {lease_s}, answers workers for {:.1} s without state\n",
                s.layout().wide,
                takeover.as_secs_f64(),
                s.blind_limit().as_secs_f64()
            ));
        }
        insta::assert_snapshot!(trace, @r#"
        2080 machines: 42 records, 170 tasks a page, taken over within 8.5 s of 31, answers workers for 22.8 s without state
        1580 machines: 32 records, 512 tasks a page, taken over within 7.8 s of 22, answers workers for 22.9 s without state
        "#);
    }

    #[test]
    fn what_is_impossible_is_refused_with_its_field() {
        let refused = |text: &str| Settings::parse(text, "s.json").unwrap_err().to_string();
        let good = settings(3, 3663, 8.0, 31.0, 56.0);
        let lines = [
            refused(&good.replace("\"size\":3", "\"size\":0")),
            refused(&good.replace("\"sockets\":3663", "\"sockets\":3")),
            refused(&good.replace("\"lease_s\":31.0", "\"lease_s\":-1.0")),
            refused(&good.replace("\"txn_ops\":24", "\"txn_ops\":1")),
            refused(&good.replace("\"txn_ops\":24", "\"txn_ops\":24,\"next\":{\"txn_ops\":1}")),
            refused(&good.replace(
                "\"txn_ops\":24",
                "\"txn_ops\":24,\"next\":{\"value_kb\":0.0}",
            )),
            refused(&good.replace(
                "\"txn_ops\":24",
                "\"txn_ops\":24,\"next\":{\"write_rps\":-2}",
            )),
        ];
        insta::assert_snapshot!(lines.join("\n"), @r#"
        settings s.json: field `params.size`: must be at least 1
        settings s.json: field `params.limits.sockets`: must be at least 32, is 3
        settings s.json: field `params.workers.lease_s`: must be above 0, is -1
        settings s.json: field `params.state.txn_ops`: must be at least 4, is 1
        settings s.json: field `params.state.next.txn_ops`: must be at least 4, is 1
        settings s.json: field `params.state.next.value_kb`: must be above 0, is 0
        settings s.json: field `params.state.next.write_rps`: must be above 0, is -2
        "#);
    }
}
