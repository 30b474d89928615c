//! rowanmill: a cluster scheduler that rents machines by predicted deadline misses.

mod api;
mod cells;
mod client;
mod cloud;
mod fleet;
mod jobs;
mod limits;
mod membership;
mod mesh;
mod metrics;
mod node;
mod pipelines;
mod placement;
mod policy;
mod renting;
mod settings;
mod state;
#[cfg(test)]
mod testing;
mod workers;

use clap::{Parser, Subcommand};
use client::ClientCommand;
use rowanmill_cells::CellsConfig;
use rowanmill_limits::LimitsConfig;
use rowanmill_limits::teams::{SettingAmount, TeamSettings, validate_teams};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use tokio::net::TcpListener;

#[global_allocator]
static ALLOCATOR: metrics::memory::CountingAllocator = metrics::memory::CountingAllocator;

#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one controller until it is killed
    Serve {
        /// The operators' policy; what it leaves out is as in the embedded one
        #[arg(long)]
        policy: Option<PathBuf>,
        /// The operators' file of the cells that share work; without it there are none
        #[arg(long, requires = "cell")]
        cells: Option<PathBuf>,
        /// Which of these cells this controller belongs to
        #[arg(long, requires = "cells")]
        cell: Option<String>,
        /// The operators' file that has teams' limits divided among the controllers
        #[arg(long)]
        limits: Option<PathBuf>,
        /// The settings file that the platform hands over
        #[arg(long)]
        config: PathBuf,
    },
    /// Ask about the cells that share work, or change them
    Cells {
        #[command(subcommand)]
        command: client::CellsCommand,
    },
    /// Ask how teams' limits stand
    Limits {
        #[command(subcommand)]
        command: client::LimitsCommand,
    },
    /// Check a settings file, a policy or both, and say what is wrong
    Check {
        /// The policy to check
        #[arg(long, required_unless_present_any = ["config", "cells", "limits"])]
        policy: Option<PathBuf>,
        /// The file of the cells to check
        #[arg(long)]
        cells: Option<PathBuf>,
        /// Check the cells' file against the settings of a controller of this cell
        #[arg(long, requires_all = ["cells", "config"])]
        cell: Option<String>,
        /// The limits' file to check; with a settings file, its teams' amounts too
        #[arg(long)]
        limits: Option<PathBuf>,
        /// The settings file to check
        #[arg(long)]
        config: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let outcome = match cli.command {
        Command::Serve {
            config,
            policy,
            cells,
            cell,
            limits,
        } => serve(
            &config,
            policy.as_deref(),
            cells.zip(cell),
            limits.as_deref(),
        ),
        Command::Cells { command } => return ask(&ClientCommand::Cells(command)),
        Command::Limits { command } => return ask(&ClientCommand::Limits(command)),
        Command::Check {
            config,
            policy,
            cells,
            cell,
            limits,
        } => check(config.as_deref(), policy.as_deref(), cells, cell, limits),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("rowanmill: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// Has the client answer.
fn ask(command: &ClientCommand) -> ExitCode {
    match client::run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("rowanmill: {problem}");
            problem.exit_code()
        }
    }
}

fn start_log() {
    let wanted = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = match wanted.as_str() {
        "error" => tracing::Level::ERROR,
        "debug" => tracing::Level::DEBUG,
        _ => tracing::Level::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .init();
    if !matches!(wanted.as_str(), "" | "error" | "info" | "debug") {
        tracing::info!(
            wanted,
            "LOG_LEVEL is none of error, info, debug: using info"
        );
    }
}

fn check(
    config: Option<&Path>,
    policy: Option<&Path>,
    cells: Option<PathBuf>,
    cell: Option<String>,
    limits: Option<PathBuf>,
) -> Result<(), String> {
    let mut settings = None;
    if let Some(path) = config {
        settings = Some(settings::Settings::load(path).map_err(|e| e.to_string())?);
        println!("{}: fine", path.display());
    }
    if let Some(path) = cells {
        match (cell, &settings) {
            (Some(cell), Some(settings)) => drop(load_cells(&path, &cell, settings)?),
            _ => drop(CellsConfig::load(&path).map_err(|e| e.to_string())?),
        }
        println!("{}: fine", path.display());
    }
    if let Some(path) = limits {
        match &settings {
            Some(settings) => drop(load_limits(&path, settings)?),
            None => drop(LimitsConfig::load(&path).map_err(|e| e.to_string())?),
        }
        println!("{}: fine", path.display());
    }
    if let Some(path) = policy {
        policy::Policy::load(path).map_err(|e| e.to_string())?;
        println!("{}: fine", path.display());
    }
    Ok(())
}

/// Reads the limits' file, and checks it against a controller's settings.
fn load_limits(path: &Path, settings: &settings::Settings) -> Result<LimitsConfig, String> {
    let config = LimitsConfig::load(path).map_err(|e| e.to_string())?;
    let teams = settings.params.teams.iter().map(|team| TeamSettings {
        name: &team.name,
        guarantee: SettingAmount {
            cpus: team.cpus,
            gpus: team.gpus,
        },
        limit: SettingAmount {
            cpus: team.cpus_max,
            gpus: team.gpus_max,
        },
    });
    let shown = path.display().to_string();
    validate_teams(teams, &shown).map_err(|e| e.to_string())?;
    Ok(config)
}

/// Reads the cells' file, and checks it against a controller's settings.
fn load_cells(
    path: &Path,
    cell: &str,
    settings: &settings::Settings,
) -> Result<CellsConfig, String> {
    let config = CellsConfig::load(path).map_err(|e| e.to_string())?;
    let times = cells::worker_times(settings);
    let shown = path.display().to_string();
    config
        .check_cell(cell, &times, &shown)
        .map_err(|e| e.to_string())?;
    Ok(config)
}

fn serve(
    config: &Path,
    policy: Option<&Path>,
    cells: Option<(PathBuf, String)>,
    limits: Option<&Path>,
) -> Result<(), String> {
    let settings = settings::Settings::load(config).map_err(|e| e.to_string())?;
    let policy = match policy {
        Some(path) => policy::Policy::load(path).map_err(|e| e.to_string())?,
        None => policy::Policy::default(),
    };
    let cells = match cells {
        Some((path, cell)) => Some((load_cells(&path, &cell, &settings)?, cell)),
        None => None,
    };
    let limits = match limits {
        Some(path) => Some(load_limits(path, &settings)?),
        None => None,
    };
    start_log();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("no runtime: {e}"))?;
    let options = Options { cells, limits };
    let can = membership::schema_versions::CAN;
    runtime.block_on(run_as(can, settings, policy, options))
}

/// What operators' files enable.
#[derive(Default)]
struct Options {
    cells: Option<(CellsConfig, String)>,
    limits: Option<LimitsConfig>,
}

/// One controller, until its runtime ends. `can` is what it says that its version can do.
async fn run_as(
    can: u32,
    settings: settings::Settings,
    policy: policy::Policy,
    options: Options,
) -> Result<(), String> {
    let bind = |addr| async move {
        TcpListener::bind(addr)
            .await
            .map_err(|e| format!("cannot listen on {addr}: {e}"))
    };
    let api_listener = bind(settings.api_addr).await?;
    let mesh_listener = bind(settings.mesh_addr).await?;
    let node = node::Node::new(can, settings, policy).with_limits(options.limits);
    let node = Arc::new(match options.cells {
        Some((config, cell)) => node.in_cell(config, &cell),
        None => node,
    });
    tracing::info!(incarnation = node.me.incarnation, "starting");
    start_duties(&node);
    tokio::spawn(mesh::serve(node.clone(), mesh_listener));
    api::run(node, api_listener).await;
    Ok(())
}

/// Starts all that a controller does of its own accord.
fn start_duties(node: &Arc<node::Node>) {
    tokio::spawn(state::follow::run(node.clone()));
    tokio::spawn(state::follow::serve_syncs(node.clone()));
    tokio::spawn(pipelines::service::run(node.clone()));
    tokio::spawn(membership::run(node.clone()));
    tokio::spawn(mesh::ask(node.clone()));
    tokio::spawn(placement::service::run(node.clone()));
    tokio::spawn(renting::service::run(node.clone()));
    cells::start(node);
}
