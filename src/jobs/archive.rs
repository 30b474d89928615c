//! Archives jobs that have ended: writes their terminal state to a key of its own, and deletes their record and
//! pages. Jobs that move to another cell are relinquished in the same way. Only a job's owner does this.

use super::writer::Unconfirmed;
use super::{PageId, Relinquished, StoredJob, TaskRecord, TerminalState};
use crate::metrics::CpuAccount;
use crate::node::{Core, Node};
use crate::state::replica::Job;
use crate::state::{Operation, Precondition, RecordKey};
use rowanmill_cells::OwnershipVersion;
use rowanmill_state::WritePriority;
use std::sync::Arc;

/// Operations that move a job to its terminal key: one put and one delete. The deletions of its pages are not
/// included.
pub(super) const MOVE_OPERATIONS: usize = 2;

/// Writes are scarce while a smaller share of the write quota is unused.
const SCARCE_WRITE_HEADROOM: f64 = 0.5;

/// Writes are scarce while the smoothed number of pages that a cycle leaves for the next one is at least this.
const SCARCE_BACKLOG_PAGES: f64 = 0.5;

/// How a job is removed from the unfinished jobs of this cell.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Ending {
    /// It has reached a terminal state.
    Archived(TerminalState),
    /// It moves to another cell, and none of its tasks runs here any more.
    Relinquished(OwnershipVersion),
}

/// A job that has ended and is to be archived.
struct EndedJob {
    id: String,
    revision: u64,
    pages: Vec<PageId>,
    /// Whether `pages` holds all pages of the job.
    has_all_pages: bool,
    ending: Ending,
}

/// How the end of a job is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ArchiveMode {
    /// The job is moved to its terminal key, and its pages are deleted.
    Move,
    /// The job's record is replaced by its terminal state. The leader moves it to the terminal key later.
    MarkFinished,
}

/// One transaction that archives or relinquishes jobs.
struct ArchiveBatch {
    preconditions: Vec<Precondition>,
    operations: Vec<Operation>,
    /// Number of jobs.
    jobs: usize,
}

/// Whether writes are scarce: little of the quota is unused, or pages were deferred recently. The unused quota
/// alone does not show this, since at the start of a cycle some is available again, however many pages wait.
pub(super) fn writes_are_scarce(node: &Node, core: &Core) -> bool {
    core.pending_changes.write_backlog() >= SCARCE_BACKLOG_PAGES
        || node.state.write_headroom() < SCARCE_WRITE_HEADROOM
}

/// Archives this controller's jobs that have ended, with as many of them in a transaction as fit.
pub async fn archive_ended_jobs(node: &Arc<Node>) -> Result<(), Unconfirmed> {
    let max_operations = node.settings.max_transaction_operations();
    let mode = archive_mode(node);
    let mut ended = ended_jobs(node, max_operations - MOVE_OPERATIONS);
    while !ended.is_empty() {
        let available = node.state.available_writes(WritePriority::Background);
        let operations = available.min(max_operations);
        if operations < MOVE_OPERATIONS {
            return Ok(());
        }
        let batch = ArchiveBatch::build(&ended, mode, operations);
        let (preconditions, operations) = (&batch.preconditions, &batch.operations);
        let answer = node.state.compare_and_swap(preconditions, operations).await;
        let revision = answer.map_err(|_| Unconfirmed)?;
        let written = ended.drain(..batch.jobs);
        apply_archived(&mut node.core(), batch.operations, written, revision);
    }
    Ok(())
}

/// Moving a job takes an operation for each of its keys, so the move is postponed while writes are scarce. The
/// shorter form is used only once all controllers can read it.
fn archive_mode(node: &Node) -> ArchiveMode {
    let core = node.core();
    if core.replica.is_current_schema_active() && writes_are_scarce(node, &core) {
        ArchiveMode::MarkFinished
    } else {
        ArchiveMode::Move
    }
}

fn ended_jobs(node: &Node, max_pages: usize) -> Vec<EndedJob> {
    let _charge = node.processor_time.charge(CpuAccount::RecordWrites);
    let core = node.core();
    let ended = |(id, job): (&String, &Job)| {
        let ending = ending_of(&core, id, job)?;
        core.owns_job(&node.identity, id).then(|| EndedJob {
            id: id.clone(),
            revision: job.revision,
            pages: job.pages.keys().copied().take(max_pages).collect(),
            has_all_pages: job.pages.len() <= max_pages,
            ending,
        })
    };
    core.replica.jobs.iter().filter_map(ended).collect()
}

fn apply_archived(
    core: &mut Core,
    operations: Vec<Operation>,
    written: impl ExactSizeIterator<Item = EndedJob>,
    revision: u64,
) {
    core.metrics.ended_jobs += written.len() as u64;
    core.apply(operations, revision);
    for job in written {
        if let Ending::Archived(state) = job.ending {
            core.replica.record_final_state(&job.id, state);
        }
        core.pending_changes.discard_job(&job.id);
        core.failures.remove(&job.id);
    }
}

impl ArchiveBatch {
    /// A batch of the first of these jobs: as many as `max_operations` allow, but at least one.
    fn build(ended: &[EndedJob], mode: ArchiveMode, max_operations: usize) -> Self {
        let mut batch = Self {
            preconditions: Vec::new(),
            operations: Vec::new(),
            jobs: 0,
        };
        for job in ended {
            let needed = match mode {
                ArchiveMode::MarkFinished => 1,
                ArchiveMode::Move => MOVE_OPERATIONS + job.pages.len(),
            };
            if batch.operations.len() + needed > max_operations && batch.jobs > 0 {
                break;
            }
            batch.add(job, mode);
        }
        batch
    }

    fn add(&mut self, job: &EndedJob, mode: ArchiveMode) {
        self.jobs += 1;
        self.preconditions.push(Precondition {
            key: RecordKey::Job(&job.id).into(),
            revision: job.revision,
        });
        match job.ending {
            Ending::Archived(outcome) if mode == ArchiveMode::MarkFinished => {
                let finished = StoredJob::Finished { outcome };
                let mark = Operation::put(RecordKey::Job(&job.id), &finished);
                self.operations.push(mark);
                return;
            }
            Ending::Archived(state) => {
                self.move_record(job, Operation::put(RecordKey::FinalState(&job.id), &state));
            }
            // If the job returned to this cell while one of its old pages still existed, that page would be
            // read as a page of the returned job. The last pages are therefore deleted in the same
            // transaction as the record, with the record's revision as the precondition.
            Ending::Relinquished(version) if job.has_all_pages => {
                let relinquished = Relinquished::from(version);
                self.move_record(
                    job,
                    Operation::put(RecordKey::Relinquished(&job.id), &relinquished),
                );
            }
            Ending::Relinquished(_) => {}
        }
        let pages = job.pages.iter();
        let deletions = pages.map(|page| Operation::delete(RecordKey::page(&job.id, *page)));
        self.operations.extend(deletions);
    }

    fn move_record(&mut self, job: &EndedJob, successor: Operation) {
        self.operations.push(successor);
        self.operations
            .push(Operation::delete(RecordKey::Job(&job.id)));
    }
}

/// How a job has ended, counting pending changes as written: it is done once every task is done, and cancelled or
/// relinquished once none of its tasks can be on a machine. `None` for a job that has not ended.
fn ending_of(core: &Core, id: &str, job: &Job) -> Option<Ending> {
    if job.record.cancelled {
        if placed_tasks(core, id, job) != 0 {
            return None;
        }
        let successor = job.record.ledger.filter(|_| job.record.withdrawn);
        let cancelled = Ending::Archived(TerminalState::Cancelled);
        return Some(successor.map_or(cancelled, Ending::Relinquished));
    }
    // The tasks of a gang complete together: if one is done, all are.
    let spec = &job.record.spec;
    let needed = if spec.is_gang() { 1 } else { spec.tasks };
    let is_done = done_tasks(core, id, job) >= needed;
    is_done.then_some(Ending::Archived(TerminalState::Done))
}

/// Number of tasks that may be on a machine, counting pending changes as written.
fn placed_tasks(core: &Core, id: &str, job: &Job) -> i64 {
    let is_placed = |record: &TaskRecord| matches!(record, TaskRecord::Placed { .. });
    let mut placed = i64::from(job.placed);
    let changes = core.pending_changes.of_job(id);
    for (task, change) in changes.into_iter().flatten() {
        placed += i64::from(is_placed(change));
        placed -= i64::from(is_placed(core.replica.task_record(id, *task)));
    }
    placed
}

/// Number of tasks that are done, counting pending changes as written.
fn done_tasks(core: &Core, id: &str, job: &Job) -> u32 {
    let is_recorded = |task| *core.replica.task_record(id, task) == TaskRecord::Done;
    let changes = core.pending_changes.of_job(id);
    let changes = changes.into_iter().flatten();
    let completed = changes
        .filter(|(task, change)| **change == TaskRecord::Done && !is_recorded(**task))
        .count();
    job.done + completed as u32
}
