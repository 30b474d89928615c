//! Commands that show teams' limits and their use. They read the state service.

use super::output::OutputFormat;
use super::{ClientError, ServiceConnection};
use crate::limits::{self, TeamQuotas};
use crate::node::Core;
use crate::settings::Settings;
use crate::state::{LIVE_PREFIX, RecordKey};
use clap::{Args, Subcommand};
use rowanmill_limits::LimitsConfig;
use rowanmill_limits::report::{Explanation, FORMAT, StatusReport};
use std::path::PathBuf;
use std::time::Instant;

/// Options of all commands about limits.
#[derive(Debug, Args)]
pub struct LimitsOptions {
    /// The settings file of any controller
    #[arg(long)]
    config: PathBuf,
    /// The format of the output
    #[arg(long, value_enum, default_value = "text")]
    output: OutputFormat,
}

/// The commands about limits. The doc comments of the variants and their arguments are the help texts.
#[derive(Debug, Subcommand)]
pub enum LimitsCommand {
    /// Show the limit of each limited team, what is used of it, and each controller's allocation
    Status {
        #[command(flatten)]
        options: LimitsOptions,
    },
    /// Show which limit blocks a job, at which controller, and what would unblock it
    Explain {
        /// The job's ID
        job: String,
        #[command(flatten)]
        options: LimitsOptions,
    },
}

/// Runs a command and returns its output.
pub(super) async fn execute(command: &LimitsCommand) -> Result<String, ClientError> {
    match command {
        LimitsCommand::Status { options } => {
            let report = StateConnection::open_state(options)?.status().await?;
            Ok(options.output.render(&report, || report.text()))
        }
        LimitsCommand::Explain { job, options } => {
            let explanation = StateConnection::open_state(options)?.explain(job).await?;
            Ok(options.output.render(&explanation, || explanation.text()))
        }
    }
}

type StateConnection = ServiceConnection<Settings>;

impl StateConnection {
    fn open_state(options: &LimitsOptions) -> Result<Self, ClientError> {
        Self::open(&options.config, |settings| settings.endpoints.state)
    }

    /// Builds a controller's state from the records alone.
    async fn read_records(&self) -> Result<Core, ClientError> {
        let listing = self.service.list_all(LIVE_PREFIX).await;
        let (pairs, revision) = listing.map_err(ClientError::state_service)?;
        let mut core = Core::new(self.config.page_layout(), Instant::now());
        core.replica.reload_from_snapshot(pairs, revision);
        if core.replica.assignment.is_none() {
            return Err(ClientError::NoAssignment);
        }
        core.limits = TeamQuotas::from_settings(LimitsConfig::default(), &self.config);
        limits::refresh_usage(&mut core);
        Ok(core)
    }

    async fn status(&self) -> Result<StatusReport, ClientError> {
        let core = self.read_records().await?;
        let teams = core.limits.team_reports(&core);
        Ok(StatusReport {
            format: FORMAT,
            teams,
        })
    }

    async fn explain(&self, job: &str) -> Result<Explanation, ClientError> {
        let core = self.read_records().await?;
        if let Some(explanation) = core.limits.explain(&core, job) {
            return Ok(explanation);
        }
        let final_state = self
            .service
            .get(&RecordKey::FinalState(job).to_string())
            .await;
        match final_state.map_err(ClientError::state_service)? {
            Some(_) => Err(ClientError::EndedJob(job.to_owned())),
            None => Err(ClientError::UnknownJob(job.to_owned())),
        }
    }
}
