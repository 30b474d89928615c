//! Builds the snapshot of the cluster that packing, preemption and the forecast work on, from the cached
//! machines and jobs. This module only reads records; `service` plans changes based on the snapshot.

use super::due_times::{attainable_due_times, effective_urgency, starvation_limit_s};
use super::job_progress::JobProgress;
use super::preemption::PreemptionRequest;
use super::quota_headroom::QuotaHeadroom;
use super::team_usage::{add_quota_headroom, team_usage, teams_within_guarantee};
use super::{JobSnapshot, MachineSnapshot, Milestone, PoolId, capacity_of};
use crate::cells::protection::{exclusion_of, protected_pools};
use crate::jobs::gang_size::exceeds_one_transaction;
use crate::jobs::{JobRecord, JobSpec, Shape};
use crate::node::{Core, Node, age_s};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Instant;

/// A machine's expected boot time, as a multiple of the time in the cloud's catalogue.
pub(super) const BOOT_TIME_FACTOR: f64 = 1.1;

/// The machines of this controller and its jobs with waiting tasks, at one moment. The fields
/// `cheapest_machine_types`, `preemption_requests` and `unplaceable` are indexed like `jobs`.
#[derive(Debug)]
pub struct ClusterSnapshot {
    /// Jobs with waiting tasks.
    pub jobs: Vec<JobSnapshot>,
    /// Machines on which tasks may be placed.
    pub machines: Vec<MachineSnapshot>,
    /// For each job: the name of the cheapest machine type that it may run on.
    pub cheapest_machine_types: Vec<String>,
    /// For each job: what decides which tasks may be preempted for it.
    pub preemption_requests: Vec<PreemptionRequest>,
    /// What limited teams may still start.
    pub headroom: QuotaHeadroom,
    /// For each job: whether it counts as failing on every machine, or every pool that it may use is protected
    /// from it. A new machine would not help, so none is rented for the job.
    pub unplaceable: Vec<bool>,
}

impl ClusterSnapshot {
    fn push(&mut self, mut job: WaitingJob) {
        job.snapshot.index = self.jobs.len();
        self.preemption_requests.push(PreemptionRequest {
            urgency: job.snapshot.urgency,
            guaranteed: job.snapshot.guaranteed,
        });
        self.jobs.push(job.snapshot);
        self.cheapest_machine_types.push(job.cheapest_machine_type);
        self.unplaceable.push(job.is_unplaceable);
    }
}

/// Names of the machine types that a task may run on, cheapest first.
pub fn eligible_machine_types(core: &Core, spec: &JobSpec) -> Vec<String> {
    let mut eligible: Vec<_> = core
        .machine_types
        .iter()
        .filter(|t| spec.resources().fits(&capacity_of(t)))
        .filter(|t| {
            spec.machine_types
                .as_ref()
                .is_none_or(|names| names.contains(&t.name))
        })
        .filter(|t| spec.zone.as_ref().is_none_or(|z| t.zones.contains(z)))
        .collect();
    eligible.sort_by(|a, b| a.price.total_cmp(&b.price));
    eligible.into_iter().map(|t| t.name.clone()).collect()
}

/// Builds the snapshot from the cache, which must be up to date.
pub(super) fn build(node: &Node, core: &mut Core, now: Instant, now_ms: u64) -> ClusterSnapshot {
    let missed_heartbeats_s = node.settings.params.workers.report_s * 2.0;
    let mut snapshot = ClusterSnapshot {
        jobs: Vec::new(),
        machines: core.snapshots.machines_at(now, missed_heartbeats_s),
        cheapest_machine_types: Vec::new(),
        preemption_requests: Vec::new(),
        headroom: QuotaHeadroom::default(),
        unplaceable: Vec::new(),
    };
    let usage = team_usage(node, core);
    let protected_pools = Arc::new(protected_pools(node, core, now_ms));
    let builder = JobSnapshotBuilder {
        node,
        core: &*core,
        team_indices: add_quota_headroom(node, core, &usage, &mut snapshot.headroom),
        within_guarantee: teams_within_guarantee(node, core),
        protected_pools,
        largest_sizes: largest_sizes(core),
        now,
        now_ms,
    };
    for (id, progress) in &core.snapshots.jobs {
        if let Some(job) = builder.waiting_job(id, progress) {
            snapshot.push(job);
        }
    }
    core.snapshots
        .apply_reservations(&snapshot.jobs, &mut snapshot.machines, now);
    snapshot
}

/// The size of the largest job of each class, see `job_size`.
fn largest_sizes(core: &Core) -> HashMap<&str, f64> {
    let mut largest: HashMap<&str, f64> = HashMap::new();
    for (id, progress) in &core.snapshots.jobs {
        if let Some(job) = core.replica.jobs.get(id) {
            let spec = &job.record.spec;
            let of_class = largest.entry(&spec.class).or_default();
            *of_class = of_class.max(job_size(spec, progress));
        }
    }
    largest
}

/// How many machines of its cheapest machine type all tasks of a job fill together.
fn job_size(spec: &JobSpec, progress: &JobProgress) -> f64 {
    f64::from(spec.tasks) * progress.dominant_share
}

/// A job with waiting tasks and its entries in the fields of [`ClusterSnapshot`].
struct WaitingJob {
    snapshot: JobSnapshot,
    /// Name of the cheapest machine type that it may run on.
    cheapest_machine_type: String,
    is_unplaceable: bool,
}

/// The inputs that all job snapshots of one moment share.
struct JobSnapshotBuilder<'a> {
    node: &'a Node,
    core: &'a Core,
    /// By team: its index in the quota headroom, `None` if it has no limit.
    team_indices: HashMap<&'a str, Option<usize>>,
    /// By team with a guarantee: whether all its unfinished jobs together fit into it.
    within_guarantee: HashMap<&'a str, bool>,
    /// Pools that are protected from jobs of other cells.
    protected_pools: Arc<BTreeSet<PoolId>>,
    /// By class: the size of its largest job.
    largest_sizes: HashMap<&'a str, f64>,
    now: Instant,
    /// `now` in milliseconds since the epoch.
    now_ms: u64,
}

impl JobSnapshotBuilder<'_> {
    /// The snapshot of a job that may start tasks now. `None` if no task waits, no machine type is eligible,
    /// the retry delay after failures is not over, the team is no longer in the settings, tasks of the
    /// gang's previous attempt are still on machines, or its starts cannot be written, for now or at all.
    /// What is planned for such a job would hold capacity without starting anything.
    fn waiting_job(&self, id: &str, progress: &JobProgress) -> Option<WaitingJob> {
        if progress.waiting.is_empty() || progress.cheapest_machine_type.is_empty() {
            return None;
        }
        let record = &self.core.replica.jobs.get(id)?.record;
        let replica = &self.core.replica;
        let is_oversized = exceeds_one_transaction(replica, &self.node.settings, &record.spec);
        if is_oversized || !self.core.pending_changes.is_writable(id, self.now) {
            return None;
        }
        let failures = self.core.failures.get(id);
        let retry_at = failures.and_then(|f| f.not_before());
        if retry_at.is_some_and(|at| self.now < at) {
            return None;
        }
        let team = *self.team_indices.get(record.spec.team.as_str())?;
        let mut snapshot = self.job_snapshot(record, progress, team)?;
        let mut is_unplaceable = failures.is_some_and(|f| f.is_job_at_fault());
        if record.foreign && !self.protected_pools.is_empty() {
            snapshot.excluded_pools = self.protected_pools.clone();
            let exclusion = exclusion_of(self.node, self.core, &record.spec, self.now_ms);
            is_unplaceable |= exclusion.is_some();
        }
        Some(WaitingJob {
            snapshot,
            cheapest_machine_type: progress.cheapest_machine_type.clone(),
            is_unplaceable,
        })
    }

    fn job_snapshot(
        &self,
        record: &JobRecord,
        progress: &JobProgress,
        team: Option<usize>,
    ) -> Option<JobSnapshot> {
        let spec = &record.spec;
        // A gang restarts only once all tasks of its previous attempt are off their machines. A gang with a
        // completed task is not restarted as a whole: its other tasks only have to report completion, too.
        let gang = spec.shape == Shape::Gang && progress.done == 0;
        if gang && progress.placed > 0 {
            return None;
        }
        let schedule = self.schedule(record, progress);
        let within_guarantee = self.within_guarantee.get(spec.team.as_str());
        let machine_type = self.core.machine_type(&progress.cheapest_machine_type);
        let failures = self.core.failures.get(&spec.id);
        Some(JobSnapshot {
            id: spec.id.clone(),
            index: 0,
            gang,
            resources: spec.resources(),
            large: progress.large,
            machine_types: progress.machine_types.clone(),
            zone: progress.zone,
            spot: spec.spot,
            one_zone: spec.one_zone,
            most_in_zone: spec.max_tasks_per_zone(),
            zones: progress.zones.clone(),
            waiting: progress.waiting.clone(),
            started: progress.started(),
            arrived: schedule.arrived,
            guaranteed: within_guarantee.copied().unwrap_or(false),
            urgency: effective_urgency(self.core, spec),
            due: schedule.due,
            next_due: schedule.next_due,
            due_milestone: schedule.due_milestone,
            duration: self.core.expected_run_time_s(spec),
            provisioning_s: machine_type.map_or(0.0, |t| t.boot_s * BOOT_TIME_FACTOR),
            image: progress.image,
            image_gb: spec.image_gb,
            team,
            avoid: failures.map_or_else(Default::default, |f| f.machines.clone()),
            excluded_pools: Arc::default(),
        })
    }

    /// The job's times, relative to now. A job with no started task is due at its starvation limit at the
    /// latest.
    fn schedule(&self, record: &JobRecord, progress: &JobProgress) -> Schedule {
        let spec = &record.spec;
        let age_s = age_s(record.eligible_since_ms(), self.now_ms);
        let largest_size = self.largest_sizes[spec.class.as_str()];
        let starvation_limit_s = starvation_limit_s(spec, job_size(spec, progress), largest_size);
        let from_now = |after_arrival_s: f64| {
            if progress.started() == 0 {
                after_arrival_s.min(starvation_limit_s) - age_s
            } else {
                after_arrival_s - age_s
            }
        };
        let due_times = attainable_due_times(self.node, self.core, record, age_s);
        let next = due_times.get(1);
        Schedule {
            arrived: -age_s,
            due: from_now(due_times[0].after_arrival_s),
            next_due: from_now(next.map_or(starvation_limit_s, |d| d.after_arrival_s)),
            due_milestone: due_times[0].milestone,
        }
    }
}

/// A job's times in seconds from now, see the fields of `JobSnapshot` with the same names.
struct Schedule {
    arrived: f64,
    due: f64,
    next_due: f64,
    due_milestone: Milestone,
}
