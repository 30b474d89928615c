//! The command-line client of operators. It asks the ledger or the state service, never a controller, and so
//! answers during a takeover too. Each failure has an exit code of its own kind.

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

/// What the client can be asked.
#[derive(Debug)]
pub enum ClientCommand {
    Cells(CellsCommand),
    Limits(LimitsCommand),
}

/// Why a service gave no answer.
type ServiceError = Box<dyn Error + Send + Sync>;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("no runtime: {0}")]
    Runtime(#[source] std::io::Error),
    #[error("no cell is named `{0}`")]
    UnknownCell(String),
    #[error("`{0}` was never accepted")]
    UnknownJob(String),
    #[error("`{0}` is over")]
    EndedJob(String),
    #[error("the ledger does not answer; try again in a few seconds")]
    LedgerUnavailable(#[source] ServiceError),
    #[error("the state service does not answer; try again in a few seconds")]
    StateServiceUnavailable(#[source] ServiceError),
    #[error("a takeover is under way; try again in a few seconds")]
    NoAssignment,
}

/// Exit code of a command that can never succeed as it was given.
const EXIT_INVALID: u8 = 2;
/// Exit code of a question about a job that is unknown or over.
const EXIT_NO_JOB: u8 = 3;
/// Exit code of a command that may succeed when it is repeated.
const EXIT_RETRY: u8 = 4;

impl ClientError {
    /// The exit code by which scripts tell what to do.
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

/// Carries out a command, and prints its answer.
pub fn run(command: &ClientCommand) -> Result<(), ClientError> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().map_err(ClientError::Runtime)?;
    let answer = runtime.block_on(async {
        match command {
            ClientCommand::Cells(command) => cells::answer(command).await,
            ClientCommand::Limits(command) => limits::answer(command).await,
        }
    })?;
    print!("{answer}");
    Ok(())
}

/// One person's requests a second; the service's own limits are for its controllers.
const OPERATOR_SHARE: ServiceQuota = ServiceQuota {
    requests_per_s: 10.0,
    writes_per_s: 5.0,
};

/// A configuration file and a client of the service that it names.
struct ServiceConnection<C> {
    config: C,
    service: StateClient,
}

impl<C: ConfigFile> ServiceConnection<C> {
    /// Reads the file and prepares a client of the service at `address`; nothing is sent yet.
    fn open(path: &Path, address: impl FnOnce(&C) -> SocketAddr) -> Result<Self, ClientError> {
        let config = C::load(path)?;
        let service = StateClient::new(address(&config), OPERATOR_SHARE, OPERATOR_SHARE);
        Ok(Self { config, service })
    }
}
