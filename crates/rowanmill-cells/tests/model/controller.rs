//! A simulated controller with the real ledger replica, contact and planner.

use super::{CELLS, Defect, Ledger};
use rowanmill_cells::contact::LedgerContact;
use rowanmill_cells::plan::Planner;
use rowanmill_cells::record::CellPresence;
use rowanmill_cells::replica::{LedgerReplica, Versioned};
use rowanmill_cells::transaction::{self, Transaction};
use rowanmill_cells::{CellsConfig, TrackedJob};
use rowanmill_config::ConfigFile;
use serde_json::json;
use std::time::{Duration, Instant};

/// How long a controller renews workers' leases after its last read of the ledger.
pub const RENEW_WITHOUT_LEDGER: Duration = Duration::from_secs(3);
/// `takeover_after_s` of the file: the sum of [`RENEW_WITHOUT_LEDGER`] and a worker's lease, with margins.
const TAKEOVER_AFTER_S: f64 = 8.1;
/// `takeover_after_s` with [`Defect::TakeOverAtOnce`]: the shortest that the file may set, and too short for the
/// workers' leases to expire.
const TAKEOVER_AT_ONCE_S: f64 = 0.1;

fn config(defect: Defect) -> CellsConfig {
    let cells: Vec<_> = CELLS
        .iter()
        .enumerate()
        .map(|(n, name)| json!({"name": name, "controllers": [format!("10.0.0.{n}:1")]}))
        .collect();
    let takeover_after_s = match defect {
        Defect::TakeOverAtOnce => TAKEOVER_AT_ONCE_S,
        _ => TAKEOVER_AFTER_S,
    };
    let file = json!({"cells": cells,
        "ledger": {"addr": "10.9.0.1:1", "rps": 1.0, "write_rps": 1.0, "value_kb": 8.0, "txn_ops": 8},
        "cell_lease_s": Ledger::CELL_LEASE.as_secs_f64(),
        "renew_without_ledger_s": RENEW_WITHOUT_LEDGER.as_secs_f64(),
        "takeover_after_s": takeover_after_s,
        "spill": {"after_s": 3.0, "at_once": 4, "moves": 1000}});
    CellsConfig::parse(&file.to_string(), "model").unwrap()
}

pub struct Controller {
    cell: &'static str,
    incarnation: u64,
    pub replica: LedgerReplica,
    pub contact: LedgerContact,
    pub planner: Planner,
    pub lease: Option<u64>,
    /// Whether it has read the ledger at least once.
    pub is_loaded: bool,
    /// Time until which it cannot reach the ledger.
    pub cut_off_until: Instant,
    /// Time until which its process is paused.
    pub paused_until: Instant,
}

impl Controller {
    pub fn new(cell: &'static str, defect: Defect, now: Instant, incarnation: u64) -> Self {
        Self {
            cell,
            incarnation,
            replica: LedgerReplica::new(CELLS),
            contact: LedgerContact::default(),
            planner: Planner::new(cell, &config(defect)),
            lease: None,
            is_loaded: false,
            cut_off_until: now,
            paused_until: now,
        }
    }

    pub fn reaches_ledger(&self, now: Instant) -> bool {
        self.cut_off_until <= now
    }

    /// Reads the changes of the ledger since the last read. `tracked` are the jobs in the cell's own records.
    pub fn read_ledger(&mut self, ledger: &Ledger, tracked: &[TrackedJob], now: Instant) {
        if !self.is_loaded {
            self.replica.reload_from_snapshot(Vec::new(), 0, now);
            self.is_loaded = true;
        }
        let log = ledger.changes_since(self.replica.revision);
        self.replica.apply_changes(log, ledger.revision, now);
        self.contact.last_response_at = Some(now);
        let halted = self.planner.halted_jobs(&self.replica, tracked);
        self.contact.halted = halted.into();
        if self.replica.is_present(self.cell) {
            self.contact.last_read_at = Some(now);
        }
    }

    /// Whether the cell must not run the job, according to this controller's replica.
    pub fn halts(&self, tracked: &[TrackedJob], id: &str) -> bool {
        let job: Vec<TrackedJob> = tracked.iter().filter(|job| job.id == id).cloned().collect();
        let halted = self.planner.halted_jobs(&self.replica, &job);
        halted.contains(id) || self.contact.halted.contains(id)
    }

    /// Extends the cell's lease, or creates a new one if the controller has none that is valid. Returns the transaction
    /// that registers the cell or updates its presence, if one is needed.
    pub fn renew_presence(
        &mut self,
        mut presence: CellPresence,
        ledger: &mut Ledger,
        now: Instant,
    ) -> Option<Transaction> {
        presence.incarnation = self.incarnation;
        let end = now + Ledger::CELL_LEASE;
        if let Some(lease) = self.lease
            && !ledger.extend_lease(lease, end)
        {
            self.lease = None;
        }
        let lease = self.lease.unwrap_or_else(|| ledger.create_lease(end));
        self.lease = Some(lease);
        let held = self.replica.cells[self.cell].presence.as_ref();
        let is_own = |held: &&Versioned<CellPresence>| {
            held.record.controller == presence.controller
                && held.record.incarnation == presence.incarnation
        };
        match held.filter(is_own) {
            Some(held) if held.record == presence => None,
            Some(held) => Some(transaction::update_presence(
                self.cell, held, &presence, lease,
            )),
            None => Some(transaction::register(
                &self.replica,
                self.cell,
                &presence,
                lease,
            )),
        }
    }
}
