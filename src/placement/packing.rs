//! What can start at once. Work follows the machines that have room, not the fleet's size; only
//! gangs and tasks that fill a machine look further, to have room set aside for them.

use super::gang::{GangSlot, gang_slots};
use super::index::MachineIndex;
use super::quota_headroom::QuotaHeadroom;
use super::{
    END_TOLERANCE, JobSnapshot, MachineSnapshot, Milestone, PriorityClass, Reservation, Resources,
    SLACK, Start, TasksByZone, batch_order, startup_order,
};
use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashSet};

/// A job that found no room, and when it would if it waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Unplaced {
    pub job: usize,
    pub start: Option<f64>,
    /// Whether the room that it waits for is set aside: else smaller work would take it again.
    pub reserved: bool,
}

#[derive(Debug, Default, Clone, PartialEq)]
pub struct PlacementResult {
    pub starts: Vec<Start>,
    pub unplaced: Vec<Unplaced>,
    /// Gangs that wait for their team's limit alone, or nearly so: machines are free for them soon.
    pub quota_blocked_gangs: Vec<usize>,
    /// Machines looked at.
    pub machines_examined: u64,
}

/// Part of the machines that may be set aside at a time, for work that waits for room.
const MOST_HELD: f64 = 0.5;
/// A gang whose machines are free within so many seconds waits for its team's limit, if that is short:
/// what others use of it takes about as long to end.
const READY_WITHIN_S: f64 = 10.0;
/// After so many times as long, its limit comes first.
const RESERVES_BEFORE_MACHINES: f64 = 3.0;
/// Most jobs whose waiting room is worked out in one turn.
const MOST_LOOKED_AHEAD: usize = 16;

struct Progress {
    next: usize,
    started: u32,
    zones: TasksByZone,
    /// Nothing more of it can start now.
    exhausted: bool,
    /// It cannot keep its earliest time any more, and goes by the next one.
    deferred: bool,
}

struct Packer<'a> {
    jobs: &'a [JobSnapshot],
    progress: Vec<Progress>,
    /// What limited teams may still start.
    headroom: QuotaHeadroom,
    reserve_after: f64,
    /// Limited teams of which a gang that has to wait for the limit has had its machines set aside.
    looked_ahead_for: HashSet<usize>,
    machines: MachineIndex<'a>,
    /// The room that each machine has now.
    free: Vec<Resources>,
    reserved: usize,
    looked_ahead: usize,
    result: PlacementResult,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    machine: usize,
    fetch: f64,
    end: f64,
}

/// A candidate, and what decides between several: ends that count as equal, then the cheaper and fuller
/// machine.
#[derive(Debug, Clone, Copy)]
struct RankedCandidate {
    end_class: u64,
    price: f64,
    candidate: Candidate,
}

impl Ord for RankedCandidate {
    /// The best candidate is the greatest, as a heap wants it.
    fn cmp(&self, other: &Self) -> Ordering {
        let order = self.end_class.cmp(&other.end_class);
        let order = order.then(self.price.total_cmp(&other.price));
        let order = order.then(self.candidate.machine.cmp(&other.candidate.machine));
        order.reverse()
    }
}

impl PartialOrd for RankedCandidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankedCandidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for RankedCandidate {}

/// Machines where a task could start now; only those that are looked at are put in order.
struct Candidates(BinaryHeap<RankedCandidate>);

impl Iterator for Candidates {
    type Item = Candidate;

    fn next(&mut self) -> Option<Candidate> {
        self.0.pop().map(|ranked| ranked.candidate)
    }
}

impl Packer<'_> {
    fn remaining(&self, job: usize) -> usize {
        let progress = &self.progress[job];
        match progress.exhausted {
            true => 0,
            false => self.jobs[job].waiting.len() - progress.next,
        }
    }

    /// Of these, what its team's limit allows.
    fn permitted(&self, job: usize) -> usize {
        self.remaining(job)
            .min(self.headroom.tasks(&self.jobs[job]))
    }

    /// Machines where a task of the job could start now, best first.
    fn candidates(&mut self, job: usize) -> Candidates {
        let view = &self.jobs[job];
        let zones = &self.progress[job].zones;
        let times = self.machines.task_times(view);
        let mut machines_examined = 0;
        let mut found = Vec::new();
        for machine in self.machines.usable_open(view) {
            machines_examined += 1;
            let zone = self.machines.zone(machine);
            if !view.resources.fits(&self.free[machine]) || !view.may_add_in_zone(zones, zone) {
                continue;
            }
            let at = &self.machines.machines()[machine];
            let fetch = times.fetch(machine);
            let end = fetch + times.run(machine);
            if at.accommodates(&view.resources, &self.free[machine])
                && at.respects_reservations(&view.resources, end)
            {
                found.push(Candidate {
                    machine,
                    fetch,
                    end,
                });
            }
        }
        self.result.machines_examined += machines_examined;
        let first = found.iter().map(|f| f.end).fold(f64::INFINITY, f64::min);
        let near = (view.duration * END_TOLERANCE).max(SLACK);
        let ranked = found.into_iter().map(|candidate| RankedCandidate {
            end_class: ((candidate.end - first) / near) as u64,
            price: self.machines.price(candidate.machine)
                + self.machines.emptiness(candidate.machine),
            candidate,
        });
        Candidates(ranked.collect())
    }

    fn start(&mut self, job: usize, at: &Candidate) {
        let view = &self.jobs[job];
        let progress = &mut self.progress[job];
        let task = view.waiting[progress.next];
        progress.next += 1;
        self.headroom.take(view, 1);
        progress.started += 1;
        let zone = self.machines.zone(at.machine);
        *progress.zones.entry(zone).or_default() += 1;
        let end = at.end.max(0.001);
        self.machines.occupy(at.machine, &view.resources, 0.0, end);
        self.machines.use_image(at.machine, view.image);
        self.free[at.machine].sub(&view.resources);
        self.result.starts.push(Start {
            job,
            task,
            machine: at.machine,
        });
    }

    /// Starts as many of a job's tasks as find room, `most` at the most.
    fn run(&mut self, job: usize, most: usize) {
        let mut wanted = self.permitted(job).min(most);
        if wanted == 0 {
            self.progress[job].exhausted = true;
            self.reserve_headroom_for(job, 1);
            return;
        }
        let candidates = self.candidates(job);
        for at in candidates {
            while wanted > 0 {
                let view = &self.jobs[job];
                let machine = &self.machines.machines()[at.machine];
                if !machine.accommodates(&view.resources, &self.free[at.machine])
                    || !view.may_add_in_zone(&self.progress[job].zones, machine.zone)
                    || !machine.respects_reservations(&view.resources, at.end)
                {
                    break;
                }
                self.start(job, &at);
                wanted -= 1;
            }
            if wanted == 0 {
                return;
            }
        }
        self.progress[job].exhausted = true;
        self.result.unplaced.push(Unplaced {
            job,
            start: None,
            reserved: false,
        });
    }

    /// A gang's tasks start together or not at all. One that must wait, and a task that fills a
    /// machine, has room set aside: else smaller work would keep it waiting for ever.
    fn place_whole(&mut self, job: usize) {
        let view = &self.jobs[job];
        let size = match view.gang {
            true => view.waiting.len() - self.progress[job].next,
            false => 1,
        };
        while self.remaining(job) >= size {
            let is_limited = self.headroom.tasks(view) < size;
            if is_limited && !self.may_look_ahead_for(view, size) {
                break;
            }
            if self.looked_ahead >= MOST_LOOKED_AHEAD {
                break;
            }
            let places = gang_slots(
                view,
                size,
                &mut self.machines,
                &mut self.result.machines_examined,
            );
            let places = places.filter(|p| self.zones_allow(job, p));
            let starts = places.iter().flatten().map(|p| p.start);
            let start = starts.fold(0.0, f64::max);
            let is_ready = places.is_some() && start <= READY_WITHIN_S;
            let starts_now = places.is_some() && start <= SLACK && !is_limited;
            let waits_for_limit = is_limited || self.headroom.is_reserved_for(view);
            if !starts_now && waits_for_limit && (is_ready || self.must_not_wait(view, size)) {
                self.headroom.close(view.team);
                self.result.quota_blocked_gangs.push(job);
            }
            let Some(places) = places else {
                break;
            };
            if starts_now {
                for place in places {
                    let at = Candidate {
                        machine: place.machine,
                        fetch: place.fetch,
                        end: place.end,
                    };
                    self.start(job, &at);
                }
                continue;
            }
            // Whoever cannot be in time whatever is done goes by its next time: smaller gangs that
            // can be are not kept waiting for a large one that is late anyway.
            if !is_limited
                && view.due > 0.0
                && view.next_due > view.due
                && view.due_milestone == Milestone::Start
                && start > view.due
                && !self.progress[job].deferred
            {
                self.progress[job].deferred = true;
                return;
            }
            self.looked_ahead += 1;
            if self.reserved > 0
                && (self.reserved + size) as f64 > self.free.len() as f64 * MOST_HELD
            {
                break;
            }
            self.reserved += size;
            self.result.unplaced.push(Unplaced {
                job,
                start: Some(start),
                reserved: true,
            });
            for place in places {
                let reservation = Reservation {
                    at: start,
                    resources: view.resources,
                    job,
                };
                self.machines.reserve(place.machine, reservation);
            }
            break;
        }
        self.progress[job].exhausted = true;
    }

    /// Whether machines are set aside for work that waits for its team's limit: of each team for one job
    /// at a time, which has waited for long enough.
    fn may_look_ahead_for(&mut self, job: &JobSnapshot, size: usize) -> bool {
        let is_overdue = self.headroom.is_overdue(job, size, self.reserve_after);
        is_overdue
            && job
                .team
                .is_some_and(|team| self.looked_ahead_for.insert(team))
    }

    /// Whether a gang has waited for so long that it has room kept for it before there are machines: none
    /// are rented for what its limit keeps waiting.
    fn must_not_wait(&self, job: &JobSnapshot, size: usize) -> bool {
        let after = self.reserve_after * RESERVES_BEFORE_MACHINES;
        self.headroom.is_overdue(job, size, after)
    }

    /// A task that is larger than what its team has left, and that a machine could take now. Not where a
    /// gang has that kept for it.
    fn reserve_headroom_for(&mut self, job: usize, size: usize) {
        let view = &self.jobs[job];
        let is_overdue = self.headroom.is_overdue(view, size, self.reserve_after);
        let is_kept = self.headroom.is_reserved_for_other(view);
        if is_overdue && !is_kept && self.candidates(job).next().is_some() {
            self.headroom.close(view.team);
        }
    }

    /// Array tasks in one zone, or spread, depend on where the others are.
    fn zones_allow(&self, job: usize, places: &[GangSlot]) -> bool {
        let view = &self.jobs[job];
        view.gang
            || places.iter().all(|p| {
                view.may_add_in_zone(&self.progress[job].zones, self.machines.zone(p.machine))
            })
    }

    fn is_placed_whole(&self, job: usize) -> bool {
        self.jobs[job].gang || self.jobs[job].large
    }

    /// The paper's guard: a startup task goes ahead only if the batch head would still be in time.
    /// What the head would lose is one place among those that are free now.
    fn startup_may_pass(&mut self, first: usize, head: usize) -> bool {
        let mut heads = self.candidates(head);
        let Some(alone) = heads.next() else {
            return true; // the head cannot start now whatever happens
        };
        if self.jobs[head].is_late(0.0, alone.fetch, alone.end) {
            return false;
        }
        let Some(taken) = self.candidates(first).next() else {
            return true;
        };
        if taken.machine != alone.machine {
            return true; // the head keeps its place, and is in time there
        }
        if let Some(other) = heads.next() {
            return !self.jobs[head].is_late(0.0, other.fetch, other.end);
        }
        let mut available = self.free[alone.machine];
        available.sub(&self.jobs[first].resources);
        // It would wait for the startup task's end.
        let (wait, took) = (taken.end, alone.end - alone.fetch);
        self.jobs[head].resources.fits(&available)
            || !self.jobs[head].is_late(wait, 0.0, wait + took)
    }
}

/// What the teams' limits say of a mapping.
#[derive(Debug, Clone, Copy)]
pub struct PackingLimits<'a> {
    pub headroom: &'a QuotaHeadroom,
    /// A gang that its team's limit has held up for so many seconds has what comes free kept for it.
    pub reserve_after: f64,
}

/// Starts what can start now, `most` tasks at the most. `startup_count` tasks of each job are
/// startup tasks.
pub fn pack(
    jobs: &[JobSnapshot],
    machines: &mut [MachineSnapshot],
    limits: PackingLimits,
    startup_count: u32,
    most: usize,
) -> PlacementResult {
    let mut batch = batch_order(jobs);
    let least = jobs
        .iter()
        .map(|j| j.resources.cpus)
        .fold(f64::INFINITY, f64::min);
    let free: Vec<Resources> = machines.iter().map(|m| m.free_at(0.0)).collect();
    let mut machines = MachineIndex::new(machines);
    machines.open(|m| free[m].cpus + SLACK >= least && free[m].memory_gb > 0.0);
    let mut packer = Packer {
        jobs,
        progress: jobs
            .iter()
            .map(|job| Progress {
                next: 0,
                started: job.started,
                zones: job.zones.clone(),
                exhausted: false,
                deferred: false,
            })
            .collect(),
        reserve_after: limits.reserve_after,
        looked_ahead_for: HashSet::new(),
        headroom: limits.headroom.clone(),
        machines,
        free,
        reserved: 0,
        looked_ahead: 0,
        result: PlacementResult::default(),
    };
    let startup = startup_order(jobs);
    let (mut batch_at, mut startup_at) = (0, 0);
    let mut starts_seen = 0;
    while packer.result.starts.len() < most {
        if packer.result.starts.len() > starts_seen {
            starts_seen = packer.result.starts.len();
            let free = &packer.free;
            packer
                .machines
                .retain_open(|m| free[m].cpus + SLACK >= least);
        }
        while batch_at < jobs.len() && packer.remaining(batch[batch_at]) == 0 {
            batch_at += 1;
        }
        let in_startup = |packer: &Packer, job: usize| {
            packer.permitted(job) > 0
                && packer.progress[job].started < startup_count
                && !packer.is_placed_whole(job)
        };
        while startup_at < jobs.len() && !in_startup(&packer, startup[startup_at]) {
            startup_at += 1;
        }
        let Some(&head) = batch.get(batch_at) else {
            break;
        };
        let first = startup.get(startup_at).copied();
        if let Some(first) = first.filter(|f| *f != head)
            && !packer.is_placed_whole(head)
            && packer.startup_may_pass(first, head)
        {
            packer.run(first, 1);
        } else if packer.is_placed_whole(head) {
            packer.place_whole(head);
            if packer.progress[head].deferred && !packer.progress[head].exhausted {
                let job = &jobs[head];
                let later = |other: &usize| {
                    let other = &jobs[*other];
                    let (other_class, class) =
                        (PriorityClass::from(other), PriorityClass::from(job));
                    other_class < class || (other_class == class && other.due > job.next_due)
                };
                let rest = &batch[batch_at + 1..];
                let place = batch_at + rest.iter().position(later).unwrap_or(rest.len());
                batch[batch_at..=place].rotate_left(1);
            }
        } else {
            let remaining = most - packer.result.starts.len();
            packer.run(head, remaining);
        }
    }
    packer.result
}
