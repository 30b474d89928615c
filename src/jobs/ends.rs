//! The ends of jobs: moved to their final keys with their pages, or given up to another cell.

use super::{PageId, Relinquished, StoredJob, TaskRecord, TerminalState};
use crate::metrics::CpuAccount;
use crate::node::{Core, Node};
use crate::state::replica::Job;
use crate::state::{Operation, Precondition, Replica, final_key, given_up_key, job_key, page_key};
use rowanmill_cells::OwnershipVersion;
use rowanmill_state::WritePriority;
use std::sync::Arc;

/// A job that is over, as it is to be recorded.
struct Ended {
    id: String,
    revision: u64,
    pages: Vec<PageId>,
    /// These are all its pages.
    is_whole: bool,
    last: Last,
}

/// What remains of a job that is over.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Last {
    Final(TerminalState),
    /// Nothing of it runs here any more, and it is to be another cell's.
    GivenUp(OwnershipVersion),
}

/// Moves jobs that are over to their final key, with their pages; as many in a transaction as
/// fit.
pub async fn end_jobs(node: &Arc<Node>) -> bool {
    let most = node.settings.max_transaction_operations();
    // Moving a job to its final key takes a change for each of its keys. Where these are short, its
    // end alone is recorded, and the moving waits for a quieter time.
    let short = is_short(node) && node.core().replica.is_current_schema_active();
    let mut over: Vec<Ended> = {
        let _charge = node.processor_time.charge(CpuAccount::RecordWrites);
        let core = node.core();
        let jobs = core.replica.jobs.iter();
        jobs.filter_map(|(id, job)| {
            let last = over(&core, id, job)?;
            core.owns_job(&node.identity, id).then(|| Ended {
                id: id.clone(),
                revision: job.revision,
                pages: job.pages.keys().copied().take(most - 2).collect(),
                is_whole: job.pages.len() <= most - 2,
                last,
            })
        })
        .collect()
    };
    while !over.is_empty() {
        let room = node
            .state
            .available_writes(WritePriority::Background)
            .min(most);
        let (guards, ops, count) = ending(&over, short, room);
        if room < 2 {
            return true;
        }
        let batch: Vec<Ended> = over.drain(..count).collect();
        let Ok(revision) = node.state.compare_and_swap(&guards, &ops).await else {
            return false;
        };
        let mut core = node.core();
        core.metrics.ended_jobs += batch.len() as u64;
        core.apply(ops, revision);
        for ended in batch {
            if let Last::Final(last) = ended.last {
                core.replica.record_final_state(&ended.id, last);
            }
            core.pending_changes.discard_job(&ended.id);
            core.failures.remove(&ended.id);
        }
    }
    true
}

/// The guards and changes that end as many of the jobs as so many changes allow, and how many these are.
fn ending(over: &[Ended], short: bool, room: usize) -> (Vec<Precondition>, Vec<Operation>, usize) {
    let (mut ops, mut guards, mut count) = (Vec::new(), Vec::new(), 0);
    for ended in over {
        let takes = if short { 1 } else { 2 + ended.pages.len() };
        if ops.len() + takes > room.max(2) && count > 0 {
            break;
        }
        guards.push(Precondition {
            key: job_key(&ended.id),
            revision: ended.revision,
        });
        count += 1;
        match ended.last {
            Last::Final(outcome) if short => {
                ops.push(Operation::put(
                    job_key(&ended.id),
                    &StoredJob::Finished { outcome },
                ));
                continue;
            }
            Last::Final(last) => {
                ops.push(Operation::put(final_key(&ended.id), &last));
                ops.push(Operation::delete(job_key(&ended.id)));
            }
            // A page that is left would be taken for one of the job's next stay here, and one that
            // is dropped late would be: so the last of them goes with the record, under its guard.
            Last::GivenUp(stamp) if ended.is_whole => {
                ops.push(Operation::put(
                    given_up_key(&ended.id),
                    &Relinquished::under(stamp),
                ));
                ops.push(Operation::delete(job_key(&ended.id)));
            }
            Last::GivenUp(_) => {}
        }
        let pages = ended.pages.iter();
        ops.extend(pages.map(|n| Operation::delete(page_key(&ended.id, *n))));
    }
    (guards, ops, count)
}

/// Done once every task is; a cancelled one is over once none of its tasks can be on a machine.
fn over(core: &Core, id: &str, job: &Job) -> Option<Last> {
    let tasks = job.record.spec.tasks;
    let planned = core.pending_changes.of_job(id);
    if job.record.cancelled {
        let is_placed = |e: &TaskRecord| matches!(e, TaskRecord::Placed { .. });
        let mut placed = i64::from(job.placed);
        for (task, entry) in planned.into_iter().flatten() {
            placed += i64::from(is_placed(entry));
            placed -= i64::from(is_placed(core.replica.task_record(id, *task)));
        }
        let given_up = job.record.ledger.filter(|_| job.record.withdrawn);
        let last = given_up.map_or(Last::Final(TerminalState::Cancelled), Last::GivenUp);
        return (placed == 0).then_some(last);
    }
    let mut done = job.done;
    for (task, entry) in planned.into_iter().flatten() {
        if *entry == TaskRecord::Done && *core.replica.task_record(id, *task) != TaskRecord::Done {
            done += 1;
        }
    }
    // A gang's tasks complete together: one that is done says that all are.
    let needed = if job.record.spec.is_gang() { 1 } else { tasks };
    (done >= needed).then_some(Last::Final(TerminalState::Done))
}

/// From this part of what may be written at once on, changes are not short.
const AT_EASE: f64 = 0.5;
/// Whether changes are short: little may be written now, or of late pages were left for later turns.
/// At the beginning of a turn a node may write again, however much waits for it.
pub fn is_short(node: &Node) -> bool {
    node.state.write_headroom() < AT_EASE
        || node.core().pending_changes.write_backlog() >= LEFT_OVER
}

/// Pages left for the next turn, on the mean, that tell of a shortage.
const LEFT_OVER: f64 = 0.5;
/// So many records of jobs that ended are kept where changes are short; beyond that they go in any
/// case, or else each reading of all records would grow with them.
const MOST_LEFT: usize = 4000;

/// Moves jobs that ended to their final keys and drops the pages that they left, when there are
/// changes to spare.
pub async fn tidy(node: &Arc<Node>) {
    let spare = (node.state.available_writes(WritePriority::Background) / 2)
        .min(node.settings.max_transaction_operations());
    let (guards, ops) = {
        let core = node.core();
        let replica = &core.replica;
        let few = replica.ended_pending_archive.len() + replica.orphaned_pages.len() < MOST_LEFT;
        if few
            && (core.pending_changes.write_backlog() >= LEFT_OVER
                || node.state.write_headroom() < AT_EASE)
        {
            return;
        }
        tidying(replica, spare)
    };
    if ops.is_empty() {
        return;
    }
    if let Ok(revision) = node.state.compare_and_swap(&guards, &ops).await {
        node.core().apply(ops, revision);
    }
}

/// What to tidy up in so many changes.
pub fn tidying(replica: &Replica, most: usize) -> (Vec<Precondition>, Vec<Operation>) {
    let (mut guards, mut ops) = (Vec::new(), Vec::new());
    for (id, revision) in &replica.ended_pending_archive {
        let Some(last) = replica.final_state(id).filter(|_| ops.len() + 2 <= most) else {
            continue;
        };
        guards.push(Precondition {
            key: job_key(id),
            revision: *revision,
        });
        ops.push(Operation::put(final_key(id), &last));
        ops.push(Operation::delete(job_key(id)));
    }
    let known_over = |id: &str| replica.final_state(id).is_some();
    let left = replica
        .orphaned_pages
        .keys()
        .filter(|(id, _)| known_over(id));
    let left = left.take(most - ops.len().min(most));
    ops.extend(left.map(|(id, page)| Operation::delete(page_key(id, *page))));
    (guards, ops)
}
