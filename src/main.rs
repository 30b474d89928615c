//! rowanmill: a cluster scheduler that rents machines by predicted deadline misses.

mod api;
mod cloud;
mod http;
mod jobs;
mod membership;
mod mesh;
mod node;
mod placement;
mod policy;
mod renting;
mod settings;
mod state;
mod workers;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::net::TcpListener;

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
        /// The settings file that the platform hands over
        #[arg(long)]
        config: PathBuf,
    },
    /// Check a settings file, and say what is wrong with it
    Check {
        /// The settings file to check
        #[arg(long)]
        config: PathBuf,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let outcome = match cli.command {
        Command::Serve { config } => serve(config),
        Command::Check { config } => settings::Settings::load(&config)
            .map(|_| println!("{}: fine", config.display()))
            .map_err(|e| e.to_string()),
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

fn serve(config: PathBuf) -> Result<(), String> {
    let settings = settings::Settings::load(&config).map_err(|e| e.to_string())?;
    start_log();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("no runtime: {e}"))?;
    runtime.block_on(async {
        let bind = |addr| async move {
            TcpListener::bind(addr)
                .await
                .map_err(|e| format!("cannot listen on {addr}: {e}"))
        };
        let api_listener = bind(settings.api_addr).await?;
        let mesh_listener = bind(settings.mesh_addr).await?;
        let node = Arc::new(node::Node::new(settings, policy::Policy::default()));
        tracing::info!(incarnation = node.me.incarnation, "starting");
        tokio::spawn(state::follow::run(node.clone()));
        tokio::spawn(state::follow::serve_syncs(node.clone()));
        tokio::spawn(membership::run(node.clone()));
        tokio::spawn(mesh::serve(node.clone(), mesh_listener));
        tokio::spawn(mesh::ask(node.clone()));
        tokio::spawn(placement::service::run(node.clone()));
        tokio::spawn(renting::service::run(node.clone()));
        api::run(node, api_listener).await;
        Ok(())
    })
}
