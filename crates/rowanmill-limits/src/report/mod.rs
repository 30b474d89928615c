//! Reports of the command-line client about teams' limits, as human-readable text and as JSON for scripts.
//! Field names and values of the JSON are a stable interface: see [`FORMAT`].

mod explanation;
mod status;

use crate::amount::ResourceAmount;
use crate::limit::TeamLimit;
use serde::Serialize;

pub use explanation::{Explanation, JobIdentity, WaitReason};
pub use status::{ControllerReport, EnforcementMode, StatusReport, TeamReport};

/// The version of the JSON, which changes when a field is removed or its meaning changes.
pub const FORMAT: u32 = 1;

/// CPUs and GPUs as decimal numbers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ResourceReport {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "cards")]
    pub gpus: f64,
}

impl From<ResourceAmount> for ResourceReport {
    fn from(amount: ResourceAmount) -> Self {
        Self {
            cpus: amount.cpus(),
            gpus: amount.gpus(),
        }
    }
}

impl std::fmt::Display for ResourceReport {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} CPUs {} cards", self.cpus, self.gpus)
    }
}

/// A team's limit: `None` for a resource without one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LimitReport {
    /// CPUs.
    pub cpus: Option<f64>,
    /// GPUs.
    #[serde(rename = "cards")]
    pub gpus: Option<f64>,
}

impl From<TeamLimit> for LimitReport {
    fn from(limit: TeamLimit) -> Self {
        let amount = limit.as_amount();
        Self {
            cpus: limit.micro_cpus.map(|_| amount.cpus()),
            gpus: limit.micro_gpus.map(|_| amount.gpus()),
        }
    }
}

impl std::fmt::Display for LimitReport {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let text = |limit: Option<f64>| limit.map_or("any".to_owned(), |limit| limit.to_string());
        write!(f, "{} CPUs {} cards", text(self.cpus), text(self.gpus))
    }
}
