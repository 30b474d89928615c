//! Which waiting task goes to which machine: earliest finish wins (the paper's equation 1), batch
//! tasks by earliest deadline, the first tasks of each job ahead of them unless the batch head
//! would then be late. `now` places what can start at once, many times a second; `forecast` maps
//! all that waits, once a period, to predict misses.

pub mod cache;
pub mod forecast;
mod gang;
mod index;
pub mod now;
pub mod preempt;
pub mod rooms;
pub mod service;
pub mod views;

use crate::jobs::Urgency;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// What a task takes of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Need {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

const SLACK: f64 = 1e-6;

impl Need {
    pub fn fits(&self, room: &Need) -> bool {
        self.cpus <= room.cpus + SLACK
            && self.gpus <= room.gpus + SLACK
            && self.memory_gb <= room.memory_gb + SLACK
    }

    pub fn add(&mut self, other: &Need) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    pub fn sub(&mut self, other: &Need) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    pub fn times(&self, n: f64) -> Need {
        Need {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory_gb: self.memory_gb * n,
        }
    }

    /// The part of a machine's room that this fills: its scarcest resource decides.
    pub fn share(&self, room: &Need) -> f64 {
        let part = |need: f64, room: f64| if room > 0.0 { need / room } else { 0.0 };
        part(self.cpus, room.cpus)
            .max(part(self.gpus, room.gpus))
            .max(part(self.memory_gb, room.memory_gb))
    }

    fn is_empty(&self) -> bool {
        self.cpus <= SLACK && self.gpus <= SLACK && self.memory_gb <= SLACK
    }

    fn take_from(&mut self, room: &mut Need) {
        let part = Need {
            cpus: self.cpus.min(room.cpus).max(0.0),
            gpus: self.gpus.min(room.gpus).max(0.0),
            memory_gb: self.memory_gb.min(room.memory_gb).max(0.0),
        };
        self.sub(&part);
        room.sub(&part);
    }
}

/// Names as small numbers: kinds, zones and images are compared many times for each placing.
#[derive(Debug, Default)]
pub struct Names {
    numbers: HashMap<String, u32>,
}

impl Names {
    pub fn number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.numbers.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        number
    }
}

/// Room that comes free at a time, in seconds from now.
#[derive(Debug, Clone, PartialEq)]
pub struct Chunk {
    pub at: f64,
    pub room: Need,
}

/// Room set aside from a time on for work that cannot start yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Hold {
    pub at: f64,
    pub need: Need,
    pub job: usize,
}

#[derive(Debug, Clone)]
pub struct MachineView {
    pub name: Arc<str>,
    pub kind: u32,
    pub zone: u32,
    pub spot: bool,
    /// Free room and the room of running tasks, by when it comes free. A booting machine's room
    /// is free from its expected boot.
    pub chunks: Vec<Chunk>,
    /// Images that it has or is fetching.
    pub images: Vec<u32>,
    pub fetch_gb_per_s: f64,
    /// Measured run times over the expected ones: above 1 is slow.
    pub slowness: f64,
    /// CPUs kept for each GPU, so that work without GPUs does not make them idle.
    pub cpus_per_gpu: f64,
    /// An hour's price.
    pub price: f64,
    pub holds: Vec<Hold>,
    /// The only job that may use it for now: it is being cleared for that one.
    pub kept_for: Option<usize>,
}

impl MachineView {
    /// Room that is free from `at` on, as long as nothing more is put there.
    fn room_at(&self, at: f64) -> Need {
        let mut room = Need::default();
        for chunk in self.chunks.iter().take_while(|c| c.at <= at + SLACK) {
            room.add(&chunk.room);
        }
        room
    }

    /// The part of its room that is free now, as a small tie-breaker between equal prices.
    fn emptiness(&self) -> f64 {
        let free = self.room_at(0.0);
        let all = self.room_at(f64::INFINITY);
        let part = |free: f64, all: f64| if all > SLACK { free / all } else { 0.0 };
        (part(free.cpus, all.cpus) + part(free.gpus, all.gpus)) * 0.001
    }

    /// Whether so much fits into that room, with what GPU machines keep for their GPUs.
    fn takes(&self, need: &Need, room: &Need) -> bool {
        let kept = match need.gpus {
            0.0 => room.gpus * self.cpus_per_gpu,
            _ => 0.0,
        };
        need.fits(room) && need.cpus + kept <= room.cpus + SLACK
    }

    /// The earliest time at which so much is free, beside all that is set aside.
    fn start_for(&self, need: &Need) -> Option<f64> {
        let mut room = Need::default();
        for hold in &self.holds {
            room.sub(&hold.need);
        }
        for chunk in &self.chunks {
            room.add(&chunk.room);
            if self.takes(need, &room) {
                return Some(chunk.at);
            }
        }
        None
    }

    /// Whether a task that would start now and end then leaves what is set aside untouched: the
    /// paper has no such work, but what waits for a gang's last machine is used meanwhile by what
    /// ends before (backfill).
    fn leaves_holds(&self, need: &Need, end: f64) -> bool {
        let mut held = Need::default();
        self.holds.iter().all(|hold| {
            held.add(&hold.need);
            if hold.at >= end {
                return true;
            }
            let mut room = self.room_at(hold.at);
            room.sub(&held);
            need.fits(&room)
        })
    }

    /// Takes room for a task that starts and ends then: latest chunks first, so that what is
    /// free now stays free for others.
    fn occupy(&mut self, need: &Need, start: f64, end: f64) {
        let mut wanted = *need;
        for chunk in self.chunks.iter_mut().rev() {
            if chunk.at <= start + SLACK {
                wanted.take_from(&mut chunk.room);
            }
        }
        self.chunks.retain(|c| !c.room.is_empty());
        let place = self.chunks.partition_point(|c| c.at <= end);
        self.chunks.insert(
            place,
            Chunk {
                at: end,
                room: *need,
            },
        );
    }

    fn fetch_time(&self, job: &JobView) -> f64 {
        if self.images.contains(&job.image) {
            0.0
        } else {
            job.image_gb / self.fetch_gb_per_s.max(0.001)
        }
    }

    fn use_image(&mut self, image: u32) {
        if !self.images.contains(&image) {
            self.images.push(image);
        }
    }
}

/// How many tasks of a job are in each zone.
pub type Zones = BTreeMap<u32, u32>;

/// What a job's time is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum By {
    Start,
    End,
}

#[derive(Debug, Clone)]
pub struct JobView {
    pub id: String,
    /// Its place among the jobs of this mapping.
    pub index: usize,
    pub gang: bool,
    pub need: Need,
    /// Its task fills most of a machine: smaller work must not take the room piece by piece.
    pub large: bool,
    /// Kinds of machine that it may run on, best first.
    pub kinds: Vec<u32>,
    pub zone: Option<u32>,
    pub spot: bool,
    pub one_zone: bool,
    /// Most tasks that may be in one zone at a time.
    pub most_in_zone: u32,
    /// Tasks now on machines, by zone.
    pub zones: Zones,
    pub waiting: Arc<Vec<u32>>,
    /// Tasks that were started or are done: they count towards the startup tasks.
    pub begun: u32,
    pub arrived: f64,
    /// All its team's unfinished jobs fit into the team's guarantee: it need not wait for others.
    pub guaranteed: bool,
    pub urgency: Urgency,
    /// Seconds from now until its tasks should run or be complete, whichever `by` says.
    pub due: f64,
    /// The time after that one which it could still keep.
    pub next_due: f64,
    pub by: By,
    pub duration: f64,
    /// Seconds after which a machine rented now would be up.
    pub rented_in: f64,
    pub image: u32,
    pub image_gb: f64,
    /// Its team's number among the rooms of limited teams; none if it has no limit.
    pub team: Option<usize>,
    /// Machines on which it failed.
    pub avoid: HashSet<String>,
    /// Sorts of machine that are protected from it.
    pub barred: Arc<BTreeSet<Sort>>,
}

/// A kind of machine in a zone, spot or not.
pub type Sort = (u32, u32, bool);

impl JobView {
    fn is_late(&self, start: f64, fetch: f64, end: f64) -> bool {
        match self.by {
            By::Start => start + fetch > self.due,
            By::End => end > self.due,
        }
    }

    /// Whether it may run on a sort of machine, wherever its other tasks are.
    fn may_use_sort(&self, kind: u32, zone: u32, spot: bool) -> bool {
        (!spot || self.spot)
            && self.kinds.contains(&kind)
            && self.zone.is_none_or(|z| z == zone)
            && (self.barred.is_empty() || !self.barred.contains(&(kind, zone, spot)))
    }

    /// Whether a machine is one that it may run on, wherever its other tasks are.
    fn may_use(&self, machine: &MachineView) -> bool {
        self.may_use_sort(machine.kind, machine.zone, machine.spot)
            && machine.kept_for.is_none_or(|job| job == self.index)
            && (self.avoid.is_empty() || !self.avoid.contains(&*machine.name))
    }

    /// Whether one more of its tasks may be in a zone.
    fn may_enter(&self, zones: &Zones, zone: u32) -> bool {
        if self.one_zone && zones.iter().any(|(z, n)| *n > 0 && *z != zone) {
            return false;
        }
        zones.get(&zone).copied().unwrap_or(0) < self.most_in_zone
    }
}

/// Ends within this part of the run time count as equal: estimates are not exact to the second.
/// Among them the cheapest machine wins and then the fullest, so that others fall idle and go
/// back.
const NEAR: f64 = 0.05;

/// Jobs in the order of the batch queue: by earliest time. Teams within their guarantee go first,
/// and then the more urgent: what takes room that more urgent work waits for would only be
/// stopped again to make it. A job that has waited too long to begin goes before all of them.
pub fn batch_order(jobs: &[JobView]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (&jobs[*a], &jobs[*b]);
        first(b).cmp(&first(a)).then(a.due.total_cmp(&b.due))
    });
    order
}

fn first(job: &JobView) -> (bool, bool, Urgency) {
    (job.begun == 0 && job.due < 0.0, job.guaranteed, job.urgency)
}

/// Jobs in the order of the startup queue: by arrival.
fn startup_order(jobs: &[JobView]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|a, b| jobs[*a].arrived.total_cmp(&jobs[*b].arrived));
    order
}

#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    pub job: usize,
    pub task: u32,
    pub machine: usize,
}

#[cfg(test)]
mod scale_tests;
#[cfg(test)]
mod tests;
