//! Determines the combined state of a new job's dependencies by reading the records. Writes no records.

use super::responses::state_unavailable;
use crate::http::{HttpResponse, error_response};
use crate::jobs::TerminalState;
use crate::node::{Core, Node};
use crate::pipelines::DependencyState;
use crate::pipelines::service::read_final_states;
use crate::state::RecordKey;
use hyper::StatusCode;
use std::sync::Arc;

/// Why the state of a dependency cannot be determined.
#[derive(Debug, thiserror::Error)]
pub enum DependencyError {
    #[error("`awaits` names a job that was never accepted")]
    NeverAccepted,
    #[error("no state service")]
    StateUnavailable,
}

impl DependencyError {
    /// The response to the submission.
    pub fn refusal(&self) -> HttpResponse {
        match self {
            DependencyError::NeverAccepted => {
                error_response(StatusCode::UNPROCESSABLE_ENTITY, &self.to_string())
            }
            DependencyError::StateUnavailable => state_unavailable(),
        }
    }
}

/// The combined state of a new job's dependencies. The job's record stays valid whatever happens to the dependencies
/// after this read: done and cancelled are final states, and the state of an unfinished dependency is not stored but
/// derived from the records whenever it is needed.
pub async fn resolve_dependencies(
    node: &Arc<Node>,
    depends_on: &[String],
) -> Result<DependencyState, DependencyError> {
    if depends_on.is_empty() {
        return Ok(DependencyState::Completed);
    }
    if !node.read_barrier().await {
        return Err(DependencyError::StateUnavailable);
    }
    let mut combined = DependencyState::Completed;
    for id in depends_on {
        check_accepted(node, id).await?;
        let unknown = node.core().replica.unknown_ancestors(id);
        if !unknown.is_empty() && !read_final_states(node, unknown).await {
            return Err(DependencyError::StateUnavailable);
        }
        combined = combined.max(state_of(&node.core(), id));
    }
    Ok(combined)
}

/// Checks that a job was accepted. If the replica doesn't know the job, its final state is read from the state service.
async fn check_accepted(node: &Node, id: &str) -> Result<(), DependencyError> {
    let is_known = {
        let core = node.core();
        if core.replica.is_unreadable(id) {
            return Err(DependencyError::StateUnavailable);
        }
        core.replica.is_known(id)
    };
    if is_known {
        return Ok(());
    }
    // From its acceptance on, a job has either a job record, which the replica would hold, or a final state, which is
    // read here.
    let value = node.state.get(&RecordKey::FinalState(id).to_string()).await;
    let value = value.map_err(|_| DependencyError::StateUnavailable)?;
    let value = value.ok_or(DependencyError::NeverAccepted)?;
    let final_state = serde_json::from_value::<TerminalState>(value)
        .map_err(|_| DependencyError::StateUnavailable)?;
    node.core().replica.record_final_state(id, final_state);
    Ok(())
}

fn state_of(core: &Core, id: &str) -> DependencyState {
    let replica = &core.replica;
    let job = replica.jobs.get(id);
    let is_cancelled =
        replica.pipelines.is_cancelled(id) || job.is_some_and(|job| job.record.cancelled);
    match replica.final_state(id) {
        Some(TerminalState::Cancelled) => DependencyState::Cancelled,
        _ if is_cancelled => DependencyState::Cancelled,
        Some(TerminalState::Done) => DependencyState::Completed,
        None => DependencyState::Unfinished,
    }
}
