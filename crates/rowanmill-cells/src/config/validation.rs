//! Validates the operators' file. A value that is invalid, or that would let two cells run the same job, is
//! rejected with the name of its field.

use super::{CellsConfig, LedgerConfig, SpillConfig, WorkerTiming};
use rowanmill_config::InvalidField;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Shortest duration that the file may set, in seconds.
const MIN_DURATION_S: f64 = 0.1;
/// Longest duration that the file may set, in seconds.
const MAX_DURATION_S: f64 = 600.0;
/// Largest number of characters in a cell's name.
const MAX_NAME_CHARS: usize = 40;
/// Smallest permitted limit on the operations of a transaction, the same as for a cell's own state service. No
/// transaction on the ledger needs as many: ending a job and registering a cell take two operations each, a
/// takeover at least one, and every other change one.
const MIN_TXN_OPS: usize = 4;
/// Factor that allows for clock drift between machines. Monotonic clocks drift apart by at most 0.05 %; the
/// factor allows for twice that.
const CLOCK_DRIFT: f64 = 1.001;
/// Time from the end of a worker's lease until its tasks have ended, in seconds.
const LEASE_END_MARGIN_S: f64 = 1.0;

fn refuse(field: &'static str, reason: impl Into<String>) -> Result<(), InvalidField> {
    Err(InvalidField::new(field, reason))
}

impl CellsConfig {
    /// Validates the file without the settings of any cell.
    pub(super) fn validate_fields(&self) -> Result<(), InvalidField> {
        self.validate_names()?;
        self.validate_addresses()?;
        self.validate_durations()?;
        self.ledger.validate()?;
        self.spill.validate()
    }

    fn validate_names(&self) -> Result<(), InvalidField> {
        if self.cells.len() < 2 {
            return refuse("cells", "lists fewer than two cells");
        }
        let mut names: Vec<&str> = Vec::new();
        for cell in &self.cells {
            let name = cell.name.as_str();
            if !is_valid_name(name) {
                let reason = format!(
                    "`{name}` is not a valid name: must be 1 to {MAX_NAME_CHARS} characters of a to z, \
                     0 to 9 and `-`"
                );
                return refuse("cells.name", reason);
            }
            if names.contains(&name) {
                return refuse("cells.name", format!("`{name}` is listed twice"));
            }
            names.push(name);
        }
        Ok(())
    }

    fn validate_addresses(&self) -> Result<(), InvalidField> {
        let mut cell_by_address: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        for cell in &self.cells {
            if cell.controllers.is_empty() {
                return refuse(
                    "cells.controllers",
                    format!("`{}` has no controllers", cell.name),
                );
            }
            for addr in &cell.controllers {
                let Some(other) = cell_by_address.insert(*addr, &cell.name) else {
                    continue;
                };
                let reason = if other == cell.name {
                    format!("{addr} is listed twice for `{other}`")
                } else {
                    format!(
                        "{addr} is listed for `{other}` and `{}`: a controller belongs to one cell",
                        cell.name
                    )
                };
                return refuse("cells.controllers", reason);
            }
        }
        if let Some(cell) = cell_by_address.get(&self.ledger.addr) {
            let reason = format!(
                "{} is the address of a controller of `{cell}`",
                self.ledger.addr
            );
            return refuse("ledger.addr", reason);
        }
        Ok(())
    }

    fn validate_durations(&self) -> Result<(), InvalidField> {
        let durations = [
            ("cell_lease_s", Some(self.cell_lease_s)),
            ("renew_without_ledger_s", Some(self.renew_without_ledger_s)),
            ("takeover_after_s", Some(self.takeover_after_s)),
            ("spill.after_s", self.spill.after_s),
        ];
        for (field, value) in durations {
            let Some(value) = value else {
                continue;
            };
            if !value.is_finite() || !(MIN_DURATION_S..=MAX_DURATION_S).contains(&value) {
                let reason = format!("must be {MIN_DURATION_S} to {MAX_DURATION_S} s, is {value}");
                return refuse(field, reason);
            }
        }
        Ok(())
    }

    /// Validates the file against the settings of the cell of this name.
    pub fn check_cell(&self, cell: &str, timing: &WorkerTiming) -> Result<(), InvalidField> {
        if !self.cells.iter().any(|listed| listed.name == cell) {
            return refuse("cells", format!("no cell is named `{cell}`"));
        }
        if timing.state_service == self.ledger.addr {
            let reason =
                "is the cell's own state service: the ledger must survive the loss of the cell";
            return refuse("ledger.addr", reason);
        }
        let worker_lease_s = timing.lease.as_secs_f64();
        if self.cell_lease_s < worker_lease_s {
            // If a cell's controllers are down for less than a worker's lease, the cell loses no work, so it
            // must still count as present.
            let reason = format!("is shorter than the workers' lease of {worker_lease_s} s");
            return refuse("cell_lease_s", reason);
        }
        let limit_s = timing.disconnected_lease_limit.as_secs_f64();
        if self.renew_without_ledger_s > limit_s {
            // A task could run for more than `cancel_s` after another cell confirmed its cancellation.
            let reason = format!("exceeds the {limit_s:.3} s that `cancel_s` permits");
            return refuse("renew_without_ledger_s", reason);
        }
        let longest_run_s = self.renew_without_ledger_s + worker_lease_s;
        let least = longest_run_s * CLOCK_DRIFT + LEASE_END_MARGIN_S;
        if self.takeover_after_s < least {
            let reason = format!(
                "must be at least {least:.3} s: until then a worker's lease may be renewed and remain valid"
            );
            return refuse("takeover_after_s", reason);
        }
        Ok(())
    }
}

fn is_valid_name(name: &str) -> bool {
    let is_permitted = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !name.is_empty() && name.len() <= MAX_NAME_CHARS && name.chars().all(is_permitted)
}

impl LedgerConfig {
    fn validate(&self) -> Result<(), InvalidField> {
        let rates = [
            ("ledger.rps", self.rps),
            ("ledger.write_rps", self.write_rps),
            ("ledger.value_kb", self.value_kb),
        ];
        for (field, value) in rates {
            if !value.is_finite() || value <= 0.0 {
                return refuse(field, format!("must be above 0, is {value}"));
            }
        }
        if self.txn_ops < MIN_TXN_OPS {
            let reason = format!("must be at least {MIN_TXN_OPS}, is {}", self.txn_ops);
            return refuse("ledger.txn_ops", reason);
        }
        Ok(())
    }
}

impl SpillConfig {
    fn validate(&self) -> Result<(), InvalidField> {
        if self.at_once == 0 {
            return refuse("spill.at_once", "must be at least 1");
        }
        Ok(())
    }
}
