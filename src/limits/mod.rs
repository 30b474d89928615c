//! Team limits in a controller: what its jobs of each limited team use, what its allotments leave, and
//! which planned starts may be recorded. The rules are in `rowanmill-limits`; this reads the replica for
//! them. A team that the assignment of jobs leaves whole to one controller is not divided.

pub mod service;
mod team;

use crate::jobs::Entry;
use crate::node::{Core, wall_ms};
use crate::placement::Need;
use crate::settings::Settings;
use crate::state::replica::Versioned as Kept;
use crate::state::{Guard, allotment_key};
use rowanmill_limits::report::{Explanation, TeamReport, explain_waiting};
use rowanmill_limits::{AllotmentRecord, Amount, Holder, Limit, LimitsConfig, WaitingUnit};
use std::collections::{BTreeMap, HashMap};
pub use team::DividedTeam;
use team::TeamUse;

/// A controller's part in the limits of all teams.
#[derive(Debug)]
pub struct TeamLimits {
    config: LimitsConfig,
    me: String,
    /// Limited teams by the settings.
    limits: BTreeMap<String, Limit>,
    holder: Holder,
    /// Of each divided team, the gang here that only the limit keeps from starting.
    blocked: BTreeMap<String, WaitingUnit>,
    /// What divided teams use and wait for, as of the last [`refresh`].
    in_use: BTreeMap<String, TeamUse>,
}

/// What a page's starts are charged to, and under which revisions.
#[derive(Debug, Clone, PartialEq)]
pub struct Charge {
    pub team: String,
    pub amount: Amount,
    pub record: u64,
    pub assignment: u64,
}

impl Default for TeamLimits {
    fn default() -> Self {
        Self::new(LimitsConfig::default(), "", BTreeMap::new())
    }
}

impl TeamLimits {
    fn new(config: LimitsConfig, me: &str, limits: BTreeMap<String, Limit>) -> Self {
        Self {
            holder: Holder::new(config, me),
            me: me.to_owned(),
            in_use: BTreeMap::new(),
            blocked: BTreeMap::new(),
            config,
            limits,
        }
    }

    /// The limits of the platform's settings, which were checked when they were read.
    pub fn of_settings(config: LimitsConfig, settings: &Settings) -> Self {
        let teams = settings.params.teams.iter();
        let limits = teams.filter_map(|team| {
            let limit = Limit::of_settings(team.cpus_max, team.gpus_max).ok()?;
            limit.is_limited().then(|| (team.name.clone(), limit))
        });
        Self::new(config, &settings.member, limits.collect())
    }

    pub fn reserve_after_s(&self) -> f64 {
        self.config.reserve_after_s
    }

    /// A limited team whose limit is divided among the controllers.
    pub fn divided<'a>(&'a self, core: &'a Core, team: &'a str) -> Option<DividedTeam<'a>> {
        let limit = *self.limits.get(team)?;
        let assignment = core.replica.assignment.as_ref()?;
        if assignment.record.teams.contains_key(team) {
            return None;
        }
        let kept = core.replica.allotments.get(team);
        Some(DividedTeam {
            name: team,
            limit,
            kept,
            assignment: assignment.mark,
            revision: core.replica.revision,
            in_use: self.in_use.get(team),
            holder: &self.holder,
        })
    }

    fn all_divided<'a>(&'a self, core: &'a Core) -> impl Iterator<Item = DividedTeam<'a>> {
        self.limits
            .keys()
            .filter_map(|team| self.divided(core, team))
    }

    /// What a page that starts so many tasks of a job must be charged to; none for a team that is not
    /// divided.
    pub fn charge(&self, core: &Core, job: &str, tasks: u32) -> Option<Charge> {
        let spec = &core.replica.jobs.get(job)?.record.spec;
        let team = self.divided(core, &spec.team)?;
        Some(Charge {
            team: spec.team.clone(),
            amount: team.amount(spec, tasks),
            record: team.record_revision(),
            assignment: team.assignment,
        })
    }

    /// A transaction that would take so much got no answer.
    pub fn note_unanswered(&mut self, charge: &Charge) {
        let Charge {
            team,
            amount,
            record,
            assignment,
        } = charge;
        self.holder
            .note_unanswered(team, *amount, *record, *assignment);
    }
}

impl Charge {
    /// What the transaction must require: the record that its starts were weighed against.
    pub fn guard(&self) -> Guard {
        Guard {
            k: allotment_key(&self.team),
            mark: self.record,
        }
    }
}

/// A record as the replica keeps it; none in it if it cannot be read.
pub type KeptAllotment = Kept<Option<AllotmentRecord>>;

/// Works out anew what divided teams use and wait for. Costs nothing where no team is divided.
pub fn refresh(core: &mut Core) {
    let limits = std::mem::take(&mut core.limits);
    let in_use = team::look_at_jobs(core, &limits, wall_ms());
    core.limits = limits;
    core.limits.in_use = in_use;
    let mut limits = std::mem::take(&mut core.limits);
    limits.settle(core);
    core.limits = limits;
}

impl TeamLimits {
    /// Forgets starts without an answer whose outcome is known by now.
    fn settle(&mut self, core: &Core) {
        let mut holder = std::mem::take(&mut self.holder);
        for team in self.all_divided(core) {
            holder.settle(team.name, &team.view());
        }
        self.holder = holder;
    }
}

impl TeamLimits {
    /// How all limited teams stand.
    pub fn reports(&self, core: &Core) -> Vec<TeamReport> {
        let report = |(team, limit): (&String, &Limit)| match self.divided(core, team) {
            Some(divided) => TeamReport::divided(team, &divided.view()),
            None => TeamReport::whole(team, *limit, team::used_by(core, team, limit)),
        };
        self.limits.iter().map(report).collect()
    }

    /// Why a job waits, as far as limits go; none if it is not open.
    pub fn explain(&self, core: &Core, id: &str) -> Option<Explanation> {
        let job = core.replica.jobs.get(id)?;
        let spec = &job.record.spec;
        let owner = core.replica.owner_of(&job.record);
        let controller = owner.map(|owner| owner.name.as_str());
        let unit = team::unit_of_waiting(job, id);
        match (self.divided(core, &spec.team), unit) {
            (Some(team), Some(unit)) => {
                let need = team.limit.counted(unit.need);
                let unit = WaitingUnit { need, ..unit };
                Some(explain_waiting(team.name, &team.view(), &unit, controller))
            }
            (_, unit) => Some(Explanation::without_limit(
                id,
                &spec.team,
                controller,
                unit.as_ref(),
                job.record.since_ms(),
            )),
        }
    }
}

/// Notes which gangs here wait for their team's limit alone.
pub fn note_blocked(core: &mut Core, jobs: Vec<String>) {
    let mut blocked = BTreeMap::new();
    for id in jobs {
        let Some(spec) = core.replica.jobs.get(&id).map(|job| &job.record.spec) else {
            continue;
        };
        let Some(team) = core.limits.divided(core, &spec.team) else {
            continue;
        };
        if let Some(unit) = team.unit(core, &id) {
            blocked.entry(spec.team.clone()).or_insert(unit);
        }
    }
    if blocked != core.limits.blocked {
        tracing::debug!(?blocked, "gangs wait for their team's limit");
    }
    core.limits.blocked = blocked;
}

/// Most blocked gangs that a controller publishes: its record must fit its value.
const MOST_PUBLISHED: usize = 4;
/// What these take of a record at the most.
pub const PUBLISHED_BYTES: usize = MOST_PUBLISHED * 200;

impl TeamLimits {
    /// What a controller publishes of gangs that wait for their team's limit: the oldest.
    pub fn to_publish(&self) -> BTreeMap<String, WaitingUnit> {
        let mut blocked: Vec<_> = self.blocked.iter().collect();
        blocked.sort_by_key(|(_, unit)| *unit);
        let published = blocked.into_iter().take(MOST_PUBLISHED);
        published
            .map(|(team, unit)| (team.clone(), unit.clone()))
            .collect()
    }

    /// The gang that a part of a team's room is kept for, and that part.
    pub fn kept_for(&self, team: &DividedTeam) -> Option<(&str, Need)> {
        let unit = self.blocked.get(team.name)?;
        let part = Need {
            cpus: unit.need.cpus_f64(),
            gpus: unit.need.cards_f64(),
            memory_gb: 0.0,
        };
        Some((unit.job.as_str(), part))
    }

    /// Whether any team's limit is divided.
    pub fn are_divided(&self, core: &Core) -> bool {
        self.all_divided(core).next().is_some()
    }
}

/// Takes back planned starts that this controller's allotments do not cover: the records may have changed
/// since they were planned. What is planned first stays, gangs as a whole.
pub fn withdraw_uncovered(core: &mut Core) {
    refresh(core);
    let mut uncovered = Vec::new();
    let limits = &core.limits;
    for team in limits.all_divided(core).filter(DividedTeam::is_overdrawn) {
        uncovered.extend(uncovered_starts(core, &team));
    }
    if uncovered.is_empty() {
        return;
    }
    for (job, task) in uncovered {
        core.unplan(&(job, task));
    }
    refresh(core);
}

fn uncovered_starts(core: &Core, team: &DividedTeam) -> Vec<(String, u32)> {
    let mut planned = planned_starts(core, team.name);
    planned.sort_by_key(|(job, _)| core.plans.rank_of(job));
    let mut room = team.room_for_planned();
    let mut uncovered = Vec::new();
    for (job, tasks) in planned {
        let Some(kept) = core.replica.jobs.get(&job) else {
            continue;
        };
        let spec = &kept.record.spec;
        let units: Vec<&[u32]> = match spec.is_gang() {
            true => vec![tasks.as_slice()],
            false => tasks.chunks(1).collect(),
        };
        for unit in units {
            let need = team.amount(spec, unit.len() as u32);
            match room.filter(|room| need.fits(*room)) {
                Some(left) => room = Some(left.minus(need)),
                None => uncovered.extend(unit.iter().map(|task| (job.clone(), *task))),
            }
        }
    }
    uncovered
}

/// Planned starts of a team, by job.
fn planned_starts(core: &Core, team: &str) -> Vec<(String, Vec<u32>)> {
    let of_team = |job: &str| {
        let job = core.replica.jobs.get(job);
        job.is_some_and(|job| job.record.spec.team == team)
    };
    let mut starts: HashMap<&String, Vec<u32>> = HashMap::new();
    for (job, changes) in core.plans.all().filter(|(job, _)| of_team(job)) {
        for (task, entry) in changes {
            if matches!(entry, Entry::Placed { .. }) {
                starts.entry(job).or_default().push(*task);
            }
        }
    }
    let starts = starts.into_iter();
    starts.map(|(job, tasks)| (job.clone(), tasks)).collect()
}

#[cfg(test)]
mod tests;
