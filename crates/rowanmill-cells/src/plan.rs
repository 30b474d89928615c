//! What a cell's leader does next: a state machine over the ledger's replica, the cell's own records and
//! the time. It looks at what is, never at what was asked for, so that a controller that takes the lead
//! goes on where another stopped.

use crate::config::CellsConfig;
use crate::ranking::{Candidate, Ranking};
use crate::record::{FinalState, LedgerJob, Stamp};
use crate::replica::{LedgerReplica, Versioned};
use crate::scheduler::{LocalJob, StampedJob};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// One thing to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Put an owned job into the cell's records.
    Adopt {
        /// The job.
        id: String,
    },
    /// Record that an owned job is cancelled.
    Cancel {
        /// The job.
        id: String,
    },
    /// Record that a job is to be another cell's.
    Withdraw {
        /// The job.
        id: String,
        /// What the ledger says of it.
        stamp: Stamp,
        /// Unless something of it was started.
        only_unbegun: bool,
    },
    /// Tell the ledger how an owned job ended.
    Finish {
        /// The job.
        id: String,
        /// How.
        last: FinalState,
    },
    /// Tell the ledger that an owned job is cancelled, because one that it waited for is.
    CancelInLedger {
        /// The job.
        id: String,
    },
    /// Change the owner of a job that the cell has given up.
    HandOver {
        /// The job.
        id: String,
        /// The next owner.
        to: String,
        /// Because it waited: such moves are counted.
        waited: bool,
    },
    /// Raise the epoch of a job that was given up and found no taker.
    Claim {
        /// The job.
        id: String,
    },
    /// Record that the cell gives up a job that it never had in its records.
    GiveUp {
        /// The job.
        id: String,
        /// The epoch of the ledger's record.
        epoch: u64,
    },
    /// Take over jobs of a cell that is gone.
    TakeOver {
        /// The cell.
        from: String,
        /// The jobs.
        ids: Vec<String>,
    },
    /// Read how a job ended.
    LookUp {
        /// The job.
        id: String,
    },
}

/// What the cell's records say.
#[derive(Debug, Clone, Default)]
pub struct Picture {
    /// Of each job that the ledger says is this cell's.
    pub owned: Vec<(String, LocalJob)>,
    /// Of all jobs of its records that the ledger should know.
    pub stamped: Vec<StampedJob>,
}

/// A cell's summary counts for so long.
const SUMMARY_COUNTS: Duration = Duration::from_secs(15);
/// Of several cells that may take over a job, each next one waits so much longer.
const NEXT_TAKES_AFTER: Duration = Duration::from_secs(2);
/// Then a job that nobody else took is looked at again: settings change, and protections end.
const UNFIT_COUNTS: Duration = Duration::from_secs(60);
/// A controller that accepts a job puts it into the records within this; after it the leader does.
const PUT_WITHIN: Duration = Duration::from_secs(1);
/// Most jobs that are put into the records in one round.
const MOST_ADOPTED: usize = 64;
/// Most final states that are looked up in one round.
const MOST_LOOKED_UP: usize = 8;

/// Whether what a job waits for is over.
enum Awaited {
    Done,
    Open,
    Cancelled,
    Unknown(String),
}

/// When a job was found to be unfit for the cell.
#[derive(Debug, Clone, Copy)]
struct Unfit {
    epoch: u64,
    since: Instant,
}

/// The state machine.
#[derive(Debug)]
pub struct Planner {
    cell: String,
    takeover_after: Duration,
    spill_after: Option<Duration>,
    spill_at_once: usize,
    spill_moves: u32,
    ranking: Ranking,
    /// Since when owned jobs are not in the cell's records.
    missing: BTreeMap<String, Instant>,
    /// Jobs that the records say were given up, with the epoch of that.
    given_up: BTreeMap<String, u64>,
    /// Jobs that this cell cannot run, or may not now.
    unfit: BTreeMap<String, Unfit>,
}

impl Planner {
    /// A planner for one of the cells.
    pub fn new(cell: &str, config: &CellsConfig) -> Self {
        Self {
            cell: cell.to_owned(),
            takeover_after: config.takeover_after(),
            spill_after: config.spill.after_s.map(Duration::from_secs_f64),
            spill_at_once: config.spill.at_once,
            spill_moves: config.spill.moves,
            ranking: config.ranking.clone(),
            missing: BTreeMap::new(),
            given_up: BTreeMap::new(),
            unfit: BTreeMap::new(),
        }
    }

    /// The records say that the cell gave up the job under this epoch.
    pub fn note_given_up(&mut self, id: &str, epoch: u64) {
        self.given_up.insert(id.to_owned(), epoch);
    }

    /// The cell cannot run the job, or may not now.
    pub fn note_unfit(&mut self, id: &str, epoch: u64, now: Instant) {
        let unfit = Unfit { epoch, since: now };
        self.unfit.insert(id.to_owned(), unfit);
    }

    /// The jobs that the ledger says are this cell's.
    pub fn owned(&self, replica: &LedgerReplica) -> Vec<String> {
        let jobs = replica.jobs.iter();
        let owned = jobs.filter(|(_, job)| job.record.owner == self.cell);
        owned.map(|(id, _)| id.clone()).collect()
    }

    /// Which of these jobs of the records this cell must not run. It holds for each controller, whether
    /// it leads or not.
    pub fn halted(&self, replica: &LedgerReplica, stamped: &[StampedJob]) -> BTreeSet<String> {
        let halted = stamped.iter().filter(|job| self.is_halted(replica, job));
        halted.map(|job| job.id.clone()).collect()
    }

    fn is_halted(&self, replica: &LedgerReplica, job: &StampedJob) -> bool {
        match replica.jobs.get(&job.id) {
            Some(held) => held.record.cancelled || held.record.owner != self.cell,
            // It ended, unless this replica has yet to read of its acceptance.
            None => replica.revision >= job.stamp.mark,
        }
    }

    /// What is to be done now. `runnable` are those of `lost` that this cell could run.
    pub fn plan(
        &mut self,
        replica: &LedgerReplica,
        picture: &Picture,
        now: Instant,
        runnable: &BTreeSet<String>,
    ) -> Vec<Action> {
        self.forget_settled(replica, now);
        self.note_missing(picture, now);
        let mut actions = Vec::new();
        let mut adopted = 0;
        let mut looked_up = 0;
        let mut leaving = self.given_up.len() + count_withdrawn(picture);
        for (id, local) in &picture.owned {
            let Some(job) = replica.jobs.get(id) else {
                continue;
            };
            let Some(action) = self.step(replica, id, job, *local, leaving, now) else {
                continue;
            };
            match &action {
                Action::Adopt { .. } if adopted == MOST_ADOPTED => continue,
                Action::Adopt { .. } => adopted += 1,
                Action::LookUp { .. } if looked_up == MOST_LOOKED_UP => continue,
                Action::LookUp { .. } => looked_up += 1,
                Action::Withdraw { .. } => {
                    leaving += 1;
                    // Protection that began after it was taken: it goes back to its home.
                    if let LocalJob::Open {
                        is_barred: true, ..
                    } = local
                    {
                        self.note_unfit(id, job.record.epoch, now);
                    }
                }
                _ => {}
            }
            actions.push(action);
        }
        actions.extend(self.withdrawals(replica, &picture.stamped));
        actions.extend(self.takeovers(replica, now, runnable));
        actions
    }

    fn forget_settled(&mut self, replica: &LedgerReplica, now: Instant) {
        let holds = |id: &String, epoch: u64| {
            let job = replica.jobs.get(id);
            job.is_some_and(|job| job.record.epoch == epoch)
        };
        self.given_up.retain(|id, epoch| holds(id, *epoch));
        self.unfit.retain(|id, unfit| {
            let age = now.saturating_duration_since(unfit.since);
            holds(id, unfit.epoch) && age < UNFIT_COUNTS
        });
    }

    fn note_missing(&mut self, picture: &Picture, now: Instant) {
        let missing = picture.owned.iter();
        let missing = missing.filter(|(_, local)| *local == LocalJob::Absent);
        let since = |id: &String| self.missing.get(id).copied().unwrap_or(now);
        self.missing = missing.map(|(id, _)| (id.clone(), since(id))).collect();
    }

    /// Whether the controller that accepted the job may still be about to put it into the records.
    fn is_being_put(&self, id: &str, job: &LedgerJob, now: Instant) -> bool {
        let since = self.missing.get(id).copied().unwrap_or(now);
        job.epoch == 1 && job.awaits.is_empty() && now.saturating_duration_since(since) < PUT_WITHIN
    }

    /// The next step of one owned job.
    fn step(
        &self,
        replica: &LedgerReplica,
        id: &str,
        job: &Versioned<LedgerJob>,
        local: LocalJob,
        leaving: usize,
        now: Instant,
    ) -> Option<Action> {
        let id = id.to_owned();
        let cancelled = job.record.cancelled;
        match local {
            LocalJob::Open { .. } if cancelled => Some(Action::Cancel { id }),
            LocalJob::Open {
                begun: false,
                is_barred: true,
                ..
            } => Some(Action::Withdraw {
                id,
                stamp: stamp_of(job),
                only_unbegun: true,
            }),
            LocalJob::Open { begun, age_ms, .. } => {
                let waits = !begun && self.may_spill(replica, job, age_ms, leaving, now);
                waits.then(|| Action::Withdraw {
                    id,
                    stamp: stamp_of(job),
                    only_unbegun: true,
                })
            }
            LocalJob::Cancelled | LocalJob::Withdrawn => None,
            LocalJob::Done if !cancelled => Some(Action::Finish {
                id,
                last: FinalState::Done,
            }),
            // Nothing of it runs here, and nobody else runs it.
            LocalJob::Done | LocalJob::EndedCancelled => Some(Action::Finish {
                id,
                last: FinalState::Cancelled,
            }),
            LocalJob::Absent if cancelled => Some(Action::Finish {
                id,
                last: FinalState::Cancelled,
            }),
            LocalJob::Absent => self.place(replica, id, job, now),
        }
    }

    /// An owned job that is not in the cell's records.
    fn place(
        &self,
        replica: &LedgerReplica,
        id: String,
        job: &Versioned<LedgerJob>,
        now: Instant,
    ) -> Option<Action> {
        let unfit = self.unfit.contains_key(&id);
        if self.given_up.contains_key(&id) {
            let to = self.choose_taker(replica, &job.record, unfit, now);
            return match to {
                Some(to) => Some(Action::HandOver {
                    id,
                    to,
                    waited: !unfit,
                }),
                // Nobody could take it: it stays until another cell is there.
                None if unfit => None,
                None => Some(Action::Claim { id }),
            };
        }
        if unfit {
            let epoch = job.record.epoch;
            return Some(Action::GiveUp { id, epoch });
        }
        if self.is_being_put(&id, &job.record, now) {
            return None;
        }
        match awaited(replica, &job.record) {
            Awaited::Done => Some(Action::Adopt { id }),
            Awaited::Open => None,
            Awaited::Cancelled => Some(Action::CancelInLedger { id }),
            Awaited::Unknown(id) => Some(Action::LookUp { id }),
        }
    }

    /// Whether a job that waits should go elsewhere: it has waited for long and has not been moved too
    /// often, or the cell is being drained; few are on their way, and another cell has room and nothing that waits for it.
    fn may_spill(
        &self,
        replica: &LedgerReplica,
        job: &Versioned<LedgerJob>,
        age_ms: u64,
        leaving: usize,
        now: Instant,
    ) -> bool {
        let waited = self
            .spill_after
            .is_some_and(|after| Duration::from_millis(age_ms) >= after);
        let may_move = waited && job.record.moves < self.spill_moves;
        (may_move || replica.is_draining(&self.cell))
            && leaving < self.spill_at_once
            && self
                .choose_taker(replica, &job.record, false, now)
                .is_some()
    }

    /// The cell that should have a job: of those that are there and have not declined it, the one with
    /// most room. One that cannot run it goes to its home rather than to nobody.
    fn choose_taker(
        &self,
        replica: &LedgerReplica,
        job: &LedgerJob,
        unfit: bool,
        now: Instant,
    ) -> Option<String> {
        let home = &job.home;
        if unfit && *home != self.cell && replica.is_present(home) {
            return Some(home.clone());
        }
        let cells = replica.cells.keys().filter(|name| {
            **name != self.cell
                && !job.declined.contains(name)
                && replica.is_present(name)
                && !replica.is_draining(name)
        });
        let candidates = cells.filter_map(|name| candidate(replica, name, now));
        let candidates: Vec<Candidate> = candidates.collect();
        self.ranking.choose(&job.description, &candidates)
    }

    /// Jobs of the records that are another cell's by now, or over.
    fn withdrawals(&self, replica: &LedgerReplica, stamped: &[StampedJob]) -> Vec<Action> {
        let mut actions = Vec::new();
        for job in stamped {
            let held = replica.jobs.get(&job.id);
            let is_ours = held.is_some_and(|held| held.record.owner == self.cell);
            if job.stopped || is_ours || replica.is_unreadable(&job.id) {
                continue;
            }
            if self.is_halted(replica, job) {
                actions.push(Action::Withdraw {
                    id: job.id.clone(),
                    stamp: held.map_or(job.stamp, stamp_of),
                    only_unbegun: false,
                });
            }
        }
        actions
    }

    /// Jobs of cells that are provably gone and that are for this cell to take. Cells take them in an
    /// order that differs from job to job.
    pub fn lost<'a>(
        &self,
        replica: &'a LedgerReplica,
        now: Instant,
    ) -> Vec<(&'a String, &'a LedgerJob)> {
        let jobs = replica.jobs.iter();
        let lost = jobs.filter(|(id, job)| self.is_lost(replica, id, &job.record, now));
        lost.map(|(id, job)| (id, &job.record)).collect()
    }

    fn is_lost(&self, replica: &LedgerReplica, id: &str, job: &LedgerJob, now: Instant) -> bool {
        let is_ours = job.owner == self.cell || job.declined.contains(&self.cell);
        if is_ours || replica.is_draining(&self.cell) {
            return false;
        }
        let absent = absent_for(replica, &job.owner, now);
        absent.is_some_and(|absent| {
            absent >= self.takeover_after
                && absent >= self.takeover_after + NEXT_TAKES_AFTER * self.turn(replica, id)
        })
    }

    fn takeovers(
        &self,
        replica: &LedgerReplica,
        now: Instant,
        runnable: &BTreeSet<String>,
    ) -> Vec<Action> {
        let mut lost: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for (id, job) in self.lost(replica, now) {
            if runnable.contains(id) {
                lost.entry(&job.owner).or_default().push(id.clone());
            }
        }
        let take_over = |(from, ids): (&str, Vec<String>)| Action::TakeOver {
            from: from.to_owned(),
            ids,
        };
        lost.into_iter().map(take_over).collect()
    }

    /// How many of the cells that are there come before this one for a job.
    fn turn(&self, replica: &LedgerReplica, id: &str) -> u32 {
        let weight = |cell: &str| {
            let mut hasher = DefaultHasher::new();
            (cell, id).hash(&mut hasher);
            hasher.finish()
        };
        let own = weight(&self.cell);
        let others = replica.cells.keys();
        let before = others.filter(|name| {
            replica.is_present(name) && !replica.is_draining(name) && weight(name) > own
        });
        before.count() as u32
    }
}

/// What a cell said to have to spare; nothing if that is old, or if work waits there.
fn candidate(replica: &LedgerReplica, cell: &str, now: Instant) -> Option<Candidate> {
    let state = replica.cells.get(cell)?;
    let summary = &state.presence.as_ref()?.record.summary;
    let age = now.saturating_duration_since(state.heard_at?);
    let candidate = Candidate {
        name: cell.to_owned(),
        free_cpus: summary.free_cpus,
        can_rent: summary.can_rent,
    };
    let counts = age <= SUMMARY_COUNTS && summary.waiting == 0 && candidate.room() > 0.0;
    counts.then_some(candidate)
}

fn stamp_of(job: &Versioned<LedgerJob>) -> Stamp {
    Stamp {
        epoch: job.record.epoch,
        mark: job.mark,
    }
}

fn count_withdrawn(picture: &Picture) -> usize {
    let withdrawn = |(_, local): &&(String, LocalJob)| *local == LocalJob::Withdrawn;
    picture.owned.iter().filter(withdrawn).count()
}

fn absent_for(replica: &LedgerReplica, cell: &str, now: Instant) -> Option<Duration> {
    let state = replica.cells.get(cell)?;
    if state.presence.is_some() {
        return None;
    }
    state
        .absent_since
        .map(|since| now.saturating_duration_since(since))
}

fn awaited(replica: &LedgerReplica, job: &LedgerJob) -> Awaited {
    let mut all = Awaited::Done;
    for id in &job.awaits {
        if let Some(held) = replica.jobs.get(id) {
            if held.record.cancelled {
                return Awaited::Cancelled;
            }
            all = Awaited::Open;
            continue;
        }
        match replica.final_state(id) {
            Some(FinalState::Done) => {}
            Some(FinalState::Cancelled) => return Awaited::Cancelled,
            None => return Awaited::Unknown(id.clone()),
        }
    }
    all
}

#[cfg(test)]
mod tests;
