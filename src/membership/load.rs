//! Estimates of how much work each controller has for its machines, and the choice of the controller that places a
//! new job by them.

use super::assignment::{Assignment, Member};
use super::machine_assignment::{DemandByMember, MachineDemand};
use crate::fleet::MachineState;
use crate::jobs::JobRecord;
use crate::node::{Core, Node, age_s, wall_ms};
use crate::placement::capacity_of;
use crate::placement::due_times::{earliest_due_time, effective_urgency};
use crate::placement::snapshot::eligible_machine_types;
use crate::placement::{Milestone, Resources};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Machines of one type that a job's tasks would fill.
struct JobLoad {
    machine_type: String,
    machines: f64,
}

/// Run times of a task that should fit before its deadline: half of one is reserve.
const RUN_TIMES_BEFORE_DEADLINE: f64 = 1.5;
/// Share of a job's tasks that counts as running at once, however far its deadline is.
const MIN_CONCURRENT_SHARE: f64 = 0.2;

/// Machines that `tasks` tasks of a job would fill, of the type that they prefer, `age` seconds after the job's
/// times began. Tasks with time before their deadline need not all run at once.
fn job_load(node: &Node, core: &Core, record: &JobRecord, tasks: u32, age: f64) -> Option<JobLoad> {
    let spec = &record.spec;
    let name = eligible_machine_types(core, spec).into_iter().next()?;
    let machine_type = core.machine_type(&name)?;
    let share = Resources::dominant_share(&spec.resources(), &capacity_of(machine_type));
    let due = earliest_due_time(node, core, record, age);
    let concurrent_share = match due.milestone {
        Milestone::Start => 1.0,
        Milestone::Finish => {
            let time_left = (due.after_arrival_s - age).max(0.1);
            let share = core.expected_run_time_s(spec) * RUN_TIMES_BEFORE_DEADLINE / time_left;
            share.clamp(MIN_CONCURRENT_SHARE, 1.0)
        }
    };
    Some(JobLoad {
        machine_type: name,
        machines: share * f64::from(tasks) * concurrent_share,
    })
}

/// How many machines all unfinished work would fill, in machines of the type that it prefers.
#[derive(Debug)]
pub struct WorkloadEstimate {
    pub by_member: DemandByMember,
    /// Teams with a quota, also those without work.
    pub by_limited_team: BTreeMap<String, f64>,
    pub has_gangs: bool,
}

impl WorkloadEstimate {
    /// Estimates the work of all jobs as `assignment` assigns them.
    pub fn new(node: &Node, core: &Core, assignment: &Assignment) -> Self {
        let limited_teams = node.settings.params.teams.iter().filter(|t| t.is_limited());
        let mut estimate = Self {
            by_member: DemandByMember::new(),
            by_limited_team: limited_teams.map(|t| (t.name.clone(), 0.0)).collect(),
            has_gangs: false,
        };
        let now_ms = wall_ms();
        for job in core.replica.jobs.values().filter(|j| !j.record.cancelled) {
            let spec = &job.record.spec;
            let tasks_left = spec.tasks - job.done.min(spec.tasks);
            let age = age_s(job.record.eligible_since_ms(), now_ms);
            let Some(load) = job_load(node, core, &job.record, tasks_left, age) else {
                continue;
            };
            estimate.has_gangs |= spec.is_gang();
            if let Some(team_machines) = estimate.by_limited_team.get_mut(&spec.team) {
                *team_machines += load.machines;
            }
            if let Some(member) = assignment.owner(&job.record) {
                let key = (member.clone(), load.machine_type);
                let by_urgency = estimate.by_member.entry(key).or_default();
                let demand = by_urgency.entry(effective_urgency(core, spec)).or_default();
                if spec.spot {
                    demand.any += load.machines;
                } else {
                    demand.on_demand += load.machines;
                }
            }
        }
        estimate
    }
}

/// Work and machines of each controller, kept for a moment and updated by the jobs accepted meanwhile. Estimated again
/// for each submission it took time in proportion to all jobs and machines: when users returned after an outage,
/// hundreds at a time, heartbeats waited behind it.
#[derive(Debug)]
pub(super) struct LoadEstimate {
    estimated_at: Instant,
    assignment_revision: u64,
    /// Machines that the work would fill, by controller and machine type.
    demand: BTreeMap<(Member, String), f64>,
    /// Machines, by controller, machine type and whether they are spot machines.
    machines: BTreeMap<(Member, String, bool), f64>,
}

/// How long an estimate is used.
const ESTIMATE_LIFETIME: Duration = Duration::from_millis(500);

impl LoadEstimate {
    fn new(node: &Node, core: &Core, assignment: &Assignment, assignment_revision: u64) -> Self {
        let total = |by_urgency: BTreeMap<_, MachineDemand>| {
            let demands = by_urgency.values();
            demands.map(|demand| demand.any + demand.on_demand).sum()
        };
        let demand = WorkloadEstimate::new(node, core, assignment).by_member;
        let mut machines: BTreeMap<(Member, String, bool), f64> = BTreeMap::new();
        for machine in core.replica.fleet.machines.values() {
            if machine.state == MachineState::Active {
                let pool = &machine.pool;
                let key = (machine.owner.clone(), pool.machine_type.clone(), pool.spot);
                *machines.entry(key).or_default() += 1.0;
            }
        }
        Self {
            estimated_at: Instant::now(),
            assignment_revision,
            demand: demand
                .into_iter()
                .map(|(key, by_urgency)| (key, total(by_urgency)))
                .collect(),
            machines,
        }
    }

    fn is_current(&self, assignment_revision: u64) -> bool {
        self.estimated_at.elapsed() < ESTIMATE_LIFETIME
            && self.assignment_revision == assignment_revision
    }

    /// A controller's work per machine of a type; spot machines count for work that may use them.
    fn load(&self, member: &Member, machine_type: &str, may_use_spot: bool) -> f64 {
        let key = (member.clone(), machine_type.to_owned());
        let demand = self.demand.get(&key).copied().unwrap_or(0.0);
        let count = |spot| {
            let key = (member.clone(), machine_type.to_owned(), spot);
            self.machines.get(&key).copied().unwrap_or(0.0)
        };
        let spot_machines = if may_use_spot { count(true) } else { 0.0 };
        let machines = count(false) + spot_machines;
        // Work counts even without any machine, so that jobs that arrive before the first boot are spread.
        (demand + 1.0) / (machines + 1.0)
    }

    fn add(&mut self, member: &Member, load: JobLoad) {
        let key = (member.clone(), load.machine_type);
        *self.demand.entry(key).or_default() += load.machines;
    }
}

/// Chooses the controller that places a new job: the one with the least work per machine that the job may use, so that
/// arrays fill what machines a gang's controller has to spare. `None` if the assignment alone decides, or if there
/// is none yet.
pub fn choose_placer(node: &Node, core: &mut Core, record: &JobRecord) -> Option<String> {
    let spec = &record.spec;
    let assignment = core.replica.assignment.as_ref()?;
    if !assignment.record.is_placer_chosen(spec) {
        return None;
    }
    let load = job_load(node, core, record, spec.tasks, 0.0)?;
    let kept = core.membership.load.take();
    let mut estimate = kept
        .filter(|estimate| estimate.is_current(assignment.revision))
        .unwrap_or_else(|| LoadEstimate::new(node, core, &assignment.record, assignment.revision));
    let load_of = |member: &Member| estimate.load(member, &load.machine_type, spec.spot);
    let members = assignment.record.members.iter();
    let least_loaded = members
        .min_by(|a, b| load_of(a).total_cmp(&load_of(b)))
        .cloned();
    if let Some(member) = &least_loaded {
        estimate.add(member, load);
    }
    core.membership.load = Some(estimate);
    least_loaded.map(|member| member.name)
}

#[cfg(test)]
mod tests;
