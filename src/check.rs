//! The command `check`: reads and checks configuration files as `serve` does, but starts no controller.

use crate::cli::CheckArgs;
use crate::operator_files::{load_cells, load_limits};
use crate::policy::{Policy, PolicyError};
use crate::settings::Settings;
use rowanmill_cells::CellsConfig;
use rowanmill_config::{ConfigError, ConfigFile};
use rowanmill_limits::LimitsConfig;
use std::path::Path;

/// Why a file is invalid.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub enum CheckError {
    Config(#[from] ConfigError),
    Policy(#[from] PolicyError),
}

/// Checks the files one after the other, and prints a line for each valid one. Stops at the first invalid one.
pub fn run(args: &CheckArgs) -> Result<(), CheckError> {
    let settings = args.config.as_deref().map(check_settings).transpose()?;
    if let Some(path) = &args.cells {
        check_cells(path, args.cell.as_deref(), settings.as_ref())?;
    }
    if let Some(path) = &args.limits {
        check_limits(path, settings.as_ref())?;
    }
    if let Some(path) = &args.policy {
        Policy::load(path)?;
        print_valid(path);
    }
    Ok(())
}

fn check_settings(path: &Path) -> Result<Settings, ConfigError> {
    let settings = Settings::load(path)?;
    print_valid(path);
    Ok(settings)
}

/// Checks the cells file. If a cell and settings are given, checks it for a controller of that cell with these
/// settings too.
fn check_cells(
    path: &Path,
    cell: Option<&str>,
    settings: Option<&Settings>,
) -> Result<(), ConfigError> {
    match (cell, settings) {
        (Some(cell), Some(settings)) => load_cells(path, cell, settings)?,
        _ => CellsConfig::load(path)?,
    };
    print_valid(path);
    Ok(())
}

/// Checks the limits file. If settings are given, checks that the limits of their teams can be divided too.
fn check_limits(path: &Path, settings: Option<&Settings>) -> Result<(), ConfigError> {
    match settings {
        Some(settings) => load_limits(path, settings)?,
        None => LimitsConfig::load(path)?,
    };
    print_valid(path);
    Ok(())
}

fn print_valid(path: &Path) {
    println!("{}: fine", path.display());
}
