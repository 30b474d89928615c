//! Manages the worker agents on the machines that this controller owns: processes their heartbeats and decides which
//! commands they receive. Changes to task records are queued in [`crate::jobs::pending_changes`] and never written from
//! here.

pub mod agent;
mod exits;
mod ingest;
pub mod reconcile;
pub mod service;
pub mod wire;

pub use agent::{AgentStatus, TaskAttempt};
#[cfg(test)]
pub use ingest::ingest_heartbeat;
pub use reconcile::PendingStops;
pub use wire::{Heartbeat, TaskState};

use std::collections::HashMap;
use std::time::Instant;
use tokio::sync::oneshot;

/// This controller's ownership of a machine: when it began, and its fencing token.
#[derive(Debug, Clone, Copy)]
pub struct Ownership {
    pub since: Instant,
    pub fencing_token: u64,
}

/// What this controller keeps in memory about its machines and their tasks, in addition to the records.
#[derive(Debug, Default)]
pub struct Workers {
    /// The agents that have sent a heartbeat since this controller became the owner, by machine name.
    pub agents: HashMap<String, AgentStatus>,
    /// The machines that this controller owns, by name.
    pub owned: HashMap<String, Ownership>,
    pub pending_stops: PendingStops,
    /// Idle machines whose heartbeat response is held, by name. Sending on the channel releases the response.
    pub held_responses: HashMap<String, oneshot::Sender<()>>,
}

impl Workers {
    /// Releases this machine's heartbeat response, if one is held.
    pub fn release_held_response(&mut self, machine: &str) {
        if let Some(release) = self.held_responses.remove(machine) {
            // If the receiver is gone, the hold timed out and the response is already being sent.
            let _ = release.send(());
        }
    }
}

#[cfg(test)]
mod tests;
