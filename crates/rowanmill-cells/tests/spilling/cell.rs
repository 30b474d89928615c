//! A simulated cell with the real ledger replica and planner. Renting and machines are modelled only as far as they
//! determine how long jobs wait.

use super::{Ledger, NAMES};
use rowanmill_cells::plan::{Action, LocalJobs, Planner};
use rowanmill_cells::record::{CapacitySummary, CellPresence};
use rowanmill_cells::replica::LedgerReplica;
use rowanmill_cells::transaction::{self, LedgerChange};
use rowanmill_cells::{CellsConfig, LocalJobState};
use rowanmill_config::ConfigFile;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Shorter than [`RENTING_DURATION`], so that jobs are spilled while machines boot.
pub const SPILL_AFTER: Duration = Duration::from_secs(1);
pub const SPILL_MOVES: u32 = 3;
/// Interval at which the cell publishes its summary.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(3);
/// Time from the first waiting job until machines are ready or the cloud has rejected the request.
const RENTING_DURATION: Duration = Duration::from_secs(5);
/// Time for which the cell reports that it cannot rent after a rejected request.
const REJECTION_DURATION: Duration = Duration::from_secs(20);
const TASK_DURATION: Duration = Duration::from_secs(2);
const MAX_OPERATIONS: usize = 8;
/// Longer than a schedule, because cells never become absent in these simulations.
const LEASE: Duration = Duration::from_secs(1_000);

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Capacity {
    /// The cell can rent this many machines, each for one job.
    Machines(usize),
    /// The cloud rejects every request. The summary says so only after the first rejection.
    None,
    /// The cell declines the jobs of other cells, which its summary does not show.
    Declines,
}

/// A job in the cell's own records.
struct LocalJob {
    adopted_at: Instant,
    started_at: Option<Instant>,
}

pub struct Cell {
    name: &'static str,
    capacity: Capacity,
    replica: LedgerReplica,
    planner: Planner,
    lease: u64,
    records: BTreeMap<String, LocalJob>,
    completed: BTreeSet<String>,
    waiting_since: Option<Instant>,
    has_machines: bool,
    rejected_until: Option<Instant>,
    published_at: Instant,
    /// Time until which the cell does not read the ledger.
    pub lags_until: Instant,
}

fn config() -> CellsConfig {
    let cells: Vec<_> = NAMES
        .iter()
        .enumerate()
        .map(|(n, name)| json!({"name": name, "controllers": [format!("10.0.0.{n}:1")]}))
        .collect();
    let file = json!({"cells": cells,
        "ledger": {"addr": "10.9.0.1:1", "rps": 1.0, "write_rps": 1.0, "value_kb": 8.0, "txn_ops": 8},
        "cell_lease_s": Ledger::CELL_LEASE.as_secs_f64(), "renew_without_ledger_s": 3.0, "takeover_after_s": 8.1,
        "spill": {"after_s": SPILL_AFTER.as_secs_f64(), "at_once": 4, "moves": SPILL_MOVES}});
    CellsConfig::parse(&file.to_string(), "spilling").unwrap()
}

impl Cell {
    pub fn register(
        name: &'static str,
        capacity: Capacity,
        ledger: &mut Ledger,
        now: Instant,
    ) -> Self {
        let mut cell = Self {
            name,
            capacity,
            replica: LedgerReplica::new(NAMES),
            planner: Planner::new(name, &config()),
            lease: ledger.create_lease(now + LEASE),
            records: BTreeMap::new(),
            completed: BTreeSet::new(),
            waiting_since: None,
            has_machines: false,
            rejected_until: None,
            published_at: now,
            lags_until: now,
        };
        cell.read_ledger(ledger, now);
        let presence = cell.presence(now);
        let registration = transaction::register(&cell.replica, name, &presence, cell.lease);
        ledger.commit(&registration, now).unwrap();
        cell
    }

    pub fn step(&mut self, ledger: &mut Ledger, now: Instant) {
        assert!(ledger.extend_lease(self.lease, now + LEASE));
        if self.lags_until <= now {
            self.read_ledger(ledger, now);
        }
        self.run_machines(now);
        self.publish(ledger, now);
        let local_jobs = LocalJobs {
            owned: self.owned_job_states(now),
            tracked: Vec::new(),
        };
        let actions = self
            .planner
            .plan(&self.replica, &local_jobs, now, &BTreeSet::new());
        for action in actions {
            self.carry_out(&action, ledger, now);
        }
    }

    /// Reads the changes since the last read, and some earlier ones again, because responses may overlap.
    fn read_ledger(&mut self, ledger: &Ledger, now: Instant) {
        if self.replica.revision == 0 {
            self.replica.reload_from_snapshot(Vec::new(), 0, now);
        }
        let changes = ledger.changes_since(self.replica.revision.saturating_sub(2));
        self.replica.apply_changes(changes, ledger.revision, now);
    }

    fn owned_job_states(&self, now: Instant) -> Vec<(String, LocalJobState)> {
        let owned = self.planner.owned_jobs(&self.replica).into_iter();
        let with_state = owned.map(|id| {
            let state = self.local_state(&id, now);
            (id, state)
        });
        with_state.collect()
    }

    fn local_state(&self, id: &str, now: Instant) -> LocalJobState {
        if self.completed.contains(id) {
            return LocalJobState::Completed;
        }
        match self.records.get(id) {
            Some(job) => LocalJobState::Open {
                has_started: job.started_at.is_some(),
                age_ms: now.duration_since(job.adopted_at).as_millis() as u64,
                excluded_by_protection: false,
            },
            None => LocalJobState::Absent,
        }
    }

    fn carry_out(&mut self, action: &Action, ledger: &mut Ledger, now: Instant) {
        let epoch_of = |replica: &LedgerReplica, id: &str| replica.jobs[id].record.epoch;
        match action {
            Action::Adopt { id } if self.capacity == Capacity::Declines => {
                let epoch = epoch_of(&self.replica, id);
                self.planner.record_ineligible(id, epoch, now);
            }
            Action::Adopt { id } => {
                let job = LocalJob {
                    adopted_at: now,
                    started_at: None,
                };
                self.records.insert(id.clone(), job);
            }
            Action::Withdraw { id, ownership, .. } => {
                self.records.remove(id);
                self.planner.record_relinquished(id, ownership.epoch);
            }
            Action::Relinquish { id, epoch } => self.planner.record_relinquished(id, *epoch),
            other => self.change_ledger(other, ledger, now),
        }
    }

    fn change_ledger(&mut self, action: &Action, ledger: &mut Ledger, now: Instant) {
        let change = LedgerChange::for_action(&self.replica, self.name, action, MAX_OPERATIONS);
        let change = change.expect("the action should change the ledger");
        let Ok(revision) = ledger.commit(&change.transaction, now) else {
            return;
        };
        for (id, record) in change.updated_jobs {
            self.replica.apply_own_write(&id, record, revision, now);
        }
        if let Some((id, final_state)) = change.ended_job {
            self.replica.record_final_state(&id, final_state);
        }
    }

    /// Completes tasks, rents machines for waiting jobs, and starts jobs on free machines.
    fn run_machines(&mut self, now: Instant) {
        let ended = self.records.extract_if(.., |_, job| {
            job.started_at.is_some_and(|at| now >= at + TASK_DURATION)
        });
        self.completed.extend(ended.map(|(id, _)| id));
        if self.waiting_jobs() == 0 {
            self.waiting_since = None;
            return;
        }
        let since = *self.waiting_since.get_or_insert(now);
        if now >= since + RENTING_DURATION {
            match self.capacity {
                Capacity::Machines(_) => self.has_machines = true,
                Capacity::None | Capacity::Declines => {
                    self.rejected_until = Some(now + REJECTION_DURATION)
                }
            }
        }
        let free = self.free_machines();
        let waiting = self
            .records
            .values_mut()
            .filter(|job| job.started_at.is_none());
        for job in waiting.take(free) {
            job.started_at = Some(now);
        }
    }

    fn waiting_jobs(&self) -> usize {
        let jobs = self.records.values();
        jobs.filter(|job| job.started_at.is_none()).count()
    }

    fn free_machines(&self) -> usize {
        let running = self.records.len() - self.waiting_jobs();
        match self.capacity {
            Capacity::Machines(count) if self.has_machines => count - running,
            _ => 0,
        }
    }

    fn presence(&self, now: Instant) -> CellPresence {
        let owned = self.owned_job_states(now);
        let outside = self
            .planner
            .count_jobs_outside_records(&self.replica, &owned);
        CellPresence {
            controller: "m-0".to_owned(),
            incarnation: 1,
            summary: CapacitySummary {
                computed_ms: 0,
                waiting_tasks: self.waiting_jobs() as u64 + outside,
                free_cpus: self.free_machines() as f64,
                can_rent: self.rejected_until.is_none_or(|until| until <= now),
                ledger_revision: Some(self.replica.revision),
            },
        }
    }

    fn publish(&mut self, ledger: &mut Ledger, now: Instant) {
        if now < self.published_at + PUBLISH_INTERVAL {
            return;
        }
        let presence = self.presence(now);
        let held = self.replica.cells[self.name].presence.as_ref();
        let Some(held) = held else {
            return;
        };
        let update = transaction::update_presence(self.name, held, &presence, self.lease);
        if ledger.commit(&update, now).is_ok() {
            self.published_at = now;
        }
    }
}
