//! Which controller has which jobs and machines: the leader's sharing, and who takes a new job.

use super::assignment::{
    Assignment, Demand, Member, Shared, Wanted, Work, part_jobs, part_machines,
};
use super::schema_versions::FeatureLevel;
use crate::fleet::{RentalPart, split_to_fit};
use crate::jobs::JobRecord;
use crate::metrics::CpuAccount;
use crate::node::{Core, Node, age_s, wall_ms};
use crate::placement::capacity_of;
use crate::placement::snapshot::{due_after, eligible_machine_types, urgency_of};
use crate::placement::{Milestone, Resources};
use crate::state::{ASSIGNMENT_KEY, LEADER_KEY, Operation, Precondition, rental_key};
use rowanmill_state::WritePriority;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What the leader has to change so that everything belongs to someone who is there.
struct Change {
    shares: Option<(Assignment, u64)>,
    machines: Vec<(String, Member)>,
}

/// Machines that so many tasks of a job would fill at once, of the kind that they most need. What
/// has time need not all run at once.
fn weight(
    node: &Node,
    core: &Core,
    record: &JobRecord,
    tasks: u32,
    age: f64,
) -> Option<(String, f64)> {
    let spec = &record.spec;
    let name = eligible_machine_types(core, spec).into_iter().next()?;
    let kind = core.kind(&name)?;
    let machines =
        Resources::dominant_share(&spec.resources(), &capacity_of(kind)) * f64::from(tasks);
    let (due, by) = due_after(node, core, record, age);
    let at_once = match by {
        Milestone::Start => 1.0,
        Milestone::Finish => (core.duration(spec) * 1.5 / (due - age).max(0.1)).clamp(0.2, 1.0),
    };
    Some((name, machines * at_once))
}

/// Machines that each controller's work would fill, and what its limited teams would.
pub fn demand(
    node: &Node,
    core: &Core,
    shares: &Assignment,
) -> (Demand, BTreeMap<String, f64>, bool) {
    let now_ms = wall_ms();
    let mut demand = Demand::new();
    let teams = node.settings.params.teams.iter();
    let mut limited: BTreeMap<String, f64> = teams
        .filter(|t| t.is_limited())
        .map(|t| (t.name.clone(), 0.0))
        .collect();
    let mut gangs = false;
    for job in core.replica.jobs.values().filter(|j| !j.record.cancelled) {
        let spec = &job.record.spec;
        let left = spec.tasks - job.done.min(spec.tasks);
        let age = age_s(job.record.since_ms(), now_ms);
        let Some((kind, machines)) = weight(node, core, &job.record, left, age) else {
            continue;
        };
        gangs |= spec.is_gang();
        if let Some(load) = limited.get_mut(&spec.team) {
            *load += machines;
        }
        if let Some(member) = shares.owner(&job.record) {
            let levels = demand.entry((member.clone(), kind)).or_default();
            let wanted = levels.entry(urgency_of(core, spec)).or_default();
            match spec.spot {
                true => wanted.any += machines,
                false => wanted.ordinary += machines,
            }
        }
    }
    (demand, limited, gangs)
}

/// How far each controller's machines are spoken for. Worked out anew for each submission it took
/// time in proportion to all jobs and machines: when users came back after an outage, hundreds at a
/// time, reports waited behind it.
#[derive(Debug)]
pub struct Spoken {
    at: Instant,
    shares_mark: u64,
    /// By controller and kind.
    wanted: BTreeMap<(Member, String), f64>,
    /// By controller, kind and whether it is a spot machine.
    room: BTreeMap<(Member, String, bool), f64>,
}

/// Jobs accepted here in between are added as they come.
const SPOKEN_FOR: Duration = Duration::from_millis(500);

impl Spoken {
    fn new(node: &Node, core: &Core, shares: &Assignment, shares_mark: u64) -> Self {
        let (demand, ..) = demand(node, core, shares);
        let all = |levels: BTreeMap<_, Wanted>| levels.values().map(|w| w.any + w.ordinary).sum();
        let mut room: BTreeMap<(Member, String, bool), f64> = BTreeMap::new();
        for machine in core.replica.fleet.machines.values() {
            if machine.state == crate::fleet::MachineState::Active {
                let key = (
                    machine.owner.clone(),
                    machine.pool.machine_type.clone(),
                    machine.pool.spot,
                );
                *room.entry(key).or_default() += 1.0;
            }
        }
        Self {
            at: Instant::now(),
            shares_mark,
            wanted: demand
                .into_iter()
                .map(|(k, levels)| (k, all(levels)))
                .collect(),
            room,
        }
    }

    fn of(&self, member: &Member, kind: &str, spot: bool) -> f64 {
        let key = (member.clone(), kind.to_owned());
        let wanted = self.wanted.get(&key).copied().unwrap_or(0.0);
        let of_sort = |spot| {
            let key = (member.clone(), kind.to_owned(), spot);
            self.room.get(&key).copied().unwrap_or(0.0)
        };
        let room = of_sort(false) + if spot { of_sort(true) } else { 0.0 };
        // Even work without any machine counts: so arrivals before the first boot are parted.
        (wanted + 1.0) / (room + 1.0)
    }
}

/// Who should place a new job: of those whose machines it may use, the one whose room is least
/// spoken for. Where a gang's controller has machines to spare, arrays fill them.
pub fn choose_placer(node: &Node, core: &mut Core, record: &JobRecord) -> Option<String> {
    let spec = &record.spec;
    let kept = core.replica.assignment.as_ref()?;
    if !kept.record.may_choose(spec) {
        return None;
    }
    let (kind, machines) = weight(node, core, record, spec.tasks, 0.0)?;
    let fresh = |s: &Spoken| s.at.elapsed() < SPOKEN_FOR && s.shares_mark == kept.revision;
    let mut spoken = match core.election.spoken.take().filter(fresh) {
        Some(spoken) => spoken,
        None => Spoken::new(node, core, &kept.record, kept.revision),
    };
    let for_it = |m: &Member| spoken.of(m, &kind, spec.spot);
    let members = kept.record.members.iter();
    let best = members.min_by(|a, b| for_it(a).total_cmp(&for_it(b)));
    let best = best.cloned();
    if let Some(best) = &best {
        *spoken.wanted.entry((best.clone(), kind)).or_default() += machines;
    }
    core.election.spoken = Some(spoken);
    best.map(|m| m.name)
}

/// Whether teams' limits are divided: once every controller that is there was told to. One of the version
/// before takes no part in it, and has them whole again from its arrival on.
fn divides_limits(node: &Node, core: &Core) -> bool {
    let mut present = core.replica.presence.values();
    node.supported_level >= FeatureLevel::DIVIDED_QUOTAS
        && present.all(|p| p.record.supported_level >= FeatureLevel::DIVIDED_QUOTAS)
}

fn wanted_change(node: &Node, core: &Core, settled: bool) -> Change {
    let replica = &core.replica;
    let present = replica.present_members();
    let old = replica.assignment.as_ref();
    let none = Assignment::default();
    let before = old.map_or(&none, |s| &s.record);
    let (_, limited, gangs) = demand(node, core, before);
    let whole = match divides_limits(node, core) {
        true => BTreeMap::new(),
        false => limited,
    };
    let work = Work {
        whole: &whole,
        gangs,
    };
    let shares = part_jobs(&present, &node.identity, before, &work);
    let (demand, ..) = demand(node, core, &shares);
    let machines = &replica.fleet.machines;
    let shared: Vec<Shared> = machines
        .iter()
        .map(|(name, m)| Shared {
            name,
            kind: &m.pool.machine_type,
            zone: &m.pool.zone,
            spot: m.pool.spot,
            owner: &m.owner,
            tasks: replica
                .tasks_by_machine
                .get(name)
                .map_or(0, |on| on.len() as u32),
        })
        .collect();
    let most = match settled {
        true => (shared.len() / PER_MOVED).max(1),
        false => 0,
    };
    let machines = part_machines(&shared, &present, &demand, most);
    let changed = before != &shares;
    Change {
        shares: changed.then(|| (shares, old.map_or(0, |o| o.revision))),
        machines,
    }
}

/// Of so many machines one that is in use changes hands at a time while all controllers are there.
const PER_MOVED: usize = 50;
/// How often they do.
const SHARE_EVERY: Duration = Duration::from_secs(1);
/// Most records that a sharing among those who stayed writes: more would keep starts from being
/// recorded.
const MOST_RECORDS: usize = 4;

/// Records that a takeover may write at once, whatever this node's part of the writes.
const TAKEOVER_RECORDS: usize = 10;

/// The leader's duty: everything belongs to a controller that is there, and machines follow the
/// work. A machine that changes hands has a higher token, so that whatever its old owner still
/// sends fails on its guards, and the worker drops the old owner's answers.
pub async fn rebalance(node: &Arc<Node>, revision: u64) {
    let change = {
        let _charge = node.processor_time.charge(CpuAccount::Scaling);
        let mut core = node.core();
        let present = core.replica.present_members();
        let fleet = &core.replica.fleet.machines;
        let orphaned = present != core.election.shared_among
            || core.replica.assignment.is_none()
            || fleet.values().any(|m| !present.contains(&m.owner));
        // Records of machines that follow the work take the place of starts where puts are short.
        let every = match node.state.write_headroom() < 0.5 {
            true => SHARE_EVERY * 2,
            false => SHARE_EVERY,
        };
        let shared_at = core.election.shared_at;
        let due = shared_at.is_none_or(|at| at.elapsed() >= every);
        if core.kinds.is_empty() || !(due || orphaned) {
            return;
        }
        core.election.shared_at = Some(Instant::now());
        core.election.shared_among = present;
        (wanted_change(node, &core, due), orphaned)
    };
    let (change, orphaned) = change;
    if change.shares.is_none() && change.machines.is_empty() {
        return;
    }
    let mut ops = Vec::new();
    let mut guards = vec![Precondition {
        key: LEADER_KEY.into(),
        revision,
    }];
    if let Some((shares, revision)) = &change.shares {
        guards.push(Precondition {
            key: ASSIGNMENT_KEY.into(),
            revision: *revision,
        });
        ops.push(Operation::put(ASSIGNMENT_KEY.into(), shares));
    }
    let most = node.settings.max_transaction_operations() - 1;
    let owners: BTreeMap<&str, &Member> = change
        .machines
        .iter()
        .map(|(name, to)| (name.as_str(), to))
        .collect();
    let most = match orphaned {
        // Until a takeover is done its workers' leases run out and nobody's tasks start: it may use
        // what is kept back for users, and what the absent controllers do not write.
        true => most.min(
            node.state
                .available_writes(WritePriority::UserFacing)
                .max(TAKEOVER_RECORDS),
        ),
        false => MOST_RECORDS.min(node.state.available_writes(WritePriority::Background)),
    };
    let mut moved = 0;
    {
        let core = node.core();
        let fleet = &core.replica.fleet;
        let changed = fleet.with_machines_changed(owners.keys().copied(), |machine| {
            if let Some(to) = owners.get(machine.name.as_str()) {
                machine.owner = (*to).clone();
                machine.fencing_token += 1;
                moved += 1;
            }
            true
        });
        let mut bytes = 0;
        let before = ops.len();
        for (name, kept) in changed {
            let parts = split_to_fit(&name, kept, node.settings.max_value_bytes());
            let set =
                |part: &RentalPart| Operation::put(rental_key(&part.name), &part.rental.record);
            let new: Vec<Operation> = parts.iter().map(set).collect();
            bytes += new.iter().map(Operation::bytes).sum::<usize>();
            let left = most.saturating_sub(ops.len() - before);
            if bytes > crate::state::MAX_TRANSACTION_BYTES || new.len() > left {
                break;
            }
            guards.extend(parts.iter().map(|part| Precondition {
                key: rental_key(&part.name),
                revision: part.rental.revision,
            }));
            ops.extend(new);
        }
    }
    if ops.is_empty() {
        return;
    }
    match node.state.compare_and_swap(&guards, &ops).await {
        Ok(revision) => {
            if let Some((shares, _)) = &change.shares {
                let shares = serde_json::to_string(shares).unwrap_or_default();
                tracing::info!(shares, "parted the jobs");
            }
            let records = ops.len();
            tracing::info!(machines = moved, records, "machines changed hands");
            node.core().apply(ops, revision);
        }
        Err(error) => {
            tracing::debug!(%error, "the sharing was not written");
            node.read_barrier().await;
        }
    }
}

#[cfg(test)]
mod tests;
