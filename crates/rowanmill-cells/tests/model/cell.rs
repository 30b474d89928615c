//! One cell of the model: two controllers with the real replica, contact and planner; its own records with
//! their guards; and machines that hold leases.

use super::ledger::Ledger;
use super::{CELLS, CONTROLLERS, Fault, WORKER_LEASE};
use rowanmill_cells::contact::LedgerContact;
use rowanmill_cells::plan::{Action, LocalJobs, Planner};
use rowanmill_cells::record::{CapacitySummary, CellPresence, OwnershipVersion};
use rowanmill_cells::replica::LedgerReplica;
use rowanmill_cells::transaction::{self, Transaction};
use rowanmill_cells::{CellsConfig, LocalJobState, TrackedJob};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const RENEW: Duration = Duration::from_secs(3);

fn config(fault: Fault) -> CellsConfig {
    let cells = CELLS.iter().enumerate();
    let cells =
        cells.map(|(n, name)| json!({"name": name, "controllers": [format!("10.0.0.{n}:1")]}));
    let takeover_after_s = match fault {
        Fault::TakeOverAtOnce => 0.1,
        _ => 8.1,
    };
    let file = json!({"cells": cells.collect::<Vec<_>>(),
        "ledger": {"addr": "10.9.0.1:1", "rps": 1.0, "write_rps": 1.0, "value_kb": 8.0, "txn_ops": 8},
        "cell_lease_s": Ledger::CELL_LEASE.as_secs_f64(),
        "renew_without_ledger_s": RENEW.as_secs_f64(), "takeover_after_s": takeover_after_s,
        "spill": {"after_s": 3.0, "at_once": 4, "moves": 1000}});
    CellsConfig::parse(&file.to_string(), "model").unwrap()
}

/// A change of a cell's own records, with its guards.
#[derive(Clone)]
pub enum LocalChange {
    Put {
        id: String,
        ownership: OwnershipVersion,
        given_up: u64,
    },
    Cancel {
        id: String,
        mark: u64,
    },
    Withdraw {
        id: String,
        mark: u64,
        ownership: OwnershipVersion,
    },
}

#[derive(Clone, Copy, PartialEq)]
enum Stands {
    Open,
    Cancelled,
    Withdrawn,
}

#[derive(Clone, Copy)]
struct Record {
    stands: Stands,
    ownership: OwnershipVersion,
    mark: u64,
    since: Option<Instant>,
}

/// A cell's own records.
pub struct Records {
    revision: u64,
    open: BTreeMap<String, Record>,
    ended: BTreeMap<String, LocalJobState>,
    given_up: BTreeMap<String, (u64, u64)>,
}

impl Records {
    pub fn has(&self, id: &str) -> bool {
        self.open.contains_key(id) || self.ended.contains_key(id)
    }

    pub fn mark(&self, id: &str) -> Option<u64> {
        self.open.get(id).map(|record| record.mark)
    }

    /// The epoch and revision of a job's having been given up.
    pub fn given_up(&self, id: &str) -> Option<(u64, u64)> {
        self.given_up.get(id).copied()
    }

    /// Whether the guards held.
    pub fn apply(&mut self, change: &LocalChange) -> bool {
        self.revision += 1;
        let revision = self.revision;
        match change {
            LocalChange::Put {
                id,
                ownership,
                given_up,
            } => {
                let held = self.given_up.get(id).map_or(0, |(_, mark)| *mark);
                if self.has(id) || held != *given_up {
                    return false;
                }
                let record = Record {
                    stands: Stands::Open,
                    ownership: *ownership,
                    mark: revision,
                    since: None,
                };
                self.open.insert(id.clone(), record);
                true
            }
            LocalChange::Cancel { id, mark } => {
                self.change(id, *mark, |record| record.stands = Stands::Cancelled)
            }
            LocalChange::Withdraw {
                id,
                mark,
                ownership,
            } => self.change(id, *mark, |record| {
                record.stands = Stands::Withdrawn;
                record.ownership = *ownership;
            }),
        }
    }

    fn change(&mut self, id: &str, mark: u64, change: impl FnOnce(&mut Record)) -> bool {
        let revision = self.revision;
        let held = self.open.get_mut(id).filter(|record| record.mark == mark);
        held.is_some_and(|record| {
            change(record);
            record.mark = revision;
            true
        })
    }

    fn tracked(&self) -> Vec<TrackedJob> {
        let open = self.open.iter();
        open.map(|(id, record)| TrackedJob {
            id: id.clone(),
            ownership: record.ownership,
            is_stopped: record.stands != Stands::Open,
        })
        .collect()
    }
}

pub struct Controller {
    pub replica: LedgerReplica,
    contact: LedgerContact,
    pub planner: Planner,
    pub lease: Option<u64>,
    pub cut_until: Instant,
    paused_until: Instant,
    incarnation: u64,
    loaded: bool,
}

impl Controller {
    fn new(at: usize, fault: Fault, now: Instant, incarnation: u64) -> Self {
        Self {
            replica: LedgerReplica::new(CELLS),
            contact: LedgerContact::default(),
            planner: Planner::new(CELLS[at], &config(fault)),
            lease: None,
            cut_until: now,
            paused_until: now,
            incarnation,
            loaded: false,
        }
    }

    pub fn pause(&mut self, until: Instant) {
        self.paused_until = until;
    }

    pub fn stands_until(&self, now: Instant, dead_until: Instant) -> bool {
        self.paused_until > now || dead_until > now
    }

    pub fn is_loaded(&self) -> bool {
        self.loaded
    }
}

/// A task on a machine.
pub struct Task {
    ends: Instant,
    lease_ends: Instant,
}

pub struct Cell {
    at: usize,
    fault: Fault,
    pub controllers: Vec<Controller>,
    pub records: Records,
    pub running: BTreeMap<String, Task>,
    pub dead_until: Instant,
    /// Nothing more starts, and work waits.
    pub full: bool,
    incarnations: u64,
}

impl Cell {
    pub fn new(at: usize, fault: Fault, now: Instant) -> Self {
        Self {
            at,
            fault,
            controllers: (0..CONTROLLERS)
                .map(|n| Controller::new(at, fault, now, n as u64))
                .collect(),
            records: Records {
                revision: 0,
                open: BTreeMap::new(),
                ended: BTreeMap::new(),
                given_up: BTreeMap::new(),
            },
            running: BTreeMap::new(),
            dead_until: now,
            full: false,
            incarnations: CONTROLLERS as u64,
        }
    }

    /// Its controllers end; its machines run on for as long as their leases hold.
    pub fn kill(&mut self, until: Instant) {
        self.dead_until = until;
        for number in 0..CONTROLLERS {
            self.incarnations += 1;
            let now = self.controllers[number].cut_until;
            self.controllers[number] = Controller::new(self.at, self.fault, now, self.incarnations);
        }
    }

    /// No more troubles.
    pub fn calm(&mut self) {
        self.full = false;
    }

    /// A controller that reads the ledger now.
    pub fn reading(&self, now: Instant) -> Option<usize> {
        (0..CONTROLLERS).find(|n| {
            let controller = &self.controllers[*n];
            !controller.stands_until(now, self.dead_until) && controller.cut_until <= now
        })
    }

    pub fn read(&mut self, number: usize, ledger: &mut Ledger, now: Instant) {
        let tracked = self.records.tracked();
        let controller = &mut self.controllers[number];
        if !controller.loaded {
            controller.replica.reload_from_snapshot(Vec::new(), 0, now);
            controller.loaded = true;
        }
        let log = ledger.since(controller.replica.revision);
        controller.replica.apply_changes(log, ledger.revision, now);
        controller.contact.last_response_at = Some(now);
        let halted = controller
            .planner
            .halted_jobs(&controller.replica, &tracked);
        controller.contact.halted = halted.into();
        if controller.replica.is_present(CELLS[self.at]) {
            controller.contact.last_read_at = Some(now);
        }
    }

    /// Extends the cell's lease; returns what is to be written.
    pub fn keep_present(
        &mut self,
        number: usize,
        ledger: &mut Ledger,
        now: Instant,
    ) -> Option<Transaction> {
        let presence = CellPresence {
            controller: format!("m-{number}"),
            incarnation: self.controllers[number].incarnation,
            summary: CapacitySummary {
                free_cpus: 1.0,
                waiting_tasks: u64::from(self.full),
                ..CapacitySummary::default()
            },
        };
        let ends = now + Ledger::CELL_LEASE;
        let controller = &mut self.controllers[number];
        if let Some(lease) = controller.lease
            && !ledger.extend_lease(lease, ends)
        {
            controller.lease = None;
        }
        let lease = controller
            .lease
            .unwrap_or_else(|| ledger.create_lease(ends));
        controller.lease = Some(lease);
        let cell = CELLS[self.at];
        let held = controller.replica.cells[cell].presence.as_ref();
        let ours = held.filter(|held| {
            held.record.controller == presence.controller
                && held.record.incarnation == presence.incarnation
        });
        match ours {
            Some(held) if held.record == presence => None,
            Some(held) => Some(transaction::update_presence(cell, held, &presence, lease)),
            None => Some(transaction::register(
                &controller.replica,
                cell,
                &presence,
                lease,
            )),
        }
    }

    fn local(&self, id: &str, now: Instant) -> LocalJobState {
        if let Some(last) = self.records.ended.get(id) {
            return *last;
        }
        let Some(record) = self.records.open.get(id) else {
            return LocalJobState::Absent;
        };
        match record.stands {
            Stands::Cancelled => LocalJobState::Cancelling,
            Stands::Withdrawn => LocalJobState::Withdrawn,
            Stands::Open => LocalJobState::Open {
                has_started: self.running.contains_key(id),
                excluded_by_protection: false,
                age_ms: record
                    .since
                    .map_or(0, |since| now.duration_since(since).as_millis() as u64),
            },
        }
    }

    pub fn plan(&mut self, number: usize, now: Instant) -> Vec<Action> {
        for record in self.records.open.values_mut() {
            record.since.get_or_insert(now);
        }
        let controller = &self.controllers[number];
        if !controller.contact.permits_starts(now) {
            return Vec::new();
        }
        let owned = controller.planner.owned_jobs(&controller.replica);
        let owned = owned.into_iter().map(|id| {
            let local = self.local(&id, now);
            (id, local)
        });
        let local_jobs = LocalJobs {
            owned: owned.collect(),
            tracked: self.records.tracked(),
        };
        let controller = &mut self.controllers[number];
        let lost = controller
            .planner
            .takeover_candidates(&controller.replica, now);
        let runnable: BTreeSet<String> = lost.into_iter().map(|(id, _)| id.clone()).collect();
        controller
            .planner
            .plan(&controller.replica, &local_jobs, now, &runnable)
    }

    /// The controller that the cell's machines report to.
    fn reached(&self, now: Instant) -> Option<&Controller> {
        let there = |c: &&Controller| !c.stands_until(now, self.dead_until);
        self.controllers.iter().find(there)
    }

    fn is_halted(&self, controller: &Controller, id: &str) -> bool {
        let tracked = self.records.tracked();
        let job: Vec<TrackedJob> = tracked.into_iter().filter(|job| job.id == id).collect();
        let halted = controller.planner.halted_jobs(&controller.replica, &job);
        halted.contains(id) || controller.contact.halted.contains(id)
    }

    /// Machines report; returns the jobs that completed.
    pub fn report(&mut self, now: Instant) -> Vec<String> {
        let mut done = Vec::new();
        let mut stopped = Vec::new();
        let mut renewed = Vec::new();
        let reached = self.reached(now);
        for (id, task) in &self.running {
            if now >= task.lease_ends {
                stopped.push(id.clone());
                continue;
            }
            if now >= task.ends {
                done.push(id.clone());
                continue;
            }
            let Some(controller) = reached else {
                continue;
            };
            if !controller.contact.permits_renewals(RENEW, now) {
                continue;
            }
            let open = self.records.open.get(id);
            let may_run = open.is_some_and(|record| record.stands == Stands::Open);
            match may_run && !self.is_halted(controller, id) {
                true => renewed.push(id.clone()),
                false => stopped.push(id.clone()),
            }
        }
        for id in renewed {
            if let Some(task) = self.running.get_mut(&id) {
                task.lease_ends = now + WORKER_LEASE;
            }
        }
        for id in stopped.iter().chain(&done) {
            self.running.remove(id);
        }
        for id in &done {
            let open = self.records.open.get(id);
            if open.is_some_and(|record| record.stands == Stands::Open) {
                self.records.open.remove(id);
                self.records
                    .ended
                    .insert(id.clone(), LocalJobState::Completed);
            }
        }
        done
    }

    /// Jobs that a controller of the cell starts now.
    pub fn startable(&self, now: Instant) -> Vec<String> {
        let Some(controller) = self.reached(now).filter(|_| !self.full) else {
            return Vec::new();
        };
        let permits = controller.contact.permits_starts(now)
            || (self.fault == Fault::StartWithoutReading
                && controller.contact.last_read_at.is_some());
        let open = self.records.open.iter().filter(|_| permits);
        let open = open.filter(|(id, record)| {
            record.stands == Stands::Open
                && !self.running.contains_key(*id)
                && !self.is_halted(controller, id)
        });
        open.map(|(id, _)| id.clone()).collect()
    }

    pub fn start(&mut self, id: &str, now: Instant, takes: Duration) {
        let task = Task {
            ends: now + takes,
            lease_ends: now + WORKER_LEASE,
        };
        self.running.insert(id.to_owned(), task);
    }

    /// Records of jobs of which nothing runs here any more.
    pub fn settle(&mut self) {
        let left = self.records.open.iter().filter(|(id, record)| {
            record.stands != Stands::Open && !self.running.contains_key(*id)
        });
        let left: Vec<(String, Record)> = left.map(|(id, r)| (id.clone(), *r)).collect();
        for (id, record) in left {
            self.records.open.remove(&id);
            self.records.revision += 1;
            let revision = self.records.revision;
            if record.stands == Stands::Cancelled {
                self.records.ended.insert(id, LocalJobState::Cancelled);
            } else {
                let given_up = (record.ownership.epoch, revision);
                self.records.given_up.insert(id, given_up);
            }
        }
    }
}
