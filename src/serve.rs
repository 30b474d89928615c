//! The command `serve`: reads all configuration, then runs one controller until its process is killed.

use crate::background::BackgroundTasks;
use crate::cli::ServeArgs;
use crate::membership::schema_versions::FeatureLevel;
use crate::node::Node;
use crate::operator_files::{load_cells, load_limits};
use crate::policy::{Policy, PolicyError};
use crate::settings::Settings;
use crate::{api, logging, mesh};
use rowanmill_cells::CellsConfig;
use rowanmill_config::{ConfigError, ConfigFile};
use rowanmill_limits::LimitsConfig;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Why a controller could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Policy(#[from] PolicyError),
    #[error("cannot create the async runtime: {0}")]
    Runtime(#[source] std::io::Error),
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        addr: SocketAddr,
        source: std::io::Error,
    },
}

/// The configuration of one controller, read and checked.
pub struct Configuration {
    pub settings: Settings,
    pub policy: Policy,
    /// The cells that share work, and which of them this controller belongs to; `None` without a cells file.
    pub cell: Option<CellMembership>,
    /// How teams' limits are divided among the controllers; `None` if they are not divided.
    pub limits: Option<LimitsConfig>,
}

/// A controller's membership of a cell.
pub struct CellMembership {
    pub config: CellsConfig,
    /// The name of the cell that the controller belongs to.
    pub cell: String,
}

impl Configuration {
    /// Reads and checks the files that the command line names.
    fn load(args: &ServeArgs) -> Result<Self, ServeError> {
        let settings = Settings::load(&args.config)?;
        let policy = match &args.policy {
            Some(path) => Policy::load(path)?,
            None => Policy::default(),
        };
        let cell = match (&args.cells, &args.cell) {
            (Some(path), Some(cell)) => Some(CellMembership {
                config: load_cells(path, cell, &settings)?,
                cell: cell.clone(),
            }),
            _ => None,
        };
        let limits = match &args.limits {
            Some(path) => Some(load_limits(path, &settings)?),
            None => None,
        };
        Ok(Self {
            settings,
            policy,
            cell,
            limits,
        })
    }

    /// Builds the controller's state as it is before the first contact with the state service.
    fn into_node(self, supported_level: FeatureLevel) -> Node {
        let node = Node::new(supported_level, self.settings, self.policy).with_limits(self.limits);
        match self.cell {
            Some(CellMembership { config, cell }) => node.in_cell(config, &cell),
            None => node,
        }
    }
}

/// Runs one controller with the files that the command line names.
pub fn run(args: &ServeArgs) -> Result<(), ServeError> {
    let configuration = Configuration::load(args)?;
    logging::init();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServeError::Runtime)?;
    runtime.block_on(run_controller(FeatureLevel::COMPACT_PAGES, configuration))
}

/// Runs one controller until the runtime ends. The controller publishes that it supports `supported_level`, or a
/// higher level if its configuration needs one.
pub async fn run_controller(
    supported_level: FeatureLevel,
    configuration: Configuration,
) -> Result<(), ServeError> {
    let api_listener = listen(configuration.settings.api_addr).await?;
    let mesh_listener = listen(configuration.settings.mesh_addr).await?;
    let node = Arc::new(configuration.into_node(supported_level));
    tracing::info!(incarnation = node.identity.incarnation, "starting");
    let mut tasks = BackgroundTasks::start(&node);
    tasks.spawn("mesh server", mesh::serve(node.clone(), mesh_listener));
    // Not awaited here: the supervisor and its tasks end with the runtime.
    tokio::spawn(tasks.supervise());
    api::run(node, api_listener).await;
    Ok(())
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(addr)
        .await
        .map_err(|source| ServeError::Listen { addr, source })
}
