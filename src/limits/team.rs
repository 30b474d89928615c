//! One divided team, as the replica shows it.

use super::{KeptAllotment, TeamLimits};
use crate::jobs::{Entry, JobSpec};
use crate::node::{Core, age_s};
use crate::placement::Need;
use crate::state::replica::Job;
use rowanmill_limits::{
    AllotmentRecord, Amount, Holder, Limit, MemberDemand, TeamView, Versioned, WaitingUnit,
};
use std::collections::BTreeMap;

/// What a team's unfinished jobs use and wait for.
#[derive(Debug, Default)]
pub(super) struct TeamUse {
    /// By controller, in the order of the assignment.
    pub members: Vec<MemberDemand>,
    /// Of jobs that belong to no controller.
    pub unowned: Amount,
    /// Of this controller's jobs: what is recorded, less what completed since.
    pub held: Amount,
    /// What this controller plans to start.
    pub planned: Amount,
}

/// A limited team whose limit is divided.
#[derive(Clone, Copy)]
pub struct DividedTeam<'a> {
    pub name: &'a str,
    pub limit: Limit,
    pub(super) kept: Option<&'a KeptAllotment>,
    pub assignment: u64,
    pub revision: u64,
    pub(super) in_use: Option<&'a TeamUse>,
    pub(super) holder: &'a Holder,
}

impl<'a> DividedTeam<'a> {
    pub fn record(&self) -> Option<Versioned<&'a AllotmentRecord>> {
        let kept = self.kept?;
        Some(Versioned {
            record: kept.record.as_ref()?,
            revision: kept.mark,
        })
    }

    /// The revision of its record, 0 if there is none.
    pub fn record_revision(&self) -> u64 {
        self.kept.map_or(0, |kept| kept.mark)
    }

    /// There is a record, and this version cannot read it.
    pub fn is_unreadable(&self) -> bool {
        self.kept.is_some_and(|kept| kept.record.is_none())
    }

    pub fn members(&self) -> &'a [MemberDemand] {
        self.in_use.map_or(&[], |in_use| &in_use.members)
    }

    pub fn unowned(&self) -> Amount {
        self.in_use.map_or(Amount::ZERO, |in_use| in_use.unowned)
    }

    pub fn view(&self) -> TeamView<'a> {
        TeamView {
            limit: self.limit,
            record: self.record(),
            assignment: self.assignment,
            revision: self.revision,
            members: self.members(),
        }
    }

    /// What this controller's tasks use, and will once what is planned is recorded.
    pub fn charged(&self) -> Amount {
        let of = |in_use: &TeamUse| in_use.held.plus(in_use.planned);
        self.in_use.map_or(Amount::ZERO, of)
    }

    /// What it may start beside that.
    pub fn room(&self) -> Need {
        let view = self.view();
        self.as_need(self.holder.room(self.name, &view, self.charged()))
    }

    /// What all tasks of the team may use.
    pub fn whole(&self) -> Need {
        self.as_need(self.limit.amount())
    }

    fn as_need(&self, amount: Amount) -> Need {
        let of = |limit: Option<u64>, amount: f64| limit.map_or(f64::INFINITY, |_| amount);
        Need {
            cpus: of(self.limit.cpus, amount.cpus_f64()),
            gpus: of(self.limit.cards, amount.cards_f64()),
            memory_gb: f64::INFINITY,
        }
    }

    /// What planned starts may use of the allotment; none if there is not even room for what runs.
    pub fn room_for_planned(&self) -> Option<Amount> {
        let held = self.in_use.map_or(Amount::ZERO, |in_use| in_use.held);
        let taken = held.plus(self.holder.unanswered(self.name));
        let allotment = self.holder.allotment(&self.view());
        taken.fits(allotment).then(|| allotment.minus(taken))
    }

    /// Whether more is planned than the allotment covers.
    pub fn is_overdrawn(&self) -> bool {
        let planned = self.in_use.map_or(Amount::ZERO, |in_use| in_use.planned);
        let room = self.room_for_planned();
        !planned.is_zero() && room.is_none_or(|room| !planned.fits(room))
    }

    /// What a waiting gang needs to start.
    pub(super) fn unit(&self, core: &Core, id: &str) -> Option<WaitingUnit> {
        let job = core.replica.jobs.get(id)?;
        let waiting = waiting_tasks(job);
        (waiting > 0).then(|| unit_of(&self.limit, id, job, waiting))
    }

    /// What so many tasks of a job count against the limit.
    pub fn amount(&self, spec: &JobSpec, tasks: u32) -> Amount {
        counted(&self.limit, spec, tasks)
    }
}

/// What so many tasks of a job count against a limit. An amount that is none counts as more than any
/// limit: such a job is not accepted.
pub(super) fn counted(limit: &Limit, spec: &JobSpec, tasks: u32) -> Amount {
    let amount = Amount::of_tasks(spec.cpus, spec.gpus, tasks);
    limit.counted(amount.unwrap_or(Amount {
        cpus: u64::MAX,
        cards: u64::MAX,
    }))
}

/// What the jobs of divided teams use and wait for, by team.
pub(super) fn look_at_jobs(
    core: &Core,
    limits: &TeamLimits,
    now_ms: u64,
) -> BTreeMap<String, TeamUse> {
    let mut teams: BTreeMap<String, TeamUse> = BTreeMap::new();
    let Some(assignment) = &core.replica.assignment else {
        return teams;
    };
    for team in limits.all_divided(core) {
        let members = assignment.record.members.iter();
        let members = members.map(|member| MemberDemand {
            member: member.name.clone(),
            ..MemberDemand::default()
        });
        let team_use = TeamUse {
            members: members.collect(),
            ..TeamUse::default()
        };
        teams.insert(team.name.to_owned(), team_use);
    }
    if teams.is_empty() {
        return teams;
    }
    for (id, job) in &core.replica.jobs {
        let spec = &job.record.spec;
        if let Some(team) = teams.get_mut(&spec.team) {
            let owner = assignment.record.owner(&job.record);
            let place = owner.and_then(|o| assignment.record.members.iter().position(|m| m == o));
            let mine = owner.is_some_and(|owner| owner.name == limits.me);
            let limit = &limits.limits[&spec.team];
            team.add(limit, id, job, place, is_timely(core, job, now_ms));
            if mine {
                team.add_mine(limit, core, id, job);
            }
        }
    }
    for (name, outlook) in &core.replica.outlooks {
        for (team, unit) in &outlook.record.blocked {
            if let Some(team) = teams.get_mut(team) {
                team.add_published(core, name, unit);
            }
        }
    }
    teams
}

impl TeamUse {
    fn add(&mut self, limit: &Limit, id: &str, job: &Job, place: Option<usize>, is_timely: bool) {
        let spec = &job.record.spec;
        let used = counted(limit, spec, job.placed);
        let Some(demand) = place.map(|place| &mut self.members[place]) else {
            self.unowned = self.unowned.plus(used);
            return;
        };
        demand.used = demand.used.plus(used);
        let waiting = waiting_tasks(job);
        if waiting == 0 {
            return;
        }
        let amount = counted(limit, spec, waiting);
        demand.waiting = demand.waiting.plus(amount);
        if is_timely {
            demand.timely = demand.timely.plus(amount);
        }
        // Whether a gang waits for the limit or for machines only its own controller knows.
        if !spec.is_gang() {
            demand.add_unit(unit_of(limit, id, job, 1));
        }
    }

    /// A gang that a controller published as waiting for the limit, if it still waits.
    fn add_published(&mut self, core: &Core, member: &str, unit: &WaitingUnit) {
        let job = core.replica.jobs.get(&unit.job);
        let waits = job.is_some_and(|job| waiting_tasks(job) > 0);
        let mut members = self.members.iter_mut();
        if let Some(demand) = members.find(|m| m.member == member).filter(|_| waits) {
            demand.add_unit(unit.clone());
        }
    }

    /// What of it this controller plans beside the records. A task that completed has left for good. One that
    /// was only seen to be absent, or exited without completing, holds its part until that is recorded: if
    /// its machine changes hands before, the next owner starts it by the record.
    fn add_mine(&mut self, limit: &Limit, core: &Core, id: &str, job: &Job) {
        let spec = &job.record.spec;
        let (mut held, mut planned) = (job.placed, 0);
        for (task, entry) in core.plans.of(id).into_iter().flatten() {
            let was_placed = matches!(core.replica.entry(id, *task), Entry::Placed { .. });
            match entry {
                Entry::Placed { .. } => planned += u32::from(!was_placed),
                Entry::Done => held -= u32::from(was_placed),
                Entry::Waiting { .. } => {}
            }
        }
        self.held = self.held.plus(counted(limit, spec, held));
        self.planned = self.planned.plus(counted(limit, spec, planned));
    }
}

fn unit_of(limit: &Limit, id: &str, job: &Job, tasks: u32) -> WaitingUnit {
    let spec = &job.record.spec;
    WaitingUnit {
        since_ms: job.record.since_ms(),
        job: id.to_owned(),
        need: counted(limit, spec, tasks),
        is_gang: spec.is_gang(),
    }
}

/// What the tasks of a team's jobs use.
pub(super) fn used_by(core: &Core, team: &str, limit: &Limit) -> Amount {
    let of_team = |job: &&Job| job.record.spec.team == team;
    let jobs = core.replica.jobs.values().filter(of_team);
    jobs.map(|job| counted(limit, &job.record.spec, job.placed))
        .sum()
}

/// The least that a job can start with, whatever its team's limit counts; none if nothing of it waits.
pub(super) fn unit_of_waiting(job: &Job, id: &str) -> Option<WaitingUnit> {
    let every = Limit {
        cpus: Some(u64::MAX),
        cards: Some(u64::MAX),
    };
    let waiting = waiting_tasks(job);
    let at_once = if job.record.spec.is_gang() {
        waiting
    } else {
        1
    };
    (waiting > 0).then(|| unit_of(&every, id, job, at_once))
}

/// Whether a job can still keep its deadline, if it has one.
fn is_timely(core: &Core, job: &Job, now_ms: u64) -> bool {
    let record = &job.record;
    let age = age_s(record.since_ms(), now_ms);
    let expected = core.duration(&record.spec);
    record.deadline_s().is_none_or(|due| age + expected <= due)
}

/// Tasks of a job that wait to be started. A gang that has begun to complete starts no more.
fn waiting_tasks(job: &Job) -> u32 {
    let spec = &job.record.spec;
    let begun = job.done + job.placed;
    if job.record.cancelled || (spec.is_gang() && begun > 0) {
        return 0;
    }
    spec.tasks.saturating_sub(begun)
}
