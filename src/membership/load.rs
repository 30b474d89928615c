//! Estimates each controller's work relative to its machines, and uses the estimates to choose the controller that places
//! a new job.

use super::assignment::{Assignment, Member};
use super::machine_assignment::{DemandByMember, MachineDemand};
use crate::fleet::MachineState;
use crate::jobs::JobRecord;
use crate::jobs::gang_size::exceeds_one_transaction;
use crate::node::{Core, Node, age_s, wall_ms};
use crate::placement::capacity_of;
use crate::placement::due_times::{earliest_due_time, effective_urgency};
use crate::placement::snapshot::eligible_machine_types;
use crate::placement::{Milestone, Resources};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The number of machines that a job's tasks would fill, and their type.
struct JobLoad {
    machine_type: String,
    machines: f64,
}

/// Time that should be left before a deadline to run each task, in multiples of its expected run time. Half a run time is
/// reserve.
const DEADLINE_TIME_IN_RUN_TIMES: f64 = 1.5;
/// Minimum share of a job's tasks that counts as running concurrently, however distant its deadline is.
const MIN_CONCURRENT_SHARE: f64 = 0.2;

/// Estimates how many machines `tasks` tasks of a job would fill, in machines of the cheapest type that suits them. `age` is
/// the time in seconds since the job's tasks could first start. If there is time before the deadline, not all tasks need to
/// run concurrently.
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
            let share = core.expected_run_time_s(spec) * DEADLINE_TIME_IN_RUN_TIMES / time_left;
            share.clamp(MIN_CONCURRENT_SHARE, 1.0)
        }
    };
    Some(JobLoad {
        machine_type: name,
        machines: share * f64::from(tasks) * concurrent_share,
    })
}

/// How many machines the unfinished jobs would fill, in machines of the cheapest type that suits each job.
#[derive(Debug)]
pub struct WorkloadEstimate {
    /// Machines by controller, machine type and urgency.
    pub by_member: DemandByMember,
    /// Machines by team with a quota, including teams without work.
    pub by_limited_team: BTreeMap<String, f64>,
    /// Whether any of the jobs is a gang.
    pub has_gangs: bool,
}

impl WorkloadEstimate {
    /// Estimates the work of all unfinished jobs that are not cancelled, with their owners according to `assignment`.
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
            if exceeds_one_transaction(&core.replica, &node.settings, spec) {
                continue; // Machines are of no use to it.
            }
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

/// Work and machines of each controller. The estimate is cached for a short time and updated with the jobs accepted
/// meanwhile. A new estimate takes time proportional to the number of jobs and machines. When it was made for each
/// submission, hundreds of submissions after an outage delayed the answers to heartbeats.
#[derive(Debug)]
pub(super) struct LoadEstimate {
    estimated_at: Instant,
    assignment_revision: u64,
    /// Number of machines that the work would fill, by controller and machine type.
    demand: BTreeMap<(Member, String), f64>,
    /// Number of machines, by controller, machine type and whether they are spot machines.
    machines: BTreeMap<(Member, String, bool), f64>,
}

/// How long a cached estimate is used.
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

    /// A controller's work per machine of a type. Spot machines count only if `may_use_spot`.
    fn load(&self, member: &Member, machine_type: &str, may_use_spot: bool) -> f64 {
        let key = (member.clone(), machine_type.to_owned());
        let demand = self.demand.get(&key).copied().unwrap_or(0.0);
        let count = |spot| {
            let key = (member.clone(), machine_type.to_owned(), spot);
            self.machines.get(&key).copied().unwrap_or(0.0)
        };
        let spot_machines = if may_use_spot { count(true) } else { 0.0 };
        let machines = count(false) + spot_machines;
        // The added one makes work count even without machines, so that jobs are distributed before any machine has booted.
        (demand + 1.0) / (machines + 1.0)
    }

    fn add(&mut self, member: &Member, load: JobLoad) {
        let key = (member.clone(), load.machine_type);
        *self.demand.entry(key).or_default() += load.machines;
    }
}

/// Chooses the controller that places a new job: the one with the least work per machine that the job may use. Array jobs
/// can thus also use spare machines of a controller that places gangs. `None` if the assignment alone determines the
/// controller, if there is no assignment yet or if no machine type suits the job.
pub fn choose_placer(node: &Node, core: &mut Core, record: &JobRecord) -> Option<String> {
    let spec = &record.spec;
    let assignment = core.replica.assignment.as_ref()?;
    if !assignment.record.is_placer_chosen(spec) {
        return None;
    }
    let load = job_load(node, core, record, spec.tasks, 0.0)?;
    let cached = core.membership.load.take();
    let mut estimate = cached
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
