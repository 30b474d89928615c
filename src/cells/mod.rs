//! This controller's part in the cells that share work: the scheduler as `rowanmill-cells` reaches it, and
//! what the ledger changes about users' requests and workers' heartbeats.
//!
//! Without an operators' file of the cells there are none, and nothing here has an effect.

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

/// The settings of this cell that the operators' file is checked against.
pub fn worker_timing(settings: &Settings) -> WorkerTiming {
    WorkerTiming {
        lease: settings.worker_lease(),
        disconnected_lease_limit: settings.disconnected_lease_limit(),
        state_service: settings.endpoints.state,
    }
}

/// The endless tasks of this controller's part in the cells, with names for the log; none without cells.
pub fn background_tasks(
    node: &Arc<Node>,
) -> impl Iterator<Item = (&'static str, BackgroundTask)> + use<> {
    let tasks = node.cells.as_ref().map(|cells| {
        let scheduler = Arc::new(CellScheduler::new(node, cells));
        cells.background_tasks(&scheduler)
    });
    tasks.into_iter().flatten()
}
