//! What a controller expects, and what the leader makes of it: the paper's periodic and remedial
//! rules, and which idle machines are offered to go back.

use super::{
    ForecastSummaryRecord, Held, Outlook, Verdict, k_of_size, periodic, remedial, to_return,
};
use crate::cells::protection;
use crate::fleet::{Machine, MachineState};
use crate::limits::MAX_PUBLISHED_BYTES;
use crate::membership::assignment::Member;
use crate::node::{Core, Node, age_s};
use crate::placement::batch_order;
use crate::placement::capacity_of;
use crate::placement::forecast::{Forecast, forecast};
use crate::placement::snapshot::{ClusterSnapshot, eligible_machine_types};
use crate::policy::MachineTypeFacts;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Machines to be rented.
#[derive(Debug, Clone, PartialEq)]
pub struct Wish {
    pub kind: String,
    pub count: u32,
    /// How many of them may be spot machines.
    pub spot: u32,
    /// None of them may be an ordinary one.
    pub spot_only: bool,
    /// What may be rented instead if there is no more of it.
    pub instead: Vec<Instead>,
}

/// Machines of another kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Instead {
    pub kind: String,
    pub count: u32,
    pub spot_only: bool,
}

/// Counts since the last event, per kind of machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub finished: u32,
    /// By the part of a machine that each filled.
    pub counted: f64,
    pub late: f64,
}

/// Smoothed arrivals and finishes per period over the whole fleet, and the arrivals as they were
/// before the last period.
#[derive(Debug, Clone, Copy, Default)]
pub struct Flow {
    arrivals: f64,
    finishes: f64,
    usual: f64,
}

/// Largest k: beyond it the machines that late tasks would fill are the limit anyway.
const MOST_K: f64 = 20.0;

/// A startup queue that grows, and a gang that waits for its team's limit, are published before the period
/// is over, but not more often.
const EARLY: Duration = Duration::from_secs(2);

/// Makes up what this controller publishes: at each period, and when there is news before that.
pub fn look_ahead(
    node: &Node,
    core: &mut Core,
    views: &ClusterSnapshot,
    now: Instant,
    now_ms: u64,
) {
    let startup_count = node.policy.startup_count;
    let due = now >= core.rent.next_event;
    if !due && !has_news(core, views, startup_count, now) {
        return;
    }
    let mapping = forecast(&views.jobs, &views.machines, &views.headroom, startup_count);
    core.metrics.machines_examined += mapping.machines_examined;
    let mut record = ForecastSummaryRecord {
        at_ms: now_ms,
        puts_per_s: 0.0,
        unwritten: core.pending_changes.write_backlog(),
        fallen: false,
        kinds: outlooks(node, core, views, &mapping),
        blocked: core.limits.published_gangs(),
    };
    for (kind, outlook) in &mut record.kinds {
        outlook.booting = booting(core, &node.identity, kind);
        outlook.held = held(node, core, kind, &mapping, now_ms);
        if core.replica.is_current_schema_active() {
            let held = std::mem::take(&mut outlook.held);
            outlook.idle = held.into_iter().map(|h| h.name).collect();
        }
        outlook.arrived = arrived(node, core, kind, now_ms);
    }
    if due {
        core.rent.next_event = now + Duration::from_secs_f64(node.policy.period_s);
        part_writes(node, core, now_ms);
        core.rent.tally.clear();
        note_flow(node, core, now_ms);
    }
    core.rent.outlook = Some(record);
}

/// What others leave of their part of the state service's writes goes to those who lack it: one
/// controller may have most of the starts for a while. Each keeps its own part, and a reserve for
/// what it may need before it publishes again.
fn part_writes(node: &Node, core: &Core, now_ms: u64) {
    // One node's refusals tell all of them that the limits fell.
    if core
        .replica
        .forecast_summaries
        .values()
        .any(|o| o.record.fallen)
    {
        node.state.adopt_lower_quota();
    }
    let part = node.state.quota().writes_per_s;
    let (mut spare, mut wanted) = (0.0, 0.0);
    let mut own = 1.0;
    for (name, kept) in &core.replica.forecast_summaries {
        let record = &kept.record;
        let mine = *name == node.identity.name;
        let fresh = age_s(record.at_ms, now_ms) < node.policy.period_s * 2.0;
        if mine || !fresh {
            own = if mine { 1.0 + record.unwritten } else { own };
            continue; // one that is not heard of may be about to need all of its part
        }
        let left = (part - record.puts_per_s * 1.1 - part * 0.08).max(0.0);
        match record.unwritten > 0.0 || record.puts_per_s > part * HUNGRY {
            true => wanted += 1.0 + record.unwritten,
            false => spare += left,
        }
    }
    let outlooks = core.replica.forecast_summaries.iter();
    let lacks = outlooks
        .filter(|(name, _)| **name != node.identity.name)
        .any(|(_, o)| {
            o.record.unwritten >= LACKS
                && age_s(o.record.at_ms, now_ms) < node.policy.period_s * 2.0
        });
    node.state.set_peers_short_of_writes(lacks);
    // In proportion to what each could not write: the busiest node has the leader's records, most
    // machines and the gangs, and had as much as any other.
    node.state
        .set_write_rate(part + spare * own / (own + wanted));
}

/// A controller that leaves so many pages for the next turn lacks puts. Those that had them wrote each
/// exit at once meanwhile, for which nobody waited.
const LACKS: f64 = 2.0;
/// From this part of its own on, a controller is taken to lack writes.
const HUNGRY: f64 = 0.75;

fn has_news(core: &Core, views: &ClusterSnapshot, startup_count: u32, now: Instant) -> bool {
    let Some((at, record)) = &core.rent.published else {
        return true;
    };
    if now.saturating_duration_since(*at) < EARLY {
        return false;
    }
    if record.blocked != core.limits.published_gangs() {
        return true;
    }
    let published: u32 = record.kinds.values().map(|o| o.startup).sum();
    let length: u32 = startup_queues(views, startup_count).values().sum();
    // The remedial rule takes off one and divides: less than two more changes nothing.
    length >= published + 2
}

/// Of each job's waiting tasks, those that its team's limit lets start: no machine helps the others.
fn permitted(views: &ClusterSnapshot) -> Vec<u32> {
    let order = batch_order(&views.jobs);
    views.headroom.clone().permitted(&views.jobs, &order)
}

/// Startup tasks waiting, per kind.
fn startup_queues(views: &ClusterSnapshot, startup_count: u32) -> BTreeMap<String, u32> {
    let mut queues: BTreeMap<String, u32> = BTreeMap::new();
    let permitted = permitted(views);
    for (index, job) in views.jobs.iter().enumerate() {
        if !views.unplaceable[index] {
            let left = permitted[index];
            let queue = startup_count.saturating_sub(job.started).min(left);
            *queues.entry(views.pools[index].clone()).or_default() += queue;
        }
    }
    queues
}

/// Per kind of machine, what the mapping predicts.
fn outlooks(
    node: &Node,
    core: &Core,
    views: &ClusterSnapshot,
    mapping: &Forecast,
) -> BTreeMap<String, Outlook> {
    let mut pools: BTreeMap<String, Outlook> = BTreeMap::new();
    let queues = startup_queues(views, node.policy.startup_count);
    for kind in &core.kinds {
        let tally = core.rent.tally.get(&kind.name).copied().unwrap_or_default();
        let outlook = Outlook {
            late_now: tally.late,
            counted_now: tally.counted,
            finished: tally.finished,
            startup: queues.get(&kind.name).copied().unwrap_or(0),
            ..Outlook::default()
        };
        pools.insert(kind.name.clone(), outlook);
    }
    for progress in core.snapshots.jobs.values().filter(|p| p.placed > 0) {
        let pool = pools.entry(progress.pool.clone()).or_default();
        pool.running += f64::from(progress.placed) * progress.dominant_share;
    }
    let permitted = permitted(views);
    for (index, job) in views.jobs.iter().enumerate() {
        let name = &views.pools[index];
        let Some(kind) = core.kind(name).filter(|_| !views.unplaceable[index]) else {
            continue;
        };
        let pool = pools.entry(name.clone()).or_default();
        let mapped = mapping.jobs[index];
        let waiting = job.waiting.len() as u32;
        let share = job.resources.dominant_share(&capacity_of(kind));
        pool.waiting += waiting;
        let permitted = f64::from(permitted[index]) * share;
        pool.counted_now += permitted;
        if job.due < 0.0 {
            pool.late_now += permitted;
        }
        pool.counted_next += f64::from(mapped.tasks) * share;
        pool.late_next += f64::from(mapped.late) * share;
        let turns = turns(job.due, job.duration, kind.boot_s);
        let machines = share * f64::from(mapped.helped) / turns;
        pool.wanted += machines;
        if job.spot {
            pool.wanted_spot += machines;
            let fallback = core
                .snapshots
                .jobs
                .get(&job.id)
                .and_then(|p| p.fallback_pool.as_ref());
            if let Some(fallback) = fallback {
                let machines = fallback.dominant_share * f64::from(mapped.helped) / turns;
                *pool.wanted_else.entry(fallback.name.clone()).or_default() += machines;
            }
        }
    }
    pools
}

/// How many late tasks one place of a new machine can take one after the other, in time. Where
/// none would be in time, no machine cures the miss, and the work is spread as far as is bearable.
fn turns(due: f64, duration: f64, boot_s: f64) -> f64 {
    let window = due - boot_s;
    let window = if window >= duration {
        window
    } else {
        BEARABLE_S
    };
    (window / duration).floor().clamp(1.0, 6.0)
}

/// How long work that is late anyway may take on machines rented for it.
const BEARABLE_S: f64 = 120.0;

/// The leader's event, at each period: the controllers' figures are summed, and per kind of
/// machine it rents, returns or keeps.
pub fn event(node: &Node, core: &mut Core, now_ms: u64) {
    for (kind, outlook) in summed(node, core, now_ms) {
        let Some(facts) = facts(core, &kind, &outlook) else {
            continue;
        };
        let parameters = node.policy.scaling_parameters(&facts);
        let flow = core.rent.flow.get(&kind).copied().unwrap_or_default();
        let flow = (flow.arrivals / flow.finishes.max(1.0)).clamp(1.0, MOST_K);
        let k = flow.max(k_of_size(&outlook, &parameters));
        let verdict = periodic(&outlook, &parameters, k);
        tracing::info!(
            kind,
            now = outlook.rate_now(),
            next = outlook.rate_next(),
            late = outlook.late_next,
            counted = outlook.counted_next,
            startup = outlook.startup,
            booting = outlook.booting,
            wanted = outlook.wanted,
            k,
            ?verdict,
            "period"
        );
        match verdict {
            Verdict::Rent(n) => {
                // Booting machines took part in the mapping: what is late is late despite them.
                let count = n.min(outlook.wanted.ceil() as u32);
                if count > 0 {
                    wish(node, core, &kind, &outlook, count);
                }
            }
            Verdict::Return => {
                let fleet = &core.replica.fleet.machines;
                let up = fleet
                    .values()
                    .filter(|m| m.pool.machine_type == kind)
                    .count();
                let may = |held: &&Held| {
                    let machine = fleet.get(&held.name);
                    machine.is_some_and(|m| {
                        node.policy
                            .allows_release(&facts, &m.pool.zone, m.pool.spot)
                            && !is_protected(node, core, m, now_ms)
                    })
                };
                let free: Vec<Held> = outlook.held.iter().filter(may).cloned().collect();
                for machine in to_return(&free, up) {
                    tracing::info!(machine = machine.name, "returning");
                    core.rent.to_return.push(machine.name.clone());
                }
            }
            Verdict::Keep => {}
        }
    }
}

/// Whether operators protect a machine now: it is not drained by choice.
fn is_protected(node: &Node, core: &Core, machine: &Machine, now_ms: u64) -> bool {
    let kind = core.kind(&machine.pool.machine_type);
    kind.is_some_and(|kind| {
        protection::is_protected(node, kind, &machine.pool.zone, machine.pool.spot, now_ms)
    })
}

/// What the controllers that are there published, summed per kind.
pub(super) fn summed(node: &Node, core: &Core, now_ms: u64) -> BTreeMap<String, Outlook> {
    let mut sums: BTreeMap<String, Outlook> = BTreeMap::new();
    for member in core.replica.present_members() {
        let Some(kept) = core.replica.forecast_summaries.get(&member.name) else {
            continue;
        };
        if age_s(kept.record.at_ms, now_ms) > (node.policy.period_s * 2.5).max(15.0) {
            continue; // from before it ended, or it has not come to publish: too old to act on
        }
        for (kind, outlook) in &kept.record.kinds {
            sums.entry(kind.clone()).or_default().add(outlook);
        }
    }
    sums
}

fn note_flow(node: &Node, core: &mut Core, now_ms: u64) {
    for (kind, outlook) in summed(node, core, now_ms) {
        let flow = core.rent.flow.entry(kind).or_default();
        flow.usual = flow.arrivals;
        flow.arrivals = flow.arrivals * 0.7 + f64::from(outlook.arrived) * 0.3;
        flow.finishes = flow.finishes * 0.7 + f64::from(outlook.finished) * 0.3;
    }
}

/// What the operators' expressions may name of a kind of machine.
fn facts<'a>(core: &Core, kind: &'a str, outlook: &Outlook) -> Option<MachineTypeFacts<'a>> {
    let known = core.kind(kind)?;
    let flow = core.rent.flow.get(kind).copied().unwrap_or_default();
    Some(MachineTypeFacts {
        machine_type: kind,
        cpus: known.cpus,
        gpus: known.gpus,
        price: known.price,
        arrived: f64::from(outlook.arrived),
        usual: flow.usual,
        waiting: f64::from(outlook.waiting),
    })
}

/// Tasks of a kind's jobs that came within the last period.
fn arrived(node: &Node, core: &Core, kind: &str, now_ms: u64) -> u32 {
    let period_s = node.policy.period_s;
    let jobs = core.replica.jobs.values();
    jobs.map(|job| &job.record)
        .filter(|r| core.replica.owner_of(r) == Some(&node.identity))
        .filter(|r| !r.cancelled && age_s(r.eligible_since_ms(), now_ms) < period_s)
        .filter(|r| {
            eligible_machine_types(core, &r.spec)
                .first()
                .is_some_and(|k| k == kind)
        })
        .map(|r| r.spec.tasks)
        .sum()
}

/// The leader, between events: rent by the startup queues' length.
pub fn remedy(node: &Node, core: &mut Core, now: Instant, now_ms: u64) {
    let period = Duration::from_secs_f64(node.policy.period_s);
    for (kind, outlook) in summed(node, core, now_ms) {
        let last = core.rent.last_remedy.get(&kind);
        if last.is_some_and(|last| now.saturating_duration_since(*last) < period) {
            continue;
        }
        let wished = core.rent.wishes.iter().filter(|w| w.kind == kind);
        let coming = outlook.booting + wished.map(|w| w.count).sum::<u32>();
        let Some(facts) = facts(core, &kind, &outlook) else {
            continue;
        };
        let parameters = node.policy.scaling_parameters(&facts);
        let count = remedial(outlook.startup, coming, &parameters);
        if count == 0 {
            continue;
        }
        core.rent.last_remedy.insert(kind.clone(), now);
        tracing::info!(
            kind,
            startup = outlook.startup,
            coming,
            count,
            "renting by the remedial rule"
        );
        wish(node, core, &kind, &outlook, count);
    }
}

/// Own machines of a kind that are not up yet.
fn booting(core: &Core, me: &Member, kind: &str) -> u32 {
    let machines = core.replica.fleet.machines.iter();
    machines
        .filter(|(name, m)| {
            m.pool.machine_type == kind
                && m.owner == *me
                && !core.workers.agents.contains_key(*name)
        })
        .count() as u32
}

fn wish(node: &Node, core: &mut Core, kind: &str, outlook: &Outlook, count: u32) {
    // What the late tasks allow decides how many may be spot machines.
    let share = match outlook.wanted > 0.0 {
        true => outlook.wanted_spot / outlook.wanted,
        false => 0.0,
    };
    let dearest =
        facts(core, kind, outlook).map_or(0.0, |f| node.policy.max_price_ratio(&f) * f.price);
    let instead = outlook.wanted_else.iter().filter_map(|(other, wanted)| {
        let other = core.kind(other)?;
        let least = match other.spot_price > 0.0 {
            true => other.spot_price.min(other.price),
            false => other.price,
        };
        (least <= dearest).then(|| Instead {
            kind: other.name.clone(),
            count: count.min(wanted.ceil() as u32),
            spot_only: other.price > dearest,
        })
    });
    let instead = instead.collect();
    core.rent.wishes.push(Wish {
        kind: kind.to_owned(),
        count,
        spot: (f64::from(count) * share).round() as u32,
        spot_only: false,
        instead,
    });
}

/// Own machines past their hold that are idle and that nothing was mapped to. By the second
/// nothing is paid ahead, so that the hold begins anew with each use.
fn held(node: &Node, core: &Core, kind: &str, mapping: &Forecast, now_ms: u64) -> Vec<Held> {
    let fleet = summed(node, core, now_ms).remove(kind).unwrap_or_default();
    let Some(facts) = facts(core, kind, &fleet) else {
        return Vec::new();
    };
    let machines = core.replica.fleet.machines.iter();
    let mut held: Vec<Held> = machines
        .filter(|(name, m)| {
            m.pool.machine_type == kind
                && m.owner == node.identity
                && m.state == MachineState::Active
                && !core.rent.closing.contains_key(*name)
                && !core.runs_intended_work(name, kind)
                && !mapping.machines_needed.contains(name.as_str())
        })
        .filter_map(|(name, m)| {
            let status = core.workers.agents.get(name)?;
            let unused = status.last_used_at.elapsed().as_secs_f64();
            let age = age_s(m.requested_ms, now_ms);
            Some(Held {
                name: name.clone(),
                remaining_hold_s: node.policy.idle_hold_s(&facts, &m.pool.zone, m.pool.spot)
                    - unused.min(age),
            })
        })
        .filter(|h| h.remaining_hold_s <= 0.0)
        .collect();
    // The record must fit its value; the rest goes with the next event.
    held.sort_by(|a, b| a.remaining_hold_s.total_cmp(&b.remaining_hold_s));
    let kinds = core.kinds.len().max(1);
    let published = match core.limits.has_divided_teams(core) {
        true => MAX_PUBLISHED_BYTES,
        false => 0,
    };
    let value_bytes = node.settings.max_value_bytes().saturating_sub(published);
    let room = match core.replica.is_current_schema_active() {
        true => {
            let longest = held.iter().map(|h| h.name.len() + 3).max().unwrap_or(1);
            (value_bytes / kinds).saturating_sub(OUTLOOK_BYTES) / longest
        }
        false => (value_bytes / (kinds * 160)).min(MOST_HELD),
    };
    held.truncate(room.max(1));
    held
}

/// Most machines that one outlook offers to give back, per kind, by the version before. By their names
/// alone only the record's size bounds them: with 6 a period, which was all that a value of 2 KiB took,
/// hundreds stood idle for minutes.
const MOST_HELD: usize = 30;
/// What a kind takes of an outlook's record beside these names.
const OUTLOOK_BYTES: usize = 480;

#[cfg(test)]
mod tests;
