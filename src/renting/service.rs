//! The leader's renting: period events, remedies, the rentals and releases themselves, and what
//! the cloud's list tells.

use super::{Held, Knobs, Outlook, Verdict, periodic, remedial, to_return};
use crate::cloud::{CloudError, MOST_RELEASED, Rental};
use crate::node::{Core, Node, age_s, wall_ms};
use crate::placement::views::{Views, kinds_for, room_of};
use crate::placement::{Mapping, Need};
use crate::state::replica::{HireRecord, MachineRecord};
use crate::state::{Guard, LEADER_KEY, Op, hire_key, machine_key};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Machines to be rented.
#[derive(Debug, Clone, PartialEq)]
pub struct Wish {
    pub kind: String,
    pub count: u32,
    /// How many of them may be spot machines.
    pub spot: u32,
}

/// Counts since the last event, per kind of machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub finished: u32,
    pub finished_late: u32,
}

pub struct RentState {
    pub next_event: Instant,
    pub last_remedy: HashMap<String, Instant>,
    pub wishes: Vec<Wish>,
    /// Machines being given back, with why.
    pub closing: BTreeMap<String, &'static str>,
    /// Machines to be marked as returning.
    pub to_return: Vec<String>,
    /// Offers that were refused, and until when they are not asked for.
    pub refused: HashMap<(String, String, bool), Instant>,
    pub tally: HashMap<String, Tally>,
    /// Smoothed arrivals and finishes per period.
    pub flow: HashMap<String, (f64, f64)>,
    pub rented_in_all: u32,
}

/// Largest k: beyond it the machines that late tasks would fill are the limit anyway.
const MOST_K: f64 = 20.0;

impl RentState {
    pub fn new(now: Instant) -> Self {
        Self {
            next_event: now,
            last_remedy: HashMap::new(),
            wishes: Vec::new(),
            closing: BTreeMap::new(),
            to_return: Vec::new(),
            refused: HashMap::new(),
            tally: HashMap::new(),
            flow: HashMap::new(),
            rented_in_all: 0,
        }
    }

    /// Whether a period's event is due; the next one is then set.
    pub fn period_due(&mut self, node: &Node, now: Instant) -> bool {
        if now < self.next_event {
            return false;
        }
        self.next_event = now + Duration::from_secs_f64(node.policy.knobs.period_s);
        true
    }
}

/// Per kind of machine, what the mapping predicts.
pub fn outlooks(core: &Core, views: &Views, mapping: &Mapping) -> BTreeMap<String, Outlook> {
    let mut pools: BTreeMap<String, Outlook> = BTreeMap::new();
    let mut late_needs: HashMap<String, Need> = HashMap::new();
    for kind in &core.kinds {
        let tally = core.rent.tally.get(&kind.name).copied().unwrap_or_default();
        pools.insert(
            kind.name.clone(),
            Outlook {
                late_now: tally.finished_late,
                counted_now: tally.finished,
                ..Outlook::default()
            },
        );
    }
    for (index, job) in views.jobs.iter().enumerate() {
        if views.hopeless[index] {
            continue;
        }
        let pool = pools.entry(views.pools[index].clone()).or_default();
        let (mapped, late) = mapping.mapped[index];
        let waiting = job.waiting.len() as u32;
        pool.counted_now += waiting;
        if job.due < 0.0 {
            pool.late_now += waiting;
        }
        pool.counted_next += mapped;
        pool.late_next += late;
        let needs = late_needs.entry(views.pools[index].clone()).or_default();
        needs.add(&job.need.times(f64::from(late)));
    }
    for (name, needs) in late_needs {
        if let (Some(kind), Some(pool)) = (core.kind(&name), pools.get_mut(&name)) {
            pool.wanted = machines_for(&needs, &room_of(kind));
        }
    }
    pools
}

fn machines_for(needs: &Need, room: &Need) -> u32 {
    let share = |need: f64, room: f64| if room > 0.0 { need / room } else { 0.0 };
    share(needs.cpus, room.cpus)
        .max(share(needs.gpus, room.gpus))
        .max(share(needs.memory_gb, room.memory_gb))
        .ceil() as u32
}

/// A period's event: rent, return or keep, per kind of machine.
pub fn event(node: &Node, core: &mut Core, views: &Views, mapping: &Mapping, now_ms: u64) {
    let knobs = node.policy.knobs;
    let pools = outlooks(core, views, mapping);
    for (kind, outlook) in &pools {
        let tally = core.rent.tally.remove(kind).unwrap_or_default();
        let arrived = arrived(core, kind, knobs.period_s, now_ms);
        let flow = core.rent.flow.entry(kind.clone()).or_default();
        flow.0 = flow.0 * 0.7 + f64::from(arrived) * 0.3;
        flow.1 = flow.1 * 0.7 + f64::from(tally.finished) * 0.3;
        let k = (flow.0 / flow.1.max(1.0)).clamp(1.0, MOST_K);
        let verdict = periodic(outlook, &knobs, k);
        tracing::info!(
            kind,
            now = outlook.rate_now(),
            next = outlook.rate_next(),
            late = outlook.late_next,
            counted = outlook.counted_next,
            wanted = outlook.wanted,
            k,
            ?verdict,
            "period"
        );
        match verdict {
            Verdict::Rent(n) => {
                let coming = booting(core, kind);
                // Booting machines took part in the mapping: what is late is late despite them.
                let count = n.min(outlook.wanted.max(1));
                tracing::info!(kind, count, coming, "renting by the period's rule");
                wish(core, views, mapping, kind, count);
            }
            Verdict::Return => {
                let held = held(core, kind, &knobs, now_ms);
                for machine in to_return(&held, &mapping.used) {
                    tracing::info!(machine = machine.name, tasks = machine.tasks, "returning");
                    core.rent.to_return.push(machine.name.clone());
                }
            }
            Verdict::Keep => {}
        }
    }
}

/// Tasks of a kind's jobs that came within the last period.
fn arrived(core: &Core, kind: &str, period_s: f64, now_ms: u64) -> u32 {
    let jobs = core.replica.jobs.values();
    jobs.map(|job| &job.record)
        .filter(|r| !r.cancelled && age_s(r.accepted_ms, now_ms) < period_s)
        .filter(|r| kinds_for(core, &r.spec).first().is_some_and(|k| k == kind))
        .map(|r| r.spec.tasks)
        .sum()
}

/// Between events: rent by the startup queue's length.
pub fn remedy(node: &Node, core: &mut Core, views: &Views, mapping: &Mapping, now: Instant) {
    let knobs = node.policy.knobs;
    let mut queues: BTreeMap<&str, u32> = BTreeMap::new();
    for (index, pool) in views.pools.iter().enumerate() {
        if views.hopeless[index] {
            continue;
        }
        let started = mapping.starts.iter().filter(|s| s.job == index).count() as u32;
        let job = &views.jobs[index];
        let left = job.waiting.len() as u32 - started;
        let queue = knobs.startup_count.saturating_sub(job.begun).min(left);
        *queues.entry(pool).or_default() += queue;
    }
    let period = Duration::from_secs_f64(knobs.period_s);
    for (kind, startup) in queues {
        let last = core.rent.last_remedy.get(kind);
        if last.is_some_and(|last| now.duration_since(*last) < period) {
            continue;
        }
        let coming = booting(core, kind);
        let count = remedial(startup, coming, &knobs);
        if count == 0 {
            continue;
        }
        core.rent.last_remedy.insert(kind.to_owned(), now);
        tracing::info!(kind, startup, coming, count, "renting by the remedial rule");
        wish(core, views, mapping, kind, count);
    }
}

/// Machines of a kind that are not up yet, wishes included.
fn booting(core: &Core, kind: &str) -> u32 {
    let machines = core.replica.machines.iter();
    let coming = machines
        .filter(|(name, m)| m.record.kind == kind && !core.live.contains_key(*name))
        .count() as u32;
    let wishes = core.rent.wishes.iter().filter(|w| w.kind == kind);
    coming + wishes.map(|w| w.count).sum::<u32>()
}

fn wish(core: &mut Core, views: &Views, mapping: &Mapping, kind: &str, count: u32) {
    // What the late or waiting tasks allow decides how many may be spot machines.
    let (mut all, mut spot) = (0.0, 0.0);
    for (index, job) in views.jobs.iter().enumerate() {
        if views.pools[index] == kind {
            let tasks = f64::from(mapping.mapped[index].1) + 0.01 * job.waiting.len() as f64;
            let weight = tasks * (job.need.cpus + 10.0 * job.need.gpus).max(0.1);
            all += weight;
            if job.spot {
                spot += weight;
            }
        }
    }
    let share = if all > 0.0 { spot / all } else { 0.0 };
    core.rent.wishes.push(Wish {
        kind: kind.to_owned(),
        count,
        spot: (f64::from(count) * share).round() as u32,
    });
}

fn held(core: &Core, kind: &str, knobs: &Knobs, now_ms: u64) -> Vec<Held> {
    let machines = core.replica.machines.iter();
    machines
        .filter(|(name, m)| {
            m.record.kind == kind
                && !m.record.returning
                && !core.rent.closing.contains_key(*name)
                && !core.rent.to_return.contains(name)
        })
        .filter_map(|(name, m)| {
            let unused = core.live.get(name)?.used_at.elapsed().as_secs_f64();
            let age = age_s(m.record.hired_ms, now_ms);
            Some(Held {
                name: name.clone(),
                remaining_hold_s: knobs.hold_s - unused.min(age),
                tasks: core.replica.on.get(name).map_or(0, |on| on.len() as u32),
            })
        })
        .collect()
}

const PAUSE: Duration = Duration::from_millis(500);

/// Fetches the catalogue on every node, which needs it to judge submissions, and does the
/// leader's business with the cloud.
pub async fn run(node: Arc<Node>) {
    let mut catalog_at: Option<Instant> = None;
    let mut list_at: Option<Instant> = None;
    let every = Duration::from_secs_f64(node.settings.params.cloud.list_lag_s.max(3.0));
    loop {
        if catalog_at.is_none_or(|at| at.elapsed() > Duration::from_secs(30))
            && let Ok(kinds) = node.cloud.catalog().await
        {
            node.core().kinds = kinds;
            catalog_at = Some(Instant::now());
            node.stirred.notify_one();
        }
        let leading = node.core().leading;
        if let Some(mark) = leading {
            close_machines(&node, mark).await;
            resend_hires(&node, mark).await;
            fulfil(&node, mark).await;
            if list_at.is_none_or(|at| at.elapsed() > every) {
                list_at = Some(Instant::now());
                take_list(&node, mark).await;
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn guard(mark: u64) -> Guard {
    Guard {
        k: LEADER_KEY.into(),
        mark,
    }
}

/// Rents what is wished for: offers are tried cheapest first, then where the fewest machines are.
async fn fulfil(node: &Arc<Node>, mark: u64) {
    let wishes = std::mem::take(&mut node.core().rent.wishes);
    for wish in wishes {
        let mut left = wish.count;
        let mut spot_left = wish.spot;
        for (zone, spot) in offers(node, &wish) {
            let count = if spot { left.min(spot_left) } else { left };
            if count == 0 {
                continue;
            }
            let record = HireRecord {
                kind: wish.kind.clone(),
                zone,
                spot,
                count: count.min(20),
                at_ms: wall_ms(),
            };
            let got = hire(node, mark, record).await;
            left -= got.min(left);
            if spot {
                spot_left -= got.min(spot_left);
            }
        }
        if left > 0 {
            tracing::info!(kind = wish.kind, left, "the cloud has no more of it now");
        }
    }
}

fn offers(node: &Node, wish: &Wish) -> Vec<(String, bool)> {
    let core = node.core();
    let Some(kind) = core.kind(&wish.kind) else {
        return Vec::new();
    };
    let now = Instant::now();
    let count_in = |zone: &str| {
        let machines = core.replica.machines.values();
        machines.filter(|m| m.record.zone == zone).count()
    };
    let mut offers: Vec<(String, bool)> = Vec::new();
    for spot in [true, false] {
        if spot && (wish.spot == 0 || kind.spot_price <= 0.0 || kind.spot_price >= kind.price) {
            continue;
        }
        let mut zones = kind.zones.clone();
        zones.sort_by_key(|z| count_in(z));
        for zone in zones {
            let key = (kind.name.clone(), zone.clone(), spot);
            if core.rent.refused.get(&key).is_none_or(|until| *until < now) {
                offers.push((zone, spot));
            }
        }
    }
    offers
}

/// Records a name, rents under it, and records the machines. Returns how many came.
async fn hire(node: &Arc<Node>, mark: u64, record: HireRecord) -> u32 {
    // The leader key's mark is never given twice, so neither is this name.
    let name = {
        let mut core = node.core();
        core.rent.rented_in_all += 1;
        format!("r-{mark}-{}", core.rent.rented_in_all)
    };
    let put = Op::set(hire_key(&name), &record);
    match node
        .state
        .transact(&[guard(mark)], std::slice::from_ref(&put))
        .await
    {
        Ok(ledger) => {
            if let Op::Set { set, data, .. } = put {
                node.core().replica.put(&set, data, ledger);
            }
        }
        Err(_) => return 0,
    }
    send_hire(node, mark, &name, &record).await
}

/// Sends a recorded rental, for the first time or again: a repeat of one that was carried out
/// rents nothing and names the same machines.
async fn send_hire(node: &Arc<Node>, mark: u64, name: &str, record: &HireRecord) -> u32 {
    let rental = Rental {
        name,
        kind: &record.kind,
        zone: &record.zone,
        spot: record.spot,
        count: record.count,
    };
    let outcome = node.cloud.rent(&rental).await;
    let names = match outcome {
        Ok(names) => names,
        Err(CloudError::NoCapacity | CloudError::Malformed) => Vec::new(),
        Err(error) => {
            tracing::info!(name, %error, "a rental is open");
            return 0;
        }
    };
    tracing::info!(
        name,
        kind = record.kind,
        zone = record.zone,
        spot = record.spot,
        asked = record.count,
        got = names.len(),
        "rented"
    );
    if (names.len() as u32) < record.count {
        let key = (record.kind.clone(), record.zone.clone(), record.spot);
        let until = Instant::now() + Duration::from_secs(20);
        node.core().rent.refused.insert(key, until);
    }
    let machine = MachineRecord {
        owner: node.settings.member.clone(),
        incarnation: node.incarnation,
        addr: String::new(),
        kind: record.kind.clone(),
        zone: record.zone.clone(),
        spot: record.spot,
        hired_ms: record.at_ms,
        returning: false,
    };
    let mut guards = vec![guard(mark)];
    let mut ops = vec![Op::drop(hire_key(name))];
    for name in &names {
        let known = node.core().replica.machines.contains_key(name);
        if !known {
            guards.push(Guard {
                k: machine_key(name),
                mark: 0,
            });
            ops.push(Op::set(machine_key(name), &machine));
        }
    }
    if let Ok(ledger) = node.state.transact(&guards, &ops).await {
        let mut core = node.core();
        for op in ops {
            match op {
                Op::Set { set, data, .. } => core.replica.put(&set, data, ledger),
                Op::Drop { drop } => core.replica.remove(&drop, ledger),
            }
        }
    }
    names.len() as u32
}

/// Rentals whose answer never came, or whose renter ended, are sent again under their name.
async fn resend_hires(node: &Arc<Node>, mark: u64) {
    let now_ms = wall_ms();
    let open: Vec<(String, HireRecord)> = {
        let core = node.core();
        let hires = core.replica.hires.iter();
        hires
            .filter(|(_, h)| age_s(h.record.at_ms, now_ms) > 4.0)
            .map(|(name, h)| (name.clone(), h.record.clone()))
            .collect()
    };
    for (name, record) in open.into_iter().take(2) {
        send_hire(node, mark, &name, &record).await;
    }
}

/// Returns idle machines, gives back silent ones, and drops their records once the cloud has
/// answered: only then is everything on them provably gone.
async fn close_machines(node: &Arc<Node>, mark: u64) {
    mark_returning(node, mark).await;
    let names = to_close(node);
    if names.is_empty() {
        return;
    }
    if let Err(error) = node.cloud.release(names.clone()).await {
        tracing::info!(%error, "a release is open");
        return;
    }
    let mut guards = vec![guard(mark)];
    let mut ops = Vec::new();
    for name in &names {
        let core = node.core();
        if let Some(kept) = core.replica.machines.get(name) {
            guards.push(Guard {
                k: machine_key(name),
                mark: kept.mark,
            });
            ops.push(Op::drop(machine_key(name)));
        }
    }
    if let Ok(ledger) = node.state.transact(&guards, &ops).await {
        let mut core = node.core();
        for name in &names {
            core.replica.remove(&machine_key(name), ledger);
            core.rent.closing.remove(name);
            core.live.remove(name);
        }
        tracing::info!(?names, "released");
        drop(core);
        node.stirred.notify_one();
    } else {
        node.sync().await;
    }
}

async fn mark_returning(node: &Arc<Node>, mark: u64) {
    let names = std::mem::take(&mut node.core().rent.to_return);
    for name in names {
        let Some(kept) = node.core().replica.machines.get(&name).cloned() else {
            continue;
        };
        let mut record = kept.record;
        record.returning = true;
        let guards = [
            guard(mark),
            Guard {
                k: machine_key(&name),
                mark: kept.mark,
            },
        ];
        let put = Op::set(machine_key(&name), &record);
        if let Ok(ledger) = node
            .state
            .transact(&guards, std::slice::from_ref(&put))
            .await
            && let Op::Set { set, data, .. } = put
        {
            node.core().replica.put(&set, data, ledger);
        }
    }
}

/// Machines to be released now.
fn to_close(node: &Node) -> Vec<String> {
    let now = Instant::now();
    let now_ms = wall_ms();
    let mut core = node.core();
    let core = &mut *core;
    let report = node.settings.report_every();
    let silence = node.settings.lease().mul_f64(1.02) + Duration::from_millis(500);
    let mut close: Vec<(String, &'static str)> = Vec::new();
    let (mut silent, mut heard) = (0, 0);
    for (name, kept) in &core.replica.machines {
        let record = &kept.record;
        let empty = !core.replica.on.contains_key(name)
            && !core.overlay.values().flat_map(|c| c.values()).any(
                |e| matches!(e, crate::jobs::Entry::Placed { machine, .. } if machine == name),
            );
        match core.live.get(name) {
            Some(live) => {
                let quiet = now.saturating_duration_since(live.heard);
                let taken = live
                    .taken_at
                    .is_some_and(|at| now > at && quiet > report + Duration::from_secs(2));
                if taken {
                    close.push((name.clone(), "taken by the cloud"));
                } else if quiet > silence {
                    silent += 1;
                    close.push((name.clone(), "silent"));
                } else {
                    heard += 1;
                    let idle = live
                        .report
                        .tasks
                        .iter()
                        .all(|t| t.state == crate::workers::TaskState::Ended);
                    if record.returning && empty && idle {
                        close.push((name.clone(), "returned"));
                    }
                }
            }
            None => {
                let boot = core.kinds.iter().find(|k| k.name == record.kind);
                let boot = boot.map_or(60.0, |k| k.boot_s);
                let known = now.saturating_duration_since(core.led_since);
                let unheard = age_s(record.hired_ms, now_ms) > boot * 3.0 + 15.0;
                if unheard && known > silence {
                    close.push((name.clone(), "never came up"));
                }
            }
        }
    }
    if silent >= 3 && silent * 2 > heard + silent && core.stand_back_until.is_none() {
        // Most machines fell silent at once: more likely this node cannot hear them. Another
        // that can may lead; releasing them all would throw their work away.
        let first = core.led_since.elapsed() < Duration::from_secs(60);
        if !first {
            tracing::info!(silent, heard, "cannot hear most machines: standing back");
            core.stand_back_until = Some(now + Duration::from_secs(30));
            return Vec::new();
        }
    }
    close.truncate(MOST_RELEASED.min(node.settings.params.state.txn_ops));
    for (name, why) in &close {
        if core.rent.closing.insert(name.clone(), why).is_none() {
            tracing::info!(machine = name, why, "releasing");
        }
    }
    close.into_iter().map(|(name, _)| name).collect()
}

/// Reads the cloud's list: machines that no record names are adopted, failed ones given back.
async fn take_list(node: &Arc<Node>, mark: u64) {
    let Ok(list) = node.cloud.list().await else {
        return;
    };
    for listed in list {
        let (known, failed_live) = {
            let core = node.core();
            (
                core.replica.machines.contains_key(&listed.name),
                core.replica.machines.contains_key(&listed.name) && listed.stage == "failed",
            )
        };
        if failed_live {
            // It stopped by itself: nothing on it can come back, and releasing it proves that.
            let mut core = node.core();
            if let Some(live) = core.live.get_mut(&listed.name) {
                live.taken_at = Some(Instant::now() - Duration::from_secs(1));
            }
            continue;
        }
        // The list lags: a machine just released, or just being recorded, also looks unknown.
        let lag = node.settings.params.cloud.list_lag_s * 2.0 + 5.0;
        let recent = !node.core().replica.hires.is_empty() && listed.age_s < lag * 2.0;
        if known || recent || released_lately(node, &listed.name) || listed.stage == "failed" {
            continue;
        }
        let record = MachineRecord {
            owner: node.settings.member.clone(),
            incarnation: node.incarnation,
            addr: listed.addr,
            kind: listed.kind,
            zone: listed.zone,
            spot: listed.spot,
            hired_ms: wall_ms().saturating_sub((listed.age_s * 1000.0) as u64),
            returning: false,
        };
        adopt(node, mark, &listed.name, record).await;
    }
}

fn released_lately(node: &Node, name: &str) -> bool {
    node.core().replica.released(name)
}

/// Records a machine that exists and is in no record.
pub async fn adopt(node: &Arc<Node>, mark: u64, name: &str, record: MachineRecord) -> bool {
    let guards = [
        guard(mark),
        Guard {
            k: machine_key(name),
            mark: 0,
        },
    ];
    let put = Op::set(machine_key(name), &record);
    match node
        .state
        .transact(&guards, std::slice::from_ref(&put))
        .await
    {
        Ok(ledger) => {
            if let Op::Set { set, data, .. } = put {
                node.core().replica.put(&set, data, ledger);
            }
            tracing::info!(machine = name, "adopted");
            true
        }
        Err(_) => false,
    }
}
