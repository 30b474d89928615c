//! rowanmill: a cluster scheduler that rents machines by predicted deadline misses.

mod api;
mod cloud;
mod fleet;
mod jobs;
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
        /// The settings file that the platform hands over
        #[arg(long)]
        config: PathBuf,
    },
    /// Check a settings file, a policy or both, and say what is wrong
    Check {
        /// The policy to check
        #[arg(long, required_unless_present = "config")]
        policy: Option<PathBuf>,
        /// The settings file to check
        #[arg(long)]
        config: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let outcome = match cli.command {
        Command::Serve { config, policy } => serve(&config, policy.as_deref()),
        Command::Check { config, policy } => check(config.as_deref(), policy.as_deref()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("rowanmill: {problem}");
            ExitCode::FAILURE
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

fn check(config: Option<&Path>, policy: Option<&Path>) -> Result<(), String> {
    if let Some(path) = config {
        settings::Settings::load(path).map_err(|e| e.to_string())?;
        println!("{}: fine", path.display());
    }
    if let Some(path) = policy {
        policy::Policy::load(path).map_err(|e| e.to_string())?;
        println!("{}: fine", path.display());
    }
    Ok(())
}

fn serve(config: &Path, policy: Option<&Path>) -> Result<(), String> {
    let settings = settings::Settings::load(config).map_err(|e| e.to_string())?;
    let policy = match policy {
        Some(path) => policy::Policy::load(path).map_err(|e| e.to_string())?,
        None => policy::Policy::default(),
    };
    start_log();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("no runtime: {e}"))?;
    runtime.block_on(run(settings, policy))
}

/// One controller, until its runtime ends.
async fn run(settings: settings::Settings, policy: policy::Policy) -> Result<(), String> {
    run_as(membership::schema_versions::CAN, settings, policy).await
}

/// `can` is what it says that its version can do.
async fn run_as(
    can: u32,
    settings: settings::Settings,
    policy: policy::Policy,
) -> Result<(), String> {
    let bind = |addr| async move {
        TcpListener::bind(addr)
            .await
            .map_err(|e| format!("cannot listen on {addr}: {e}"))
    };
    let api_listener = bind(settings.api_addr).await?;
    let mesh_listener = bind(settings.mesh_addr).await?;
    let node = Arc::new(node::Node::new(can, settings, policy));
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
}
