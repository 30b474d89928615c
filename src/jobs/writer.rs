//! Records progress: one put per changed page, many to a transaction, starts guarded by the keys
//! of their job, page and machines' rentals. Nothing is started before its record stands.

mod withdrawal;

use super::ends::{end_jobs, tidy};
use super::pages::entry_bytes;
use super::pending_changes::JobChanges;
use super::{PageId, ProgressPage, TaskRecord};
use crate::fleet::MachineState;
use crate::limits::{self, QuotaCharge};
use crate::membership::assignment::Member;
use crate::metrics::CpuAccount;
use crate::node::{Core, Node};
use crate::pipelines;
use crate::state::replica::Job;
use crate::state::{
    ASSIGNMENT_KEY, FORMS_KEY, MAX_TRANSACTION_BYTES, Operation, Precondition, TransactionError,
    job_key, page_key,
};
use rowanmill_state::WritePriority;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};
use withdrawal::{applies, settle, withdraw, withdraw_broken_gangs, withdraw_unstartable};

/// How long exits may wait to be recorded together, while writes are at ease and when they are
/// scarce. Nobody waits for one of our own jobs: their machine's room is used again meanwhile, the
/// end of a whole job is recorded at once, and a next owner is told of them again by the workers,
/// which forget nothing before it is recorded. The owner of another job must learn of its exits.
const EXITS_WAIT: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(25));
const OTHERS_WAIT: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(2));
/// Completions of another's job that is far from its end tell its owner nothing that it acts on.
/// Machines change hands with what runs on them, and of a thousand machines half of what a
/// controller could write were such records.
const FAR_FROM_END_WAIT: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_secs(10));
/// After so many times as long, exits go before starts.
const OVERDUE: u32 = 2;
/// Up to this part done, a job is far from its end.
const FAR_FROM_END: f64 = 0.8;
/// Guards of each start: its job, page and assignment.
const FIXED_GUARDS: usize = 3;
/// How long a page is left alone that the state service refused as malformed.
const REFUSED_FOR: Duration = Duration::from_secs(30);

/// One page as it is to be recorded.
struct Dirty {
    job: String,
    number: PageId,
    op: Operation,
    page: ProgressPage,
    guards: Vec<Precondition>,
    starts: bool,
    /// Exits on it have waited twice as long as they should.
    overdue: bool,
    /// Where it starts tasks.
    machines: BTreeSet<String>,
    /// What the starts are charged to, if their team's limit is divided.
    charge: Option<QuotaCharge>,
    gang: bool,
    /// No start was put off that does not fit a value or a transaction's guards.
    whole: bool,
}

impl Dirty {
    fn bytes(&self) -> usize {
        self.op.bytes() + self.guards.len() * 70
    }
}

/// How many pages at the front are written together or not at all: of a gang that starts, all. With
/// one of them refused, the tasks on the others would gather in vain.
fn unit_len(dirty: &[Dirty]) -> usize {
    let Some(first) = dirty.first().filter(|d| d.gang && d.starts) else {
        return dirty.len().min(1);
    };
    let same = |d: &&Dirty| d.job == first.job && d.starts;
    dirty.iter().take_while(same).count()
}

pub async fn write(node: &Arc<Node>, leads: bool) {
    let ended = node.core().metrics.ended_jobs;
    let fine = end_jobs(node).await
        && {
            let ended_here = node.core().metrics.ended_jobs != ended;
            pipelines::service::turn(node, ended_here).await
        }
        && write_pages(node).await;
    if !fine {
        // Something failed or went unanswered: what stands is read, never assumed.
        node.read_barrier().await;
    }
    settle(&mut node.core());
    if leads {
        tidy(node).await;
    }
}

async fn write_pages(node: &Arc<Node>) -> bool {
    let ops = node.settings.max_transaction_operations();
    let mut dirty = dirty_pages(&mut node.core(), node, Instant::now());
    let mut singly = false;
    let mut fine = true;
    while !dirty.is_empty() {
        let room = node
            .state
            .available_writes(WritePriority::Background)
            .min(ops);
        if room == 0 {
            let mut core = node.core();
            core.metrics.deferred_pages += dirty.len() as u64;
            core.pending_changes.record_deferred_pages(dirty.len());
            return fine;
        }
        let (mut guards, mut count, mut bytes) = (BTreeMap::new(), 0, 0);
        while count < dirty.len() {
            let unit = &dirty[count..count + unit_len(&dirty[count..])];
            let new: BTreeMap<_, _> = unit
                .iter()
                .flat_map(|page| &page.guards)
                .filter(|g| !guards.contains_key(&g.key))
                .map(|g| (g.key.clone(), g.revision))
                .collect();
            let more: usize = unit.iter().map(Dirty::bytes).sum();
            let full = count + unit.len() > room
                || guards.len() + new.len() > ops * 4
                || bytes + more > MAX_TRANSACTION_BYTES
                || singly;
            if full && count > 0 {
                break;
            }
            guards.extend(new);
            bytes += more;
            count += unit.len();
        }
        let batch: Vec<Dirty> = dirty.drain(..count).collect();
        let guards: Vec<Precondition> = guards
            .into_iter()
            .map(|(key, revision)| Precondition { key, revision })
            .collect();
        let puts: Vec<Operation> = batch.iter().map(|d| d.op.clone()).collect();
        let outcome = node.state.compare_and_swap(&guards, &puts).await;
        let mut core = node.core();
        match outcome {
            Ok(revision) => {
                for d in batch {
                    let others = !core.owns_job(&node.identity, &d.job);
                    core.metrics.foreign_pages += u64::from(others);
                    match d.starts {
                        true => core.metrics.start_pages += 1,
                        false => core.metrics.exit_pages += 1,
                    }
                    if revision > core.replica.revision {
                        core.replica.apply_page(&d.job, d.number, d.page, revision);
                    }
                    for machine in &d.machines {
                        core.workers.release_held_response(machine);
                    }
                    core.pending_changes.restart_wait(&d.job);
                    core.pending_changes.clear_start_rank(&d.job);
                }
            }
            Err(TransactionError::Conflict(failed)) => {
                core.metrics.write_conflicts += 1;
                tracing::debug!(?failed, "a record lost a race");
                withdraw(&mut core, &batch, Some(&failed));
                fine = false;
            }
            // One record that can never be written must not block those behind it: each is tried
            // by itself, and that one is left alone for a while.
            Err(TransactionError::Malformed) if batch.len() > 1 => {
                singly = true;
                dirty.splice(0..0, batch);
            }
            Err(TransactionError::Malformed) => {
                withdraw(&mut core, &batch, None);
                let until = Instant::now() + REFUSED_FOR;
                core.pending_changes.hold_back_until(&batch[0].job, until);
            }
            Err(error) => {
                tracing::debug!(%error, "a record was not written");
                if matches!(error, TransactionError::Unknown) {
                    let charges = batch.iter().filter_map(|d| d.charge.as_ref());
                    charges.for_each(|charge| core.limits.record_in_doubt(charge));
                }
                // Not executed, or unknown: starts are planned anew from what then stands. One
                // that is still under way carries the page's old revision, and loses to the next.
                withdraw(&mut core, &batch, None);
                return false;
            }
        }
    }
    node.core().pending_changes.record_deferred_pages(0);
    fine
}

fn dirty_pages(core: &mut Core, node: &Node, now: Instant) -> Vec<Dirty> {
    let _charge = node.processor_time.charge(CpuAccount::RecordWrites);
    // The log may have told of new owners since the turn began: what was seen under an ownership
    // that is over must be forgotten before it is written under the next one's revision.
    core.update_ownership(&node.identity, now);
    withdraw_unstartable(core, &node.identity);
    limits::withdraw_uncovered_starts(core);
    withdraw_broken_gangs(core);
    let most_guards = node.settings.max_transaction_operations() * 4;
    let at_ease = node.state.write_headroom() >= 0.98;
    make_up(core, &node.identity, most_guards, at_ease, now)
}

fn make_up(
    core: &Core,
    me: &Member,
    most_guards: usize,
    at_ease: bool,
    now: Instant,
) -> Vec<Dirty> {
    let mut dirty = Vec::new();
    for (id, changes) in core.pending_changes.iter() {
        let Some(job) = core.replica.jobs.get(id) else {
            continue;
        };
        if !core.pending_changes.is_writable(id, now) {
            continue;
        }
        let (least, most) = match core.replica.owner_of(&job.record) == Some(me) {
            true => EXITS_WAIT,
            false if is_far_from_end(job, changes) => FAR_FROM_END_WAIT,
            false => OTHERS_WAIT,
        };
        let wait = if at_ease { least } else { most };
        let waited = core.pending_changes.time_waited(id, now);
        let writes_exits = waited >= wait;
        let mut pages: BTreeMap<PageId, Vec<(u32, &TaskRecord)>> = BTreeMap::new();
        for (task, entry) in changes {
            let page = pages.entry(core.replica.page_to_write(*task)).or_default();
            page.push((*task, entry));
        }
        let before = dirty.len();
        let mut whole = true;
        for (number, changes) in pages {
            let Some(mut page) = make_up_page(core, me, most_guards, id, job, number, &changes)
            else {
                continue;
            };
            page.overdue = !page.starts && waited >= most * OVERDUE;
            whole &= page.whole;
            if page.starts || writes_exits {
                dirty.push(page);
            }
        }
        // Of a gang all starts are written or none.
        if !whole && job.record.spec.is_gang() {
            dirty.truncate(before);
        }
    }
    // Starts first: a task waits for each of them, and nobody waits for an exit's record. But where
    // starts took all that may be written, exits of others' jobs were never recorded, and what their
    // owners had to place again, or to release after them, waited for minutes.
    // Among starts, in the order in which they were planned.
    let rank = |d: &Dirty| match d.starts {
        true => core.pending_changes.start_rank(&d.job),
        false => 0,
    };
    dirty.sort_by_key(|d| (!d.overdue, !d.starts, rank(d)));
    dirty
}

/// Whether all that is to be recorded of a job are completions, and more than a few are to come.
fn is_far_from_end(job: &Job, changes: &JobChanges) -> bool {
    let done = f64::from(job.done) + changes.len() as f64;
    let all_done = changes.values().all(|e| *e == TaskRecord::Done);
    all_done && !job.record.spec.is_gang() && done < f64::from(job.record.spec.tasks) * FAR_FROM_END
}

fn make_up_page(
    core: &Core,
    me: &Member,
    most_guards: usize,
    id: &str,
    job: &Job,
    number: PageId,
    changes: &[(u32, &TaskRecord)],
) -> Option<Dirty> {
    let layout = &core.replica.layout;
    let old = job.pages.get(&number);
    let mut page = match (old, number) {
        (Some(old), _) => old.record.clone(),
        (None, PageId::Plain(_)) => ProgressPage::default(),
        (None, PageId::Compact(_)) => brought_over(core, job, number),
    };
    let mut bytes = page.bytes(number);
    let mut whole = true;
    let under: Vec<Precondition> = under(core, id, job, number);
    let is_divided = core
        .limits
        .divided_team(core, &job.record.spec.team)
        .is_some();
    let fixed_guards = FIXED_GUARDS + usize::from(is_divided) + under.len();
    let mut rentals: BTreeSet<Precondition> = BTreeSet::new();
    let mut changed = false;
    let mut started = 0;
    let mut machines = BTreeSet::new();
    for (task, entry) in changes {
        let slot = layout.slot(number, *task);
        let before = page.get(slot);
        // Another controller may have recorded the same exit, and the task's next start, since
        // this was planned.
        if !applies(before, entry) {
            continue;
        }
        let mut needed = Vec::new();
        if let TaskRecord::Placed { machine, .. } = entry {
            let ours = core.replica.fleet.machines.get(machine);
            if ours.is_none_or(|m| m.owner != *me || m.state != MachineState::Active) {
                continue; // it left our hands since this was planned
            }
            needed.extend(core.machine_precondition(machine));
        }
        // What was seen of a task holds as long as its machine is ours: a next owner may have
        // started what we saw absent. A machine in no record is gone for good.
        if let TaskRecord::Placed { machine, .. } = &before {
            let theirs = core.replica.fleet.machines.get(machine);
            if theirs.is_some_and(|m| m.owner != *me) {
                continue; // an absence that we saw is void once another may send `run`
            }
            needed.extend(core.machine_precondition(machine));
        }
        let more = needed.iter().filter(|g| !rentals.contains(g)).count();
        if rentals.len() + more + fixed_guards > most_guards {
            whole = false;
            continue; // more than a transaction can guard: the rest goes with the next
        }
        if let TaskRecord::Placed { machine, .. } = entry {
            bytes += entry_bytes(number, machine);
            if bytes > layout.value_bytes {
                whole = false;
                continue; // more than a value takes: the rest goes when some of these are done
            }
        }
        rentals.extend(needed);
        if let TaskRecord::Placed { machine, .. } = entry {
            machines.insert(machine.clone());
            started += 1;
        }
        page.set(slot, (*entry).clone());
        changed = true;
    }
    if !changed {
        return None;
    }
    let starts = !machines.is_empty();
    let charge = core.limits.charge_for(core, id, started).filter(|_| starts);
    let mut guards = vec![
        Precondition {
            key: job_key(id),
            revision: job.revision,
        },
        Precondition {
            key: page_key(id, number),
            revision: job.page_revision(number),
        },
    ];
    if starts {
        // The job may have gone to another controller, which places it from then on.
        let revision = core.replica.assignment.as_ref().map_or(0, |s| s.revision);
        guards.push(Precondition {
            key: ASSIGNMENT_KEY.into(),
            revision,
        });
    }
    guards.extend(charge.iter().map(QuotaCharge::precondition));
    guards.extend(under);
    guards.extend(rentals);
    let key = page_key(id, number);
    let op = match number {
        PageId::Plain(_) => Operation::put(key, &page),
        PageId::Compact(_) => Operation::put(key, &page.to_compact()),
    };
    Some(Dirty {
        job: id.to_owned(),
        number,
        op,
        page,
        overdue: false,
        guards,
        starts,
        machines,
        charge,
        gang: job.record.spec.is_gang(),
        whole,
    })
}

/// A dense page begins with what the wide ones say of its tasks.
fn brought_over(core: &Core, job: &Job, page: PageId) -> ProgressPage {
    let (first, count) = core.replica.layout.span(page);
    let tasks = first..first.saturating_add(count as u32);
    let tasks = tasks.take_while(|task| *task < job.record.spec.tasks);
    let mut entries: Vec<TaskRecord> = tasks
        .map(|task| job.task_record(&core.replica.layout, task).clone())
        .collect();
    while entries.last() == Some(&TaskRecord::default()) {
        entries.pop();
    }
    ProgressPage(entries)
}

/// What a page follows from beside its own revision. One that is brought over: the wide pages that it
/// overrules, which a process that ended may yet change by a transaction on its way. A wide one, as
/// long as there may be processes that know no other: that dense pages have not begun.
fn under(core: &Core, id: &str, job: &Job, page: PageId) -> Vec<Precondition> {
    let replica = &core.replica;
    match page {
        PageId::Compact(_) if !job.pages.contains_key(&page) => {
            let wides = replica.layout.plain_pages_under(page).map(PageId::Plain);
            let guard = |wide| Precondition {
                key: page_key(id, wide),
                revision: job.page_revision(wide),
            };
            wides.map(guard).collect()
        }
        PageId::Plain(_) if replica.layout.uses_compact() => {
            let revision = replica.schema_versions.as_ref().map_or(0, |f| f.revision);
            let key = FORMS_KEY.into();
            vec![Precondition { key, revision }]
        }
        _ => Vec::new(),
    }
}

#[cfg(test)]
mod tests;
