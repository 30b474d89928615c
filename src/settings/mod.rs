//! The settings file that the platform provides. The types here mirror its fields; `derived` computes values
//! from them, and `validation` rejects invalid ones.

mod derived;
mod validation;

use rowanmill_config::{ConfigFile, InvalidField};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// The contents of the settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The name of this controller.
    pub member: String,
    /// The address at which this controller serves users and workers.
    pub api_addr: SocketAddr,
    /// The address at which this controller serves the other controllers.
    pub mesh_addr: SocketAddr,
    /// The other controllers of the site.
    #[serde(rename = "known")]
    pub peers: Vec<Peer>,
    pub endpoints: Endpoints,
    pub params: Params,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    #[serde(default)]
    pub member: String,
    /// The address at which it serves the other controllers.
    pub addr: SocketAddr,
}

/// The addresses of the services that all controllers use.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

/// Parameters that are the same for all controllers of the site.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// Number of controllers of the site.
    pub size: u32,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: WorkerParams,
    pub state: StateParams,
    pub cloud: CloudParams,
    pub limits: ProcessLimits,
    /// Maximum deviation of a machine's clock from the true time, in milliseconds.
    pub skew_ms: f64,
}

/// A team's guaranteed resources and its limits. 0 means that there is no guarantee or limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(rename = "cpus", default)]
    pub guaranteed_cpus: f64,
    #[serde(rename = "cpus_max", default)]
    pub max_cpus: f64,
    #[serde(rename = "gpus", default)]
    pub guaranteed_gpus: f64,
    #[serde(rename = "gpus_max", default)]
    pub max_gpus: f64,
}

impl Team {
    /// Whether the resources that the team's tasks use at the same time are limited.
    pub fn is_limited(&self) -> bool {
        self.max_cpus > 0.0 || self.max_gpus > 0.0
    }

    /// Whether the team has any guaranteed resources.
    pub fn has_guarantee(&self) -> bool {
        self.guaranteed_cpus > 0.0 || self.guaranteed_gpus > 0.0
    }
}

/// A service-level objective for a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// The event that must happen in time.
    pub kind: ObjectiveKind,
    #[serde(default)]
    pub class: String,
    /// The time limit in seconds, counted from the job's arrival.
    pub within_s: Option<f64>,
    /// The time limit as a multiple of the time from the job's arrival to its own deadline.
    pub times: Option<f64>,
}

/// The event that a service-level objective limits in time.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// A task starts within `within_s`. Written `wait` in the file.
    Start,
    /// A job finishes within `within_s`. Written `finished` in the file.
    Finish,
    /// A job finishes within `times` times the time to its own deadline. Written `deadline` in the file.
    Deadline,
    /// A kind that this version does not support. The objective has no effect.
    Unknown(String),
}

impl From<String> for ObjectiveKind {
    fn from(name: String) -> Self {
        match name.as_str() {
            "wait" => ObjectiveKind::Start,
            "finished" => ObjectiveKind::Finish,
            "deadline" => ObjectiveKind::Deadline,
            _ => ObjectiveKind::Unknown(name),
        }
    }
}

impl fmt::Display for ObjectiveKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ObjectiveKind::Start => "wait",
            ObjectiveKind::Finish => "finished",
            ObjectiveKind::Deadline => "deadline",
            ObjectiveKind::Unknown(name) => name,
        })
    }
}

/// Intervals and time limits of the protocol between controllers and workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerParams {
    /// Interval between a worker's heartbeats.
    pub report_s: f64,
    /// Length of a worker's lease: how long it keeps running tasks while no heartbeat is answered.
    pub lease_s: f64,
    /// How long a task waits for the other tasks of its gang before it gives up. Controllers only validate it.
    pub gang_wait_s: f64,
    /// Time within which a running gang detects the loss of one of its tasks. The whole gang must then be stopped.
    /// Controllers only validate it.
    pub gang_peer_s: f64,
    /// How long a task may still run after its cancellation was confirmed to the user.
    pub cancel_s: f64,
}

/// Limits of the state service, for all controllers together.
#[derive(Debug, Clone, Deserialize)]
pub struct StateParams {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of operations of a transaction.
    pub txn_ops: usize,
    /// Announced limits that replace these ones at a time that is not known in advance.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Announced limits of the state service. A limit that is absent does not change.
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
}

/// Limits of the cloud API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudParams {
    /// Requests per second.
    pub rps: f64,
    /// Maximum staleness of the cloud's list of machines, in seconds.
    pub list_lag_s: f64,
}

/// Resource limits of one controller process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Share of one CPU core, 1 for a whole core.
    pub core_share: f64,
    /// Memory in megabytes (10^6 bytes).
    pub mem_mb: f64,
    /// Number of open sockets.
    pub sockets: usize,
}

impl ConfigFile for Settings {
    const KIND: &'static str = "settings";

    fn validate(&self) -> Result<(), InvalidField> {
        validation::validate(self)
    }
}

#[cfg(test)]
mod tests;
