//! Cancels jobs in a controller that belongs to a cell.

use super::ledger_unavailable;
use super::{cancellation_unconfirmed, ended, in_stage, is_cancelled_locally, is_local};
use crate::cells::CellScheduler;
use crate::http::HttpResponse;
use crate::jobs::Stage;
use crate::node::Node;
use rowanmill_cells::{CancelOutcome, CellCoordinator, Scheduler};
use std::sync::Arc;

/// Answers a cancellation; `None` if the job is not in the ledger and only the cell's own records can tell
/// about it.
pub async fn cancel(
    node: &Arc<Node>,
    cells: &Arc<CellCoordinator>,
    id: &str,
) -> Option<HttpResponse> {
    match cells.cancel(id).await {
        CancelOutcome::Confirmed => Some(in_stage(id, Stage::Cancelled)),
        CancelOutcome::Recorded { owned_here } => {
            Some(confirm_recorded(node, cells, id, owned_here).await)
        }
        CancelOutcome::AlreadyEnded(final_state) => Some(ended(id, final_state)),
        CancelOutcome::Unknown => None,
        CancelOutcome::Indeterminate if is_local(node, id) => None,
        CancelOutcome::Indeterminate => {
            // Without the ledger the cancellation cannot be confirmed, because another cell may own the job
            // by now. The user does not need the results, so tasks in this cell are stopped if the
            // cancellation can be recorded here.
            let _ = CellScheduler::new(node, cells).cancel(id).await;
            Some(ledger_unavailable())
        }
    }
}

/// Answers a cancellation that is recorded in the ledger. Waits for a limited time until it is effective.
async fn confirm_recorded(
    node: &Arc<Node>,
    cells: &Arc<CellCoordinator>,
    id: &str,
    owned_here: bool,
) -> HttpResponse {
    if owned_here {
        // If this fails, the cell's leader records it later, because the ledger shows the cancellation.
        let _ = CellScheduler::new(node, cells).cancel(id).await;
    }
    let is_confirmed =
        (owned_here && is_cancelled_locally(node, id)) || cells.await_cancellation(id).await;
    if is_confirmed {
        in_stage(id, Stage::Cancelled)
    } else {
        cancellation_unconfirmed()
    }
}
