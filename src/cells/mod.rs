//! Connects a controller to the cells that share work: implements the scheduler interface of
//! `rowanmill-cells`, and answers users' requests and workers' heartbeats as the ledger's records require.
//!
//! Without a cells file the controller belongs to no cell, and this module has no effect.

mod attestation;
mod heartbeats;
mod local_state;
pub mod protection;
pub mod requests;
mod scheduler;
mod withdrawal;

pub use attestation::{ATTESTATION_QUERY, answer_query};
pub use heartbeats::{halted_jobs_on, permits_renewal, permits_starts};
pub use scheduler::CellScheduler;

use crate::jobs::TerminalState;
use crate::node::Node;
use crate::settings::Settings;
use rowanmill_cells::service::BackgroundTask;
use rowanmill_cells::{FinalState, WorkerTiming};
use std::sync::Arc;

impl From<FinalState> for TerminalState {
    fn from(state: FinalState) -> Self {
        match state {
            FinalState::Done => TerminalState::Done,
            FinalState::Cancelled => TerminalState::Cancelled,
        }
    }
}

/// The settings of this cell that the cells file is checked against.
pub fn worker_timing(settings: &Settings) -> WorkerTiming {
    WorkerTiming {
        lease: settings.worker_lease(),
        disconnected_lease_limit: settings.disconnected_lease_limit(),
        state_service: settings.endpoints.state,
    }
}

/// The background tasks of this controller's cell, with their names for the log. They run endlessly. Empty
/// if the controller belongs to no cell.
pub fn background_tasks(
    node: &Arc<Node>,
) -> impl Iterator<Item = (&'static str, BackgroundTask)> + use<> {
    let tasks = node.cells.as_ref().map(|cells| {
        let scheduler = Arc::new(CellScheduler::new(node, cells));
        cells.background_tasks(&scheduler)
    });
    tasks.into_iter().flatten()
}
