//! Loads the operators' cells file and limits file, and checks them against a controller's own settings.

use crate::cells;
use crate::settings::Settings;
use rowanmill_cells::CellsConfig;
use rowanmill_config::{ConfigError, ConfigFile};
use rowanmill_limits::LimitsConfig;
use rowanmill_limits::teams::{SettingAmount, TeamSettings, validate_teams};
use std::path::Path;

/// Reads the cells file, and checks it for a controller of `cell` with these settings.
pub fn load_cells(
    path: &Path,
    cell: &str,
    settings: &Settings,
) -> Result<CellsConfig, ConfigError> {
    let times = cells::worker_timing(settings);
    CellsConfig::load_checked(path, |config| config.check_cell(cell, &times))
}

/// Reads the limits file, and checks that the limits of the teams in the settings can be divided.
pub fn load_limits(path: &Path, settings: &Settings) -> Result<LimitsConfig, ConfigError> {
    let teams = settings.params.teams.iter().map(|team| TeamSettings {
        name: &team.name,
        guarantee: SettingAmount {
            cpus: team.guaranteed_cpus,
            gpus: team.guaranteed_gpus,
        },
        limit: SettingAmount {
            cpus: team.max_cpus,
            gpus: team.max_gpus,
        },
    });
    LimitsConfig::load_checked(path, |_| validate_teams(teams))
}
