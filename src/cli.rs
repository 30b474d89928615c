//! The command line: its commands and their arguments. Commands are run and files are read elsewhere.

use crate::client::{CellsCommand, LimitsCommand};
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// The command line.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// A command. The doc comments of the variants and their arguments are the help texts.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run one controller until it is killed
    Serve(ServeArgs),
    /// Show the cells that share work, or drain a cell
    Cells {
        #[command(subcommand)]
        command: CellsCommand,
    },
    /// Show teams' limits and their use
    Limits {
        #[command(subcommand)]
        command: LimitsCommand,
    },
    /// Check configuration files and report the first error
    Check(CheckArgs),
}

/// The configuration files of a controller.
#[derive(Debug, Args)]
pub struct ServeArgs {
    /// The policy file; values that it omits are taken from the built-in policy
    #[arg(long)]
    pub policy: Option<PathBuf>,
    /// The cells file, which lists the cells that share work; without it, the controller belongs to no cell
    #[arg(long, requires = "cell")]
    pub cells: Option<PathBuf>,
    /// The cell that the controller belongs to
    #[arg(long, requires = "cells")]
    pub cell: Option<String>,
    /// The limits file; without it, teams' limits are not divided among the controllers
    #[arg(long)]
    pub limits: Option<PathBuf>,
    /// The settings file that the platform provides
    #[arg(long)]
    pub config: PathBuf,
}

/// The files to check. At least one is required.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// The policy file to check
    #[arg(long, required_unless_present_any = ["config", "cells", "limits"])]
    pub policy: Option<PathBuf>,
    /// The cells file to check
    #[arg(long)]
    pub cells: Option<PathBuf>,
    /// Check the cells file against the settings file of a controller of this cell
    #[arg(long, requires_all = ["cells", "config"])]
    pub cell: Option<String>,
    /// The limits file to check; with a settings file, the limits of its teams are checked too
    #[arg(long)]
    pub limits: Option<PathBuf>,
    /// The settings file to check
    #[arg(long)]
    pub config: Option<PathBuf>,
}
