//! Reports of team limits for the command-line client and the log.

use super::{TeamQuotas, usage};
use crate::node::Core;
use rowanmill_limits::report::{Explanation, JobIdentity, TeamReport};
use rowanmill_limits::{ResourceAmount, WaitingUnit};

impl TeamQuotas {
    /// The status of all limited teams.
    pub fn team_reports(&self, core: &Core) -> Vec<TeamReport> {
        self.limits
            .iter()
            .map(|(team, limit)| match self.divided_team(core, team) {
                Some(divided) => TeamReport::divided(team, &divided.view()),
                None => TeamReport::whole(team, *limit, usage::used_by_team(core, team, limit)),
            })
            .collect()
    }

    /// Why a job waits, as far as limits are concerned; `None` if there is no such unfinished job.
    pub fn explain(&self, core: &Core, id: &str) -> Option<Explanation> {
        let job = core.replica.jobs.get(id)?;
        let spec = &job.record.spec;
        let owner = core.replica.owner_of(&job.record);
        let identity = JobIdentity {
            job: id,
            team: &spec.team,
            controller: owner.map(|owner| owner.name.as_str()),
        };
        let unit = usage::waiting_unit(id, job);
        let divided = self.divided_team(core, &spec.team);
        if let (Some(team), Some(unit)) = (divided, &unit) {
            let unit = WaitingUnit {
                need: team.limit.limited_part_of(unit.need),
                ..unit.clone()
            };
            let explanation = Explanation::under_divided_limit(identity, &team.view(), &unit);
            return Some(explanation);
        }
        let since_ms = job.record.eligible_since_ms();
        Some(Explanation::without_limit(
            identity,
            unit.as_ref(),
            since_ms,
        ))
    }
}

/// Logs the usage and the allocation of each divided team, at debug level.
pub fn log_team_quotas(core: &Core) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    for team in core.limits.divided_teams(core) {
        let demands = team.members().iter();
        let used: ResourceAmount = demands.clone().map(|demand| demand.used).sum();
        let waiting: ResourceAmount = demands.map(|demand| demand.waiting).sum();
        tracing::debug!(
            team = team.name,
            limit = ?team.limit.as_amount(),
            ?used,
            ?waiting,
            charged = ?team.charged(),
            allocation = ?team.allocation(),
            headroom = ?team.headroom(),
            "team quota measured"
        );
    }
}
