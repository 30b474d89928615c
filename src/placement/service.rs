//! The placing loop: plans starts, and has them recorded before anything acts on them.

use super::{Mapping, map, preempt, views};
use crate::jobs::{Entry, JobSpec, writer};
use crate::membership;
use crate::node::{Core, Node, wall_ms};
use crate::renting;
use std::sync::Arc;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(400);
const SHORTEST: Duration = Duration::from_millis(60);
/// Most tasks mapped in a tick; a period's mapping takes in all.
const MOST_IN_TICK: usize = 400;

pub async fn run(node: Arc<Node>) {
    loop {
        let _ = tokio::time::timeout(TICK, node.stirred.notified()).await;
        if node.core().loaded {
            node.tick_begins();
            tick(&node).await;
            node.tick_ended();
        }
        tokio::time::sleep(SHORTEST).await;
    }
}

async fn tick(node: &Arc<Node>) {
    let mark = membership::lead_mark(node);
    let before = std::mem::replace(&mut node.core().leading, mark);
    if before != mark {
        tracing::info!(?mark, "the lead changed hands");
    }
    if let Some(mark) = mark {
        membership::share_out(node, mark).await;
    }
    let now = Instant::now();
    let now_ms = wall_ms();
    {
        let mut core = node.core();
        core.note_ownership(&node.me, now);
        if core.kinds.is_empty() {
            return;
        }
        clear_gone(node, &mut core);
        let mut views = views::build(node, &core, now, now_ms);
        // The first event waits for the first job, and is then at once.
        if !core.replica.jobs.is_empty() || !core.replica.machines.is_empty() {
            renting::service::look_ahead(node, &mut core, &views, now, now_ms);
        }
        let startup = node.policy.startup_count;
        let mapping = map(&views.jobs, &views.machines, startup, MOST_IN_TICK);
        plan(&mut core, &mut views, &mapping);
        make_room(node, &mut core, &views, &mapping);
        save_from_notices(node, &mut core, now);
    }
    writer::write(node, mark.is_some()).await;
}

/// Most machines on which room is made in a tick.
const MOST_CLEARED: usize = 2;

fn make_room(node: &Node, core: &mut Core, views: &views::Views, mapping: &Mapping) {
    let takes = views::STOP_TAKES_S + node.settings.params.workers.report_s;
    let stops = preempt::choose(
        &views.jobs,
        &views.claims,
        mapping,
        &views.machines,
        &views.occupants,
        takes,
        MOST_CLEARED,
    );
    for (id, attempt, grace) in stops {
        tracing::debug!(job = id.0, task = id.1, "stopped to make room");
        core.stops.insert((id, attempt), grace);
    }
}

/// Before the cloud takes a machine, its tasks save if they can, and go elsewhere if they would
/// not end in time.
fn save_from_notices(node: &Node, core: &mut Core, now: Instant) {
    let report = node.settings.params.workers.report_s;
    let mut stops = Vec::new();
    for (name, live) in &core.live {
        let Some(at) = live.taken_at else {
            continue;
        };
        let left = at.saturating_duration_since(now).as_secs_f64();
        for id in core.replica.on.get(name).into_iter().flatten() {
            let Some(job) = core.replica.jobs.get(&id.0) else {
                continue;
            };
            let spec = &job.record.spec;
            let ran = live.running_since.get(id).map_or(0.0, |(_, since)| {
                now.saturating_duration_since(*since).as_secs_f64()
            });
            let ends_in_time = core.duration(spec) - ran < left;
            let saves = spec.checkpoint_s > 0.0;
            // The order goes out with an answer to a report, and saving takes its time.
            let last_moment = spec.save_s * 1.25 + report * 1.5 + 1.5;
            if ends_in_time || (saves && left > last_moment) {
                continue;
            }
            let grace = if saves { left.max(spec.save_s) } else { 0.0 };
            for task in mates(spec, id.1) {
                let mate = (id.0.clone(), task);
                if let Entry::Placed { attempt, .. } = core.entry(&mate.0, task) {
                    stops.push(((mate, attempt), grace));
                }
            }
        }
    }
    for (key, grace) in stops {
        core.stops.entry(key).or_insert(grace);
    }
}

/// A gang saves together or not at all; a task of an array by itself.
fn mates(spec: &JobSpec, task: u32) -> std::ops::Range<u32> {
    if spec.is_gang() {
        0..spec.tasks
    } else {
        task..task + 1
    }
}

/// Tasks on machines whose record is gone: it is dropped only once the machine provably is.
fn clear_gone(node: &Node, core: &mut Core) {
    let gone: Vec<_> = core
        .replica
        .on
        .iter()
        .filter(|(name, _)| !core.replica.machines.contains_key(*name))
        .flat_map(|(_, on)| on.iter().cloned())
        .filter(|(job, _)| core.owns_job(&node.me, job))
        .collect();
    for id in gone {
        if let Entry::Placed {
            attempt, machine, ..
        } = core.entry(&id.0, id.1)
            && !core.replica.machines.contains_key(&machine)
        {
            core.plan(&id, Entry::Waiting { last: attempt });
        }
    }
}

fn plan(core: &mut Core, views: &mut views::Views, mapping: &Mapping) {
    // All tasks of a gang take part in one attempt, by whose number they find one another.
    let mut gang_attempts = std::collections::HashMap::new();
    for (index, job) in views.jobs.iter().enumerate() {
        if job.gang {
            let last = job.waiting.iter();
            let last = last.map(|t| core.entry(&job.id, *t).last_attempt());
            gang_attempts.insert(index, last.max().unwrap_or(0) + 1);
        }
    }
    let mut gangs_let_in = std::collections::HashSet::new();
    let mut refused = std::collections::HashSet::new();
    for start in &mapping.starts {
        let job = &views.jobs[start.job];
        if refused.contains(&start.job) {
            continue;
        }
        // Jobs of one team share its limit, which each was mapped under by itself; a gang takes
        // its whole share with its first task.
        let first_of_gang = gang_attempts.contains_key(&start.job);
        let share = match first_of_gang {
            true => job.need.times(job.waiting.len() as f64),
            false => job.need,
        };
        if let Some(room) = views.team_room.get_mut(&views.teams[start.job])
            && !gangs_let_in.contains(&start.job)
        {
            if !share.fits(room) {
                refused.insert(start.job);
                continue;
            }
            room.sub(&share);
            if first_of_gang {
                gangs_let_in.insert(start.job);
            }
        }
        let machine = &views.machines[start.machine];
        let id = (job.id.clone(), start.task);
        let attempt = match gang_attempts.get(&start.job) {
            Some(attempt) => *attempt,
            None => core.entry(&id.0, id.1).last_attempt() + 1,
        };
        let Some(live) = core.live.get_mut(&machine.name) else {
            continue;
        };
        let session = live.report.session;
        let cache = core.kinds.iter().find(|k| k.name == machine.kind);
        let cache = cache.map_or(0.0, |k| k.cache_gb);
        live.use_image(&job.image, job.image_gb, cache);
        core.plan(
            &id,
            Entry::Placed {
                attempt,
                machine: machine.name.clone(),
                session,
            },
        );
    }
}
