//! Gangs of this controller that only their team's limit keeps from starting. Headroom is reserved for them
//! here, and the oldest are published to the other controllers.

use super::{DividedTeam, TeamQuotas, usage};
use crate::node::Core;
use crate::placement::Resources;
use rowanmill_limits::WaitingUnit;
use std::collections::BTreeMap;

/// The most blocked gangs that a controller publishes: its record must fit into a value of the state service.
const MAX_PUBLISHED_GANGS: usize = 4;
/// The most bytes that one published gang takes in a record.
const MAX_BYTES_PER_GANG: usize = 200;
/// The most bytes that all published gangs take in a record.
pub const MAX_PUBLISHED_GANG_BYTES: usize = MAX_PUBLISHED_GANGS * MAX_BYTES_PER_GANG;

/// Headroom that is reserved for a blocked gang.
pub struct GangReservation<'a> {
    /// The gang.
    pub job: &'a str,
    /// Resources that it needs to start.
    pub amount: Resources,
}

/// Records the blocked gang of each divided team. `jobs` are the gangs that are blocked by their team's
/// limit, in the order of their urgency; the first of each team counts.
pub fn record_blocked_gangs(core: &mut Core, jobs: Vec<String>) {
    let mut blocked = BTreeMap::new();
    for id in jobs {
        if let Some((team, unit)) = blocked_gang(core, &id) {
            blocked.entry(team).or_insert(unit);
        }
    }
    if blocked != core.limits.blocked_gangs {
        tracing::debug!(?blocked, "gangs blocked by team limits");
    }
    core.limits.blocked_gangs = blocked;
}

/// The team of a waiting gang and the gang as a waiting unit, if the team's limit is divided.
fn blocked_gang(core: &Core, id: &str) -> Option<(String, WaitingUnit)> {
    let job = core.replica.jobs.get(id)?;
    let team = core.limits.divided_team(core, &job.record.spec.team)?;
    let unit = usage::waiting_gang(&team.limit, id, job)?;
    Some((team.name.to_owned(), unit))
}

impl TeamQuotas {
    /// The blocked gangs that this controller publishes, by team: the oldest ones.
    pub fn published_gangs(&self) -> BTreeMap<String, WaitingUnit> {
        let mut blocked: Vec<_> = self.blocked_gangs.iter().collect();
        blocked.sort_by_key(|(_, unit)| *unit);
        blocked
            .into_iter()
            .take(MAX_PUBLISHED_GANGS)
            .map(|(team, unit)| (team.clone(), unit.clone()))
            .collect()
    }

    /// The part of a team's headroom that is reserved for a blocked gang, if there is one.
    pub fn gang_reservation(&self, team: &DividedTeam) -> Option<GangReservation<'_>> {
        let unit = self.blocked_gangs.get(team.name)?;
        Some(GangReservation {
            job: &unit.job,
            amount: Resources {
                cpus: unit.need.cpus(),
                gpus: unit.need.gpus(),
                memory_gb: 0.0,
            },
        })
    }
}
