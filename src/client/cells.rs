//! Commands that show the cells that share work, and that start or end the drain of a cell. They read and
//! write the ledger.

use super::output::OutputFormat;
use super::{ClientError, ServiceConnection};
use clap::{Args, Subcommand};
use rowanmill_cells::record::{DrainRequest, LIVE_PREFIX, drain_key, final_key};
use rowanmill_cells::replica::LedgerReplica;
use rowanmill_cells::report::{self, CellsReport, Explanation, FORMAT, ReportedState};
use rowanmill_cells::{CellsConfig, FinalState};
use rowanmill_state::Operation;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Instant;

/// Options of all commands about cells.
#[derive(Debug, Args)]
pub struct CellsOptions {
    /// The cells file
    #[arg(long)]
    cells: PathBuf,
    /// The format of the output
    #[arg(long, value_enum, default_value = "text")]
    output: OutputFormat,
}

/// The commands about cells. The doc comments of the variants and their arguments are the help texts.
#[derive(Debug, Subcommand)]
pub enum CellsCommand {
    /// Show the state of all cells
    Status {
        #[command(flatten)]
        options: CellsOptions,
    },
    /// Show which cell owns a job, and why it moved or waits
    Explain {
        /// The job's ID
        job: String,
        #[command(flatten)]
        options: CellsOptions,
    },
    /// Drain a cell: move its jobs that have not started to other cells, and let it take none from them
    Drain {
        /// The cell's name
        cell: String,
        #[command(flatten)]
        options: CellsOptions,
    },
    /// End the drain of a cell
    Undrain {
        /// The cell's name
        cell: String,
        #[command(flatten)]
        options: CellsOptions,
    },
}

/// Runs a command and returns its output.
pub(super) async fn execute(command: &CellsCommand) -> Result<String, ClientError> {
    match command {
        CellsCommand::Status { options } => {
            let report = LedgerConnection::open_ledger(options)?.status().await?;
            Ok(options.output.render(&report, || report.to_string()))
        }
        CellsCommand::Explain { job, options } => {
            let explanation = LedgerConnection::open_ledger(options)?.explain(job).await?;
            let text = || explanation.to_string();
            Ok(options.output.render(&explanation, text))
        }
        CellsCommand::Drain { cell, options } => {
            let ledger = LedgerConnection::open_ledger(options)?;
            let change = ledger.set_drain(cell, DrainState::Draining).await?;
            let text = || format!("{cell} is being drained\n");
            Ok(options.output.render(&change, text))
        }
        CellsCommand::Undrain { cell, options } => {
            let ledger = LedgerConnection::open_ledger(options)?;
            let change = ledger.set_drain(cell, DrainState::Open).await?;
            let text = || format!("{cell} takes work again\n");
            Ok(options.output.render(&change, text))
        }
    }
}

/// Whether a cell is being drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DrainState {
    Draining,
    Open,
}

/// The JSON output of `drain` and `undrain`.
#[derive(Debug, Serialize)]
struct DrainChange<'a> {
    format: u32,
    cell: &'a str,
    draining: bool,
}

type LedgerConnection = ServiceConnection<CellsConfig>;

impl LedgerConnection {
    fn open_ledger(options: &CellsOptions) -> Result<Self, ClientError> {
        Self::open(&options.cells, |config| config.ledger.addr)
    }

    async fn read_replica(&self) -> Result<LedgerReplica, ClientError> {
        let listing = self.service.list_all(LIVE_PREFIX).await;
        let (pairs, revision) = listing.map_err(ClientError::ledger)?;
        let names = self.config.cells.iter().map(|cell| cell.name.as_str());
        let mut replica = LedgerReplica::new(names);
        replica.reload_from_snapshot(pairs, revision, Instant::now());
        Ok(replica)
    }

    async fn status(&self) -> Result<CellsReport, ClientError> {
        Ok(report::report_cells(&self.read_replica().await?))
    }

    async fn explain(&self, job: &str) -> Result<Explanation, ClientError> {
        // The live records are read before the final state: a job that ends in between has a final state by
        // then.
        let replica = self.read_replica().await?;
        let final_state = self.service.get(&final_key(job)).await;
        let final_state = final_state.map_err(ClientError::ledger)?;
        let final_state: Option<FinalState> =
            final_state.and_then(|value| serde_json::from_value(value).ok());
        let explanation = report::explain(&replica, job, final_state);
        if explanation.state == ReportedState::Unknown && !replica.is_unreadable(job) {
            return Err(ClientError::UnknownJob(job.to_owned()));
        }
        Ok(explanation)
    }

    async fn set_drain<'a>(
        &self,
        cell: &'a str,
        state: DrainState,
    ) -> Result<DrainChange<'a>, ClientError> {
        if !self.config.cells.iter().any(|known| known.name == cell) {
            return Err(ClientError::UnknownCell(cell.to_owned()));
        }
        let requested_ms = crate::node::wall_ms();
        let change = match state {
            DrainState::Draining => Operation::put(drain_key(cell), &DrainRequest { requested_ms }),
            DrainState::Open => Operation::delete(drain_key(cell)),
        };
        let written = self.service.compare_and_swap(&[], &[change]).await;
        written.map_err(ClientError::ledger)?;
        Ok(DrainChange {
            format: FORMAT,
            cell,
            draining: state == DrainState::Draining,
        })
    }
}
