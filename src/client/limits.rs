//! Questions about teams' limits. The state service is asked.

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

/// What all commands about limits need.
#[derive(Debug, Args)]
pub struct LimitsOptions {
    /// The settings file of any controller
    #[arg(long)]
    config: PathBuf,
    /// How the answer is written
    #[arg(long, value_enum, default_value = "text")]
    output: OutputFormat,
}

/// The commands about limits; the doc comments below this line are the help texts.
#[derive(Debug, Subcommand)]
pub enum LimitsCommand {
    /// How all limited teams stand: the limit, what is used, each controller's part
    Status {
        #[command(flatten)]
        options: LimitsOptions,
    },
    /// Which limit holds a job up, at which controller, and what frees it
    Explain {
        /// The job
        job: String,
        #[command(flatten)]
        options: LimitsOptions,
    },
}

/// Carries out a command; returns the answer as it is to be printed.
pub(super) async fn answer(command: &LimitsCommand) -> Result<String, ClientError> {
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

    /// What a controller would know that has read all records and nothing else.
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
