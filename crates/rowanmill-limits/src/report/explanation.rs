//! Why a job waits, as far as limits are concerned.

use super::{FORMAT, ResourceReport};
use crate::amount::ResourceAmount;
use crate::demand::WaitingUnit;
use crate::view::TeamView;
use serde::Serialize;

/// What a job waits for, as far as limits are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// None of its tasks waits.
    Nothing,
    /// Its team has no limit, or the limit has headroom: it waits for machines, or its turn.
    Machines,
    /// The team uses its whole limit: one of its tasks must end first.
    Limit,
    /// The limit has headroom at other controllers, which is being transferred.
    #[serde(rename = "allotment")]
    Allocation,
    /// The limit is about to be divided among the controllers.
    Division,
}

/// Which job is explained, and where it is placed.
#[derive(Debug, Clone, Copy)]
pub struct JobIdentity<'a> {
    /// The job.
    pub job: &'a str,
    /// Its team.
    pub team: &'a str,
    /// The controller that places it, if any.
    pub controller: Option<&'a str>,
}

/// Why a job waits.
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
    /// What it waits for.
    #[serde(rename = "held_by")]
    pub reason: WaitReason,
    /// When its objectives began to count, in milliseconds since the epoch.
    pub since_ms: u64,
    /// The least that it can start with.
    pub needs: ResourceReport,
    /// What its controller's allocation leaves.
    pub free_here: ResourceReport,
    /// What the team's limit leaves.
    pub free_in_all: ResourceReport,
}

impl Explanation {
    /// Explains a waiting unit of a job whose team's limit is divided.
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

    /// Explains a job that no divided limit holds up: its team has none, or none of its tasks waits. `unit`
    /// is what waits of it, `since_ms` when its objectives began to count, in milliseconds since the epoch.
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

    /// The explanation as text for people.
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
            WaitReason::Nothing => "nothing of it waits".to_owned(),
            WaitReason::Machines => {
                "no limit holds it; it waits for machines or its turn".to_owned()
            }
            WaitReason::Limit => format!(
                "the limit of team {team} holds it: {free_in_all} are free; a task of the team must end"
            ),
            WaitReason::Allocation => format!(
                "{controller} has {free_here} of team {team}'s limit free, others have the rest of \
                 {free_in_all}; it is being given over"
            ),
            WaitReason::Division => format!(
                "the limit of team {team} is about to be divided; ask again in a few seconds"
            ),
        }
    }
}
