//! The agents on the machines that this node owns: what their heartbeats show and which commands they get.
//! Records are changed by way of [`crate::jobs::pending_changes`] alone.

pub mod agent;
mod exits;
mod ingest;
pub mod reconcile;
pub mod service;
pub mod wire;

pub use agent::{AgentStatus, TaskAttempt};
pub use reconcile::PendingStops;
pub use wire::{Heartbeat, TaskState};

use std::collections::HashMap;
use std::time::Instant;
use tokio::sync::oneshot;

/// Since when, and under which fencing token, this node owns a machine.
#[derive(Debug, Clone, Copy)]
pub struct Ownership {
    pub since: Instant,
    pub fencing_token: u64,
}

/// What this node knows of its machines and their tasks beyond the records.
#[derive(Debug, Default)]
pub struct Workers {
    /// The agents that have sent a heartbeat under the present ownership, by machine.
    pub agents: HashMap<String, AgentStatus>,
    /// The machines that this node owns.
    pub owned: HashMap<String, Ownership>,
    pub pending_stops: PendingStops,
    /// Idle machines whose heartbeat's response is held back; sending releases it.
    pub held_responses: HashMap<String, oneshot::Sender<()>>,
}

impl Workers {
    /// Sends the response that is held back until there is work for this machine, if there is one.
    pub fn release_held_response(&mut self, machine: &str) {
        if let Some(release) = self.held_responses.remove(machine) {
            // Without a receiver the wait has run out, and the response is on its way.
            let _ = release.send(());
        }
    }
}

#[cfg(test)]
mod tests;
