//! The leader's renting: period events, remedies, the rentals and releases themselves, and what
//! the cloud's list tells.

use super::{Held, Outlook, OutlookRecord, Verdict, periodic, remedial, to_return};
use crate::cloud::{CloudError, MOST_RELEASED, Rental};
use crate::membership;
use crate::membership::shares::Member;
use crate::node::{Core, Node, age_s, wall_ms};
use crate::placement::views::{Views, kinds_for, room_of};
use crate::placement::{Mapping, map};
use crate::policy::KindFacts;
use crate::state::replica::{HireRecord, MachineRecord};
use crate::state::{Guard, LEADER_KEY, Op, hire_key, machine_key, outlook_key};
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

/// Smoothed arrivals and finishes per period over the whole fleet, and the arrivals as they were
/// before the last period.
#[derive(Debug, Clone, Copy, Default)]
pub struct Flow {
    arrivals: f64,
    finishes: f64,
    usual: f64,
}

pub struct RentState {
    /// When this controller looks ahead next.
    pub next_event: Instant,
    /// When the leader sums up and decides next.
    pub leader_event: Option<Instant>,
    pub last_remedy: HashMap<String, Instant>,
    pub wishes: Vec<Wish>,
    /// Machines being given back, with why.
    pub closing: BTreeMap<String, &'static str>,
    /// Machines to be marked as returning.
    pub to_return: Vec<String>,
    /// Offers that were refused, and until when they are not asked for.
    pub refused: HashMap<(String, String, bool), Instant>,
    pub tally: HashMap<String, Tally>,
    pub flow: HashMap<String, Flow>,
    pub rented_in_all: u32,
    /// To be published: what this node expects.
    pub outlook: Option<OutlookRecord>,
    pub published: Option<(Instant, OutlookRecord)>,
}

/// Largest k: beyond it the machines that late tasks would fill are the limit anyway.
const MOST_K: f64 = 20.0;

impl RentState {
    pub fn new(now: Instant) -> Self {
        Self {
            next_event: now,
            leader_event: None,
            last_remedy: HashMap::new(),
            wishes: Vec::new(),
            closing: BTreeMap::new(),
            to_return: Vec::new(),
            refused: HashMap::new(),
            tally: HashMap::new(),
            flow: HashMap::new(),
            rented_in_all: 0,
            outlook: None,
            published: None,
        }
    }
}

/// A startup queue that grows is published before its period is over, but not more often.
const EARLY: Duration = Duration::from_secs(2);

/// Makes up what this controller publishes: at each period, and when its startup queue grew.
pub fn look_ahead(node: &Node, core: &mut Core, views: &Views, now: Instant, now_ms: u64) {
    let startup_count = node.policy.startup_count;
    let due = now >= core.rent.next_event;
    if !due && !startup_grew(core, views, startup_count, now) {
        return;
    }
    let mapping = map(&views.jobs, &views.machines, startup_count, usize::MAX);
    let mut record = OutlookRecord {
        at_ms: now_ms,
        kinds: outlooks(node, core, views, &mapping),
    };
    for (kind, outlook) in &mut record.kinds {
        outlook.booting = booting(core, &node.me, kind);
        outlook.held = held(node, core, kind, &mapping, now_ms);
        outlook.arrived = arrived(node, core, kind, now_ms);
    }
    if due {
        core.rent.next_event = now + Duration::from_secs_f64(node.policy.period_s);
        core.rent.tally.clear();
        note_flow(node, core, now_ms);
    }
    core.rent.outlook = Some(record);
}

fn startup_grew(core: &Core, views: &Views, startup_count: u32, now: Instant) -> bool {
    let Some((at, record)) = &core.rent.published else {
        return true;
    };
    if now.saturating_duration_since(*at) < EARLY {
        return false;
    }
    let published: u32 = record.kinds.values().map(|o| o.startup).sum();
    let length: u32 = startup_queues(views, startup_count).values().sum();
    // The remedial rule takes off one and divides: less than two more changes nothing.
    length >= published + 2
}

/// Startup tasks waiting, per kind.
fn startup_queues(views: &Views, startup_count: u32) -> BTreeMap<String, u32> {
    let mut queues: BTreeMap<String, u32> = BTreeMap::new();
    for (index, job) in views.jobs.iter().enumerate() {
        if !views.hopeless[index] {
            let left = job.waiting.len() as u32;
            let queue = startup_count.saturating_sub(job.begun).min(left);
            *queues.entry(views.pools[index].clone()).or_default() += queue;
        }
    }
    queues
}

/// Per kind of machine, what the mapping predicts.
fn outlooks(
    node: &Node,
    core: &Core,
    views: &Views,
    mapping: &Mapping,
) -> BTreeMap<String, Outlook> {
    let mut pools: BTreeMap<String, Outlook> = BTreeMap::new();
    let queues = startup_queues(views, node.policy.startup_count);
    for kind in &core.kinds {
        let tally = core.rent.tally.get(&kind.name).copied().unwrap_or_default();
        let outlook = Outlook {
            late_now: tally.finished_late,
            counted_now: tally.finished,
            finished: tally.finished,
            startup: queues.get(&kind.name).copied().unwrap_or(0),
            ..Outlook::default()
        };
        pools.insert(kind.name.clone(), outlook);
    }
    for (id, job) in &core.replica.jobs {
        if job.placed > 0
            && core.owns_job(&node.me, id)
            && let Some(name) = kinds_for(core, &job.record.spec).into_iter().next()
        {
            let pool = pools.entry(name).or_default();
            pool.running += job.placed;
        }
    }
    for (index, job) in views.jobs.iter().enumerate() {
        let name = &views.pools[index];
        let Some(kind) = core.kind(name).filter(|_| !views.hopeless[index]) else {
            continue;
        };
        let pool = pools.entry(name.clone()).or_default();
        let mapped = mapping.mapped[index];
        let waiting = job.waiting.len() as u32;
        pool.counted_now += waiting;
        if job.due < 0.0 {
            pool.late_now += waiting;
        }
        pool.counted_next += mapped.tasks;
        pool.late_next += mapped.late;
        let turns = turns(job.due, job.duration, kind.boot_s);
        let machines = job.need.share(&room_of(kind)) * f64::from(mapped.late) / turns;
        pool.wanted += machines;
        if job.spot {
            pool.wanted_spot += machines;
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
        let bands = node.policy.bands(&facts);
        let flow = core.rent.flow.get(&kind).copied().unwrap_or_default();
        let k = (flow.arrivals / flow.finishes.max(1.0)).clamp(1.0, MOST_K);
        let verdict = periodic(&outlook, &bands, k);
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
                let count = n.min(outlook.wanted.ceil().max(1.0) as u32);
                wish(core, &kind, &outlook, count);
            }
            Verdict::Return => {
                let all = core.replica.machines.values();
                let up = all.filter(|m| m.record.kind == kind).count();
                let may = |held: &&Held| {
                    let kept = core.replica.machines.get(&held.name);
                    kept.is_some_and(|k| {
                        node.policy
                            .may_return(&facts, &k.record.zone, k.record.spot)
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

/// What the controllers that are there published, summed per kind.
fn summed(node: &Node, core: &Core, now_ms: u64) -> BTreeMap<String, Outlook> {
    let mut sums: BTreeMap<String, Outlook> = BTreeMap::new();
    for member in core.replica.present() {
        let Some(kept) = core.replica.outlooks.get(&member.name) else {
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
fn facts<'a>(core: &Core, kind: &'a str, outlook: &Outlook) -> Option<KindFacts<'a>> {
    let known = core.kind(kind)?;
    let flow = core.rent.flow.get(kind).copied().unwrap_or_default();
    Some(KindFacts {
        kind,
        cpus: known.cpus,
        gpus: known.gpus,
        price: known.price,
        arrived: f64::from(outlook.arrived),
        usual: flow.usual,
        waiting: f64::from(outlook.counted_next),
    })
}

/// Tasks of a kind's jobs that came within the last period.
fn arrived(node: &Node, core: &Core, kind: &str, now_ms: u64) -> u32 {
    let period_s = node.policy.period_s;
    let jobs = core.replica.jobs.values();
    jobs.map(|job| &job.record)
        .filter(|r| core.replica.owner_of_team(&r.spec.team) == Some(&node.me))
        .filter(|r| !r.cancelled && age_s(r.accepted_ms, now_ms) < period_s)
        .filter(|r| kinds_for(core, &r.spec).first().is_some_and(|k| k == kind))
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
        let bands = node.policy.bands(&facts);
        let count = remedial(outlook.startup, coming, &bands);
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
        wish(core, &kind, &outlook, count);
    }
}

/// Own machines of a kind that are not up yet.
fn booting(core: &Core, me: &Member, kind: &str) -> u32 {
    let machines = core.replica.machines.iter();
    machines
        .filter(|(name, m)| {
            m.record.kind == kind && m.record.owner == *me && !core.live.contains_key(*name)
        })
        .count() as u32
}

fn wish(core: &mut Core, kind: &str, outlook: &Outlook, count: u32) {
    // What the late tasks allow decides how many may be spot machines.
    let share = match outlook.wanted > 0.0 {
        true => outlook.wanted_spot / outlook.wanted,
        false => 0.0,
    };
    core.rent.wishes.push(Wish {
        kind: kind.to_owned(),
        count,
        spot: (f64::from(count) * share).round() as u32,
    });
}

/// Own machines past their hold that are idle and that nothing was mapped to. By the second
/// nothing is paid ahead, so that the hold begins anew with each use.
fn held(node: &Node, core: &Core, kind: &str, mapping: &Mapping, now_ms: u64) -> Vec<Held> {
    let fleet = summed(node, core, now_ms).remove(kind).unwrap_or_default();
    let Some(facts) = facts(core, kind, &fleet) else {
        return Vec::new();
    };
    let machines = core.replica.machines.iter();
    machines
        .filter(|(name, m)| {
            m.record.kind == kind
                && m.record.owner == node.me
                && !m.record.returning
                && !core.rent.closing.contains_key(*name)
                && !core.serves_its_purpose(name, kind)
                && !mapping.used.contains(*name)
        })
        .filter_map(|(name, m)| {
            let unused = core.live.get(name)?.used_at.elapsed().as_secs_f64();
            let age = age_s(m.record.hired_ms, now_ms);
            Some(Held {
                name: name.clone(),
                remaining_hold_s: node.policy.hold_s(&facts, &m.record.zone, m.record.spot)
                    - unused.min(age),
            })
        })
        .filter(|h| h.remaining_hold_s <= 0.0)
        .take(12)
        .collect()
}

/// Publishes what is to be published; the leader then has its event.
async fn publish(node: &Arc<Node>) {
    let Some(record) = node.core().rent.outlook.take() else {
        return;
    };
    let put = Op::set(outlook_key(&node.me.name), &record);
    if let Ok(ledger) = node.state.transact(&[], std::slice::from_ref(&put)).await {
        let mut core = node.core();
        core.apply(vec![put], ledger);
        core.rent.published = Some((Instant::now(), record));
    }
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
        publish(&node).await;
        close_machines(&node).await;
        if let Some(mark) = membership::lead_mark(&node) {
            lead_event(&node);
            mark_returning(&node, mark).await;
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

fn lead_event(node: &Node) {
    let (now, now_ms) = (Instant::now(), wall_ms());
    let mut core = node.core();
    if core.rent.leader_event.is_none_or(|at| at <= now) {
        let period = Duration::from_secs_f64(node.policy.period_s);
        core.rent.leader_event = Some(now + period);
        event(node, &mut core, now_ms);
    }
    remedy(node, &mut core, now, now_ms);
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
            node.core().apply(vec![put], ledger);
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
        owner: node.me.clone(),
        addr: String::new(),
        kind: record.kind.clone(),
        zone: record.zone.clone(),
        spot: record.spot,
        hired_ms: record.at_ms,
        returning: false,
        closing: false,
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
        node.core().apply(ops, ledger);
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
async fn close_machines(node: &Arc<Node>) {
    let names = to_close(node);
    let names = record_closing(node, names).await;
    if names.is_empty() {
        return;
    }
    if let Err(error) = node.cloud.release(names.clone()).await {
        tracing::info!(%error, "a release is open");
        return;
    }
    let mut guards = Vec::new();
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

/// Records each release before it is sent, guarded by the machine's key: a node that was cut off
/// from the state service hears its machines no longer, because they are another's by now, and
/// must not release them.
async fn record_closing(node: &Arc<Node>, names: Vec<String>) -> Vec<String> {
    let mut recorded = Vec::new();
    let (mut guards, mut ops, mut new) = (Vec::new(), Vec::new(), Vec::new());
    for name in names {
        let Some(kept) = node.core().replica.machines.get(&name).cloned() else {
            continue;
        };
        if kept.record.closing {
            recorded.push(name);
            continue;
        }
        let record = MachineRecord {
            returning: true,
            closing: true,
            ..kept.record
        };
        guards.push(Guard {
            k: machine_key(&name),
            mark: kept.mark,
        });
        ops.push(Op::set(machine_key(&name), &record));
        new.push(name);
    }
    if ops.is_empty() {
        return recorded;
    }
    match node.state.transact(&guards, &ops).await {
        Ok(ledger) => {
            node.core().apply(ops, ledger);
            recorded.extend(new);
        }
        Err(_) => {
            node.sync().await;
        }
    }
    recorded
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
        let outcome = node.state.transact(&guards, std::slice::from_ref(&put));
        if let Ok(ledger) = outcome.await {
            node.core().apply(vec![put], ledger);
        }
    }
}

/// How long a node that cannot hear its workers leaves them to others.
const STAND_BACK: Duration = Duration::from_secs(20);

/// Machines to be released now.
fn to_close(node: &Node) -> Vec<String> {
    let now = Instant::now();
    let now_ms = wall_ms();
    if node.is_cut_off() {
        return Vec::new();
    }
    let mut core = node.core();
    if core.stand_back_until.is_some() {
        return Vec::new();
    }
    let core = &mut *core;
    let report = node.settings.report_every();
    let silence = node.settings.lease().mul_f64(1.02) + Duration::from_millis(500);
    let mut close: Vec<(String, &'static str)> = Vec::new();
    // Silence for so long on most machines is noticed early, while another controller can still
    // take them over before their workers' leases are out.
    let unheard_for = node.settings.lease().mul_f64(0.4).max(report * 2);
    let (mut silent, mut heard) = (0, 0);
    for (name, kept) in &core.replica.machines {
        let record = &kept.record;
        let Some((since, _)) = core.owned.get(name) else {
            continue;
        };
        let empty = !core.replica.on.contains_key(name)
            && !core.overlay.values().flat_map(|c| c.values()).any(
                |e| matches!(e, crate::jobs::Entry::Placed { machine, .. } if machine == name),
            );
        if record.closing {
            close.push((name.clone(), "decided before"));
            continue;
        }
        match core.live.get(name) {
            Some(live) => {
                let quiet = now.saturating_duration_since(live.heard);
                match quiet > unheard_for {
                    true => silent += 1,
                    false => heard += 1,
                }
                let taken = live
                    .taken_at
                    .is_some_and(|at| now > at && quiet > report + Duration::from_secs(2));
                if taken {
                    close.push((name.clone(), "taken by the cloud"));
                } else if quiet > silence {
                    close.push((name.clone(), "silent"));
                } else {
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
                let known = now.saturating_duration_since(*since);
                let unheard = age_s(record.hired_ms, now_ms) > boot * 3.0 + 15.0;
                // An owner before us that is cut off from the state service may keep the worker
                // for as long as it may go without proof; only then does silence mean anything.
                if unheard && known > silence + node.settings.blind_limit() {
                    close.push((name.clone(), "never came up"));
                }
            }
        }
    }
    let others = core.replica.presence.len() > 1;
    if others && silent >= 3 && silent > heard && core.stand_back_until.is_none() {
        // Most machines fell silent at once: more likely this node cannot hear them. Others may;
        // releasing them all would throw their work away.
        tracing::info!(silent, heard, "cannot hear most machines: standing back");
        core.stand_back_until = Some(now + STAND_BACK);
        return Vec::new();
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
            owner: node.me.clone(),
            addr: listed.addr,
            kind: listed.kind,
            zone: listed.zone,
            spot: listed.spot,
            hired_ms: wall_ms().saturating_sub((listed.age_s * 1000.0) as u64),
            returning: false,
            closing: false,
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
            node.core().apply(vec![put], ledger);
            tracing::info!(machine = name, "adopted");
            true
        }
        Err(_) => false,
    }
}
