//! The command line: its commands and their arguments. It reads no file and carries nothing out.

use crate::client::{CellsCommand, LimitsCommand};
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// The whole command line.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// What the program is asked to do. The doc comments below this line are the help texts.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run one controller until it is killed
    Serve(ServeArgs),
    /// Ask about the cells that share work, or change them
    Cells {
        #[command(subcommand)]
        command: CellsCommand,
    },
    /// Ask how teams' limits stand
    Limits {
        #[command(subcommand)]
        command: LimitsCommand,
    },
    /// Check a settings file, a policy or both, and say what is wrong
    Check(CheckArgs),
}

/// The files that a controller is started with.
#[derive(Debug, Args)]
pub struct ServeArgs {
    /// The operators' policy; what it leaves out is as in the embedded one
    #[arg(long)]
    pub policy: Option<PathBuf>,
    /// The operators' file of the cells that share work; without it there are none
    #[arg(long, requires = "cell")]
    pub cells: Option<PathBuf>,
    /// Which of these cells this controller belongs to
    #[arg(long, requires = "cells")]
    pub cell: Option<String>,
    /// The operators' file that has teams' limits divided among the controllers
    #[arg(long)]
    pub limits: Option<PathBuf>,
    /// The settings file that the platform hands over
    #[arg(long)]
    pub config: PathBuf,
}

/// The files to check, at least one.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// The policy to check
    #[arg(long, required_unless_present_any = ["config", "cells", "limits"])]
    pub policy: Option<PathBuf>,
    /// The file of the cells to check
    #[arg(long)]
    pub cells: Option<PathBuf>,
    /// Check the cells' file against the settings of a controller of this cell
    #[arg(long, requires_all = ["cells", "config"])]
    pub cell: Option<String>,
    /// The limits' file to check; with a settings file, its teams' amounts too
    #[arg(long)]
    pub limits: Option<PathBuf>,
    /// The settings file to check
    #[arg(long)]
    pub config: Option<PathBuf>,
}
