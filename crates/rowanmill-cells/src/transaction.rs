//! The ledger's changes, each under guards that make a late or repeated one harmless.

use crate::plan::Action;
use crate::record::{
    CellPresence, FinalState, Generation, LedgerJob, final_key, generation_key, job_key,
    presence_key,
};
use crate::replica::{LedgerReplica, Versioned};
use rowanmill_state::{Guard, Op};

/// Guards and changes of one transaction.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// What must hold.
    pub guards: Vec<Guard>,
    /// What changes then.
    pub changes: Vec<Op>,
}

fn guard(id: &str, mark: u64) -> Guard {
    Guard {
        k: job_key(id),
        mark,
    }
}

/// Publishes a job. Guarded by its absence among open and ended jobs: one of the two exists from the
/// first acceptance on, so that a late repeat fails.
pub fn publish(id: &str, job: &LedgerJob) -> Transaction {
    Transaction {
        guards: vec![Guard::absent(job_key(id)), Guard::absent(final_key(id))],
        changes: vec![Op::set(job_key(id), job)],
    }
}

/// Changes an open job: its owner, its epoch, or that it is cancelled.
pub fn change(id: &str, mark: u64, job: &LedgerJob) -> Transaction {
    Transaction {
        guards: vec![guard(id, mark)],
        changes: vec![Op::set(job_key(id), job)],
    }
}

/// Ends an open job. Any change of owner or cancellation since has moved its revision on.
pub fn finish(id: &str, mark: u64, last: FinalState) -> Transaction {
    Transaction {
        guards: vec![guard(id, mark)],
        changes: vec![Op::set(final_key(id), &last), Op::drop(job_key(id))],
    }
}

/// Registers a cell on a lease. The generation changes with it: a takeover that was sent while the cell
/// was away, and is carried out after it came back and left again, fails on that.
pub fn register(
    replica: &LedgerReplica,
    cell: &str,
    presence: &CellPresence,
    lease: u64,
) -> Transaction {
    let known = replica.cells.get(cell);
    let held = known.and_then(|known| known.presence.as_ref());
    let generation = known.and_then(|known| known.generation.as_ref());
    let next = Generation {
        count: generation.map_or(0, |g| g.record.count) + 1,
    };
    Transaction {
        guards: vec![
            Guard {
                k: presence_key(cell),
                mark: held.map_or(0, |held| held.mark),
            },
            Guard {
                k: generation_key(cell),
                mark: generation.map_or(0, |g| g.mark),
            },
        ],
        changes: vec![
            Op::set(presence_key(cell), presence).on_lease(lease),
            Op::set(generation_key(cell), &next),
        ],
    }
}

/// Says anew what a registered cell has to offer.
pub fn announce(
    cell: &str,
    held: &Versioned<CellPresence>,
    presence: &CellPresence,
    lease: u64,
) -> Transaction {
    Transaction {
        guards: vec![Guard {
            k: presence_key(cell),
            mark: held.mark,
        }],
        changes: vec![Op::set(presence_key(cell), presence).on_lease(lease)],
    }
}

/// A change of the ledger that the planner wants, and what holds once it is answered.
#[derive(Debug, Clone, Default)]
pub struct Step {
    /// The change.
    pub transaction: Transaction,
    /// Open jobs as they are then.
    pub records: Vec<(String, LedgerJob)>,
    /// A job that ended with it.
    pub ended: Option<(String, FinalState)>,
}

/// The change of the ledger that an action of `cell` asks for, by the records of now; none if it is about
/// the cell's own records alone, or the job is not there any more.
pub fn step(
    replica: &LedgerReplica,
    cell: &str,
    action: &Action,
    most_changes: usize,
) -> Option<Step> {
    let held = |id: &String| replica.jobs.get(id);
    match action {
        Action::Finish { id, last } => {
            let held = held(id)?;
            // A cancellation that the ledger has by now wins over an end that it has not.
            let last = match held.record.cancelled {
                true => FinalState::Cancelled,
                false => *last,
            };
            Some(Step {
                transaction: finish(id, held.mark, last),
                ended: Some((id.clone(), last)),
                ..Step::default()
            })
        }
        Action::CancelInLedger { id } => {
            let held = held(id)?;
            Some(changing(id, held, held.record.clone().into_cancelled()))
        }
        Action::Claim { id } => {
            let held = held(id)?;
            Some(changing(id, held, held.record.claimed_anew()))
        }
        Action::HandOver { id, to, waited } => {
            let held = held(id)?;
            let mut record = held.record.owned_by(to);
            match waited {
                true => record.moves += 1,
                false => record.declined.push(cell.to_owned()),
            }
            Some(changing(id, held, record))
        }
        Action::TakeOver { from, ids } => Some(take_over(replica, cell, from, ids, most_changes)),
        Action::Adopt { .. }
        | Action::Cancel { .. }
        | Action::Withdraw { .. }
        | Action::GiveUp { .. }
        | Action::LookUp { .. } => None,
    }
}

fn changing(id: &str, held: &Versioned<LedgerJob>, record: LedgerJob) -> Step {
    Step {
        transaction: change(id, held.mark, &record),
        records: vec![(id.to_owned(), record)],
        ended: None,
    }
}

/// Most bytes of a transaction's changes: the service takes 64 KiB in all.
const MOST_BYTES: usize = 44 << 10;

/// Takes over as many jobs of a cell that is gone as fit a transaction; the rest goes with the next round.
fn take_over(
    replica: &LedgerReplica,
    cell: &str,
    from: &str,
    ids: &[String],
    most_changes: usize,
) -> Step {
    let mut step = Step::default();
    step.transaction.guards = replica.absence_guards(from).to_vec();
    let mut bytes = 0;
    for id in ids {
        let Some(held) = replica.jobs.get(id).filter(|job| job.record.owner == from) else {
            continue;
        };
        let record = held.record.owned_by(cell);
        let change = Op::set(job_key(id), &record);
        bytes += change.bytes();
        let is_full = bytes > MOST_BYTES || step.records.len() == most_changes;
        if is_full && !step.records.is_empty() {
            break;
        }
        step.transaction.guards.push(guard(id, held.mark));
        step.transaction.changes.push(change);
        step.records.push((id.clone(), record));
    }
    step
}
