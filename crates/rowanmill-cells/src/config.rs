//! The operators' file: the cells, the ledger, the lengths of leases, and when jobs spill. The controllers
//! of every cell are started with the same file.
//!
//! The names of the fields are those of the file and must not change.

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

/// The ledger and its limits.
#[derive(Debug, Clone, Deserialize)]
pub struct LedgerConfig {
    /// Address of its service.
    pub addr: SocketAddr,
    /// Requests that it takes a second.
    pub rps: f64,
    /// Puts and deletes that it takes a second.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Most puts and deletes of a transaction.
    pub txn_ops: usize,
}

/// When waiting jobs go to another cell.
#[derive(Debug, Clone, Deserialize)]
pub struct SpillConfig {
    /// Seconds that a job must have waited, with no task started, to go elsewhere; absent: none does.
    #[serde(default)]
    pub after_s: Option<f64>,
    /// Most jobs that are leaving a cell at a time.
    #[serde(default = "default_at_once")]
    pub at_once: usize,
    /// How often a job may change cells because it waited.
    #[serde(default = "default_moves")]
    pub moves: u32,
    /// Path of a script that chooses the cell, relative to the file's directory.
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
    /// Seconds that a cell counts as present after its leader last renewed its lease.
    pub cell_lease_s: f64,
    /// Seconds that a controller may renew workers' leases after its last read of the ledger.
    pub renew_without_ledger_s: f64,
    /// Seconds from the end of a cell's lease until its jobs are taken over.
    pub takeover_after_s: f64,
    /// When jobs spill.
    #[serde(default)]
    pub spill: SpillConfig,
    /// How cells are ranked, with the script if the file names one.
    #[serde(skip)]
    pub ranking: Ranking,
}

/// Settings of one cell that the file is checked against.
#[derive(Debug, Clone, Copy)]
pub struct WorkerTiming {
    /// Length of a worker's lease.
    pub lease: Duration,
    /// How long a controller may renew workers' leases without its state service: the time that `cancel_s`
    /// leaves.
    pub disconnected_lease_limit: Duration,
    /// Address of the cell's own state service.
    pub state_service: SocketAddr,
}

/// Bytes of a KiB.
const KIB: f64 = 1024.0;

impl ConfigFile for CellsConfig {
    const KIND: &'static str = "cells";

    fn validate(&self) -> Result<(), InvalidField> {
        self.validate_by_itself()
    }

    /// Reads the script that ranks the cells.
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

    /// How long after the end of a cell's lease its jobs are taken over.
    pub fn takeover_after(&self) -> Duration {
        Duration::from_secs_f64(self.takeover_after_s)
    }

    /// Largest value of the ledger, in bytes.
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
    let refused = |reason: String| InvalidField::new("spill.ranking", reason);
    let text = std::fs::read_to_string(path).map_err(|error| refused(error.to_string()))?;
    Script::parse(&text).map_err(|error| refused(error.to_string()))
}

#[cfg(test)]
pub(crate) mod tests;
