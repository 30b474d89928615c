//! The leader's renting: period events, remedies, the rentals and releases themselves, and what
//! the cloud's list tells.

use super::{Held, Outlook, OutlookRecord, Verdict, periodic, remedial, to_return};
use crate::cloud::{self, CloudError, MOST_RELEASED};
use crate::fleet::{Machine, Rental, Rented, Use, most_hired};
use crate::membership;
use crate::membership::shares::{Member, targets};
use crate::node::{Core, Node, age_s, wall_ms};
use crate::placement::forecast::{Forecast, forecast};
use crate::placement::views::{Views, kinds_for, room_of};
use crate::policy::KindFacts;
use crate::state::replica::Kept;
use crate::state::{Guard, LEADER_KEY, Op, outlook_key, rental_key};
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
    /// When the leader last looked for small rentals to merge.
    merged_at: Option<Instant>,
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
            merged_at: None,
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
    let mapping = forecast(&views.jobs, &views.machines, startup_count);
    core.counts.steps += mapping.steps;
    let mut record = OutlookRecord {
        at_ms: now_ms,
        puts_per_s: 0.0,
        kinds: outlooks(node, core, views, &mapping),
    };
    for (kind, outlook) in &mut record.kinds {
        outlook.booting = booting(core, &node.me, kind);
        outlook.held = held(node, core, kind, &mapping, now_ms);
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
    let part = node.settings.state_share().writes;
    let (mut spare, mut hungry) = (0.0, 1.0);
    for (name, kept) in &core.replica.outlooks {
        let fresh = age_s(kept.record.at_ms, now_ms) < node.policy.period_s * 2.0;
        if *name == node.me.name || !fresh {
            continue; // one that is not heard of may be about to need all of its part
        }
        let used = kept.record.puts_per_s;
        if used > part * HUNGRY {
            hungry += 1.0;
        }
        spare += (part - used * 1.25 - part * 0.15).max(0.0);
    }
    node.state.set_write_rate(part + spare / hungry);
}

/// From this part of its own on, a controller is taken to lack writes.
const HUNGRY: f64 = 0.75;

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
    for progress in core.views.jobs.values().filter(|p| p.placed > 0) {
        let pool = pools.entry(progress.pool.clone()).or_default();
        pool.running += f64::from(progress.placed) * progress.share;
    }
    for (index, job) in views.jobs.iter().enumerate() {
        let name = &views.pools[index];
        let Some(kind) = core.kind(name).filter(|_| !views.hopeless[index]) else {
            continue;
        };
        let pool = pools.entry(name.clone()).or_default();
        let mapped = mapping.mapped[index];
        let waiting = job.waiting.len() as u32;
        let share = job.need.share(&room_of(kind));
        pool.waiting += waiting;
        pool.counted_now += f64::from(waiting) * share;
        if job.due < 0.0 {
            pool.late_now += f64::from(waiting) * share;
        }
        pool.counted_next += f64::from(mapped.tasks) * share;
        pool.late_next += f64::from(mapped.late) * share;
        let turns = turns(job.due, job.duration, kind.boot_s);
        let machines = share * f64::from(mapped.helped) / turns;
        pool.wanted += machines;
        if job.spot {
            pool.wanted_spot += machines;
            let next = core
                .views
                .jobs
                .get(&job.id)
                .and_then(|p| p.next_kind.as_ref());
            if let Some((other, share)) = next {
                let machines = share * f64::from(mapped.helped) / turns;
                *pool.wanted_else.entry(other.clone()).or_default() += machines;
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
                let count = n.min(outlook.wanted.ceil() as u32);
                if count > 0 {
                    wish(node, core, &kind, &outlook, count);
                }
            }
            Verdict::Return => {
                let fleet = &core.replica.fleet.machines;
                let up = fleet.values().filter(|m| m.kind == kind).count();
                let may = |held: &&Held| {
                    let machine = fleet.get(&held.name);
                    machine.is_some_and(|m| node.policy.may_return(&facts, &m.zone, m.spot))
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
        waiting: f64::from(outlook.waiting),
    })
}

/// Tasks of a kind's jobs that came within the last period.
fn arrived(node: &Node, core: &Core, kind: &str, now_ms: u64) -> u32 {
    let period_s = node.policy.period_s;
    let jobs = core.replica.jobs.values();
    jobs.map(|job| &job.record)
        .filter(|r| core.replica.owner_of(r) == Some(&node.me))
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
        wish(node, core, &kind, &outlook, count);
    }
}

/// Own machines of a kind that are not up yet.
fn booting(core: &Core, me: &Member, kind: &str) -> u32 {
    let machines = core.replica.fleet.machines.iter();
    machines
        .filter(|(name, m)| {
            m.kind == kind && m.owner == *me && !core.workers.live.contains_key(*name)
        })
        .count() as u32
}

fn wish(node: &Node, core: &mut Core, kind: &str, outlook: &Outlook, count: u32) {
    // What the late tasks allow decides how many may be spot machines.
    let share = match outlook.wanted > 0.0 {
        true => outlook.wanted_spot / outlook.wanted,
        false => 0.0,
    };
    let dearest = facts(core, kind, outlook).map_or(0.0, |f| node.policy.dearer(&f) * f.price);
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
            m.kind == kind
                && m.owner == node.me
                && m.state == Use::Open
                && !core.rent.closing.contains_key(*name)
                && !core.serves_its_purpose(name, kind)
                && !mapping.used.contains(name.as_str())
        })
        .filter_map(|(name, m)| {
            let unused = core.workers.live.get(name)?.used_at.elapsed().as_secs_f64();
            let age = age_s(m.hired_ms, now_ms);
            Some(Held {
                name: name.clone(),
                remaining_hold_s: node.policy.hold_s(&facts, &m.zone, m.spot) - unused.min(age),
            })
        })
        .filter(|h| h.remaining_hold_s <= 0.0)
        .collect();
    // The record must fit its value; the rest goes with the next event.
    held.sort_by(|a, b| a.remaining_hold_s.total_cmp(&b.remaining_hold_s));
    let room = node.settings.value_bytes() / (core.kinds.len().max(1) * 160);
    held.truncate(room.clamp(1, MOST_HELD));
    held
}

/// Most machines that one outlook offers to give back, per kind.
const MOST_HELD: usize = 30;

/// Publishes what is to be published; the leader then has its event.
async fn publish(node: &Arc<Node>) {
    let Some(record) = node.core().rent.outlook.take() else {
        return;
    };
    let mut record = record;
    record.puts_per_s = node.state.puts_rate();
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
            merge_rentals(&node, mark).await;
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
        // Before anything was submitted there is nothing to decide on: the first event comes with
        // the first outlooks, not a period after.
        let sums = summed(node, &core, now_ms);
        let any = |o: &Outlook| o.counted_next + o.counted_now + o.running > 0.0;
        if sums.values().any(any) || !core.replica.fleet.machines.is_empty() {
            core.rent.leader_event = Some(now + period);
            event(node, &mut core, now_ms);
        }
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
    let more = fulfil_wishes(node, mark, wishes).await;
    fulfil_wishes(node, mark, more).await;
}

/// Returns what to wish for instead of what is not to be had.
async fn fulfil_wishes(node: &Arc<Node>, mark: u64, wishes: Vec<Wish>) -> Vec<Wish> {
    let mut more = Vec::new();
    for wish in wishes {
        let mut left = wish.count;
        let mut spot_left = wish.spot;
        let most = most_hired(node.settings.value_bytes()) as u32;
        let offers = offers(node, &wish);
        let mut zones_left = 0;
        for (at, (zone, spot)) in offers.iter().cloned().enumerate() {
            if at == 0 || offers[at - 1].1 != spot {
                zones_left = offers[at..].iter().filter(|o| o.1 == spot).count();
            }
            let count = match spot {
                true => left.min(spot_left),
                false if wish.spot_only => 0,
                false => left,
            };
            if count == 0 {
                continue;
            }
            // The zones share what is wished for, and what one of them lacks the next ones give.
            let zones = zones_left.max(1);
            zones_left = zones_left.saturating_sub(1);
            let mut count = count.div_ceil(zones as u32);
            while count > 0 {
                let record = Rental {
                    kind: wish.kind.clone(),
                    zone: zone.clone(),
                    spot,
                    count: count.min(most),
                    hired_ms: wall_ms(),
                    open: true,
                    machines: Vec::new(),
                };
                let asked = record.count;
                let got = hire(node, mark, record).await;
                left -= got.min(left);
                if spot {
                    spot_left -= got.min(spot_left);
                }
                count -= asked;
                if got < asked {
                    break;
                }
            }
        }
        if left > 0 {
            tracing::info!(kind = wish.kind, left, "the cloud has no more of it now");
            // The paper has one kind of machine. Where a kind's own is used up, work that may run
            // on another is better late on that one than not at all.
            for instead in &wish.instead {
                let count = instead.count.min(left);
                if count > 0 {
                    more.push(Wish {
                        kind: instead.kind.clone(),
                        count,
                        spot: count,
                        spot_only: instead.spot_only,
                        instead: Vec::new(),
                    });
                }
            }
        }
    }
    more
}

fn offers(node: &Node, wish: &Wish) -> Vec<(String, bool)> {
    let core = node.core();
    let Some(kind) = core.kind(&wish.kind) else {
        return Vec::new();
    };
    let now = Instant::now();
    let count_in = |zone: &str| {
        let machines = core.replica.fleet.machines.values();
        machines
            .filter(|m| m.zone == zone && m.kind == wish.kind)
            .count()
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
async fn hire(node: &Arc<Node>, mark: u64, record: Rental) -> u32 {
    // The leader key's mark is never given twice, so neither is this name.
    let name = {
        let mut core = node.core();
        core.rent.rented_in_all += 1;
        format!("r-{mark}-{}", core.rent.rented_in_all)
    };
    let put = Op::set(rental_key(&name), &record);
    let guards = [
        guard(mark),
        Guard {
            k: rental_key(&name),
            mark: 0,
        },
    ];
    match node
        .state
        .transact(&guards, std::slice::from_ref(&put))
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
async fn send_hire(node: &Arc<Node>, mark: u64, name: &str, record: &Rental) -> u32 {
    let rental = cloud::Rental {
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
    let got = names.len() as u32;
    let (op, mark_before) = {
        let mut core = node.core();
        if got < record.count {
            let key = (record.kind.clone(), record.zone.clone(), record.spot);
            let until = Instant::now() + Duration::from_secs(20);
            core.rent.refused.insert(key, until);
        }
        let owners = first_owners(node, &core, record, names.len());
        let machines = names.into_iter().zip(owners);
        // A token starts at the leader's mark, and rises from there with each change of owner.
        let machines: Vec<Rented> = machines
            .map(|(name, owner)| Rented {
                name,
                owner,
                token: mark,
                state: Use::Open,
            })
            .collect();
        let filled = Rental {
            open: false,
            machines,
            ..record.clone()
        };
        let op = match filled.machines.is_empty() {
            true => Op::drop(rental_key(name)),
            false => Op::set(rental_key(name), &filled),
        };
        let kept = core.replica.fleet.rentals.get(name);
        (op, kept.map_or(0, |k| k.mark))
    };
    let guards = [
        guard(mark),
        Guard {
            k: rental_key(name),
            mark: mark_before,
        },
    ];
    if let Ok(ledger) = node
        .state
        .transact(&guards, std::slice::from_ref(&op))
        .await
    {
        node.core().apply(vec![op], ledger);
        node.stirred.notify_one();
    }
    got
}

/// Who gets new machines: those whose work lacks most, so that few change hands while they boot.
fn first_owners(node: &Node, core: &Core, rental: &Rental, count: usize) -> Vec<Member> {
    let (kind, zone, spot) = (&rental.kind, &rental.zone, rental.spot);
    let present = core.replica.present();
    let Some(shares) = core.replica.shares.as_ref() else {
        return vec![node.me.clone(); count];
    };
    let fleet = &core.replica.fleet.machines;
    let of_kind = || fleet.values().filter(|m| m.kind == *kind);
    let (demand, ..) = membership::demand(node, core, &shares.record);
    let now = |spot: bool| of_kind().filter(|m| m.spot == spot).count();
    let count_with = |s: bool| (now(s) + if s == spot { count } else { 0 }) as f64;
    let targets = targets(&present, kind, &demand, count_with(true), count_with(false));
    let targets = targets.of(spot);
    let mut have: BTreeMap<&Member, (f64, u32)> = present.iter().map(|m| (m, (0.0, 0))).collect();
    for machine in of_kind().filter(|m| m.spot == spot) {
        if let Some(have) = have.get_mut(&machine.owner) {
            have.0 += 1.0;
            have.1 += u32::from(machine.zone == *zone);
        }
    }
    let mut owners = Vec::with_capacity(count);
    for _ in 0..count {
        let lack = |m: &Member, have: f64| targets.get(m).copied().unwrap_or(0.0) - have;
        // Nearly equal lacks: whoever has most of the zone keeps it whole.
        let neediest = have.iter().max_by(|a, b| {
            let (la, lb) = (lack(a.0, a.1.0), lack(b.0, b.1.0));
            let class = |lack: f64| (lack / 16.0).floor();
            let by_lack = class(la).total_cmp(&class(lb));
            by_lack.then(a.1.1.cmp(&b.1.1)).then(la.total_cmp(&lb))
        });
        let Some(member) = neediest.map(|(m, _)| (*m).clone()) else {
            owners.push(node.me.clone());
            continue;
        };
        let entry = have.get_mut(&member).expect("present");
        entry.0 += 1.0;
        entry.1 += 1;
        owners.push(member);
    }
    owners
}

/// Rentals whose answer never came, or whose renter ended, are sent again under their name.
async fn resend_hires(node: &Arc<Node>, mark: u64) {
    let now_ms = wall_ms();
    let open: Vec<(String, Rental)> = {
        let core = node.core();
        let open = core.replica.fleet.open();
        open.filter(|(_, r)| age_s(r.hired_ms, now_ms) > 4.0)
            .map(|(name, r)| (name.clone(), r.clone()))
            .collect()
    };
    for (name, record) in open.into_iter().take(4) {
        send_hire(node, mark, &name, &record).await;
    }
}

/// Returns idle machines, gives back silent ones, and drops their records once the cloud has
/// answered: only then is everything on them provably gone.
async fn close_machines(node: &Arc<Node>) {
    let names = to_close(node);
    if names.is_empty() {
        return;
    }
    let names = record_closing(node, names).await;
    if names.is_empty() {
        return;
    }
    if let Err(error) = node.cloud.release(names.clone()).await {
        tracing::info!(%error, "a release is open");
        return;
    }
    let mut left = names;
    while !left.is_empty() {
        let now = write_fleet(node, &left, |_| false).await;
        if now.is_empty() {
            return; // another turn finds them closing still, and releases them again
        }
        tracing::info!(names = ?now, "released");
        left.retain(|name| !now.contains(name));
        let mut core = node.core();
        for name in &now {
            core.rent.closing.remove(name);
            core.workers.live.remove(name);
        }
    }
    node.stirred.notify_one();
}

/// Changes machines in their rentals' records, as many as fit one transaction; returns those whose
/// change is recorded. `change` returns false for a machine that leaves the record.
async fn write_fleet(
    node: &Arc<Node>,
    names: &[String],
    change: impl FnMut(&mut Rented) -> bool,
) -> Vec<String> {
    let most = node.settings.params.state.txn_ops;
    let (mut guards, mut ops, mut rentals) = (Vec::new(), Vec::new(), Vec::new());
    let written: Vec<String> = {
        let core = node.core();
        let fleet = &core.replica.fleet;
        let changed = fleet.changed_by(names.iter().map(String::as_str), change);
        let mut bytes = 0;
        for (name, kept) in changed.into_iter().take(most) {
            let op = match kept.record.machines.is_empty() {
                true => Op::drop(rental_key(&name)),
                false => Op::set(rental_key(&name), &kept.record),
            };
            bytes += op.bytes();
            if bytes > crate::state::MOST_BYTES {
                break;
            }
            guards.push(Guard {
                k: rental_key(&name),
                mark: kept.mark,
            });
            ops.push(op);
            rentals.push(name);
        }
        let is_in = |name: &&String| {
            let machine: Option<&Machine> = fleet.machines.get(*name);
            machine.is_some_and(|m| rentals.contains(&m.rental))
        };
        names.iter().filter(is_in).cloned().collect()
    };
    if ops.is_empty() {
        return Vec::new();
    }
    match node.state.transact(&guards, &ops).await {
        Ok(ledger) => {
            node.core().apply(ops, ledger);
            written
        }
        Err(_) => {
            node.sync().await;
            Vec::new()
        }
    }
}

/// Records each release before it is sent, guarded by the machine's rental: a node that was cut off
/// from the state service hears its machines no longer, because they are another's by now, and
/// must not release them.
async fn record_closing(node: &Arc<Node>, names: Vec<String>) -> Vec<String> {
    let (mut recorded, new): (Vec<String>, Vec<String>) = {
        let core = node.core();
        let fleet = &core.replica.fleet.machines;
        let known = names.into_iter().filter(|n| fleet.contains_key(n));
        known.partition(|n| fleet[n].state == Use::Closing)
    };
    if !new.is_empty() {
        let close = |machine: &mut Rented| {
            machine.state = Use::Closing;
            true
        };
        recorded.extend(write_fleet(node, &new, close).await);
    }
    recorded
}

/// Rentals of a few machines each would make a takeover cost as many puts as one of machine keys.
/// Now and then the leader moves the machines of such rentals, once all are surely up, into one
/// record: a put, and the drops that their ends would cost in any case.
async fn merge_rentals(node: &Arc<Node>, mark: u64) {
    let now = Instant::now();
    let now_ms = wall_ms();
    let (into, others) = {
        let mut core = node.core();
        let due = core.rent.merged_at.is_none_or(|at| now >= at + MERGE_EVERY);
        if !due || node.state.writes_at_ease() < 0.5 {
            return;
        }
        core.rent.merged_at = Some(now);
        let most = most_hired(node.settings.value_bytes());
        let settled = |rental: &Rental| {
            let boot = core.kind(&rental.kind).map_or(60.0, |k| k.boot_s);
            !rental.open && age_s(rental.hired_ms, now_ms) > boot * 3.0 + 20.0
        };
        let mut groups: BTreeMap<(&str, &str, bool), Vec<(&String, &Kept<Rental>)>> =
            BTreeMap::new();
        for (name, kept) in &core.replica.fleet.rentals {
            let rental = &kept.record;
            if settled(rental) {
                let group = (rental.kind.as_str(), rental.zone.as_str(), rental.spot);
                groups.entry(group).or_default().push((name, kept));
            }
        }
        let Some(group) = groups.values_mut().max_by_key(|g| g.len()) else {
            return;
        };
        group.sort_by_key(|(_, kept)| std::cmp::Reverse(kept.record.machines.len()));
        let mut size = 0;
        let mut taken = Vec::new();
        for (name, kept) in group.iter() {
            if taken.len() < MOST_MERGED && size + kept.record.machines.len() <= most {
                size += kept.record.machines.len();
                taken.push(((*name).clone(), (*kept).clone()));
            }
        }
        if taken.len() < 3 {
            return;
        }
        (taken.remove(0), taken)
    };
    let (name, kept) = into;
    let mut record = kept.record;
    let mut guards = vec![
        guard(mark),
        Guard {
            k: rental_key(&name),
            mark: kept.mark,
        },
    ];
    let mut ops = Vec::new();
    for (other, kept) in others {
        record.machines.extend(kept.record.machines);
        record.hired_ms = record.hired_ms.max(kept.record.hired_ms);
        guards.push(Guard {
            k: rental_key(&other),
            mark: kept.mark,
        });
        ops.push(Op::drop(rental_key(&other)));
    }
    record.count = record.machines.len() as u32;
    // The new record first: a machine is gone when no record lists it.
    ops.insert(0, Op::set(rental_key(&name), &record));
    match node.state.transact(&guards, &ops).await {
        Ok(ledger) => {
            tracing::debug!(name, machines = record.count, "rentals merged");
            node.core().apply(ops, ledger);
        }
        Err(_) => {
            node.sync().await;
        }
    }
}

const MERGE_EVERY: Duration = Duration::from_secs(3);
/// Most rentals merged at a time.
const MOST_MERGED: usize = 6;

async fn mark_returning(node: &Arc<Node>, mark: u64) {
    let names = std::mem::take(&mut node.core().rent.to_return);
    if names.is_empty() || membership::lead_mark(node) != Some(mark) {
        return;
    }
    let give_back = |machine: &mut Rented| {
        machine.state = machine.state.max(Use::Returning);
        true
    };
    write_fleet(node, &names, give_back).await;
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
    if core.standing.stand_back_until.is_some() {
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
    for (name, (since, _)) in &core.workers.owned {
        let Some(record) = core.replica.fleet.machines.get(name) else {
            continue;
        };
        let empty = !core.replica.on.contains_key(name) && core.plans.on(name).next().is_none();
        if record.state == Use::Closing {
            close.push((name.clone(), "decided before"));
            continue;
        }
        match core.workers.live.get(name) {
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
                } else if live
                    .deaf
                    .is_some_and(|at| now.saturating_duration_since(at) > silence)
                    && (live.lapses != 1 || !live.unseen.is_empty())
                {
                    // What ran on it has ended with its lease, which our answers do not renew.
                    close.push((name.clone(), "does not follow"));
                } else {
                    let idle = live
                        .report
                        .tasks
                        .iter()
                        .all(|t| t.state == crate::workers::TaskState::Ended);
                    if record.state == Use::Returning && empty && idle {
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
    if others && silent >= 3 && silent > heard && core.standing.stand_back_until.is_none() {
        // Most machines fell silent at once: more likely this node cannot hear them. Others may;
        // releasing them all would throw their work away.
        tracing::info!(silent, heard, "cannot hear most machines: standing back");
        core.standing.stand_back_until = Some(now + STAND_BACK);
        return Vec::new();
    }
    close.truncate(MOST_RELEASED);
    for (name, why) in &close {
        if core.rent.closing.insert(name.clone(), why).is_none() {
            core.plans.touch_machine(name);
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
    // The list lags: a machine just released also looks unknown. This process remembers its
    // releases; those before its time are out of the list after twice the lag.
    let lag = Duration::from_secs_f64(node.settings.params.cloud.list_lag_s * 2.0 + 5.0);
    let settled = {
        let core = node.core();
        let leading = core.standing.leading;
        leading.is_some_and(|(_, since)| since.elapsed() > lag)
            && core.replica.fleet.open().next().is_none()
    };
    for listed in list {
        {
            let mut core = node.core();
            let core = &mut *core;
            if core.replica.fleet.machines.contains_key(&listed.name) {
                if listed.stage == "failed"
                    && let Some(live) = core.workers.live.get_mut(&listed.name)
                {
                    // It stopped by itself: nothing on it can come back, and releasing it
                    // proves that.
                    live.taken_at = Some(Instant::now() - Duration::from_secs(1));
                    core.plans.touch_machine(&listed.name);
                }
                continue;
            }
            if core.replica.fleet.is_gone(&listed.name) || listed.stage == "failed" || !settled {
                continue;
            }
        }
        adopt(node, mark, listed).await;
    }
}

/// Records a machine that exists and is in no record: a rental of one, under its own name, so
/// that it cannot be recorded twice.
async fn adopt(node: &Arc<Node>, mark: u64, listed: cloud::Listed) {
    let key = rental_key(&format!("a-{}", listed.name));
    let record = Rental {
        kind: listed.kind,
        zone: listed.zone,
        spot: listed.spot,
        count: 1,
        hired_ms: wall_ms().saturating_sub((listed.age_s * 1000.0) as u64),
        open: false,
        machines: vec![Rented {
            name: listed.name.clone(),
            owner: node.me.clone(),
            token: mark,
            state: Use::Open,
        }],
    };
    let guards = [
        guard(mark),
        Guard {
            k: key.clone(),
            mark: 0,
        },
    ];
    let put = Op::set(key, &record);
    if let Ok(ledger) = node
        .state
        .transact(&guards, std::slice::from_ref(&put))
        .await
    {
        node.core().apply(vec![put], ledger);
        tracing::info!(machine = listed.name, "adopted");
    }
}
