//! The settings file that the platform hands over: its fields, as they stand there. What follows from them
//! is in `derived`, which values are refused in `validation`.

mod derived;
mod validation;

use rowanmill_config::{ConfigFile, InvalidField};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// The whole file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This controller's name.
    pub member: String,
    /// Where users and workers reach it.
    pub api_addr: SocketAddr,
    /// Where the other controllers reach it.
    pub mesh_addr: SocketAddr,
    /// The other controllers.
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
    /// Its mesh address.
    pub addr: SocketAddr,
}

/// The services that the controllers share.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

/// What holds for all controllers of the site.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// How many controllers the site has.
    pub size: u32,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: WorkerParams,
    pub state: StateParams,
    pub cloud: CloudParams,
    pub limits: ProcessLimits,
    /// How far a machine's time of day may be from the true one, in milliseconds.
    pub skew_ms: f64,
}

/// A team's guarantee and limit, each 0 for none.
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
    /// Whether there is a limit on what its tasks use at a time.
    pub fn is_limited(&self) -> bool {
        self.max_cpus > 0.0 || self.max_gpus > 0.0
    }

    /// Whether some resources are guaranteed to it.
    pub fn has_guarantee(&self) -> bool {
        self.guaranteed_cpus > 0.0 || self.guaranteed_gpus > 0.0
    }
}

/// A service-level objective of a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is to happen in time.
    pub kind: ObjectiveKind,
    #[serde(default)]
    pub class: String,
    /// Seconds after the job's arrival.
    pub within_s: Option<f64>,
    /// A multiple of the time from the job's arrival to its own deadline.
    pub times: Option<f64>,
}

/// What an objective is about.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// A task starts within `within_s`; `wait` in the file.
    Start,
    /// A job finishes within `within_s`; `finished` in the file.
    Finish,
    /// A job finishes within `times` its own deadline; `deadline` in the file.
    Deadline,
    /// A kind that this version does not know: the objective has no effect.
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

/// What is agreed with workers; all in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerParams {
    /// How often a worker sends a heartbeat.
    pub report_s: f64,
    /// How long a worker goes on without an answer to its heartbeats.
    pub lease_s: f64,
    /// How long a gang's task waits for the others before it gives up.
    pub gang_wait_s: f64,
    /// Within what time a running gang notices that a task is gone, and must be stopped as a whole.
    pub gang_peer_s: f64,
    /// How long after a confirmed cancellation a task may still run.
    pub cancel_s: f64,
}

/// The state service's limits, for all controllers together.
#[derive(Debug, Clone, Deserialize)]
pub struct StateParams {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// KiB of a value.
    pub value_kb: f64,
    /// Changes of a transaction.
    pub txn_ops: usize,
    /// Limits that will hold from some moment on, without notice.
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
}

/// The cloud's limits.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudParams {
    /// Requests a second.
    pub rps: f64,
    /// By how many seconds its list of machines may be out of date.
    pub list_lag_s: f64,
}

/// What one controller's process may use.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Part of a core.
    pub core_share: f64,
    /// Megabytes (10^6 bytes).
    pub mem_mb: f64,
    /// Open sockets.
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
