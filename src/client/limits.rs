//! Questions about teams' limits. The state service is asked, not a controller, so that there is an answer
//! during a takeover too.

use super::{ClientError, Output, SHARE, line};
use crate::limits::{self, TeamQuotas};
use crate::node::Core;
use crate::settings::Settings;
use crate::state::{LIVE, StateClient, final_key};
use clap::{Args, Subcommand};
use rowanmill_config::ConfigFile;
use rowanmill_limits::LimitsConfig;
use rowanmill_limits::report::{Explanation, FORMAT, StatusReport};
use std::path::PathBuf;
use std::time::Instant;

#[derive(Debug, Args)]
pub struct Asked {
    /// The settings file of any controller
    #[arg(long)]
    config: PathBuf,
    /// How the answer is written
    #[arg(long, value_enum, default_value = "text")]
    output: Output,
}

#[derive(Debug, Subcommand)]
pub enum LimitsCommand {
    /// How all limited teams stand: the limit, what is used, each controller's part
    Status {
        #[command(flatten)]
        asked: Asked,
    },
    /// Which limit holds a job up, at which controller, and what frees it
    Explain {
        /// The job
        job: String,
        #[command(flatten)]
        asked: Asked,
    },
}

struct Client {
    state: StateClient,
    settings: Settings,
}

impl Client {
    fn new(asked: &Asked) -> Result<Self, ClientError> {
        let settings = Settings::load(&asked.config);
        let settings = settings.map_err(|problem| ClientError::Config(problem.to_string()))?;
        Ok(Self {
            state: StateClient::new(settings.endpoints.state, SHARE, SHARE),
            settings,
        })
    }

    /// What a controller would know that has read all records and nothing else.
    async fn records(&self) -> Result<Core, ClientError> {
        let listing = self.state.list_all(LIVE).await;
        let (pairs, revision) = listing.map_err(|_| ClientError::NoState)?;
        let mut core = Core::new(self.settings.page_layout(), Instant::now());
        core.replica.reset(pairs, revision);
        if core.replica.assignment.is_none() {
            return Err(ClientError::NoAssignment);
        }
        core.limits = TeamQuotas::from_settings(LimitsConfig::default(), &self.settings);
        limits::refresh_usage(&mut core);
        Ok(core)
    }

    async fn status(&self) -> Result<StatusReport, ClientError> {
        let core = self.records().await?;
        let teams = core.limits.team_reports(&core);
        Ok(StatusReport {
            format: FORMAT,
            teams,
        })
    }

    async fn explain(&self, job: &str) -> Result<Explanation, ClientError> {
        let core = self.records().await?;
        if let Some(explanation) = core.limits.explain(&core, job) {
            return Ok(explanation);
        }
        let last = self.state.get(&final_key(job)).await;
        match last.map_err(|_| ClientError::NoState)? {
            Some(_) => Err(ClientError::Ended(job.to_owned())),
            None => Err(ClientError::UnknownJob(job.to_owned())),
        }
    }
}

pub(super) async fn answer(command: &LimitsCommand) -> Result<String, ClientError> {
    match command {
        LimitsCommand::Status { asked } => {
            let status = Client::new(asked)?.status().await?;
            Ok(match asked.output {
                Output::Text => status.text(),
                Output::Json => line(&status),
            })
        }
        LimitsCommand::Explain { job, asked } => {
            let explanation = Client::new(asked)?.explain(job).await?;
            Ok(match asked.output {
                Output::Text => explanation.text(),
                Output::Json => line(&explanation),
            })
        }
    }
}
