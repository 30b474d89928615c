//! A simulated cell: its controllers, its own records of jobs, and the tasks on its machines, which have leases.

use super::controller::{Controller, RENEW_WITHOUT_LEDGER};
use super::records::{LocalRecords, RecordState};
use super::{CELLS, CONTROLLERS_PER_CELL, Defect, Ledger, WORKER_LEASE};
use rowanmill_cells::LocalJobState;
use rowanmill_cells::plan::{Action, LocalJobs};
use rowanmill_cells::record::{CapacitySummary, CellPresence};
use rowanmill_cells::transaction::Transaction;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The running task of a job.
pub struct Task {
    completes_at: Instant,
    lease_end: Instant,
}

/// The effect of a machine's heartbeat on its task.
enum HeartbeatOutcome {
    Completed,
    Stopped,
    Renewed,
    /// No controller is running, or it may not renew leases. The task runs until its lease expires.
    Unanswered,
}

pub struct Cell {
    name: &'static str,
    defect: Defect,
    pub controllers: Vec<Controller>,
    pub records: LocalRecords,
    pub running: BTreeMap<String, Task>,
    /// Time until which all its controllers are down.
    down_until: Instant,
    /// Whether the cell has no room: no tasks start, and its summary reports waiting work.
    pub is_full: bool,
    last_incarnation: u64,
}

impl Cell {
    pub fn new(name: &'static str, defect: Defect, now: Instant) -> Self {
        let controllers = 0..CONTROLLERS_PER_CELL;
        Self {
            name,
            defect,
            controllers: controllers
                .map(|number| Controller::new(name, defect, now, number as u64))
                .collect(),
            records: LocalRecords::default(),
            running: BTreeMap::new(),
            down_until: now,
            is_full: false,
            last_incarnation: CONTROLLERS_PER_CELL as u64,
        }
    }

    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Stops all controllers until the given time and replaces them by new incarnations. Tasks run on until their
    /// leases expire.
    pub fn kill_controllers(&mut self, until: Instant) {
        self.down_until = until;
        for controller in &mut self.controllers {
            self.last_incarnation += 1;
            let cut_off_until = controller.cut_off_until;
            *controller =
                Controller::new(self.name, self.defect, cut_off_until, self.last_incarnation);
        }
    }

    pub fn is_running(&self, controller: usize, now: Instant) -> bool {
        self.down_until <= now && self.controllers[controller].paused_until <= now
    }

    /// Whether any of its controllers is running and reaches the ledger.
    pub fn reaches_ledger(&self, now: Instant) -> bool {
        (0..CONTROLLERS_PER_CELL).any(|controller| {
            self.is_running(controller, now) && self.controllers[controller].reaches_ledger(now)
        })
    }

    pub fn read_ledger(&mut self, controller: usize, ledger: &Ledger, now: Instant) {
        let tracked = self.records.tracked_jobs();
        self.controllers[controller].read_ledger(ledger, &tracked, now);
    }

    /// Extends the cell's lease or creates a new one; returns the transaction that registers the cell or updates its
    /// presence, if one is needed.
    pub fn renew_presence(
        &mut self,
        controller: usize,
        ledger: &mut Ledger,
        now: Instant,
    ) -> Option<Transaction> {
        let presence = CellPresence {
            controller: format!("m-{controller}"),
            incarnation: 0,
            summary: CapacitySummary {
                free_cpus: 1.0,
                waiting_tasks: u64::from(self.is_full),
                ..CapacitySummary::default()
            },
        };
        self.controllers[controller].renew_presence(presence, ledger, now)
    }

    fn local_state(&self, id: &str, now: Instant) -> LocalJobState {
        if let Some(ended) = self.records.ended.get(id) {
            return *ended;
        }
        let Some(record) = self.records.open.get(id) else {
            return LocalJobState::Absent;
        };
        let age = record
            .seen_since
            .map_or(Duration::ZERO, |since| now.duration_since(since));
        match record.state {
            RecordState::Cancelled => LocalJobState::Cancelling,
            RecordState::Withdrawn => LocalJobState::Withdrawn,
            RecordState::Open => LocalJobState::Open {
                has_started: self.running.contains_key(id),
                excluded_by_protection: false,
                age_ms: age.as_millis() as u64,
            },
        }
    }

    /// Plans with a controller; returns the actions to carry out.
    pub fn plan(&mut self, controller: usize, now: Instant) -> Vec<Action> {
        for record in self.records.open.values_mut() {
            record.seen_since.get_or_insert(now);
        }
        let planning = &self.controllers[controller];
        if !planning.contact.permits_starts(now) {
            return Vec::new();
        }
        let owned = planning.planner.owned_jobs(&planning.replica);
        let with_state = owned.into_iter().map(|id| {
            let state = self.local_state(&id, now);
            (id, state)
        });
        let local_jobs = LocalJobs {
            owned: with_state.collect(),
            tracked: self.records.tracked_jobs(),
        };
        let planning = &mut self.controllers[controller];
        let replica = &planning.replica;
        let candidates = planning.planner.takeover_candidates(replica, now);
        let runnable: BTreeSet<String> = candidates.into_iter().map(|(id, _)| id.clone()).collect();
        planning.planner.plan(replica, &local_jobs, now, &runnable)
    }

    /// The controller that the cell's machines report to.
    fn reached_controller(&self, now: Instant) -> Option<&Controller> {
        let reached = (0..CONTROLLERS_PER_CELL).find(|number| self.is_running(*number, now));
        reached.map(|number| &self.controllers[number])
    }

    /// Handles the heartbeats of all machines; returns the jobs that completed.
    pub fn handle_heartbeats(&mut self, now: Instant) -> Vec<String> {
        // All outcomes are determined before the first one changes a record.
        let outcomes: Vec<(String, HeartbeatOutcome)> = self
            .running
            .keys()
            .map(|id| (id.clone(), self.heartbeat_outcome(id, now)))
            .collect();
        let mut completed = Vec::new();
        for (id, outcome) in outcomes {
            match outcome {
                HeartbeatOutcome::Completed => {
                    self.running.remove(&id);
                    self.records.complete(&id);
                    completed.push(id);
                }
                HeartbeatOutcome::Stopped => {
                    self.running.remove(&id);
                }
                HeartbeatOutcome::Renewed => {
                    if let Some(task) = self.running.get_mut(&id) {
                        task.lease_end = now + WORKER_LEASE;
                    }
                }
                HeartbeatOutcome::Unanswered => {}
            }
        }
        completed
    }

    fn heartbeat_outcome(&self, id: &str, now: Instant) -> HeartbeatOutcome {
        let task = &self.running[id];
        if now >= task.lease_end {
            return HeartbeatOutcome::Stopped;
        }
        if now >= task.completes_at {
            return HeartbeatOutcome::Completed;
        }
        let Some(controller) = self.reached_controller(now) else {
            return HeartbeatOutcome::Unanswered;
        };
        if !controller
            .contact
            .permits_renewals(RENEW_WITHOUT_LEDGER, now)
        {
            return HeartbeatOutcome::Unanswered;
        }
        let tracked = self.records.tracked_jobs();
        if self.records.is_open(id) && !controller.halts(&tracked, id) {
            HeartbeatOutcome::Renewed
        } else {
            HeartbeatOutcome::Stopped
        }
    }

    /// Jobs that the cell starts now.
    pub fn startable_jobs(&self, now: Instant) -> Vec<String> {
        let Some(controller) = self.reached_controller(now).filter(|_| !self.is_full) else {
            return Vec::new();
        };
        let contact = &controller.contact;
        let ignores_read_age =
            self.defect == Defect::StartWithoutRead && contact.last_read_at.is_some();
        if !contact.permits_starts(now) && !ignores_read_age {
            return Vec::new();
        }
        let tracked = self.records.tracked_jobs();
        let startable = self.records.open.iter().filter(|(id, record)| {
            record.state == RecordState::Open
                && !self.running.contains_key(*id)
                && !controller.halts(&tracked, id)
        });
        startable.map(|(id, _)| id.clone()).collect()
    }

    pub fn start_task(&mut self, id: &str, now: Instant, duration: Duration) {
        let task = Task {
            completes_at: now + duration,
            lease_end: now + WORKER_LEASE,
        };
        self.running.insert(id.to_owned(), task);
    }

    /// Removes the records of cancelled and withdrawn jobs that are no longer running.
    pub fn remove_stopped_jobs(&mut self) {
        let open = self.records.open.iter();
        let stopped: Vec<String> = open
            .filter(|(id, record)| {
                record.state != RecordState::Open && !self.running.contains_key(*id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in stopped {
            self.records.remove_stopped(&id);
        }
    }
}

/// Creates the cells of [`CELLS`].
pub fn all_cells(defect: Defect, now: Instant) -> Vec<Cell> {
    let names = CELLS.into_iter();
    names.map(|name| Cell::new(name, defect, now)).collect()
}
