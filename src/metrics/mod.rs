//! Counters of this controller's work, logged for operators at the end of each period.

pub mod cycle_phases;
pub mod memory;
pub mod processor_time;

use crate::jobs::TaskRecord;
use crate::limits;
use crate::node::{Core, LockTimes, Node};
use crate::state::replica::Job;
pub use cycle_phases::{CyclePhase, PhaseTimes};
pub use processor_time::{CpuAccount, ProcessorTime};
use rowanmill_state::RequestCounters;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Counters of the current period.
#[derive(Debug)]
pub struct Metrics {
    period_start: Instant,
    /// The totals when the period began.
    at_period_start: Totals,
    /// Heartbeats received from workers.
    pub heartbeats: u64,
    /// Users' requests for a job's status.
    pub status_polls: u64,
    /// Submissions from users that could be parsed, whether they were accepted or not.
    pub submissions: u64,
    /// Scheduling cycles.
    pub scheduling_cycles: u64,
    /// Task starts that placement chose, including those that are discarded before they are written.
    pub task_starts: u64,
    /// Progress pages that were written with starts.
    pub start_pages: u64,
    /// Progress pages that were written without starts, for exits only.
    pub exit_pages: u64,
    /// Of the start and exit pages, those of jobs that another controller owns.
    pub foreign_pages: u64,
    /// Ended and relinquished jobs whose records were archived.
    pub ended_jobs: u64,
    /// Progress pages that were deferred to the next cycle because the write limit was reached.
    pub deferred_pages: u64,
    /// Transactions of pages that failed a precondition. Their writes count against the write limit too.
    pub write_conflicts: u64,
    /// Quota allocations handed to other controllers.
    pub quota_transfers: u64,
    /// Quota records that were rewritten unchanged, so that start transactions without an answer can no longer
    /// be applied.
    pub fence_writes: u64,
    /// Machines that the forecast and the placement examined.
    pub machines_examined: u64,
    /// Free slots of machines that the forecast and the placement examined.
    pub slots_examined: u64,
    /// Snapshots of jobs and machines that were rebuilt because of changes.
    pub rebuilt_snapshots: u64,
    /// Time spent in scheduling cycles.
    pub scheduling_time: Duration,
    /// The longest scheduling cycle.
    pub longest_cycle: Duration,
}

impl Metrics {
    /// Zero counters of a period that begins `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            period_start: now,
            at_period_start: Totals::default(),
            heartbeats: 0,
            status_polls: 0,
            submissions: 0,
            scheduling_cycles: 0,
            task_starts: 0,
            start_pages: 0,
            exit_pages: 0,
            foreign_pages: 0,
            ended_jobs: 0,
            deferred_pages: 0,
            write_conflicts: 0,
            quota_transfers: 0,
            fence_writes: 0,
            machines_examined: 0,
            slots_examined: 0,
            rebuilt_snapshots: 0,
            scheduling_time: Duration::ZERO,
            longest_cycle: Duration::ZERO,
        }
    }
}

/// Counters since the process started. A period's share is the difference between two readings.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    requests: u64,
    puts: u64,
    guards: u64,
    refused: u64,
    watched_bytes: u64,
    by_account: [Duration; CpuAccount::ALL.len()],
    process: Duration,
}

impl Totals {
    fn read(node: &Node) -> Self {
        let used: &RequestCounters = &node.state.counters;
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Self {
            requests: load(&used.requests),
            puts: load(&used.writes),
            guards: load(&used.preconditions),
            refused: load(&used.refused),
            watched_bytes: load(&used.watched_bytes),
            by_account: node.processor_time.totals(),
            process: processor_time::process_time(),
        }
    }
}

/// Logs the counters of the period that ends `now`, and begins the next one.
pub fn log_period(node: &Node, now: Instant) {
    let totals = Totals::read(node);
    log_cycle_phases(&node.phase_times);
    log_lock_times(&node.take_lock_times());
    let mut core = node.core();
    log_counters(&core, &totals, now);
    log_processor_time(&core.metrics.at_period_start, &totals);
    log_oldest_jobs(node, &core);
    limits::log_team_quotas(&core);
    core.metrics = Metrics {
        at_period_start: totals,
        ..Metrics::new(now)
    };
}

/// Logs the counters. The field names are an interface to operators' tools and must not change.
fn log_counters(core: &Core, totals: &Totals, now: Instant) {
    let period = &core.metrics;
    let before = &period.at_period_start;
    tracing::info!(
        seconds = now
            .saturating_duration_since(period.period_start)
            .as_secs_f64(),
        c.reports = period.heartbeats,
        c.polls = period.status_polls,
        c.submitted = period.submissions,
        c.ticks = period.scheduling_cycles,
        c.starts = period.task_starts,
        c.start_pages = period.start_pages,
        c.exit_pages = period.exit_pages,
        c.others_pages = period.foreign_pages,
        c.ended = period.ended_jobs,
        c.unwritten = period.deferred_pages,
        c.lost_races = period.write_conflicts,
        c.transfers = period.quota_transfers,
        c.fences = period.fence_writes,
        c.steps = period.machines_examined,
        c.slots = period.slots_examined,
        c.views = period.rebuilt_snapshots,
        placing_ms = period.scheduling_time.as_millis() as u64,
        longest_ms = period.longest_cycle.as_millis() as u64,
        requests = totals.requests - before.requests,
        puts = totals.puts - before.puts,
        guards = totals.guards - before.guards,
        refused = totals.refused - before.refused,
        bytes = totals.watched_bytes - before.watched_bytes,
        owned = core.workers.owned.len(),
        machines = core.replica.fleet.machines.len(),
        jobs = core.replica.jobs.len(),
        allocated = memory::allocated(),
        "counts"
    );
}

/// Logs the processor time of each account in microseconds. The field names must not change. Time of the
/// process that is charged to no account is spent by the HTTP server and client, by the runtime, by the kernel
/// on their behalf, and by work without an account, such as status polls and cancellations.
fn log_processor_time(before: &Totals, totals: &Totals) {
    let spent_us = |account: CpuAccount| {
        let account = account as usize;
        let spent = totals.by_account[account].saturating_sub(before.by_account[account]);
        spent.as_micros() as u64
    };
    tracing::info!(
        reports = spent_us(CpuAccount::Heartbeats),
        users = spent_us(CpuAccount::UserRequests),
        decode = spent_us(CpuAccount::WatchDecoding),
        replicate = spent_us(CpuAccount::Replication),
        views = spent_us(CpuAccount::Snapshots),
        forecast = spent_us(CpuAccount::Forecast),
        placement = spent_us(CpuAccount::Placement),
        planning = spent_us(CpuAccount::Planning),
        records = spent_us(CpuAccount::RecordWrites),
        renting = spent_us(CpuAccount::Scaling),
        process = totals.process.saturating_sub(before.process).as_micros() as u64,
        "processor time, us"
    );
}

/// Logs the elapsed time of each phase of the scheduling cycles: the longest of the period and, with the ending
/// `_sum`, all of them.
fn log_cycle_phases(phase_times: &PhaseTimes) {
    let times = phase_times.take();
    let longest = |phase: CyclePhase| times[phase as usize].longest.as_micros() as u64;
    let sum = |phase: CyclePhase| times[phase as usize].total.as_micros() as u64;
    tracing::info!(
        assignment = longest(CyclePhase::Assignment),
        snapshot = longest(CyclePhase::Snapshot),
        forecast = longest(CyclePhase::Forecast),
        packing = longest(CyclePhase::Packing),
        start_planning = longest(CyclePhase::StartPlanning),
        eviction = longest(CyclePhase::Eviction),
        writing = longest(CyclePhase::Writing),
        page_selection = longest(CyclePhase::PageSelection),
        assignment_sum = sum(CyclePhase::Assignment),
        snapshot_sum = sum(CyclePhase::Snapshot),
        forecast_sum = sum(CyclePhase::Forecast),
        packing_sum = sum(CyclePhase::Packing),
        start_planning_sum = sum(CyclePhase::StartPlanning),
        eviction_sum = sum(CyclePhase::Eviction),
        writing_sum = sum(CyclePhase::Writing),
        page_selection_sum = sum(CyclePhase::PageSelection),
        "cycle phases, us"
    );
}

/// Logs the waits for the lock on the shared state, and the call that held it for longest.
fn log_lock_times(times: &LockTimes) {
    let holder = times.longest_holder.map(ToString::to_string);
    tracing::info!(
        acquisitions = times.acquisitions,
        waits = times.waits,
        waited = times.waited.as_micros() as u64,
        longest_wait = times.longest_wait.as_micros() as u64,
        longest_hold = times.longest_hold.as_micros() as u64,
        longest_holder = holder.unwrap_or_default(),
        "state lock, us"
    );
}

/// Maximum number of the oldest unfinished jobs that are logged.
const OLDEST_JOBS_LOGGED: usize = 3;

/// Logs, at level debug, the unfinished jobs of this controller that could start first. Their recorded, planned
/// and waiting tasks show what delays them.
fn log_oldest_jobs(node: &Node, core: &Core) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let jobs = core.replica.jobs.iter();
    let mut own_jobs: Vec<_> = jobs
        .filter(|(id, _)| core.owns_job(&node.identity, id))
        .collect();
    own_jobs.sort_by_key(|(_, job)| job.record.eligible_since_ms());
    for (id, job) in own_jobs.into_iter().take(OLDEST_JOBS_LOGGED) {
        log_unfinished_job(core, id, job);
    }
}

fn log_unfinished_job(core: &Core, id: &str, job: &Job) {
    let planned = core.pending_changes.of_job(id);
    let first = planned.and_then(|changes| changes.iter().next());
    let placed = (0..job.record.spec.tasks).find_map(|task| match core.task_record(id, task) {
        TaskRecord::Placed { machine, .. } => Some((task, machine)),
        _ => None,
    });
    let machine = placed.as_ref().map(|(_, name)| name.as_str());
    let machine = machine.and_then(|name| core.replica.fleet.machines.get(name));
    tracing::debug!(
        id,
        tasks = job.record.spec.tasks,
        job.done,
        job.placed,
        planned = planned.map_or(0, |changes| changes.len()),
        ?first,
        ?placed,
        owner = ?machine.map(|machine| &machine.owner.name),
        waiting = core.snapshots.jobs.get(id).map_or(0, |progress| progress.waiting.len()),
        failures = ?core.failures.get(id).map(|failures| failures.count),
        "unfinished for longest"
    );
}
