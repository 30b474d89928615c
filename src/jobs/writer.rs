//! Records progress: one put per changed page, many to a transaction, starts guarded by the keys
//! of their job, page and machines. Nothing is started before its record stands.

use super::{Entry, Final, Page};
use crate::node::{Core, Node};
use crate::state::budget::Need;
use crate::state::{Guard, Op, SHARES_KEY, TxnError, final_key, job_key, machine_key, page_key};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const MOST_BYTES: usize = 48 << 10;

/// One page as it is to be recorded.
struct Dirty {
    job: String,
    number: usize,
    page: Page,
    guards: Vec<Guard>,
    starts: bool,
    bytes: usize,
}

pub async fn write(node: &Arc<Node>, leads: bool) {
    let fine = end_jobs(node).await && write_pages(node).await;
    if !fine {
        // Something failed or went unanswered: what stands is read, never assumed.
        node.sync().await;
    }
    settle(&mut node.core());
    if leads {
        drop_orphans(node).await;
    }
}

/// Moves jobs that are over to their final key, with their pages.
async fn end_jobs(node: &Arc<Node>) -> bool {
    let over: Vec<(String, u64, Vec<usize>, Final)> = {
        let core = node.core();
        core.replica
            .jobs
            .iter()
            .filter(|(id, _)| core.owns_job(&node.me, id))
            .filter_map(|(id, job)| {
                let last = over(&core, id, job)?;
                Some((
                    id.clone(),
                    job.mark,
                    job.pages.keys().copied().collect(),
                    last,
                ))
            })
            .collect()
    };
    for (id, mark, pages, last) in over {
        let most = node.settings.params.state.txn_ops - 2;
        if node.state.writes_left(Need::Own) < 2 {
            return true;
        }
        let guards = [Guard {
            k: job_key(&id),
            mark,
        }];
        let mut ops = vec![Op::set(final_key(&id), &last), Op::drop(job_key(&id))];
        let dropped: Vec<usize> = pages.into_iter().take(most).collect();
        ops.extend(dropped.iter().map(|n| Op::drop(page_key(&id, *n))));
        match node.state.transact(&guards, &ops).await {
            Ok(ledger) => {
                let mut core = node.core();
                core.replica.remove(&job_key(&id), ledger);
                core.replica.remember_ended(&id, last);
                for number in dropped {
                    core.replica.remove(&page_key(&id, number), ledger);
                }
                core.overlay.retain(|(job, _), _| *job != id);
                core.failures.remove(&id);
            }
            Err(_) => return false,
        }
    }
    true
}

/// Done once every task is; a cancelled one is over once none of its tasks can be on a machine.
fn over(core: &Core, id: &str, job: &crate::state::replica::Job) -> Option<Final> {
    let tasks = job.record.spec.tasks;
    if job.record.cancelled {
        let any = (0..tasks).any(|t| matches!(core.entry(id, t), Entry::Placed { .. }));
        return (!any).then_some(Final::Cancelled);
    }
    let changed = core
        .overlay
        .range((id.to_owned(), 0)..=(id.to_owned(), usize::MAX));
    let pending: usize = changed.map(|(_, c)| c.len()).sum();
    if (job.done as usize + pending) < tasks as usize {
        return None;
    }
    let all = (0..tasks).all(|t| core.entry(id, t) == Entry::Done);
    all.then_some(Final::Done)
}

async fn write_pages(node: &Arc<Node>) -> bool {
    let mut dirty = dirty_pages(&node.core());
    let ops = node.settings.params.state.txn_ops;
    let mut fine = true;
    while !dirty.is_empty() {
        let room = node.state.writes_left(Need::Own).min(ops);
        if room == 0 {
            return fine;
        }
        let (mut guards, mut count, mut bytes) = (BTreeMap::new(), 0, 0);
        for page in &dirty {
            let added = page.guards.iter();
            let added = added.filter(|g| !guards.contains_key(&g.k)).count();
            let full =
                count >= room || guards.len() + added > ops * 4 || bytes + page.bytes > MOST_BYTES;
            if full && count > 0 {
                break;
            }
            guards.extend(page.guards.iter().map(|g| (g.k.clone(), g.mark)));
            bytes += page.bytes;
            count += 1;
        }
        let batch: Vec<Dirty> = dirty.drain(..count).collect();
        let guards: Vec<Guard> = guards
            .into_iter()
            .map(|(k, mark)| Guard { k, mark })
            .collect();
        let puts: Vec<Op> = batch
            .iter()
            .map(|d| Op::set(page_key(&d.job, d.number), &d.page))
            .collect();
        let outcome = node.state.transact(&guards, &puts).await;
        let mut core = node.core();
        match outcome {
            Ok(ledger) => {
                for d in batch {
                    core.replica.put_page(&d.job, d.number, d.page, ledger);
                }
            }
            Err(TxnError::Conflict(failed)) => {
                tracing::debug!(?failed, "a record lost a race");
                withdraw(&mut core, &batch, Some(&failed));
                fine = false;
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
    fine
}

fn dirty_pages(core: &Core) -> Vec<Dirty> {
    let mut dirty = Vec::new();
    for ((id, number), changes) in &core.overlay {
        let Some(job) = core.replica.jobs.get(id) else {
            continue;
        };
        let old = job.pages.get(number);
        let mut page = old.map(|p| p.record.clone()).unwrap_or_default();
        let mut machines = BTreeSet::new();
        let (mut changed, mut starts) = (false, false);
        for (task, entry) in changes {
            let slot = *task as usize % core.replica.page_len;
            let before = page.get(slot);
            // Another controller may have recorded the same exit, and the task's next start,
            // since this was planned.
            if !applies(&before, entry) {
                continue;
            }
            if let Entry::Placed { machine, .. } = entry {
                machines.insert(machine.clone());
                starts = true;
            }
            // What was seen of a task holds as long as its machine is ours: a next owner may have
            // started what we saw absent. A machine that is gone has no key, and mark 0.
            if let Entry::Placed { machine, .. } = &before {
                machines.insert(machine.clone());
            }
            page.set(slot, entry.clone());
            changed = true;
        }
        if !changed {
            continue;
        }
        let mut guards = vec![
            Guard {
                k: job_key(id),
                mark: job.mark,
            },
            Guard {
                k: page_key(id, *number),
                mark: job.page_mark(*number),
            },
        ];
        if starts {
            // The team may have gone to another controller, which places it from then on.
            let mark = core.replica.shares.as_ref().map_or(0, |s| s.mark);
            guards.push(Guard {
                k: SHARES_KEY.into(),
                mark,
            });
        }
        for machine in machines {
            let mark = core.replica.machines.get(&machine).map_or(0, |m| m.mark);
            guards.push(Guard {
                k: machine_key(&machine),
                mark,
            });
        }
        let bytes = serde_json::to_vec(&page).map_or(0, |b| b.len()) + 200 + guards.len() * 60;
        dirty.push(Dirty {
            job: id.clone(),
            number: *number,
            page,
            guards,
            starts,
            bytes,
        });
    }
    // Starts first: a task waits for each of them, and nobody waits for an exit's record.
    dirty.sort_by_key(|d| !d.starts);
    dirty
}

/// Takes back planned starts, of all the pages or of those that the failed guards concern.
fn withdraw(core: &mut Core, batch: &[Dirty], failed: Option<&[String]>) {
    for d in batch {
        let concerned = failed.is_none_or(|failed| {
            failed.is_empty() || d.guards.iter().any(|g| failed.contains(&g.k))
        });
        if concerned && let Some(changes) = core.overlay.get_mut(&(d.job.clone(), d.number)) {
            changes.retain(|_, entry| !matches!(entry, Entry::Placed { .. }));
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
    core.stops.retain(|((id, task), attempt), _| {
        let job = replica.jobs.get(id);
        let entry = job.map(|j| j.entry(replica.page_len, *task));
        matches!(entry, Some(Entry::Placed { attempt: held, .. }) if held == *attempt)
    });
    let overlay = std::mem::take(&mut core.overlay);
    for ((id, number), changes) in overlay {
        let Some(job) = core.replica.jobs.get(&id) else {
            continue;
        };
        for (task, entry) in changes {
            let held = job.entry(core.replica.page_len, task);
            if applies(&held, &entry) {
                let key = (id.clone(), number);
                core.overlay.entry(key).or_default().insert(task, entry);
            }
        }
    }
}

/// Drops pages left behind by ended jobs, when the budget has room.
async fn drop_orphans(node: &Arc<Node>) {
    let most = node.settings.params.state.txn_ops;
    let spare = node.state.writes_left(Need::Own) / 2;
    let keys: Vec<(String, usize)> = {
        let core = node.core();
        let known_over = |id: &str| core.replica.ended(id).is_some();
        core.replica
            .orphans
            .keys()
            .filter(|(id, _)| known_over(id))
            .take(spare.min(most))
            .cloned()
            .collect()
    };
    if keys.is_empty() {
        return;
    }
    let ops: Vec<Op> = keys
        .iter()
        .map(|(id, number)| Op::drop(page_key(id, *number)))
        .collect();
    if let Ok(ledger) = node.state.transact(&[], &ops).await {
        let mut core = node.core();
        for (id, number) in keys {
            core.replica.remove(&page_key(&id, number), ledger);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::membership::shares::Member;
    use crate::state::client::Pair;
    use serde_json::{Value, json};
    use std::time::Instant;

    fn machine(owner: &str) -> Value {
        json!({"owner":{"name":owner,"incarnation":1},"addr":"","kind":"m","zone":"a",
            "spot":false,"hired_ms":0})
    }

    fn show(core: &Core) -> String {
        let lines = dirty_pages(core).into_iter().map(|d| {
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
        core.replica.put("r/m/vm-1", machine("me"), 12);
        core.note_ownership(&me, Instant::now());
        let after = show(&core);
        insta::assert_snapshot!(format!("seen as owner\n{ours}another's in between\n{after}"), @r#"
        seen as owner
        put [1] if r/j/job-1@5 r/p/job-1/0@7 r/m/vm-1@6
        another's in between
        nothing
        "#);
    }

    /// A job with a task on vm-1, which is ours.
    fn core() -> (Member, Core) {
        let mut core = Core::new(8, Instant::now());
        let me = Member {
            name: "me".into(),
            incarnation: 1,
        };
        let job = json!({"spec": {"nameId":"job-1","grist":"c","crew":"t","shape":"array",
            "urgency":"standard","sacks":2,"cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i",
            "pullGb":1.0,"together":false,"spread":false,"borrowed":true,"grindS":10.0,
            "bankS":0.0,"bankWriteS":0.0}, "accepted_ms": 0});
        let pair = |k: &str, data, mark| Pair {
            k: k.into(),
            data,
            mark,
        };
        core.replica.reset(
            vec![
                pair("r/j/job-1", job, 5),
                pair("r/m/vm-1", machine("me"), 6),
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
        core.replica.put("r/m/vm-2", machine("other"), 12);
        let page = json!([[2, "vm-2", 1]]);
        core.replica.put("r/p/job-1/0", page, 13);
        let later = show(&core);
        core.replica.put("r/p/job-1/0", json!([[1, "vm-1", 1]]), 14);
        core.replica.put("r/m/vm-1", machine("other"), 15);
        core.note_ownership(&me, Instant::now());
        let lost = show(&core);
        insta::assert_snapshot!(format!("started again\n{later}machine lost\n{lost}"), @r"
        started again
        nothing
        machine lost
        nothing
        ");
    }
}
