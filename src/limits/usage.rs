//! The usage and demand of divided teams, computed from the replica and from the starts that this controller
//! plans.

use crate::fleet::MachineState;
use crate::jobs::{JobSpec, TaskRecord};
use crate::membership::assignment::Member;
use crate::node::{Core, age_s, wall_ms};
use crate::state::replica::Job;
use rowanmill_limits::{MemberDemand, ResourceAmount, TeamLimit, WaitingUnit};
use std::collections::BTreeMap;

/// For how long work at a controller without a machine leaves the limit to others, as a multiple of
/// `reserve_after_s`. After at most the same time, a gang without machines asks for the limit, too.
const MAX_YIELD_FACTOR: f64 = 3.0;

/// The usage and demand of a team's unfinished jobs.
#[derive(Debug, Default)]
pub(super) struct TeamUsage {
    /// The demand at each controller, in the order of the assignment.
    pub members: Vec<MemberDemand>,
    /// Resources that are used by tasks whose jobs are assigned to no controller.
    pub unowned: ResourceAmount,
    /// Resources that tasks of this controller's jobs use: those recorded as placed, without those that have
    /// completed since.
    pub in_use: ResourceAmount,
    /// Resources that this controller's planned starts will use.
    pub planned: ResourceAmount,
}

/// Recomputes the usage and demand of divided teams, and removes transactions in doubt whose outcome is known
/// by now. The cost is negligible if no team is divided.
pub fn refresh_usage(core: &mut Core) {
    let usage = usage_by_team(core, wall_ms());
    core.limits.usage = usage;
    let mut holder = std::mem::take(&mut core.limits.holder);
    for team in core.limits.divided_teams(core) {
        holder.resolve_in_doubt(team.name, &team.view());
    }
    core.limits.holder = holder;
}

/// The usage and demand of divided teams, by team. `now_ms` is in milliseconds since the epoch.
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
    let max_yield_s = core.limits.config.reserve_after_s * MAX_YIELD_FACTOR;
    for usage in teams.values_mut() {
        usage.stop_yielding(max_yield_s, now_ms);
    }
    for (member, summary) in &core.replica.forecast_summaries {
        for (team, unit) in &summary.record.blocked_gangs {
            if let Some(usage) = teams.get_mut(team) {
                usage.add_published_gang(core, member, unit);
            }
        }
    }
    teams
}

/// The divided teams, with their usage before any job is counted.
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

/// Whether a controller owns a machine on which tasks may be placed, or one that is booting.
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
    /// The amount that `tasks` tasks of the job count against the limit.
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
    /// Once a controller's oldest work has waited for `max_yield_s`, headroom is kept for it even if the
    /// controller has no machine; the forecast then shows that it lacks a machine.
    fn stop_yielding(&mut self, max_yield_s: f64, now_ms: u64) {
        for demand in &mut self.members {
            let oldest = demand.oldest.as_ref();
            let has_waited = oldest.is_some_and(|unit| age_s(unit.since_ms, now_ms) >= max_yield_s);
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
            self.add_own_job(core, counted);
        }
    }

    /// Adds a gang that a controller published as waiting for the limit, if the gang still waits.
    fn add_published_gang(&mut self, core: &Core, member: &str, unit: &WaitingUnit) {
        let job = core.replica.jobs.get(&unit.job);
        if job.is_none_or(|job| waiting_tasks(job) == 0) {
            return;
        }
        let mut members = self.members.iter_mut();
        if let Some(demand) = members.find(|demand| demand.member == member) {
            demand.consider_unit(unit.clone());
        }
    }

    /// Adds the usage and the planned starts of a job of this controller, including changes that are not
    /// recorded yet. A completed task frees its resources at once. A task that was only seen to be absent, or
    /// that exited without completing, stays charged until that is recorded: if its machine is reassigned
    /// before, the machine's next owner starts the task again, since it is still recorded as placed.
    fn add_own_job(&mut self, core: &Core, counted: &CountedJob) {
        let mut in_use = counted.job.placed;
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
                TaskRecord::Done => in_use -= u32::from(is_placed),
                TaskRecord::Waiting { .. } => {}
            }
        }
        self.in_use = self.in_use.saturating_add(counted.amount(in_use));
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
    // Only the controller of a gang knows whether the gang waits for the limit or for machines.
    if !counted.job.record.spec.is_gang() {
        demand.consider_unit(counted.unit(1));
    }
}

/// The amount that `tasks` tasks of a job count against a limit. An invalid amount counts as more than any
/// limit; jobs with one are not accepted.
pub(super) fn limited_amount(limit: &TeamLimit, spec: &JobSpec, tasks: u32) -> ResourceAmount {
    let amount = ResourceAmount::for_tasks(spec.cpus, spec.gpus, tasks);
    limit.limited_part_of(amount.unwrap_or(ResourceAmount {
        micro_cpus: u64::MAX,
        micro_gpus: u64::MAX,
    }))
}

/// Resources that the tasks of a team's jobs use, whether its limit is divided or not.
pub(super) fn used_by_team(core: &Core, team: &str, limit: &TeamLimit) -> ResourceAmount {
    let of_team = |job: &&Job| job.record.spec.team == team;
    let jobs = core.replica.jobs.values().filter(of_team);
    jobs.map(|job| limited_amount(limit, &job.record.spec, job.placed))
        .sum()
}

/// A waiting gang with the amount that it needs to start, as its team's limit counts it; `None` if no task of
/// it waits.
pub(super) fn waiting_gang(limit: &TeamLimit, id: &str, job: &Job) -> Option<WaitingUnit> {
    let waiting = waiting_tasks(job);
    (waiting > 0).then(|| CountedJob { limit, id, job }.unit(waiting))
}

/// The smallest part of a job that can start, counting all resources, limited or not; `None` if no task of it
/// waits.
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

/// The number of a job's tasks that wait to be started. A gang of which a task is placed or has completed
/// starts no more tasks.
fn waiting_tasks(job: &Job) -> u32 {
    let spec = &job.record.spec;
    let begun = job.done + job.placed;
    if job.record.cancelled || (spec.is_gang() && begun > 0) {
        return 0;
    }
    spec.tasks.saturating_sub(begun)
}
