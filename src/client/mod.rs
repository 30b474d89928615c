//! The operators' command-line client. It sends requests to the ledger or the state service, never to a
//! controller, so that it also answers while controllers are down or a cell's jobs are being taken over. The exit
//! code tells the kind of a failure.

mod cells;
mod limits;
mod output;

pub use cells::CellsCommand;
pub use limits::LimitsCommand;

use rowanmill_config::{ConfigError, ConfigFile};
use rowanmill_state::{ServiceQuota, StateClient};
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

/// A command of the client.
#[derive(Debug)]
pub enum ClientCommand {
    Cells(CellsCommand),
    Limits(LimitsCommand),
}

/// Why a request to the ledger or the state service failed.
type ServiceError = Box<dyn Error + Send + Sync>;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("cannot create the async runtime: {0}")]
    Runtime(#[source] std::io::Error),
    #[error("no cell is named `{0}`")]
    UnknownCell(String),
    #[error("job `{0}` was never accepted")]
    UnknownJob(String),
    #[error("job `{0}` has ended")]
    EndedJob(String),
    #[error("the ledger does not answer; try again in a few seconds")]
    LedgerUnavailable(#[source] ServiceError),
    #[error("the state service does not answer; try again in a few seconds")]
    StateServiceUnavailable(#[source] ServiceError),
    /// The records contain no assignment of work to controllers.
    #[error("a takeover is under way; try again in a few seconds")]
    NoAssignment,
}

/// Exit code of a command that cannot succeed without a change of its arguments or files.
const EXIT_INVALID: u8 = 2;
/// Exit code of a query for a job that is unknown or has ended.
const EXIT_NO_JOB: u8 = 3;
/// Exit code of a command that may succeed if it is repeated.
const EXIT_RETRY: u8 = 4;

impl ClientError {
    /// The exit code, by which scripts decide whether to repeat the command.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            ClientError::Config(_) | ClientError::Runtime(_) | ClientError::UnknownCell(_) => {
                EXIT_INVALID
            }
            ClientError::UnknownJob(_) | ClientError::EndedJob(_) => EXIT_NO_JOB,
            ClientError::LedgerUnavailable(_)
            | ClientError::StateServiceUnavailable(_)
            | ClientError::NoAssignment => EXIT_RETRY,
        })
    }

    fn ledger(error: impl Into<ServiceError>) -> Self {
        ClientError::LedgerUnavailable(error.into())
    }

    fn state_service(error: impl Into<ServiceError>) -> Self {
        ClientError::StateServiceUnavailable(error.into())
    }
}

/// Runs a command and prints its output.
pub fn run(command: &ClientCommand) -> Result<(), ClientError> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().map_err(ClientError::Runtime)?;
    let answer = runtime.block_on(async {
        match command {
            ClientCommand::Cells(command) => cells::execute(command).await,
            ClientCommand::Limits(command) => limits::execute(command).await,
        }
    })?;
    print!("{answer}");
    Ok(())
}

/// The client's own rate limits, for one operator. The service's rate limits are meant for the controllers.
const CLIENT_QUOTA: ServiceQuota = ServiceQuota {
    requests_per_s: 10.0,
    writes_per_s: 5.0,
};

/// A configuration file, and a client of the service whose address the file contains.
struct ServiceConnection<C> {
    config: C,
    service: StateClient,
}

impl<C: ConfigFile> ServiceConnection<C> {
    /// Reads the file and creates a client of the service at `address`. Sends no request yet.
    fn open(path: &Path, address: impl FnOnce(&C) -> SocketAddr) -> Result<Self, ClientError> {
        let config = C::load(path)?;
        let service = StateClient::new(address(&config), CLIENT_QUOTA, CLIENT_QUOTA);
        Ok(Self { config, service })
    }
}
