//! Users' requests where there are cells: the ledger says what a job's owner, its cancellation and its end
//! are, and the cell's own records only how far it is.

use super::CellScheduler;
use crate::api::users::{Known, Verdict, current_state, refuse_for, told, told_progress};
use crate::api::{Answer, Server, come_back, error, json};
use crate::jobs::{Final, JobRecord, Stage};
use crate::node::Node;
use hyper::StatusCode;
use rowanmill_cells::{
    CancelOutcome, CellCoordinator, LedgerJob, LedgerJobState, OwnershipVersion, PublishOutcome,
    Scheduler,
};
use std::sync::Arc;
use std::time::Duration;

/// A ledger that has been out of reach for so long is not waited for.
const OUT: Duration = Duration::from_millis(3000);

fn no_ledger() -> Answer {
    come_back(StatusCode::SERVICE_UNAVAILABLE, 1, "no ledger")
}

fn busy() -> Answer {
    come_back(StatusCode::TOO_MANY_REQUESTS, 1, "too much at once")
}

fn over(id: &str, last: impl Into<Final>) -> Answer {
    json(StatusCode::OK, &told(id, last.into().into()))
}

/// Whether only this cell knows the job: it was accepted before there were cells.
fn is_local(node: &Node, id: &str) -> bool {
    let core = node.core();
    let waits = core.replica.pipelines.get(id).is_some();
    let job = core.replica.jobs.get(id);
    waits || job.is_some_and(|job| job.record.ledger.is_none())
}

/// How far an owned job is, by the cell's own records.
fn progress(node: &Node, id: &str) -> Answer {
    let core = node.core();
    let job = core
        .replica
        .jobs
        .get(id)
        .filter(|job| !job.record.cancelled);
    let Some(job) = job else {
        return told_progress(id, Stage::Queued, 0, 0);
    };
    // Whether it is done, the ledger says.
    let stage = match job.placed + job.done {
        0 => Stage::Queued,
        _ => Stage::Running,
    };
    told_progress(id, stage, job.done, job.placed)
}

async fn local_answer(node: &Arc<Node>, id: &str) -> Answer {
    match current_state(node, id).await {
        Known::Live(stage, done, placed) => told_progress(id, stage, done, placed),
        Known::Over(last) => over(id, last),
        Known::Never => error(StatusCode::NOT_FOUND, "no such job"),
        Known::Unclear => no_ledger(),
    }
}

/// Answers a poll.
pub async fn poll(node: &Arc<Node>, cells: &CellCoordinator, id: &str) -> Answer {
    match cells.job_state(id).await {
        LedgerJobState::Ended(last) => over(id, last),
        LedgerJobState::Cancelled => told_progress(id, Stage::Cancelled, 0, 0),
        LedgerJobState::Cancelling { .. } if is_cancelled_here(node, id) => {
            told_progress(id, Stage::Cancelled, 0, 0)
        }
        LedgerJobState::Cancelling { .. } => being_cancelled(),
        LedgerJobState::Open {
            owned_here: true, ..
        } => progress(node, id),
        LedgerJobState::Open { .. } => told_progress(id, Stage::Queued, 0, 0),
        LedgerJobState::Unknown => only_here(node, id).await,
        LedgerJobState::Indeterminate if is_local(node, id) => local_answer(node, id).await,
        LedgerJobState::Indeterminate => no_ledger(),
    }
}

/// A job that the ledger never had. One that this cell has from it all the same shows that the ledger lost
/// what it held: nothing is said of it then.
async fn only_here(node: &Arc<Node>, id: &str) -> Answer {
    let stamped = {
        let core = node.core();
        let job = core.replica.jobs.get(id);
        job.is_some_and(|job| job.record.ledger.is_some())
    };
    match stamped {
        true => no_ledger(),
        false => local_answer(node, id).await,
    }
}

/// Another controller may have told the cancellation, or may start the job yet: neither may be contradicted.
fn being_cancelled() -> Answer {
    let reason = "the cancellation is being confirmed";
    come_back(StatusCode::SERVICE_UNAVAILABLE, 1, reason)
}

/// Whether the cell's own records hold the cancellation: every start is guarded by them.
fn is_cancelled_here(node: &Node, id: &str) -> bool {
    let core = node.core();
    let job = core.replica.jobs.get(id).map(|job| &job.record);
    job.is_some_and(|record| record.cancelled && !record.withdrawn)
}

/// Answers a cancellation. Nothing when the job is this cell's alone.
pub async fn abort(node: &Arc<Node>, cells: &Arc<CellCoordinator>, id: &str) -> Option<Answer> {
    let confirmed = || Some(json(StatusCode::OK, &told(id, Stage::Cancelled)));
    match cells.cancel(id).await {
        CancelOutcome::Confirmed => confirmed(),
        CancelOutcome::Recorded { owned_here } => {
            if owned_here {
                let _ = CellScheduler::new(node, cells).cancel(id).await;
            }
            let settled =
                (owned_here && is_cancelled_here(node, id)) || cells.await_cancellation(id).await;
            if settled {
                confirmed()
            } else {
                Some(being_cancelled())
            }
        }
        CancelOutcome::AlreadyEnded(last) => Some(over(id, last)),
        CancelOutcome::Unknown => None,
        CancelOutcome::Indeterminate if is_local(node, id) => None,
        CancelOutcome::Indeterminate => {
            // Without the ledger it cannot be confirmed: another cell may own the job by now. But its
            // tasks here are of no use to anybody from now on.
            let _ = CellScheduler::new(node, cells).cancel(id).await;
            Some(no_ledger())
        }
    }
}

/// Answers a submission whose body is right. Nothing when the job is this cell's alone.
pub async fn submit(
    server: &Server,
    cells: &Arc<CellCoordinator>,
    record: JobRecord,
    awaits: Vec<String>,
    verdict: Verdict,
) -> Option<Answer> {
    let node = &server.node;
    let id = record.spec.id.clone();
    if is_local(node, &id) {
        return None;
    }
    if !cells.ledger_responded_within(OUT) {
        return Some(no_ledger());
    }
    if verdict != Verdict::Takes || cells.is_cached(&id) {
        match known_answer(node, cells, &id).await {
            Some(answer) => return Some(answer),
            None if verdict != Verdict::Takes => return Some(refuse_for(&verdict)),
            None => {}
        }
    }
    if let Err(answer) = check_awaits(cells, &awaits).await {
        return Some(answer);
    }
    // One that ended here before there were cells.
    match current_state(node, &id).await {
        Known::Never => {}
        Known::Live(stage, ..) if is_local(node, &id) => {
            return Some(json(StatusCode::OK, &told(&id, stage)));
        }
        Known::Over(last) if !cells.is_cached(&id) => return Some(over(&id, last)),
        Known::Unclear => return Some(no_ledger()),
        Known::Live(..) | Known::Over(_) => {}
    }
    let description = serde_json::to_value(&record.spec).expect("a job is plain data");
    let job = LedgerJob::accepted_by(cells.cell_name(), record.accepted_ms, awaits, description);
    let bytes = serde_json::to_vec(&job).map_or(usize::MAX, |text| text.len());
    if bytes + MORE_BYTES > cells.config().value_bytes() {
        return Some(refuse_for(&Verdict::TooLarge));
    }
    Some(match cells.publish(&id, &job).await {
        PublishOutcome::Accepted(stamp) => {
            take_in(node, cells, record, &job, stamp);
            json(StatusCode::CREATED, &told(&id, Stage::Queued))
        }
        PublishOutcome::AlreadyKnown => known_answer(node, cells, &id)
            .await
            .unwrap_or_else(no_ledger),
        PublishOutcome::RateLimited => busy(),
        PublishOutcome::Unavailable => no_ledger(),
    })
}

/// What comes to the ledger's record later: other cells' names, a higher epoch, that it was cancelled.
const MORE_BYTES: usize = 256;

/// A job that the ledger knows already; none if it never had it.
pub async fn known_answer(node: &Arc<Node>, cells: &CellCoordinator, id: &str) -> Option<Answer> {
    match cells.job_state(id).await {
        LedgerJobState::Unknown => None,
        LedgerJobState::Ended(last) => Some(over(id, last)),
        LedgerJobState::Cancelled => Some(json(StatusCode::OK, &told(id, Stage::Cancelled))),
        LedgerJobState::Cancelling { .. } => Some(being_cancelled()),
        LedgerJobState::Open {
            owned_here: true, ..
        } => Some(progress(node, id)),
        LedgerJobState::Open { .. } => Some(json(StatusCode::OK, &told(id, Stage::Queued))),
        LedgerJobState::Indeterminate => Some(no_ledger()),
    }
}

/// Whether the ledger knows all jobs that a new one waits for. Of one from before there were cells it
/// would never learn the end.
async fn check_awaits(cells: &CellCoordinator, awaits: &[String]) -> Result<(), Answer> {
    for id in awaits {
        match cells.job_state(id).await {
            LedgerJobState::Open { .. }
            | LedgerJobState::Cancelling { .. }
            | LedgerJobState::Cancelled
            | LedgerJobState::Ended(_) => {}
            LedgerJobState::Indeterminate => return Err(no_ledger()),
            LedgerJobState::Unknown => {
                let reason = "`awaits` names a job that the cells never accepted";
                return Err(error(StatusCode::UNPROCESSABLE_ENTITY, reason));
            }
        }
    }
    Ok(())
}

/// Puts an accepted job into the cell's records, while its user has the answer already. If that fails the
/// leader does it: the ledger says that the job is the cell's.
fn take_in(
    node: &Arc<Node>,
    cells: &Arc<CellCoordinator>,
    mut record: JobRecord,
    job: &LedgerJob,
    ownership: OwnershipVersion,
) {
    // One that waits for others is put there once they are done.
    if !job.depends_on.is_empty() {
        return;
    }
    record.ledger = Some(ownership);
    let scheduler = CellScheduler::new(node, cells);
    tokio::spawn(async move {
        let id = record.spec.id.clone();
        let never_given_up = 0;
        let _ = scheduler.write_adopted(&id, record, never_given_up).await;
    });
}
