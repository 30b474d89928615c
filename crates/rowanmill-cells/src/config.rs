//! The operators' file: which cells there are, where the ledger is, how long leases hold, and when work
//! spills. Every cell's controllers are started with the same file.

use crate::ranking::{Ranking, Script};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why a file was refused. Each message is one line and names the field.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// There is no such file, or it may not be read.
    #[error("cells {path}: cannot be read: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// It is not JSON, or a field is missing or of another type.
    #[error("cells {path}: {source}")]
    Malformed {
        /// The file.
        path: String,
        /// Where and why.
        source: serde_json::Error,
    },
    /// A value makes no sense.
    #[error("cells {path}: field `{field}`: {reason}")]
    Invalid {
        /// The file.
        path: String,
        /// The field.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// One cell.
#[derive(Debug, Clone, Deserialize)]
pub struct CellConfig {
    /// Its name, by which the ledger knows it.
    pub name: String,
    /// The mesh addresses of its controllers.
    pub controllers: Vec<SocketAddr>,
}

/// The ledger and its limits.
#[derive(Debug, Clone, Deserialize)]
pub struct LedgerConfig {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Requests a second that it takes.
    pub rps: f64,
    /// Puts and drops a second that it takes.
    pub write_rps: f64,
    /// KiB of a value.
    pub value_kb: f64,
    /// Puts and drops of a transaction.
    pub txn_ops: usize,
}

/// When work that waits goes to another cell.
#[derive(Debug, Clone, Deserialize)]
pub struct SpillConfig {
    /// A job of which nothing has started for so long may go elsewhere; absent: none does.
    #[serde(default)]
    pub after_s: Option<f64>,
    /// Jobs on their way out of a cell at a time.
    #[serde(default = "default_at_once")]
    pub at_once: usize,
    /// How often a job may be moved because it waited.
    #[serde(default = "default_moves")]
    pub moves: u32,
    /// A script that chooses the cell, beside this file.
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
    /// How long a cell counts as there after its last word to the ledger.
    pub cell_lease_s: f64,
    /// How long a controller may renew workers after its last reading of the ledger.
    pub renew_without_ledger_s: f64,
    /// How long after the end of a cell's lease its jobs are taken over.
    pub takeover_after_s: f64,
    /// When work spills.
    #[serde(default)]
    pub spill: SpillConfig,
    /// The order in which cells are chosen.
    #[serde(skip)]
    pub ranking: Ranking,
}

/// What a cell's own settings say of its workers.
#[derive(Debug, Clone, Copy)]
pub struct WorkerTimes {
    /// A worker's lease.
    pub lease: Duration,
    /// How long a controller may renew workers without its state service: what `cancel_s` leaves.
    pub disconnected_lease_limit: Duration,
    /// The cell's own state service.
    pub state: SocketAddr,
}

/// A duration in the file must lie between these.
const SHORTEST_S: f64 = 0.1;
const LONGEST_S: f64 = 600.0;
const LONGEST_NAME: usize = 40;
const FEWEST_CHANGES: usize = 4;
/// Steady clocks drift apart by at most .05%; twice that, and a second for what passes between the end
/// of a lease and the end of its tasks.
const CLOCK_DRIFT: f64 = 1.001;
const LEASE_END_MARGIN_S: f64 = 1.0;

type Problem = (String, String);

fn invalid<T>(field: impl Into<String>, reason: impl Into<String>) -> Result<T, Problem> {
    Err((field.into(), reason.into()))
}

impl CellsConfig {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: shown.clone(),
            source,
        })?;
        let mut config = Self::parse(&text, &shown)?;
        if let Some(script) = &config.spill.ranking {
            let folder = path.parent().unwrap_or(Path::new("."));
            let script = read_script(&folder.join(script)).map_err(refused(&shown))?;
            config.ranking = Ranking::new(Some(script));
        }
        Ok(config)
    }

    /// Reads and checks a text that came from `shown`.
    pub fn parse(text: &str, shown: &str) -> Result<Self, ConfigError> {
        let config: Self = serde_json::from_str(text).map_err(|source| ConfigError::Malformed {
            path: shown.to_owned(),
            source,
        })?;
        config.validate().map_err(refused(shown))?;
        Ok(config)
    }

    fn validate(&self) -> Result<(), Problem> {
        self.check_names()?;
        self.check_addresses()?;
        self.check_durations()?;
        self.check_ledger()?;
        if self.spill.at_once == 0 {
            return invalid("spill.at_once", "must be at least 1");
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), Problem> {
        if self.cells.len() < 2 {
            return invalid("cells", "names fewer than two cells");
        }
        let mut names: Vec<&str> = Vec::new();
        for cell in &self.cells {
            let name = cell.name.as_str();
            let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
            if name.is_empty() || name.len() > LONGEST_NAME || !name.chars().all(plain) {
                let reason =
                    format!("`{name}` is no name: 1 to {LONGEST_NAME} of a to z, 0 to 9 and `-`");
                return invalid("cells.name", reason);
            }
            if names.contains(&name) {
                return invalid("cells.name", format!("`{name}` is there twice"));
            }
            names.push(name);
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), Problem> {
        let mut seen: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        for cell in &self.cells {
            if cell.controllers.is_empty() {
                return invalid("cells.controllers", format!("`{}` has none", cell.name));
            }
            for addr in &cell.controllers {
                if let Some(other) = seen.insert(*addr, &cell.name) {
                    let reason = match other == cell.name {
                        true => format!("{addr} is listed twice for `{other}`"),
                        false => format!(
                            "{addr} is listed for `{other}` and `{}`: a cell would point at itself",
                            cell.name
                        ),
                    };
                    return invalid("cells.controllers", reason);
                }
            }
        }
        if let Some(cell) = seen.get(&self.ledger.addr) {
            let reason = format!("{} is a controller of `{cell}`", self.ledger.addr);
            return invalid("ledger.addr", reason);
        }
        Ok(())
    }

    fn check_durations(&self) -> Result<(), Problem> {
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
            if !value.is_finite() || !(SHORTEST_S..=LONGEST_S).contains(&value) {
                let reason = format!("must be {SHORTEST_S} to {LONGEST_S} s, is {value}");
                return invalid(field, reason);
            }
        }
        Ok(())
    }

    fn check_ledger(&self) -> Result<(), Problem> {
        let ledger = &self.ledger;
        let rates = [
            ("ledger.rps", ledger.rps),
            ("ledger.write_rps", ledger.write_rps),
            ("ledger.value_kb", ledger.value_kb),
        ];
        for (field, value) in rates {
            if !value.is_finite() || value <= 0.0 {
                return invalid(field, format!("must be above 0, is {value}"));
            }
        }
        if ledger.txn_ops < FEWEST_CHANGES {
            let reason = format!("must be at least {FEWEST_CHANGES}, is {}", ledger.txn_ops);
            return invalid("ledger.txn_ops", reason);
        }
        Ok(())
    }

    /// Checks the file against one cell's own settings.
    pub fn check_cell(
        &self,
        cell: &str,
        times: &WorkerTimes,
        shown: &str,
    ) -> Result<(), ConfigError> {
        self.validate_cell(cell, times).map_err(refused(shown))
    }

    fn validate_cell(&self, cell: &str, times: &WorkerTimes) -> Result<(), Problem> {
        if !self.cells.iter().any(|c| c.name == cell) {
            return invalid("cells", format!("no cell is named `{cell}`"));
        }
        if times.state == self.ledger.addr {
            let reason = "is the cell's own state service: what is lost with the cell must not be \
                          lost with the ledger";
            return invalid("ledger.addr", reason);
        }
        let lease_s = times.lease.as_secs_f64();
        if self.cell_lease_s < lease_s {
            // A cell whose controllers were away for less than a worker's lease has lost no work.
            let reason = format!("is shorter than the workers' lease of {lease_s} s");
            return invalid("cell_lease_s", reason);
        }
        let limit_s = times.disconnected_lease_limit.as_secs_f64();
        if self.renew_without_ledger_s > limit_s {
            // A cancellation that another cell confirmed would outlive `cancel_s`.
            let reason = format!("is over the {limit_s:.3} s that `cancel_s` leaves");
            return invalid("renew_without_ledger_s", reason);
        }
        let least = (self.renew_without_ledger_s + lease_s) * CLOCK_DRIFT + LEASE_END_MARGIN_S;
        if self.takeover_after_s < least {
            let reason = format!(
                "must be at least {least:.3} s: until then a worker's lease may be renewed and last"
            );
            return invalid("takeover_after_s", reason);
        }
        Ok(())
    }

    /// The length of a cell's lease.
    pub fn cell_lease(&self) -> Duration {
        Duration::from_secs_f64(self.cell_lease_s)
    }

    /// How long a controller may renew workers after its last reading of the ledger.
    pub fn renew_without_ledger(&self) -> Duration {
        Duration::from_secs_f64(self.renew_without_ledger_s)
    }

    /// How long after the end of a cell's lease its jobs are taken over.
    pub fn takeover_after(&self) -> Duration {
        Duration::from_secs_f64(self.takeover_after_s)
    }

    /// Bytes of a value of the ledger.
    pub fn value_bytes(&self) -> usize {
        (self.ledger.value_kb * 1024.0) as usize
    }

    /// All controllers but one, by their mesh addresses.
    pub fn other_controllers(&self, own: SocketAddr) -> Vec<SocketAddr> {
        let all = self.cells.iter().flat_map(|cell| &cell.controllers);
        all.copied().filter(|addr| *addr != own).collect()
    }
}

fn read_script(path: &Path) -> Result<Script, Problem> {
    let refused = |reason: String| ("spill.ranking".to_owned(), reason);
    let text = std::fs::read_to_string(path).map_err(|e| refused(e.to_string()))?;
    Script::parse(&text).map_err(|problem| refused(problem.to_string()))
}

fn refused(shown: &str) -> impl Fn(Problem) -> ConfigError + '_ {
    move |(field, reason)| ConfigError::Invalid {
        path: shown.to_owned(),
        field,
        reason,
    }
}

#[cfg(test)]
pub(crate) mod tests;
