//! The operators' file, which defines the cells, the ledger, the lengths of leases, and when jobs spill. The
//! controllers of all cells are started with the same file.
//!
//! The fields have the names that the file uses, and these must not change.

mod validation;

use crate::ranking::{Ranking, Script};
use rowanmill_config::{ConfigFile, InvalidField};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// One cell.
#[derive(Debug, Clone, Deserialize)]
pub struct CellConfig {
    /// Its name in the ledger.
    pub name: String,
    /// The mesh addresses of its controllers.
    pub controllers: Vec<SocketAddr>,
}

/// The ledger and the limits of its service.
#[derive(Debug, Clone, Deserialize)]
pub struct LedgerConfig {
    /// Address of its service.
    pub addr: SocketAddr,
    /// Requests that it accepts per second.
    pub rps: f64,
    /// Puts and deletes that it accepts per second.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Largest number of puts and deletes in a transaction.
    pub txn_ops: usize,
}

/// When waiting jobs go to another cell.
#[derive(Debug, Clone, Deserialize)]
pub struct SpillConfig {
    /// Seconds for which a job must have waited, with no task started, before it spills. If absent, waiting
    /// jobs spill only from a cell that is being drained.
    #[serde(default)]
    pub after_s: Option<f64>,
    /// Number of jobs that may be leaving a cell at a time. While so many are leaving, no further job spills.
    #[serde(default = "default_at_once")]
    pub at_once: usize,
    /// Number of times that a job spills after the usual wait; before each further spill it waits longer. With
    /// 0, waiting jobs spill only from a cell that is being drained.
    #[serde(default = "default_moves")]
    pub moves: u32,
    /// Path of a script that chooses the receiving cell, relative to the directory of this file.
    #[serde(default)]
    pub ranking: Option<PathBuf>,
}

fn default_at_once() -> usize {
    8
}

fn default_moves() -> u32 {
    3
}

impl Default for SpillConfig {
    fn default() -> Self {
        Self {
            after_s: None,
            at_once: default_at_once(),
            moves: default_moves(),
            ranking: None,
        }
    }
}

/// The whole file.
#[derive(Debug, Clone, Deserialize)]
pub struct CellsConfig {
    /// All cells.
    pub cells: Vec<CellConfig>,
    /// The ledger.
    pub ledger: LedgerConfig,
    /// Seconds for which a cell counts as present after its leader last renewed its lease.
    pub cell_lease_s: f64,
    /// Seconds for which a controller may renew workers' leases after its last read of the ledger.
    pub renew_without_ledger_s: f64,
    /// Seconds from the end of a cell's lease until other cells take over its jobs.
    pub takeover_after_s: f64,
    /// When jobs spill.
    #[serde(default)]
    pub spill: SpillConfig,
    /// How the receiving cell is chosen, by the script if the file names one.
    #[serde(skip)]
    pub ranking: Ranking,
}

/// Settings of one cell against which the file is validated.
#[derive(Debug, Clone, Copy)]
pub struct WorkerTiming {
    /// Length of a worker's lease.
    pub lease: Duration,
    /// How long a controller may renew workers' leases without contact with its state service. `cancel_s`
    /// limits this time.
    pub disconnected_lease_limit: Duration,
    /// Address of the cell's own state service.
    pub state_service: SocketAddr,
}

/// Bytes of a KiB.
const KIB: f64 = 1024.0;

impl ConfigFile for CellsConfig {
    const KIND: &'static str = "cells";

    fn validate(&self) -> Result<(), InvalidField> {
        self.validate_fields()
    }

    /// Reads the script that chooses the receiving cell.
    fn load_referenced(&mut self, folder: &Path) -> Result<(), InvalidField> {
        if let Some(script) = &self.spill.ranking {
            let script = load_script(&folder.join(script))?;
            self.ranking = Ranking::new(Some(script));
        }
        Ok(())
    }
}

impl CellsConfig {
    /// Length of a cell's lease.
    pub fn cell_lease(&self) -> Duration {
        Duration::from_secs_f64(self.cell_lease_s)
    }

    /// How long a controller may renew workers' leases after its last read of the ledger.
    pub fn renew_without_ledger(&self) -> Duration {
        Duration::from_secs_f64(self.renew_without_ledger_s)
    }

    /// Time from the end of a cell's lease until other cells take over its jobs.
    pub fn takeover_after(&self) -> Duration {
        Duration::from_secs_f64(self.takeover_after_s)
    }

    /// Largest value in the ledger, in bytes.
    pub fn value_bytes(&self) -> usize {
        (self.ledger.value_kb * KIB) as usize
    }

    /// Mesh addresses of the controllers of all cells, except `own`.
    pub fn other_controllers(&self, own: SocketAddr) -> Vec<SocketAddr> {
        let all = self.cells.iter().flat_map(|cell| &cell.controllers);
        all.copied().filter(|addr| *addr != own).collect()
    }
}

fn load_script(path: &Path) -> Result<Script, InvalidField> {
    let invalid = |reason: String| InvalidField::new("spill.ranking", reason);
    let text = std::fs::read_to_string(path).map_err(|error| invalid(error.to_string()))?;
    Script::parse(&text).map_err(|error| invalid(error.to_string()))
}

#[cfg(test)]
pub(crate) mod tests;
