//! Team limits in a controller: passes the replica's contents to the rules in `rowanmill-limits` and writes
//! the records that they decide on. The rules themselves belong in that crate.
//!
//! A team whose limit is *divided* has a record of quota allocations, one for each controller. If the
//! assignment of jobs gives a team to a single controller, its limit is not divided, and this module does not
//! affect the team.

mod blocked;
mod charge;
mod discard;
mod leader;
mod report;
mod team;
#[cfg(test)]
mod tests;
mod transfer;
mod usage;

use crate::node::Core;
use crate::settings::Settings;
use crate::state::records::Versioned;
pub use blocked::{MAX_PUBLISHED_GANG_BYTES, record_blocked_gangs};
pub use charge::QuotaCharge;
pub use discard::discard_uncovered_starts;
pub use leader::allocate_limits;
pub use report::log_team_quotas;
use rowanmill_limits::{AllocationRecord, LimitsConfig, QuotaHolder, TeamLimit, WaitingUnit};
use std::collections::BTreeMap;
pub use team::DividedTeam;
pub use transfer::change_own_allocations;
use usage::TeamUsage;
pub use usage::refresh_usage;

/// A record of quota allocations as the replica keeps it; the inner value is `None` if it cannot be read.
pub type StoredAllocations = Versioned<Option<AllocationRecord>>;

/// A controller's state for the limits of all teams.
#[derive(Debug)]
pub struct TeamQuotas {
    config: LimitsConfig,
    /// This controller's name in the records.
    member: String,
    /// The limits of the settings, by team; teams without one are absent.
    limits: BTreeMap<String, TeamLimit>,
    holder: QuotaHolder,
    /// The gang of this controller that only the limit keeps from starting, by divided team.
    blocked_gangs: BTreeMap<String, WaitingUnit>,
    /// The usage and demand of divided teams, as of the last [`refresh_usage`].
    usage: BTreeMap<String, TeamUsage>,
}

impl Default for TeamQuotas {
    fn default() -> Self {
        Self::new(LimitsConfig::default(), "", BTreeMap::new())
    }
}

impl TeamQuotas {
    fn new(config: LimitsConfig, member: &str, limits: BTreeMap<String, TeamLimit>) -> Self {
        Self {
            holder: QuotaHolder::new(config, member),
            member: member.to_owned(),
            usage: BTreeMap::new(),
            blocked_gangs: BTreeMap::new(),
            config,
            limits,
        }
    }

    /// Takes the limits from the platform's settings, which were validated when they were read.
    pub fn from_settings(config: LimitsConfig, settings: &Settings) -> Self {
        let teams = settings.params.teams.iter();
        let limits = teams.filter_map(|team| {
            let limit = TeamLimit::from_settings(team.max_cpus, team.max_gpus).ok()?;
            limit.is_limited().then(|| (team.name.clone(), limit))
        });
        Self::new(config, &settings.member, limits.collect())
    }

    /// How long a gang or a task that needs the whole limit waits, in seconds, before headroom is reserved for
    /// it; see [`LimitsConfig::reserve_after_s`].
    pub fn reservation_delay_s(&self) -> f64 {
        self.config.reserve_after_s
    }

    /// The team with its quota, if its limit is divided among the controllers.
    pub fn divided_team<'a>(&'a self, core: &'a Core, team: &'a str) -> Option<DividedTeam<'a>> {
        let limit = *self.limits.get(team)?;
        let assignment = core.replica.assignment.as_ref()?;
        if assignment.record.teams.contains_key(team) {
            return None;
        }
        Some(DividedTeam {
            name: team,
            limit,
            stored: core.replica.quota_allocations.get(team),
            assignment_revision: assignment.revision,
            applied_revision: core.replica.revision,
            usage: self.usage.get(team),
            holder: &self.holder,
        })
    }

    fn divided_teams<'a>(&'a self, core: &'a Core) -> impl Iterator<Item = DividedTeam<'a>> {
        self.limits
            .keys()
            .filter_map(|team| self.divided_team(core, team))
    }

    /// Whether any team's limit is divided.
    pub fn has_divided_teams(&self, core: &Core) -> bool {
        self.divided_teams(core).next().is_some()
    }
}

/// Parses a record of quota allocations for the replica. A record that cannot be used is logged and returned
/// as `None`, which permits no starts.
pub fn parse_allocations(key: &str, data: &str) -> Option<AllocationRecord> {
    match AllocationRecord::parse(data) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key, %error, "quota allocation record rejected");
            None
        }
    }
}
