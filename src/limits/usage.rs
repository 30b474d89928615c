//! What the jobs of divided teams use and wait for, counted from the replica and from what this controller
//! plans.

use crate::fleet::MachineState;
use crate::jobs::{JobSpec, TaskRecord};
use crate::membership::assignment::Member;
use crate::node::{Core, age_s, wall_ms};
use crate::state::replica::Job;
use rowanmill_limits::{MemberDemand, ResourceAmount, TeamLimit, WaitingUnit};
use std::collections::BTreeMap;

/// Work at a controller without a machine leaves the limit to others for so many times `reserve_after_s`, after
/// which a gang without machines asks for the limit, too.
const PATIENCE_WITHOUT_MACHINE: f64 = 3.0;

/// What a team's unfinished jobs use and wait for.
#[derive(Debug, Default)]
pub(super) struct TeamUsage {
    /// By controller, in the order of the assignment.
    pub members: Vec<MemberDemand>,
    /// What tasks use whose jobs are assigned to no controller.
    pub unowned: ResourceAmount,
    /// What tasks of this controller's jobs use: what is recorded, less what completed since.
    pub held: ResourceAmount,
    /// What this controller plans to start.
    pub planned: ResourceAmount,
}

/// Recomputes what divided teams use and wait for, and forgets transactions in doubt whose outcome is known
/// by now. Costs next to nothing where no team is divided.
pub fn refresh_usage(core: &mut Core) {
    let usage = usage_by_team(core, wall_ms());
    core.limits.usage = usage;
    let mut holder = std::mem::take(&mut core.limits.holder);
    for team in core.limits.divided_teams(core) {
        holder.resolve_in_doubt(team.name, &team.view());
    }
    core.limits.holder = holder;
}

/// What the jobs of divided teams use and wait for. `now_ms` is in milliseconds since the epoch.
fn usage_by_team(core: &Core, now_ms: u64) -> BTreeMap<String, TeamUsage> {
    let mut teams = idle_teams(core);
    if teams.is_empty() {
        return teams;
    }
    for (id, job) in &core.replica.jobs {
        let Some(usage) = teams.get_mut(&job.record.spec.team) else {
            continue;
        };
        let limit = &core.limits.limits[&job.record.spec.team];
        usage.add_job(core, &CountedJob { limit, id, job }, now_ms);
    }
    let patience_s = core.limits.config.reserve_after_s * PATIENCE_WITHOUT_MACHINE;
    for usage in teams.values_mut() {
        usage.end_patience(patience_s, now_ms);
    }
    for (member, outlook) in &core.replica.forecast_summaries {
        for (team, unit) in &outlook.record.blocked_gangs {
            if let Some(usage) = teams.get_mut(team) {
                usage.add_published(core, member, unit);
            }
        }
    }
    teams
}

/// The divided teams without any jobs.
fn idle_teams(core: &Core) -> BTreeMap<String, TeamUsage> {
    let Some(assignment) = &core.replica.assignment else {
        return BTreeMap::new();
    };
    let divided: Vec<_> = core.limits.divided_teams(core).collect();
    if divided.is_empty() {
        return BTreeMap::new();
    }
    let members = assignment.record.members.iter();
    let idle = members.map(|member| MemberDemand {
        lacks_machines: !has_machine(core, member),
        ..MemberDemand::idle(&member.name)
    });
    let idle: Vec<MemberDemand> = idle.collect();
    let teams = divided.into_iter().map(|team| {
        let usage = TeamUsage {
            members: idle.clone(),
            ..TeamUsage::default()
        };
        (team.name.to_owned(), usage)
    });
    teams.collect()
}

/// Whether a controller owns a machine on which tasks may be placed, or one that boots.
fn has_machine(core: &Core, member: &Member) -> bool {
    let mut machines = core.replica.fleet.machines.values();
    machines.any(|machine| machine.owner == *member && machine.state == MachineState::Active)
}

/// A job of a team with a limit.
struct CountedJob<'a> {
    limit: &'a TeamLimit,
    id: &'a str,
    job: &'a Job,
}

impl CountedJob<'_> {
    /// What so many of its tasks count against the limit.
    fn amount(&self, tasks: u32) -> ResourceAmount {
        limited_amount(self.limit, &self.job.record.spec, tasks)
    }

    fn unit(&self, tasks: u32) -> WaitingUnit {
        WaitingUnit {
            since_ms: self.job.record.eligible_since_ms(),
            job: self.id.to_owned(),
            need: self.amount(tasks),
            is_gang: self.job.record.spec.is_gang(),
        }
    }
}

impl TeamUsage {
    /// From when on a controller's oldest work has waited for `patience_s`, headroom is kept for it whether it has
    /// a machine or not: the forecast then shows that one is missing.
    fn end_patience(&mut self, patience_s: f64, now_ms: u64) {
        for demand in &mut self.members {
            let oldest = demand.oldest.as_ref();
            let has_waited = oldest.is_some_and(|unit| age_s(unit.since_ms, now_ms) >= patience_s);
            demand.lacks_machines &= !has_waited;
        }
    }

    fn add_job(&mut self, core: &Core, counted: &CountedJob, now_ms: u64) {
        let Some(assignment) = &core.replica.assignment else {
            return;
        };
        let owner = assignment.record.owner(&counted.job.record);
        let mut members = assignment.record.members.iter();
        let index = owner.and_then(|owner| members.position(|member| member == owner));
        match index {
            Some(index) => {
                let is_on_time = is_on_time(core, counted.job, now_ms);
                add_demand(&mut self.members[index], counted, is_on_time);
            }
            None => {
                let used = counted.amount(counted.job.placed);
                self.unowned = self.unowned.saturating_add(used);
            }
        }
        if owner.is_some_and(|owner| owner.name == core.limits.member) {
            self.add_planned(core, counted);
        }
    }

    /// Adds a gang that a controller published as waiting for the limit, if it still waits.
    fn add_published(&mut self, core: &Core, member: &str, unit: &WaitingUnit) {
        let job = core.replica.jobs.get(&unit.job);
        if job.is_none_or(|job| waiting_tasks(job) == 0) {
            return;
        }
        let mut members = self.members.iter_mut();
        if let Some(demand) = members.find(|demand| demand.member == member) {
            demand.consider_unit(unit.clone());
        }
    }

    /// Adds what tasks of an own job use and what is planned of it beside the records. A task that completed
    /// has left for good. One that was only seen to be absent, or exited without completing, stays charged
    /// until that is recorded: if its machine is reassigned before, the next owner starts it by the record.
    fn add_planned(&mut self, core: &Core, counted: &CountedJob) {
        let mut held = counted.job.placed;
        let mut planned = 0;
        for (task, entry) in core
            .pending_changes
            .of_job(counted.id)
            .into_iter()
            .flatten()
        {
            let recorded = core.replica.task_record(counted.id, *task);
            let is_placed = matches!(recorded, TaskRecord::Placed { .. });
            match entry {
                TaskRecord::Placed { .. } => planned += u32::from(!is_placed),
                TaskRecord::Done => held -= u32::from(is_placed),
                TaskRecord::Waiting { .. } => {}
            }
        }
        self.held = self.held.saturating_add(counted.amount(held));
        self.planned = self.planned.saturating_add(counted.amount(planned));
    }
}

/// Adds a job to the demand of the controller that owns it.
fn add_demand(demand: &mut MemberDemand, counted: &CountedJob, is_on_time: bool) {
    let used = counted.amount(counted.job.placed);
    demand.used = demand.used.saturating_add(used);
    let waiting_tasks = waiting_tasks(counted.job);
    if waiting_tasks == 0 {
        return;
    }
    let waiting = counted.amount(waiting_tasks);
    demand.waiting = demand.waiting.saturating_add(waiting);
    if is_on_time {
        demand.waiting_on_time = demand.waiting_on_time.saturating_add(waiting);
    }
    // Whether a gang waits for the limit or for machines only its own controller knows.
    if !counted.job.record.spec.is_gang() {
        demand.consider_unit(counted.unit(1));
    }
}

/// What `tasks` tasks of a job count against a limit. An invalid amount counts as more than any limit: such a
/// job is not accepted.
pub(super) fn limited_amount(limit: &TeamLimit, spec: &JobSpec, tasks: u32) -> ResourceAmount {
    let amount = ResourceAmount::for_tasks(spec.cpus, spec.gpus, tasks);
    limit.limited_part_of(amount.unwrap_or(ResourceAmount {
        micro_cpus: u64::MAX,
        micro_gpus: u64::MAX,
    }))
}

/// What the tasks of a team's jobs use, whether its limit is divided or not.
pub(super) fn used_by_team(core: &Core, team: &str, limit: &TeamLimit) -> ResourceAmount {
    let of_team = |job: &&Job| job.record.spec.team == team;
    let jobs = core.replica.jobs.values().filter(of_team);
    jobs.map(|job| limited_amount(limit, &job.record.spec, job.placed))
        .sum()
}

/// What a waiting gang needs to start, as its team's limit counts it; `None` if no task of it waits.
pub(super) fn waiting_gang(limit: &TeamLimit, id: &str, job: &Job) -> Option<WaitingUnit> {
    let waiting = waiting_tasks(job);
    (waiting > 0).then(|| CountedJob { limit, id, job }.unit(waiting))
}

/// The smallest part of a job that can start, counting every resource; `None` if no task of it waits.
pub(super) fn waiting_unit(id: &str, job: &Job) -> Option<WaitingUnit> {
    let limit = TeamLimit {
        micro_cpus: Some(u64::MAX),
        micro_gpus: Some(u64::MAX),
    };
    let waiting = waiting_tasks(job);
    let at_once = if job.record.spec.is_gang() {
        waiting
    } else {
        1
    };
    let counted = CountedJob {
        limit: &limit,
        id,
        job,
    };
    (waiting > 0).then(|| counted.unit(at_once))
}

/// Whether a job can still meet its deadline, if it has one.
fn is_on_time(core: &Core, job: &Job, now_ms: u64) -> bool {
    let record = &job.record;
    let age = age_s(record.eligible_since_ms(), now_ms);
    let expected = core.expected_run_time_s(&record.spec);
    record
        .deadline_s()
        .is_none_or(|deadline| age + expected <= deadline)
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
