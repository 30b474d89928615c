//! The status of all limited teams.

use super::{LimitReport, ResourceReport};
use crate::amount::ResourceAmount;
use crate::limit::TeamLimit;
use crate::view::TeamView;
use serde::Serialize;

/// How a team's limit is enforced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EnforcementMode {
    /// It is divided among the controllers.
    Divided,
    /// The leader has yet to divide it; no task of the team starts until then.
    Pending,
    /// One controller enforces it alone.
    Whole,
}

/// One controller's part of a team's limit.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ControllerReport {
    /// The controller.
    pub controller: String,
    /// The maximum that its tasks may use.
    #[serde(rename = "allotment")]
    pub allocation: ResourceReport,
    /// Resources that its tasks use.
    pub used: ResourceReport,
    /// Resources that its waiting tasks would use.
    pub waiting: ResourceReport,
}

/// The status of one team.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TeamReport {
    /// The team.
    pub team: String,
    /// How its limit is enforced.
    pub mode: EnforcementMode,
    /// Its limit.
    pub limit: LimitReport,
    /// Resources that its tasks use.
    pub used: ResourceReport,
    /// Each controller's part; empty if one controller enforces the limit alone.
    pub controllers: Vec<ControllerReport>,
}

impl TeamReport {
    /// The report of a team whose limit is divided among the controllers or will be.
    pub fn divided(team: &str, view: &TeamView) -> Self {
        let record = view.valid_record().map(|versioned| versioned.record);
        let used: ResourceAmount = view.members.iter().map(|demand| demand.used).sum();
        let controllers = view.members.iter().map(|demand| ControllerReport {
            controller: demand.member.clone(),
            allocation: record
                .map_or(ResourceAmount::ZERO, |record| {
                    record.allocation_of(&demand.member)
                })
                .into(),
            used: demand.used.into(),
            waiting: demand.waiting.into(),
        });
        let mode = if record.is_some() {
            EnforcementMode::Divided
        } else {
            EnforcementMode::Pending
        };
        Self {
            team: team.to_owned(),
            mode,
            limit: view.limit.into(),
            used: used.into(),
            controllers: controllers.collect(),
        }
    }

    /// The report of a team whose limit is enforced by one controller alone.
    pub fn whole(team: &str, limit: TeamLimit, used: ResourceAmount) -> Self {
        Self {
            team: team.to_owned(),
            mode: EnforcementMode::Whole,
            limit: limit.into(),
            used: used.into(),
            controllers: Vec::new(),
        }
    }

    fn text(&self) -> String {
        let mode = match self.mode {
            EnforcementMode::Divided => "divided",
            EnforcementMode::Pending => "not divided yet, no task starts",
            EnforcementMode::Whole => "enforced by one controller",
        };
        let mut text = format!("{}: {} of {}, {mode}\n", self.team, self.used, self.limit);
        for report in &self.controllers {
            let ControllerReport {
                controller,
                allocation,
                used,
                waiting,
            } = report;
            text.push_str(&format!(
                "  {controller}: {used} of {allocation}, waiting for {waiting}\n"
            ));
        }
        text
    }
}

/// The status of all limited teams.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct StatusReport {
    /// See [`FORMAT`](super::FORMAT).
    pub format: u32,
    /// The teams that have a limit.
    pub teams: Vec<TeamReport>,
}

impl StatusReport {
    /// The report as human-readable text.
    pub fn text(&self) -> String {
        if self.teams.is_empty() {
            return "no team has a limit\n".to_owned();
        }
        self.teams.iter().map(TeamReport::text).collect()
    }
}
