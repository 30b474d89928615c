//! rowanmill: a cluster scheduler that rents machines by predicted deadline misses. This file runs the command
//! that the command line names, and exits with its exit code.
#![cfg_attr(
    test,
    allow(clippy::too_many_lines, reason = "a test plays a whole scenario")
)]

mod api;
mod background;
mod cells;
mod check;
mod cli;
mod client;
mod cloud;
mod fleet;
mod http;
mod jobs;
mod limits;
mod logging;
mod membership;
mod mesh;
mod metrics;
mod node;
mod operator_files;
mod pipelines;
mod placement;
mod policy;
mod renting;
mod serve;
mod settings;
mod state;
#[cfg(test)]
mod testing;
mod workers;

use clap::Parser;
use cli::{Cli, Command};
use client::ClientCommand;
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: metrics::memory::CountingAllocator = metrics::memory::CountingAllocator;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
enum CommandError {
    Serve(#[from] serve::ServeError),
    Check(#[from] check::CheckError),
    Client(#[from] client::ClientError),
}

impl CommandError {
    fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Serve(_) | CommandError::Check(_) => ExitCode::FAILURE,
            CommandError::Client(error) => error.exit_code(),
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rowanmill: {error}");
            error.exit_code()
        }
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve(args) => serve::run(&args)?,
        Command::Check(args) => check::run(&args)?,
        Command::Cells { command } => client::run(&ClientCommand::Cells(command))?,
        Command::Limits { command } => client::run(&ClientCommand::Limits(command))?,
    }
    Ok(())
}
