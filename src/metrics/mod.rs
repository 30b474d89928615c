//! Counters of what a period cost this controller, logged at the end of each period.

pub mod memory;
pub mod processor_time;

use crate::jobs::Entry;
use crate::limits;
use crate::node::{Core, Node};
pub use processor_time::{Duty, ProcessorTime};
use rowanmill_state::Used;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

#[derive(Debug)]
pub struct Metrics {
    since: Instant,
    pub reports: u64,
    pub polls: u64,
    pub submitted: u64,
    pub ticks: u64,
    pub starts: u64,
    /// Pages recorded for starts and for exits alone, and jobs moved to their end.
    pub start_pages: u64,
    pub exit_pages: u64,
    /// Of these, pages of jobs that another controller places.
    pub others_pages: u64,
    pub ended: u64,
    /// Pages that a turn left for the next because no more could be written.
    pub unwritten: u64,
    /// Pages' transactions whose guards did not hold: their changes count against the limit, too.
    pub lost_races: u64,
    /// Allotments given to others, and records put again for starts without an answer.
    pub transfers: u64,
    pub fences: u64,
    /// Machines looked at by the mapping, and views made anew because something changed.
    pub steps: u64,
    pub views: u64,
    /// Time spent placing, of which the longest turn.
    pub placing: Duration,
    pub longest: Duration,
    /// Totals of the state client and of processor time when the period began.
    before: Totals,
}

impl Metrics {
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            reports: 0,
            polls: 0,
            submitted: 0,
            ticks: 0,
            starts: 0,
            start_pages: 0,
            exit_pages: 0,
            others_pages: 0,
            ended: 0,
            unwritten: 0,
            lost_races: 0,
            transfers: 0,
            fences: 0,
            steps: 0,
            views: 0,
            placing: Duration::ZERO,
            longest: Duration::ZERO,
            before: Totals::default(),
        }
    }
}

/// Counters that only ever grow; a period's part is the difference.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    requests: u64,
    puts: u64,
    guards: u64,
    refused: u64,
    followed_bytes: u64,
    duties: [Duration; Duty::ALL.len()],
    process: Duration,
}

impl Totals {
    fn read(node: &Node) -> Self {
        let used: &Used = &node.state.used;
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Self {
            requests: load(&used.requests),
            puts: load(&used.puts),
            guards: load(&used.guards),
            refused: load(&used.refused),
            followed_bytes: load(&used.followed_bytes),
            duties: node.processor_time.spent(),
            process: processor_time::process_time(),
        }
    }
}

/// Logs what the period that ends now took, and begins the next.
pub fn log_period(node: &Node, now: Instant) {
    let totals = Totals::read(node);
    let mut core = node.core();
    log_counters(&core, &totals, now);
    log_processor_time(&core.metrics.before, &totals);
    log_oldest(node, &core);
    limits::service::log_teams(&core);
    core.metrics = Metrics {
        before: totals,
        ..Metrics::new(now)
    };
}

fn log_counters(core: &Core, totals: &Totals, now: Instant) {
    let c = &core.metrics;
    tracing::info!(
        seconds = now.saturating_duration_since(c.since).as_secs_f64(),
        c.reports,
        c.polls,
        c.submitted,
        c.ticks,
        c.starts,
        c.start_pages,
        c.exit_pages,
        c.others_pages,
        c.ended,
        c.unwritten,
        c.lost_races,
        c.transfers,
        c.fences,
        c.steps,
        c.views,
        placing_ms = c.placing.as_millis() as u64,
        longest_ms = c.longest.as_millis() as u64,
        requests = totals.requests - c.before.requests,
        puts = totals.puts - c.before.puts,
        guards = totals.guards - c.before.guards,
        refused = totals.refused - c.before.refused,
        bytes = totals.followed_bytes - c.before.followed_bytes,
        owned = core.workers.owned.len(),
        machines = core.replica.fleet.machines.len(),
        jobs = core.replica.jobs.len(),
        allocated = memory::allocated(),
        "counts"
    );
}

/// Microseconds of processor time by duty. What the process spent beyond these is the HTTP server and
/// client, the runtime and the kernel's part of them.
fn log_processor_time(before: &Totals, totals: &Totals) {
    let spent = |duty: Duty| {
        let (now, then) = (totals.duties[duty as usize], before.duties[duty as usize]);
        now.saturating_sub(then).as_micros() as u64
    };
    tracing::info!(
        reports = spent(Duty::Reports),
        users = spent(Duty::Users),
        decode = spent(Duty::Decode),
        replicate = spent(Duty::Replicate),
        views = spent(Duty::Views),
        forecast = spent(Duty::Forecast),
        placement = spent(Duty::Placement),
        planning = spent(Duty::Planning),
        records = spent(Duty::Records),
        renting = spent(Duty::Renting),
        process = totals.process.saturating_sub(before.process).as_micros() as u64,
        "processor time, us"
    );
}

/// The jobs that have been unfinished for longest, as far as this node places them: what holds them up
/// shows in what is recorded, planned and left.
fn log_oldest(node: &Node, core: &Core) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let jobs = core.replica.jobs.iter();
    let mut ours: Vec<_> = jobs.filter(|(id, _)| core.owns_job(&node.me, id)).collect();
    ours.sort_by_key(|(_, job)| job.record.since_ms());
    for (id, job) in ours.into_iter().take(3) {
        let planned = core.plans.of(id);
        let first = planned.and_then(|p| p.iter().next());
        let placed = (0..job.record.spec.tasks).find_map(|task| match core.entry(id, task) {
            Entry::Placed { machine, .. } => Some((task, machine)),
            _ => None,
        });
        let machine = placed.as_ref().map(|(_, name)| name.as_str());
        let machine = machine.and_then(|name| core.replica.fleet.machines.get(name));
        tracing::debug!(
            id,
            tasks = job.record.spec.tasks,
            job.done,
            job.placed,
            planned = planned.map_or(0, |p| p.len()),
            ?first,
            ?placed,
            owner = ?machine.map(|m| &m.owner.name),
            waiting = core.views.jobs.get(id).map_or(0, |p| p.waiting.len()),
            failures = ?core.failures.get(id).map(|f| f.count),
            "unfinished for longest"
        );
    }
}
