//! The command-line client: it asks the ledger or the state service, not a controller, and so answers
//! during a takeover too.

mod limits;

pub use limits::LimitsCommand;

use clap::{Args, Subcommand, ValueEnum};
use rowanmill_cells::record::{DrainRequest, LIVE_PREFIX, drain_key, final_key};
use rowanmill_cells::replica::LedgerReplica;
use rowanmill_cells::report::{self, FORMAT, ReportedState};
use rowanmill_cells::{CellsConfig, FinalState};
use rowanmill_config::ConfigFile;
use rowanmill_state::{Operation, StateClient, StateShare};
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

/// How the answer is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// For people
    Text,
    /// For scripts, in a format with a version
    Json,
}

#[derive(Debug, Args)]
pub struct Asked {
    /// The operators' file of the cells
    #[arg(long)]
    cells: PathBuf,
    /// How the answer is written
    #[arg(long, value_enum, default_value = "text")]
    output: Output,
}

#[derive(Debug, Subcommand)]
pub enum CellsCommand {
    /// How all cells stand
    Status {
        #[command(flatten)]
        asked: Asked,
    },
    /// Which cell owns a job, and why it moved or waits
    Explain {
        /// The job
        job: String,
        #[command(flatten)]
        asked: Asked,
    },
    /// Have a cell left by all that has not begun, and take nothing from others
    Drain {
        /// The cell
        cell: String,
        #[command(flatten)]
        asked: Asked,
    },
    /// End a drain
    Undrain {
        /// The cell
        cell: String,
        #[command(flatten)]
        asked: Asked,
    },
}

/// Why there is no answer. Each has an exit code of its own.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    #[error("{0}")]
    Config(String),
    #[error("no cell is named `{0}`")]
    UnknownCell(String),
    #[error("`{0}` was never accepted")]
    UnknownJob(String),
    #[error("`{0}` is over")]
    Ended(String),
    #[error("the ledger does not answer; try again in a few seconds")]
    NoLedger,
    #[error("the state service does not answer; try again in a few seconds")]
    NoState,
    #[error("a takeover is under way; try again in a few seconds")]
    NoAssignment,
}

impl ClientError {
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            ClientError::Config(_) | ClientError::UnknownCell(_) => 2,
            ClientError::UnknownJob(_) | ClientError::Ended(_) => 3,
            ClientError::NoLedger | ClientError::NoState | ClientError::NoAssignment => 4,
        })
    }
}

/// What a change answers.
#[derive(Debug, Serialize)]
struct Changed<'a> {
    format: u32,
    cell: &'a str,
    draining: bool,
}

/// One person's requests; the service's own limits are for its controllers.
const SHARE: StateShare = StateShare {
    requests: 10.0,
    writes: 5.0,
};

struct Client {
    ledger: StateClient,
    config: CellsConfig,
}

impl Client {
    fn new(asked: &Asked) -> Result<Self, ClientError> {
        let config = CellsConfig::load(&asked.cells);
        let config = config.map_err(|problem| ClientError::Config(problem.to_string()))?;
        Ok(Self {
            ledger: StateClient::new(config.ledger.addr, SHARE, SHARE),
            config,
        })
    }

    async fn replica(&self) -> Result<LedgerReplica, ClientError> {
        let listing = self.ledger.list_all(LIVE_PREFIX).await;
        let (pairs, revision) = listing.map_err(|_| ClientError::NoLedger)?;
        let names = self.config.cells.iter().map(|cell| cell.name.as_str());
        let mut replica = LedgerReplica::new(names);
        replica.reload_from_snapshot(pairs, revision, Instant::now());
        Ok(replica)
    }

    async fn status(&self, output: Output) -> Result<String, ClientError> {
        let status = report::report_cells(&self.replica().await?);
        Ok(match output {
            Output::Text => status.to_string(),
            Output::Json => line(&status),
        })
    }

    async fn explain(&self, job: &str, output: Output) -> Result<String, ClientError> {
        // The live records first: a job that ends in between is found among the ends.
        let replica = self.replica().await?;
        let last = self.ledger.get(&final_key(job)).await;
        let last = last.map_err(|_| ClientError::NoLedger)?;
        let last: Option<FinalState> = last.and_then(|last| serde_json::from_value(last).ok());
        let explanation = report::explain(&replica, job, last);
        if explanation.state == ReportedState::Unknown && !replica.is_unreadable(job) {
            return Err(ClientError::UnknownJob(job.to_owned()));
        }
        Ok(match output {
            Output::Text => explanation.to_string(),
            Output::Json => line(&explanation),
        })
    }

    async fn set_drain(
        &self,
        cell: &str,
        drain: bool,
        output: Output,
    ) -> Result<String, ClientError> {
        if !self.config.cells.iter().any(|c| c.name == cell) {
            return Err(ClientError::UnknownCell(cell.to_owned()));
        }
        let requested_ms = crate::node::wall_ms();
        let change = match drain {
            true => Operation::put(drain_key(cell), &DrainRequest { requested_ms }),
            false => Operation::delete(drain_key(cell)),
        };
        let done = self.ledger.compare_and_swap(&[], &[change]).await;
        done.map_err(|_| ClientError::NoLedger)?;
        let changed = Changed {
            format: FORMAT,
            cell,
            draining: drain,
        };
        Ok(match (output, drain) {
            (Output::Json, _) => line(&changed),
            (Output::Text, true) => format!("{cell} is being drained\n"),
            (Output::Text, false) => format!("{cell} takes work again\n"),
        })
    }
}

fn line(answer: &impl Serialize) -> String {
    serde_json::to_string(answer).expect("answers are plain data") + "\n"
}

async fn answer(command: &CellsCommand) -> Result<String, ClientError> {
    match command {
        CellsCommand::Status { asked } => Client::new(asked)?.status(asked.output).await,
        CellsCommand::Explain { job, asked } => {
            Client::new(asked)?.explain(job, asked.output).await
        }
        CellsCommand::Drain { cell, asked } => {
            let client = Client::new(asked)?;
            client.set_drain(cell, true, asked.output).await
        }
        CellsCommand::Undrain { cell, asked } => {
            let client = Client::new(asked)?;
            client.set_drain(cell, false, asked.output).await
        }
    }
}

/// What the client can be asked.
#[derive(Debug)]
pub enum ClientCommand {
    Cells(CellsCommand),
    Limits(LimitsCommand),
}

/// Carries out a command, and prints its answer.
pub fn run(command: &ClientCommand) -> Result<(), ClientError> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build();
    let runtime = runtime.map_err(|e| ClientError::Config(format!("no runtime: {e}")))?;
    let text = runtime.block_on(async {
        match command {
            ClientCommand::Cells(command) => answer(command).await,
            ClientCommand::Limits(command) => limits::answer(command).await,
        }
    })?;
    print!("{text}");
    Ok(())
}
