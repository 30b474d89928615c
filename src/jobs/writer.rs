//! Records progress: one put per changed page, many to a transaction, starts guarded by the keys
//! of their job, page and machines' rentals. Nothing is started before its record stands.

use super::pages::entry_bytes;
use super::plans::Changes;
use super::{Entry, Final, Page, PageId, Stored};
use crate::fleet::Use;
use crate::membership::shares::Member;
use crate::node::{Core, Node};
use crate::pipelines;
use crate::state::budget::Need;
use crate::state::replica::Job;
use crate::state::{
    FORMS_KEY, Guard, MOST_BYTES, Op, Replica, SHARES_KEY, TxnError, final_key, job_key, page_key,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

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
/// How long a page is left alone that the state service refused as malformed.
const REFUSED_FOR: Duration = Duration::from_secs(30);

/// One page as it is to be recorded.
struct Dirty {
    job: String,
    number: PageId,
    op: Op,
    page: Page,
    guards: Vec<Guard>,
    starts: bool,
    /// Exits on it have waited twice as long as they should.
    overdue: bool,
    /// Where it starts tasks.
    machines: BTreeSet<String>,
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
    let ended = node.core().counts.ended;
    let fine = end_jobs(node).await
        && {
            let ended_here = node.core().counts.ended != ended;
            pipelines::service::turn(node, ended_here).await
        }
        && write_pages(node).await;
    if !fine {
        // Something failed or went unanswered: what stands is read, never assumed.
        node.sync().await;
    }
    settle(&mut node.core());
    if leads {
        tidy(node).await;
    }
}

/// A job that is over, as it is to be recorded.
struct Ended {
    id: String,
    mark: u64,
    pages: Vec<PageId>,
    last: Final,
}

/// Moves jobs that are over to their final key, with their pages; as many in a transaction as
/// fit.
async fn end_jobs(node: &Arc<Node>) -> bool {
    let most = node.settings.txn_ops();
    // Moving a job to its final key takes a change for each of its keys. Where these are short, its
    // end alone is recorded, and the moving waits for a quieter time.
    let short = is_short(node) && node.core().replica.has_begun();
    let mut over: Vec<Ended> = {
        let core = node.core();
        let jobs = core.replica.jobs.iter();
        jobs.filter_map(|(id, job)| {
            let last = over(&core, id, job)?;
            core.owns_job(&node.me, id).then(|| Ended {
                id: id.clone(),
                mark: job.mark,
                pages: job.pages.keys().copied().take(most - 2).collect(),
                last,
            })
        })
        .collect()
    };
    while !over.is_empty() {
        let room = node.state.writes_left(Need::Own).min(most);
        let (mut ops, mut guards, mut count) = (Vec::new(), Vec::new(), 0);
        for ended in &over {
            let takes = if short { 1 } else { 2 + ended.pages.len() };
            if ops.len() + takes > room.max(2) && count > 0 {
                break;
            }
            guards.push(Guard {
                k: job_key(&ended.id),
                mark: ended.mark,
            });
            if short {
                let over = Stored::Over { over: ended.last };
                ops.push(Op::set(job_key(&ended.id), &over));
                count += 1;
                continue;
            }
            ops.push(Op::set(final_key(&ended.id), &ended.last));
            ops.push(Op::drop(job_key(&ended.id)));
            let pages = ended.pages.iter();
            ops.extend(pages.map(|n| Op::drop(page_key(&ended.id, *n))));
            count += 1;
        }
        if room < 2 {
            return true;
        }
        let batch: Vec<Ended> = over.drain(..count).collect();
        let Ok(ledger) = node.state.transact(&guards, &ops).await else {
            return false;
        };
        let mut core = node.core();
        core.counts.ended += batch.len() as u64;
        core.apply(ops, ledger);
        for ended in batch {
            core.replica.remember_ended(&ended.id, ended.last);
            core.plans.remove_job(&ended.id);
            core.failures.remove(&ended.id);
        }
    }
    true
}

/// Done once every task is; a cancelled one is over once none of its tasks can be on a machine.
fn over(core: &Core, id: &str, job: &Job) -> Option<Final> {
    let tasks = job.record.spec.tasks;
    let planned = core.plans.of(id);
    if job.record.cancelled {
        let is_placed = |e: &Entry| matches!(e, Entry::Placed { .. });
        let mut placed = i64::from(job.placed);
        for (task, entry) in planned.into_iter().flatten() {
            placed += i64::from(is_placed(entry));
            placed -= i64::from(is_placed(&core.replica.entry(id, *task)));
        }
        return (placed == 0).then_some(Final::Cancelled);
    }
    let mut done = job.done;
    for (task, entry) in planned.into_iter().flatten() {
        if *entry == Entry::Done && core.replica.entry(id, *task) != Entry::Done {
            done += 1;
        }
    }
    // A gang's tasks complete together: one that is done says that all are.
    let needed = if job.record.spec.is_gang() { 1 } else { tasks };
    (done >= needed).then_some(Final::Done)
}

async fn write_pages(node: &Arc<Node>) -> bool {
    let ops = node.settings.txn_ops();
    let mut dirty = dirty_pages(&mut node.core(), node, Instant::now());
    let mut singly = false;
    let mut fine = true;
    while !dirty.is_empty() {
        let room = node.state.writes_left(Need::Own).min(ops);
        if room == 0 {
            let mut core = node.core();
            core.counts.unwritten += dirty.len() as u64;
            core.plans.note_unwritten(dirty.len());
            return fine;
        }
        let (mut guards, mut count, mut bytes) = (BTreeMap::new(), 0, 0);
        while count < dirty.len() {
            let unit = &dirty[count..count + unit_len(&dirty[count..])];
            let new: BTreeMap<_, _> = unit
                .iter()
                .flat_map(|page| &page.guards)
                .filter(|g| !guards.contains_key(&g.k))
                .map(|g| (g.k.clone(), g.mark))
                .collect();
            let more: usize = unit.iter().map(Dirty::bytes).sum();
            let full = count + unit.len() > room
                || guards.len() + new.len() > ops * 4
                || bytes + more > MOST_BYTES
                || singly;
            if full && count > 0 {
                break;
            }
            guards.extend(new);
            bytes += more;
            count += unit.len();
        }
        let batch: Vec<Dirty> = dirty.drain(..count).collect();
        let guards: Vec<Guard> = guards
            .into_iter()
            .map(|(k, mark)| Guard { k, mark })
            .collect();
        let puts: Vec<Op> = batch.iter().map(|d| d.op.clone()).collect();
        let outcome = node.state.transact(&guards, &puts).await;
        let mut core = node.core();
        match outcome {
            Ok(ledger) => {
                for d in batch {
                    let others = !core.owns_job(&node.me, &d.job);
                    core.counts.others_pages += u64::from(others);
                    match d.starts {
                        true => core.counts.start_pages += 1,
                        false => core.counts.exit_pages += 1,
                    }
                    if ledger > core.replica.revision {
                        core.replica.put_page(&d.job, d.number, d.page, ledger);
                    }
                    for machine in &d.machines {
                        core.workers.call(machine);
                    }
                    core.plans.recorded(&d.job);
                    core.plans.unrank(&d.job);
                }
            }
            Err(TxnError::Conflict(failed)) => {
                core.counts.lost_races += 1;
                tracing::debug!(?failed, "a record lost a race");
                withdraw(&mut core, &batch, Some(&failed));
                fine = false;
            }
            // One record that can never be written must not block those behind it: each is tried
            // by itself, and that one is left alone for a while.
            Err(TxnError::Malformed) if batch.len() > 1 => {
                singly = true;
                dirty.splice(0..0, batch);
            }
            Err(TxnError::Malformed) => {
                withdraw(&mut core, &batch, None);
                let until = Instant::now() + REFUSED_FOR;
                core.plans.leave_alone(&batch[0].job, until);
            }
            Err(error) => {
                tracing::debug!(%error, "a record was not written");
                // Not executed, or unknown: starts are planned anew from what then stands. One
                // that is still under way carries the page's old mark, and loses to the next.
                withdraw(&mut core, &batch, None);
                return false;
            }
        }
    }
    node.core().plans.note_unwritten(0);
    fine
}

fn dirty_pages(core: &mut Core, node: &Node, now: Instant) -> Vec<Dirty> {
    // The log may have told of new owners since the turn began: what was seen under an ownership
    // that is over must be forgotten before it is written under the next one's mark.
    core.note_ownership(&node.me, now);
    withdraw_unstartable(core, &node.me);
    withdraw_broken_gangs(core);
    let most_guards = node.settings.txn_ops() * 4;
    let at_ease = node.state.writes_at_ease() >= 0.98;
    make_up(core, &node.me, most_guards, at_ease, now)
}

fn make_up(
    core: &Core,
    me: &Member,
    most_guards: usize,
    at_ease: bool,
    now: Instant,
) -> Vec<Dirty> {
    let mut dirty = Vec::new();
    for (id, changes) in core.plans.all() {
        let Some(job) = core.replica.jobs.get(id) else {
            continue;
        };
        if !core.plans.may_write(id, now) {
            continue;
        }
        let (least, most) = match core.replica.owner_of(&job.record) == Some(me) {
            true => EXITS_WAIT,
            false if is_far_from_end(job, changes) => FAR_FROM_END_WAIT,
            false => OTHERS_WAIT,
        };
        let wait = if at_ease { least } else { most };
        let waited = core.plans.waited(id, now);
        let writes_exits = waited >= wait;
        let mut pages: BTreeMap<PageId, Vec<(u32, &Entry)>> = BTreeMap::new();
        for (task, entry) in changes {
            let page = pages.entry(core.replica.page_of(*task)).or_default();
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
        true => core.plans.rank_of(&d.job),
        false => 0,
    };
    dirty.sort_by_key(|d| (!d.overdue, !d.starts, rank(d)));
    dirty
}

/// Whether all that is to be recorded of a job are completions, and more than a few are to come.
fn is_far_from_end(job: &Job, changes: &Changes) -> bool {
    let done = f64::from(job.done) + changes.len() as f64;
    let all_done = changes.values().all(|e| *e == Entry::Done);
    all_done && !job.record.spec.is_gang() && done < f64::from(job.record.spec.tasks) * FAR_FROM_END
}

fn make_up_page(
    core: &Core,
    me: &Member,
    most_guards: usize,
    id: &str,
    job: &Job,
    number: PageId,
    changes: &[(u32, &Entry)],
) -> Option<Dirty> {
    let layout = &core.replica.layout;
    let old = job.pages.get(&number);
    let mut page = match (old, number) {
        (Some(old), _) => old.record.clone(),
        (None, PageId::Wide(_)) => Page::default(),
        (None, PageId::Dense(_)) => brought_over(core, job, number),
    };
    let mut bytes = page.bytes(number);
    let mut whole = true;
    let under: Vec<Guard> = under(core, id, job, number);
    let mut rentals: BTreeSet<Guard> = BTreeSet::new();
    let mut changed = false;
    let mut machines = BTreeSet::new();
    for (task, entry) in changes {
        let slot = layout.slot(number, *task);
        let before = page.get(slot);
        // Another controller may have recorded the same exit, and the task's next start, since
        // this was planned.
        if !applies(&before, entry) {
            continue;
        }
        let mut needed = Vec::new();
        if let Entry::Placed { machine, .. } = entry {
            let ours = core.replica.fleet.machines.get(machine);
            if ours.is_none_or(|m| m.owner != *me || m.state != Use::Open) {
                continue; // it left our hands since this was planned
            }
            needed.extend(core.machine_guard(machine));
        }
        // What was seen of a task holds as long as its machine is ours: a next owner may have
        // started what we saw absent. A machine in no record is gone for good.
        if let Entry::Placed { machine, .. } = &before {
            let theirs = core.replica.fleet.machines.get(machine);
            if theirs.is_some_and(|m| m.owner != *me) {
                continue; // an absence that we saw is void once another may send `run`
            }
            needed.extend(core.machine_guard(machine));
        }
        let more = needed.iter().filter(|g| !rentals.contains(g)).count();
        if rentals.len() + more + 3 + under.len() > most_guards {
            whole = false;
            continue; // more than a transaction can guard: the rest goes with the next
        }
        if let Entry::Placed { machine, .. } = entry {
            bytes += entry_bytes(number, machine);
            if bytes > layout.value_bytes {
                whole = false;
                continue; // more than a value takes: the rest goes when some of these are done
            }
        }
        rentals.extend(needed);
        if let Entry::Placed { machine, .. } = entry {
            machines.insert(machine.clone());
        }
        page.set(slot, (*entry).clone());
        changed = true;
    }
    if !changed {
        return None;
    }
    let starts = !machines.is_empty();
    let mut guards = vec![
        Guard {
            k: job_key(id),
            mark: job.mark,
        },
        Guard {
            k: page_key(id, number),
            mark: job.page_mark(number),
        },
    ];
    if starts {
        // The job may have gone to another controller, which places it from then on.
        let mark = core.replica.shares.as_ref().map_or(0, |s| s.mark);
        guards.push(Guard {
            k: SHARES_KEY.into(),
            mark,
        });
    }
    guards.extend(under);
    guards.extend(rentals);
    let key = page_key(id, number);
    let op = match number {
        PageId::Wide(_) => Op::set(key, &page),
        PageId::Dense(_) => Op::set(key, &page.to_dense()),
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
        gang: job.record.spec.is_gang(),
        whole,
    })
}

/// A dense page begins with what the wide ones say of its tasks.
fn brought_over(core: &Core, job: &Job, page: PageId) -> Page {
    let (first, count) = core.replica.layout.span(page);
    let tasks = first..first.saturating_add(count as u32);
    let tasks = tasks.take_while(|task| *task < job.record.spec.tasks);
    let mut entries: Vec<Entry> = tasks
        .map(|task| job.entry(&core.replica.layout, task))
        .collect();
    while entries.last() == Some(&Entry::default()) {
        entries.pop();
    }
    Page(entries)
}

/// What a page follows from beside its own mark. One that is brought over: the wide pages that it
/// overrules, which a process that ended may yet change by a transaction on its way. A wide one, as
/// long as there may be processes that know no other: that dense pages have not begun.
fn under(core: &Core, id: &str, job: &Job, page: PageId) -> Vec<Guard> {
    let replica = &core.replica;
    match page {
        PageId::Dense(_) if !job.pages.contains_key(&page) => {
            let wides = replica.layout.wides_under(page).map(PageId::Wide);
            let guard = |wide| Guard {
                k: page_key(id, wide),
                mark: job.page_mark(wide),
            };
            wides.map(guard).collect()
        }
        PageId::Wide(_) if replica.layout.uses_dense() => {
            let mark = replica.forms.as_ref().map_or(0, |f| f.mark);
            let k = FORMS_KEY.into();
            vec![Guard { k, mark }]
        }
        _ => Vec::new(),
    }
}

/// Starts planned on machines that take none any more, because they are on their way back, are planned
/// anew elsewhere. They could never be written, and the machine, which is not empty with them, would
/// never go.
fn withdraw_unstartable(core: &mut Core, me: &Member) {
    let fleet = &core.replica.fleet.machines;
    let takes = |name: &str| {
        let machine = fleet.get(name);
        machine.is_some_and(|m| m.owner == *me && m.state == Use::Open)
    };
    let changes = core
        .plans
        .all()
        .flat_map(|(id, changes)| changes.iter().map(move |(task, entry)| (id, *task, entry)));
    let lost: Vec<_> = changes
        .filter(|(_, _, entry)| matches!(entry, Entry::Placed { machine, .. } if !takes(machine)))
        .map(|(id, task, _)| (id.clone(), task))
        .collect();
    for id in lost {
        core.unplan(&id);
    }
}

/// A gang whose planned start lost a machine before it was written is planned anew as a whole: the
/// rest would gather, wait for the missing task and fail.
fn withdraw_broken_gangs(core: &mut Core) {
    let is_placed = |e: &Entry| matches!(e, Entry::Placed { .. });
    let mut broken = Vec::new();
    for (id, changes) in core.plans.all() {
        let job = core.replica.jobs.get(id).map(|j| &j.record.spec);
        let Some(spec) = job.filter(|s| s.is_gang()) else {
            continue;
        };
        let starts = changes.iter().filter(|(_, e)| is_placed(e));
        let starts: Vec<u32> = starts.map(|(task, _)| *task).collect();
        if !starts.is_empty() && !(0..spec.tasks).all(|t| is_placed(&core.entry(id, t))) {
            broken.extend(starts.into_iter().map(|task| (id.clone(), task)));
        }
    }
    for id in broken {
        core.unplan(&id);
    }
}

/// Takes back planned starts, of all the pages or of those that the failed guards concern.
fn withdraw(core: &mut Core, batch: &[Dirty], failed: Option<&[String]>) {
    for d in batch {
        let concerned = failed.is_none_or(|failed| {
            failed.is_empty() || d.guards.iter().any(|g| failed.contains(&g.k))
        });
        if !concerned {
            continue;
        }
        let planned = core.plans.of(&d.job).into_iter().flatten();
        let starts: Vec<u32> = planned
            .filter(|(task, entry)| {
                core.replica.page_of(**task) == d.number && matches!(entry, Entry::Placed { .. })
            })
            .map(|(task, _)| *task)
            .collect();
        for task in starts {
            core.unplan(&(d.job.clone(), task));
        }
    }
}

/// Whether a planned change still follows from what the records hold.
fn applies(held: &Entry, planned: &Entry) -> bool {
    match (held, planned) {
        (held, planned) if held == planned => false,
        (Entry::Done, _) => false,
        (_, Entry::Done) => true,
        (Entry::Placed { attempt, .. }, Entry::Waiting { last }) => attempt == last,
        (Entry::Waiting { .. }, Entry::Waiting { .. }) => false,
        (held, Entry::Placed { attempt, .. }) => held.last_attempt() < *attempt,
    }
}

/// Forgets planned changes that the records now hold, or that no longer apply to them.
fn settle(core: &mut Core) {
    let replica = &core.replica;
    core.workers.stops.retain(|((id, task), attempt), _| {
        let entry = replica
            .jobs
            .contains_key(id)
            .then(|| replica.entry(id, *task));
        matches!(entry, Some(Entry::Placed { attempt: held, .. }) if held == *attempt)
    });
    let mut over = Vec::new();
    for (id, changes) in core.plans.all() {
        let known = core.replica.jobs.contains_key(id);
        for (task, entry) in changes {
            if !known || !applies(&core.replica.entry(id, *task), entry) {
                over.push((id.clone(), *task));
            }
        }
    }
    for id in over {
        core.unplan(&id);
    }
}

/// From this part of what may be written at once on, changes are not short.
const AT_EASE: f64 = 0.5;
/// Whether changes are short: little may be written now, or of late pages were left for later turns.
/// At the beginning of a turn a node may write again, however much waits for it.
fn is_short(node: &Node) -> bool {
    node.state.writes_at_ease() < AT_EASE || node.core().plans.unwritten() >= LEFT_OVER
}

/// Pages left for the next turn, on the mean, that tell of a shortage.
const LEFT_OVER: f64 = 0.5;
/// So many records of jobs that ended are kept where changes are short; beyond that they go in any
/// case, or else each reading of all records would grow with them.
const MOST_LEFT: usize = 4000;

/// Moves jobs that ended to their final keys and drops the pages that they left, when there are
/// changes to spare.
async fn tidy(node: &Arc<Node>) {
    let spare = (node.state.writes_left(Need::Own) / 2).min(node.settings.txn_ops());
    let (guards, ops) = {
        let core = node.core();
        let replica = &core.replica;
        let few = replica.closed.len() + replica.orphans.len() < MOST_LEFT;
        if few && (core.plans.unwritten() >= LEFT_OVER || node.state.writes_at_ease() < AT_EASE) {
            return;
        }
        tidying(replica, spare)
    };
    if ops.is_empty() {
        return;
    }
    if let Ok(ledger) = node.state.transact(&guards, &ops).await {
        node.core().apply(ops, ledger);
    }
}

/// What to tidy up in so many changes.
fn tidying(replica: &Replica, most: usize) -> (Vec<Guard>, Vec<Op>) {
    let (mut guards, mut ops) = (Vec::new(), Vec::new());
    for (id, mark) in &replica.closed {
        let Some(last) = replica.ended(id).filter(|_| ops.len() + 2 <= most) else {
            continue;
        };
        guards.push(Guard {
            k: job_key(id),
            mark: *mark,
        });
        ops.push(Op::set(final_key(id), &last));
        ops.push(Op::drop(job_key(id)));
    }
    let known_over = |id: &str| replica.ended(id).is_some();
    let left = replica.orphans.keys().filter(|(id, _)| known_over(id));
    let left = left.take(most - ops.len().min(most));
    ops.extend(left.map(|(id, page)| Op::drop(page_key(id, *page))));
    (guards, ops)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::jobs::Layout;
    use crate::state::client::Pair;
    use serde_json::{Value, json};
    use std::time::Instant;

    /// A rental of one machine.
    fn rental(machine: &str, owner: &str, token: u64) -> Value {
        json!({"kind":"m","zone":"a","spot":false,"count":1,"hired_ms":0,
            "owners":[[owner, 1]],"machines":[[machine, 0, token, 0]]})
    }

    fn put(core: &mut Core, key: &str, data: Value, mark: u64) {
        core.replica.put(key, &data.to_string(), mark);
    }

    fn show(core: &Core) -> String {
        let me = Member {
            name: "me".into(),
            incarnation: 1,
        };
        let lines = make_up(core, &me, 96, true, Instant::now() + EXITS_WAIT.1)
            .into_iter()
            .map(|d| {
                let guards: Vec<String> = d
                    .guards
                    .iter()
                    .map(|g| format!("{}@{}", g.k, g.mark))
                    .collect();
                let page = serde_json::to_string(&d.page).unwrap();
                format!("put {page} if {}\n", guards.join(" "))
            });
        let text: String = lines.collect();
        if text.is_empty() {
            "nothing\n".into()
        } else {
            text
        }
    }

    /// Rule `ran_twice`, found by hunt: a node saw a withdrawn start absent, was cut off before it
    /// could record that, and the machine's next owner started the task. When the cut ended, the
    /// old owner's record of the absence was still accepted, and the task was placed again.
    #[test]
    fn what_was_seen_under_an_earlier_ownership_is_not_recorded() {
        let (me, mut core) = core();
        core.note_ownership(&me, Instant::now());
        core.plan(&("job-1".into(), 0), Entry::Waiting { last: 1 });
        let ours = show(&core);
        put(&mut core, "r/m/r-1", rental("vm-1", "me", 2), 12);
        core.note_ownership(&me, Instant::now());
        let after = show(&core);
        insta::assert_snapshot!(format!("seen as owner\n{ours}another's in between\n{after}"), @r#"
        seen as owner
        put [1] if r/j/job-1@5 r/p/job-1/0@7 r/m/r-1@6
        another's in between
        nothing
        "#);
    }

    /// Rule `ran_twice`, on a calm day at 1,050 machines: a withdrawn start was seen absent, and
    /// while the ends of jobs were being written the log brought the machine's next owner. The
    /// absence was then recorded under the new mark, after that owner had sent `run`. And a start
    /// that was planned on such a machine stayed planned for ever.
    #[test]
    fn what_changes_hands_during_a_turn_takes_its_plans_along() {
        let (me, mut core) = core();
        core.note_ownership(&me, Instant::now());
        put(&mut core, "r/m/r-2", rental("vm-2", "me", 1), 9);
        core.note_ownership(&me, Instant::now());
        core.plan(&("job-1".into(), 0), Entry::Waiting { last: 1 });
        let on_second = Entry::Placed {
            attempt: 1,
            machine: "vm-2".into(),
            session: 1,
        };
        core.plan(&("job-1".into(), 1), on_second);
        let before = show(&core);
        put(&mut core, "r/m/r-1", rental("vm-1", "other", 2), 12);
        put(&mut core, "r/m/r-2", rental("vm-2", "other", 2), 13);
        let during = show(&core);
        core.note_ownership(&me, Instant::now());
        let entry = core.entry("job-1", 1);
        insta::assert_snapshot!(
            format!("ours\n{before}lost within the turn\n{during}then the second is {entry:?}"),
            @r#"
            ours
            put [1,[1,"vm-2",1]] if r/j/job-1@5 r/p/job-1/0@7 r/shares@0 r/m/r-1@6 r/m/r-2@9
            lost within the turn
            nothing
            then the second is Waiting { last: 0 }
            "#
        );
    }

    /// A gang of more tasks than a page holds starts with all its pages or not at all.
    #[test]
    fn a_gangs_pages_go_together() {
        let (me, mut core) = core();
        let mut gang: Value = serde_json::to_value(&core.replica.jobs["job-1"].record).unwrap();
        gang["spec"]["nameId"] = json!("job-2");
        gang["spec"]["shape"] = json!("group");
        gang["spec"]["sacks"] = json!(20);
        put(&mut core, "r/j/job-2", gang, 9);
        core.note_ownership(&me, Instant::now());
        let start = Entry::Placed {
            attempt: 1,
            machine: "vm-1".into(),
            session: 1,
        };
        for task in 0..20 {
            core.plan(&("job-2".into(), task), start.clone());
        }
        core.plan(&("job-1".into(), 1), start);
        let dirty = make_up(&core, &me, 96, true, Instant::now());
        let mut units = Vec::new();
        let mut rest = &dirty[..];
        while !rest.is_empty() {
            let (unit, others) = rest.split_at(unit_len(rest));
            units.push(format!("{} of {}", unit.len(), unit[0].job));
            rest = others;
        }
        assert_eq!(units, ["1 of job-1", "3 of job-2"]);
    }

    /// Where puts are scarce, completions of another's large job wait while many are to come; near
    /// its end, or when a task must be placed again, its owner learns of them soon.
    #[test]
    fn completions_of_anothers_job_wait_while_many_are_to_come() {
        let (me, mut core) = core();
        let mut large: Value = serde_json::to_value(&core.replica.jobs["job-1"].record).unwrap();
        large["spec"]["nameId"] = json!("job-2");
        large["spec"]["sacks"] = json!(5);
        put(&mut core, "r/j/job-2", large, 9);
        let page = json!([
            [1, "vm-1", 1],
            [1, "vm-1", 1],
            [1, "vm-1", 1],
            [1, "vm-1", 1],
            0
        ]);
        put(&mut core, "r/p/job-2/0", page, 10);
        core.note_ownership(&me, Instant::now());
        let start = Instant::now();
        let mut trace = String::new();
        let mut say = |core: &Core, what: &str| {
            let waits = [1, 3, 11].map(|s| {
                let written = make_up(core, &me, 96, false, start + Duration::from_secs(s));
                format!(
                    "{s} s {}",
                    if written.is_empty() {
                        "waits"
                    } else {
                        "written"
                    }
                )
            });
            trace.push_str(&format!("{what}: {}\n", waits.join(", ")));
        };
        core.plan(&("job-2".into(), 0), Entry::Done);
        say(&core, "one of five done");
        core.plan(&("job-2".into(), 1), Entry::Waiting { last: 1 });
        say(&core, "one to be placed again");
        core.unplan(&("job-2".into(), 1));
        for task in 1..4 {
            core.plan(&("job-2".into(), task), Entry::Done);
        }
        say(&core, "four of five done");
        insta::assert_snapshot!(trace, @r#"
        one of five done: 1 s waits, 3 s waits, 11 s written
        one to be placed again: 1 s waits, 3 s written, 11 s written
        four of five done: 1 s waits, 3 s written, 11 s written
        "#);
    }

    /// What is written once the limits fell to 2 KiB and 8 changes: a gang of 16 on as many rentals is one
    /// page; an array of 300, on a machine of its own each, with long names, goes as far as its pages and
    /// the guards allow, and the rest is planned on.
    #[test]
    fn pages_fit_the_lower_limits_by_construction() {
        let layout = Layout {
            wide: 170,
            dense: 128,
            value_bytes: 2048,
        };
        let mut core = Core::new(layout, Instant::now());
        let me = Member {
            name: "me".into(),
            incarnation: 1,
        };
        let forms = json!({"seen": ["me"], "layout": {"wide": 170, "dense": 128}});
        put(&mut core, "r/forms", forms, 1);
        for (id, shape, tasks) in [("job-1", "group", 16_u32), ("job-2", "array", 300)] {
            let mut spec = crate::pipelines::tests::spec(id, "urgent", None);
            spec["shape"] = json!(shape);
            spec["sacks"] = json!(tasks);
            let record = json!({"spec": spec, "accepted_ms": 0});
            put(&mut core, &format!("r/j/{id}"), record, 5);
            for task in 0..tasks {
                let name = format!("vm-with-a-longer-name-{id}-{task:06}");
                let mark = 10 + u64::from(task);
                put(
                    &mut core,
                    &format!("r/m/r-{id}-{task}"),
                    rental(&name, "me", 1),
                    mark,
                );
            }
        }
        // Some of the array's tasks were written on a wide page before.
        put(&mut core, "r/p/job-2/0", json!([true, 3, true]), 400);
        core.note_ownership(&me, Instant::now());
        for (id, tasks) in [("job-1", 16), ("job-2", 300)] {
            for task in 0..tasks {
                let machine = format!("vm-with-a-longer-name-{id}-{task:06}");
                let entry = Entry::Placed {
                    attempt: 4,
                    machine,
                    session: 1,
                };
                core.plan(&(id.to_owned(), task), entry);
            }
        }
        let dirty = make_up(&core, &me, 32, true, Instant::now());
        let mut trace = String::new();
        for page in &dirty {
            let bytes = text_of(&page.op).len();
            let (starts, guards) = (page.machines.len(), page.guards.len());
            assert!(bytes <= 2048 && guards <= 32);
            let key = page_key(&page.job, page.number);
            trace.push_str(&format!(
                "{key}: {starts} starts, {guards} guards, {bytes} bytes\n"
            ));
        }
        let under = dirty
            .iter()
            .filter(|d| d.job == "job-2")
            .flat_map(|d| &d.guards);
        let under: Vec<_> = under.filter(|g| g.k.starts_with("r/p/")).collect();
        trace.push_str(&format!(
            "brought over under {} marks of wide pages\n",
            under.len()
        ));
        insta::assert_snapshot!(trace, @r#"
        r/q/job-1/0: 16 starts, 20 guards, 685 bytes
        r/q/job-2/0: 28 starts, 32 guards, 1195 bytes
        r/q/job-2/1: 27 starts, 32 guards, 1147 bytes
        r/q/job-2/2: 27 starts, 32 guards, 1147 bytes
        brought over under 5 marks of wide pages
        "#);
    }

    fn text_of(op: &Op) -> &str {
        match op {
            Op::Set { data, .. } => data.get(),
            Op::Drop { .. } => "",
        }
    }

    /// Where changes are short a job's end is one change. It counts at once: its tasks hold no room, what
    /// waits for it is ready, a repeat of its submission finds it; and it is moved under its mark later.
    #[test]
    fn a_job_that_ended_is_moved_later() {
        let (_, mut core) = core();
        let waits = json!({"held": {"spec": crate::pipelines::tests::spec("job-2", "urgent", None),
            "accepted_ms": 0}, "awaits": ["job-1"]});
        put(&mut core, "r/j/job-2", waits, 9);
        put(&mut core, "r/j/job-1", json!({"over": "done"}), 12);
        let replica = &core.replica;
        assert_eq!(replica.ended("job-1"), Some(Final::Done));
        assert!(replica.on.is_empty() && replica.knows("job-1"));
        assert_eq!(replica.pipelines.ready().count(), 1);
        let mut trace = String::new();
        for most in [1, 2, 8] {
            let (guards, ops) = tidying(replica, most);
            let ops: Vec<String> = ops
                .iter()
                .map(|op| match op {
                    Op::Set { set, data, .. } => format!("{set}={data}"),
                    Op::Drop { drop } => format!("-{drop}"),
                })
                .collect();
            trace.push_str(&format!("{most}: {} if {guards:?}\n", ops.join(" ")));
        }
        insta::assert_snapshot!(trace, @r#"
        1: -r/p/job-1/0 if []
        2: e/job-1="done" -r/j/job-1 if [Guard { k: "r/j/job-1", mark: 12 }]
        8: e/job-1="done" -r/j/job-1 -r/p/job-1/0 if [Guard { k: "r/j/job-1", mark: 12 }]
        "#);
    }

    /// Jobs that never ended, with machines that never went back, on troubles after the limits fell: a
    /// machine was marked as returning while a start that was planned on it waited to be recorded.
    #[test]
    fn a_start_planned_on_a_machine_that_goes_back_is_planned_anew() {
        let (me, mut core) = core();
        core.note_ownership(&me, Instant::now());
        let start = Entry::Placed {
            attempt: 1,
            machine: "vm-1".into(),
            session: 1,
        };
        core.plan(&("job-1".into(), 1), start);
        withdraw_unstartable(&mut core, &me);
        assert_eq!(core.plans.on("vm-1").count(), 1);
        let mut returning = rental("vm-1", "me", 1);
        returning["machines"][0][3] = json!(1);
        put(&mut core, "r/m/r-1", returning, 12);
        core.note_ownership(&me, Instant::now());
        withdraw_unstartable(&mut core, &me);
        assert_eq!(core.plans.on("vm-1").count(), 0);
        assert_eq!(core.entry("job-1", 1), Entry::Waiting { last: 0 });
    }

    /// Aim `deadline dawn-dispatch-push`, .33 on `troubles` after the limits fell: one node's starts took
    /// all its puts, and it recorded no exit of another's job for a hundred seconds.
    #[test]
    fn exits_that_others_wait_for_are_not_starved_by_starts() {
        let (me, mut core) = core();
        let mut other: Value = serde_json::to_value(&core.replica.jobs["job-1"].record).unwrap();
        other["spec"]["nameId"] = json!("job-2");
        put(&mut core, "r/j/job-2", other, 9);
        put(&mut core, "r/p/job-2/0", json!([[1, "vm-1", 1]]), 10);
        core.note_ownership(&me, Instant::now());
        let start = Entry::Placed {
            attempt: 1,
            machine: "vm-1".into(),
            session: 1,
        };
        core.plan(&("job-1".into(), 1), start);
        core.plan(&("job-2".into(), 0), Entry::Waiting { last: 1 });
        let order = |s| {
            let dirty = make_up(
                &core,
                &me,
                96,
                false,
                Instant::now() + Duration::from_secs(s),
            );
            let jobs: Vec<String> = dirty.into_iter().map(|d| d.job).collect();
            format!("after {s} s: {}", jobs.join(", "))
        };
        insta::assert_snapshot!([1, 3, 5].map(order).join("\n"), @r#"
        after 1 s: job-1
        after 3 s: job-1, job-2
        after 5 s: job-2, job-1
        "#);
    }

    /// A gang whose planned start lost a machine was written without that task: the others
    /// gathered in vain, and the gang never counted as waiting again.
    #[test]
    fn a_gang_is_written_whole_or_planned_anew() {
        let (me, mut core) = core();
        let mut gang: Value = serde_json::to_value(&core.replica.jobs["job-1"].record).unwrap();
        gang["spec"]["nameId"] = json!("job-2");
        gang["spec"]["shape"] = json!("group");
        put(&mut core, "r/j/job-2", gang, 9);
        put(&mut core, "r/m/r-2", rental("vm-2", "me", 1), 10);
        core.note_ownership(&me, Instant::now());
        for (task, machine) in [(0, "vm-1"), (1, "vm-2")] {
            let entry = Entry::Placed {
                attempt: 1,
                machine: machine.into(),
                session: 1,
            };
            core.plan(&("job-2".into(), task), entry);
        }
        withdraw_broken_gangs(&mut core);
        let whole = show(&core);
        put(&mut core, "r/m/r-2", rental("vm-2", "other", 2), 12);
        core.note_ownership(&me, Instant::now());
        withdraw_broken_gangs(&mut core);
        let broken = show(&core);
        insta::assert_snapshot!(format!("whole\n{whole}one machine lost\n{broken}"), @r#"
        whole
        put [[1,"vm-1",1],[1,"vm-2",1]] if r/j/job-2@9 r/p/job-2/0@0 r/shares@0 r/m/r-1@6 r/m/r-2@10
        one machine lost
        nothing
        "#);
    }

    /// An answer that came after the log had told more brought a dropped record back to life, which
    /// nothing would ever drop again.
    #[test]
    fn a_late_answer_to_our_own_change_brings_nothing_back() {
        let (_, mut core) = core();
        let record = core.replica.fleet.rentals["r-1"].record.clone();
        let drop = crate::state::client::Change {
            set: None,
            drop: Some("r/m/r-1".into()),
            data: None,
            mark: 20,
        };
        core.replica.take(vec![drop], 20);
        core.apply(vec![Op::set("r/m/r-1".into(), &record)], 12);
        assert!(core.replica.fleet.rentals.is_empty());
        core.apply(vec![Op::set("r/m/r-3".into(), &record)], 21);
        assert!(core.replica.fleet.rentals.contains_key("r-3"));
    }

    /// A job with a task on vm-1, which is ours.
    fn core() -> (Member, Core) {
        let mut core = Core::new(crate::jobs::pages::tests::wide(8), Instant::now());
        let me = Member {
            name: "me".into(),
            incarnation: 1,
        };
        let job = json!({"spec": {"nameId":"job-1","grist":"c","crew":"t","shape":"array",
            "urgency":"standard","sacks":2,"cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i",
            "pullGb":1.0,"together":false,"spread":false,"borrowed":true,"grindS":10.0,
            "bankS":0.0,"bankWriteS":0.0}, "accepted_ms": 0});
        let pair = |k: &str, data: Value, mark| Pair {
            k: k.into(),
            data: serde_json::value::to_raw_value(&data).unwrap(),
            mark,
        };
        core.replica.reset(
            vec![
                pair("r/j/job-1", job, 5),
                pair("r/m/r-1", rental("vm-1", "me", 1), 6),
                pair("r/p/job-1/0", json!([[1, "vm-1", 1]]), 7),
            ],
            8,
        );
        (me, core)
    }

    /// Rule `ran_twice`, found by hunt: an exit waited to be recorded while its machine changed
    /// hands. The next owner recorded it, the task was started again elsewhere, and then the first
    /// record came and took the new start for the old one.
    #[test]
    fn an_exit_does_not_undo_a_later_start() {
        let (me, mut core) = core();
        core.note_ownership(&me, Instant::now());
        core.plan(&("job-1".into(), 0), Entry::Waiting { last: 1 });
        put(&mut core, "r/m/r-2", rental("vm-2", "other", 1), 12);
        let page = json!([[2, "vm-2", 1]]);
        put(&mut core, "r/p/job-1/0", page, 13);
        let later = show(&core);
        put(&mut core, "r/p/job-1/0", json!([[1, "vm-1", 1]]), 14);
        put(&mut core, "r/m/r-1", rental("vm-1", "other", 2), 15);
        core.note_ownership(&me, Instant::now());
        let lost = show(&core);
        insta::assert_snapshot!(format!("started again\n{later}machine lost\n{lost}"), @r"
        started again
        nothing
        machine lost
        nothing
        ");
    }

    /// A record that is too large is refused for ever. The largest array there can be, started on
    /// a thousand machines of as many rentals: each page fits a value, each transaction's guards
    /// fit, and what does not go with this one stays planned for the next.
    #[test]
    fn the_largest_array_fits_its_records() {
        let settings_value = 8 * 1024;
        let page_len = settings_value / 48;
        let mut core = Core::new(crate::jobs::pages::tests::wide(page_len), Instant::now());
        let me = Member {
            name: "me".into(),
            incarnation: 1,
        };
        let job = json!({"spec": {"nameId":"job-1","grist":"c","crew":"t","shape":"array",
            "urgency":"standard","sacks":100_000,"cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i",
            "pullGb":1.0,"together":false,"spread":false,"borrowed":true,"grindS":10.0,
            "bankS":0.0,"bankWriteS":0.0}, "accepted_ms": 0});
        put(&mut core, "r/j/job-1", job, 5);
        for n in 0..1000 {
            let rental = rental(&format!("vm-with-a-longer-name-{n:06}"), "me", 1);
            put(&mut core, &format!("r/m/r-1234567-{n}"), rental, 10 + n);
        }
        core.note_ownership(&me, Instant::now());
        for task in 0..100_000 {
            let machine = format!("vm-with-a-longer-name-{:06}", task % 1000);
            let entry = Entry::Placed {
                attempt: 3,
                machine,
                session: 2,
            };
            core.plan(&("job-1".into(), task), entry);
        }
        let dirty = make_up(&core, &me, 96, true, Instant::now());
        let largest = dirty.iter().map(|d| match &d.op {
            Op::Set { data, .. } => data.get().len(),
            Op::Drop { .. } => 0,
        });
        let largest = largest.max().unwrap();
        let guards = dirty.iter().map(|d| d.guards.len()).max().unwrap();
        let bytes = dirty.iter().map(Dirty::bytes).max().unwrap();
        assert!(largest <= settings_value && guards <= 96 && bytes <= MOST_BYTES);
        let pages = dirty.len();
        insta::assert_snapshot!(
            format!("{pages} pages, the largest of {largest} bytes, with at most {guards} guards"),
            @"589 pages, the largest of 3442 bytes, with at most 96 guards"
        );
    }
}
