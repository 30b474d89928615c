//! Explains whether a team's limit keeps a job from starting.

use super::{FORMAT, ResourceReport};
use crate::amount::ResourceAmount;
use crate::demand::WaitingUnit;
use crate::view::TeamView;
use serde::Serialize;

/// Why a job waits, as far as limits are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// None of its tasks is waiting.
    Nothing,
    /// Its team has no divided limit, or its controller's allocation leaves enough: the job waits for machines
    /// or for its turn.
    Machines,
    /// The team's limit leaves too little: tasks of the team must end first.
    Limit,
    /// The limit leaves enough, but a part of that is allocated to other controllers and is being
    /// transferred.
    #[serde(rename = "allotment")]
    Allocation,
    /// The leader has yet to divide the limit among the controllers.
    Division,
}

/// The job that is explained, and the controller that places it.
#[derive(Debug, Clone, Copy)]
pub struct JobIdentity<'a> {
    /// The job.
    pub job: &'a str,
    /// Its team.
    pub team: &'a str,
    /// The controller that places it, if any.
    pub controller: Option<&'a str>,
}

/// Explains why a job waits.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// See [`FORMAT`].
    pub format: u32,
    /// The job.
    pub job: String,
    /// Its team.
    pub team: String,
    /// The controller that places it.
    pub controller: Option<String>,
    /// The reason why it waits.
    #[serde(rename = "held_by")]
    pub reason: WaitReason,
    /// When its tasks could first start, in milliseconds since the epoch.
    pub since_ms: u64,
    /// Resources that the smallest part of it that can start needs.
    pub needs: ResourceReport,
    /// Resources that its controller's allocation leaves free.
    pub free_here: ResourceReport,
    /// Resources that the team's limit leaves free.
    pub free_in_all: ResourceReport,
}

impl Explanation {
    /// Explains a job with a waiting unit whose team's limit is divided among the controllers or will be.
    pub fn under_divided_limit(identity: JobIdentity, view: &TeamView, unit: &WaitingUnit) -> Self {
        let record = view.valid_record().map(|versioned| versioned.record);
        let used: ResourceAmount = view.members.iter().map(|demand| demand.used).sum();
        let free_in_all = view.limit.as_amount().saturating_sub(used);
        let own = view
            .members
            .iter()
            .find(|demand| Some(demand.member.as_str()) == identity.controller);
        let free_here = record
            .zip(own)
            .map_or(ResourceAmount::ZERO, |(record, demand)| {
                record
                    .allocation_of(&demand.member)
                    .saturating_sub(demand.used)
            });
        let reason = if record.is_none() {
            WaitReason::Division
        } else if unit.need.fits_within(free_here) {
            WaitReason::Machines
        } else if unit.need.fits_within(free_in_all) {
            WaitReason::Allocation
        } else {
            WaitReason::Limit
        };
        Self {
            format: FORMAT,
            job: identity.job.to_owned(),
            team: identity.team.to_owned(),
            controller: identity.controller.map(str::to_owned),
            reason,
            since_ms: unit.since_ms,
            needs: unit.need.into(),
            free_here: free_here.into(),
            free_in_all: free_in_all.into(),
        }
    }

    /// Explains a job that does not wait for a divided limit: its team has no limit or one that is not divided,
    /// or none of its tasks is waiting. `unit` is the smallest part of it that can start, if any waits.
    /// `since_ms` is when its tasks could first start, in milliseconds since the epoch.
    pub fn without_limit(identity: JobIdentity, unit: Option<&WaitingUnit>, since_ms: u64) -> Self {
        let reason = match unit {
            Some(_) => WaitReason::Machines,
            None => WaitReason::Nothing,
        };
        Self {
            format: FORMAT,
            job: identity.job.to_owned(),
            team: identity.team.to_owned(),
            controller: identity.controller.map(str::to_owned),
            reason,
            since_ms,
            needs: unit.map_or(ResourceAmount::ZERO, |unit| unit.need).into(),
            free_here: ResourceAmount::ZERO.into(),
            free_in_all: ResourceAmount::ZERO.into(),
        }
    }

    /// The explanation as human-readable text.
    pub fn text(&self) -> String {
        let controller = self.controller.as_deref().unwrap_or("nobody");
        let reason = self.reason_text(controller);
        format!(
            "{}: needs {}, placed by {controller}; {reason}\n",
            self.job, self.needs
        )
    }

    fn reason_text(&self, controller: &str) -> String {
        let Self {
            team,
            free_here,
            free_in_all,
            ..
        } = self;
        match self.reason {
            WaitReason::Nothing => "none of its tasks is waiting".to_owned(),
            WaitReason::Machines => {
                "not blocked by a limit; waiting for machines or for its turn".to_owned()
            }
            WaitReason::Limit => format!(
                "blocked by the limit of team {team}, which leaves {free_in_all}; tasks of the team must end first"
            ),
            WaitReason::Allocation => format!(
                "waiting for a transfer of team {team}'s quota: of {free_in_all} free, {free_here} are \
                 allocated to {controller}, the rest to other controllers"
            ),
            WaitReason::Division => format!(
                "waiting until the limit of team {team} is divided among the controllers; retry in a few seconds"
            ),
        }
    }
}
