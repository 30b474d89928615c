//! Which waiting task goes to which machine: earliest finish wins (the paper's equation 1), batch
//! tasks by earliest deadline, the first tasks of each job ahead of them unless the batch head
//! would then be late. The same mapping serves to place now and to predict misses.

pub mod preempt;
pub mod service;
pub mod views;

use std::collections::{BTreeMap, HashSet};

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

/// Room that comes free at a time, in seconds from now.
#[derive(Debug, Clone, PartialEq)]
pub struct Chunk {
    pub at: f64,
    pub room: Need,
}

#[derive(Debug, Clone)]
pub struct MachineView {
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    /// Free room and the room of running tasks, by when it comes free. A booting machine's room
    /// is free from its expected boot.
    pub chunks: Vec<Chunk>,
    /// Images that it has or is fetching.
    pub images: HashSet<String>,
    pub fetch_gb_per_s: f64,
    /// Measured run times over the expected ones: above 1 is slow.
    pub slowness: f64,
    /// CPUs kept for each GPU, so that work without GPUs does not make them idle.
    pub cpus_per_gpu: f64,
    /// An hour's price.
    pub price: f64,
}

impl MachineView {
    /// The part of its room that is free now, as a small tie-breaker between equal prices.
    fn emptiness(&self) -> f64 {
        let (mut free, mut all) = (Need::default(), Need::default());
        for chunk in &self.chunks {
            all.add(&chunk.room);
            if chunk.at <= SLACK {
                free.add(&chunk.room);
            }
        }
        let part = |free: f64, all: f64| if all > SLACK { free / all } else { 0.0 };
        (part(free.cpus, all.cpus) + part(free.gpus, all.gpus)) * 0.001
    }

    /// The earliest time at which so much is free.
    fn start_for(&self, need: &Need) -> Option<f64> {
        let mut room = Need::default();
        for chunk in &self.chunks {
            room.add(&chunk.room);
            let kept = match need.gpus {
                0.0 => room.gpus * self.cpus_per_gpu,
                _ => 0.0,
            };
            if need.fits(&room) && need.cpus + kept <= room.cpus + SLACK {
                return Some(chunk.at);
            }
        }
        None
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
}

/// How many tasks of a job are in each zone.
pub type Zones = BTreeMap<String, u32>;

/// What a job's time is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum By {
    Start,
    End,
}

impl JobView {
    fn is_late(&self, at: &Best) -> bool {
        match self.by {
            By::Start => at.start + at.fetch > self.due,
            By::End => at.end > self.due,
        }
    }
}

#[derive(Debug, Clone)]
pub struct JobView {
    pub id: String,
    pub gang: bool,
    pub need: Need,
    /// Kinds of machine that it may run on, best first.
    pub kinds: Vec<String>,
    pub zone: Option<String>,
    pub spot: bool,
    pub one_zone: bool,
    /// Most tasks that may be in one zone at a time.
    pub most_in_zone: u32,
    /// Tasks now on machines, by zone.
    pub zones: Zones,
    pub waiting: Vec<u32>,
    /// Tasks that were started or are done: they count towards the startup tasks.
    pub begun: u32,
    pub arrived: f64,
    /// All its team's unfinished jobs fit into the team's guarantee: it need not wait for others.
    pub guaranteed: bool,
    /// Seconds from now until its tasks should run or be complete, whichever `by` says.
    pub due: f64,
    pub by: By,
    pub duration: f64,
    pub image: String,
    pub image_gb: f64,
    /// How many more tasks its team may have on machines.
    pub quota: u32,
    /// Machines on which it failed.
    pub avoid: HashSet<String>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    pub job: usize,
    pub task: u32,
    pub machine: usize,
}

/// Counts of a job's mapped tasks.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Mapped {
    pub tasks: u32,
    /// Expected to be late.
    pub late: u32,
}

#[derive(Debug, Default, Clone, PartialEq)]
pub struct Mapping {
    /// Tasks that can start now.
    pub starts: Vec<Start>,
    /// Per job, what was mapped.
    pub mapped: Vec<Mapped>,
    /// Machines that work of their sort was mapped to.
    pub used: HashSet<String>,
}

struct Best {
    machine: usize,
    start: f64,
    fetch: f64,
    end: f64,
}

fn best(job: &JobView, zones: &Zones, machines: &[MachineView]) -> Option<Best> {
    let mut found: Option<(Best, f64)> = None;
    for (index, machine) in machines.iter().enumerate() {
        if !allowed(job, zones, machine) {
            continue;
        }
        let Some(start) = machine.start_for(&job.need) else {
            continue;
        };
        let fetch = fetch_time(job, machine);
        let end = start + fetch + job.duration * machine.slowness;
        // Estimates are not exact to the second: among ends that are as good as equal, the
        // cheapest machine and then the fullest, so that others fall idle and go back.
        let near = job.duration * NEAR;
        let rank = machine.price + machine.emptiness();
        let better = match &found {
            None => true,
            Some((best, _)) if end < best.end - near => true,
            Some((best, least)) => end < best.end + near && rank < *least - SLACK,
        };
        if better {
            let best = Best {
                machine: index,
                start,
                fetch,
                end,
            };
            found = Some((best, rank));
        }
    }
    found.map(|(best, _)| best)
}

/// Ends within this part of the run time count as equal.
const NEAR: f64 = 0.05;

fn fetch_time(job: &JobView, machine: &MachineView) -> f64 {
    if machine.images.contains(&job.image) {
        0.0
    } else {
        job.image_gb / machine.fetch_gb_per_s.max(0.001)
    }
}

fn allowed(job: &JobView, zones: &Zones, machine: &MachineView) -> bool {
    if machine.spot && !job.spot {
        return false;
    }
    if !job.kinds.contains(&machine.kind) || job.avoid.contains(&machine.name) {
        return false;
    }
    if job.zone.as_ref().is_some_and(|z| *z != machine.zone) {
        return false;
    }
    if job.one_zone && zones.iter().any(|(z, n)| *n > 0 && *z != machine.zone) {
        return false;
    }
    zones.get(&machine.zone).copied().unwrap_or(0) < job.most_in_zone
}

/// How far the mapping has come with a job.
struct Progress {
    next: usize,
    begun: u32,
    quota: u32,
    zones: Zones,
}

struct Mapper<'a> {
    jobs: &'a [JobView],
    progress: Vec<Progress>,
    machines: Vec<MachineView>,
    out: Mapping,
}

impl Mapper<'_> {
    fn place(&mut self, job: usize, at: &Best) {
        let view = &self.jobs[job];
        let progress = &mut self.progress[job];
        let task = view.waiting[progress.next];
        progress.next += 1;
        progress.quota -= 1;
        progress.begun += 1;
        let machine = &mut self.machines[at.machine];
        machine.occupy(&view.need, at.start, at.end);
        machine.images.insert(view.image.clone());
        let late = view.is_late(at);
        if machine.cpus_per_gpu == 0.0 || view.need.gpus > 0.0 {
            self.out.used.insert(machine.name.clone());
        }
        if at.start <= SLACK {
            *progress.zones.entry(machine.zone.clone()).or_default() += 1;
            self.out.starts.push(Start {
                job,
                task,
                machine: at.machine,
            });
        }
        let mapped = &mut self.out.mapped[job];
        mapped.tasks += 1;
        mapped.late += u32::from(late);
    }

    fn left(&self, job: usize) -> bool {
        let progress = &self.progress[job];
        progress.next < self.jobs[job].waiting.len() && progress.quota > 0
    }

    /// A gang's tasks start together or not at all: each zone is tried where one zone is asked
    /// for, and the earliest end wins. Tasks that cannot all start now wait; the room they will
    /// need is taken, so that smaller work does not keep them waiting for ever.
    fn place_gang(&mut self, job: usize) {
        let view = &self.jobs[job];
        let size = view.waiting.len() - self.progress[job].next;
        if self.progress[job].quota < size as u32 {
            self.progress[job].next = view.waiting.len();
            return;
        }
        if size == 1 {
            match best(view, &self.progress[job].zones, &self.machines) {
                Some(at) => self.place(job, &at),
                None => self.skip(job),
            }
            return;
        }
        let zones: Vec<Option<String>> = if view.one_zone && view.zone.is_none() {
            let mut zones: Vec<_> = self.machines.iter().map(|m| m.zone.clone()).collect();
            zones.sort();
            zones.dedup();
            zones.into_iter().map(Some).collect()
        } else {
            vec![view.zone.clone()]
        };
        let mut found: Option<(f64, Vec<Best>)> = None;
        for zone in zones {
            let mut trial = view.clone();
            trial.zone = zone;
            let mut machines = self.machines.clone();
            let mut zones = Zones::new();
            let mut places = Vec::with_capacity(size);
            for _ in 0..size {
                let Some(at) = best(&trial, &zones, &machines) else {
                    break;
                };
                let machine = &mut machines[at.machine];
                machine.occupy(&trial.need, at.start, at.end);
                machine.images.insert(trial.image.clone());
                *zones.entry(machine.zone.clone()).or_default() += 1;
                places.push(at);
            }
            let end = places.iter().map(|p| p.end).fold(0.0, f64::max);
            if places.len() == size && found.as_ref().is_none_or(|(e, _)| end < *e) {
                found = Some((end, places));
            }
        }
        let Some((end, mut places)) = found else {
            self.skip(job);
            return;
        };
        let start = places.iter().map(|p| p.start).fold(0.0, f64::max);
        for at in &mut places {
            at.start = start;
            at.end = end;
            self.place(job, at);
        }
    }

    /// No machine can take it: all of it counts as late, and it waits.
    fn skip(&mut self, job: usize) {
        let rest = (self.jobs[job].waiting.len() - self.progress[job].next) as u32;
        let mapped = &mut self.out.mapped[job];
        mapped.tasks += rest;
        mapped.late += rest;
        self.progress[job].next = self.jobs[job].waiting.len();
    }
}

/// Maps waiting tasks, at most so many. `startup_count` tasks of each job are startup tasks.
pub fn map(jobs: &[JobView], machines: &[MachineView], startup_count: u32, most: usize) -> Mapping {
    let mut batch: Vec<usize> = (0..jobs.len()).collect();
    batch.sort_by(|a, b| {
        let first = jobs[*b].guaranteed.cmp(&jobs[*a].guaranteed);
        first.then(jobs[*a].due.total_cmp(&jobs[*b].due))
    });
    let mut startup: Vec<usize> = (0..jobs.len()).collect();
    startup.sort_by(|a, b| jobs[*a].arrived.total_cmp(&jobs[*b].arrived));
    let count = jobs.len();
    let mut mapper = Mapper {
        jobs,
        progress: jobs
            .iter()
            .map(|job| Progress {
                next: 0,
                begun: job.begun,
                quota: job.quota,
                zones: job.zones.clone(),
            })
            .collect(),
        machines: machines.to_vec(),
        out: Mapping {
            mapped: vec![Mapped::default(); count],
            ..Mapping::default()
        },
    };
    let in_startup = |m: &Mapper, j: usize| m.left(j) && m.progress[j].begun < startup_count;
    let mut batch_at = 0;
    let mut startup_at = 0;
    let mut steps = 0;
    while steps < most {
        while batch_at < count && !mapper.left(batch[batch_at]) {
            batch_at += 1;
        }
        while startup_at < count && !in_startup(&mapper, startup[startup_at]) {
            startup_at += 1;
        }
        let Some(&head) = batch.get(batch_at) else {
            break;
        };
        let mut chosen = head;
        if let Some(&first) = startup.get(startup_at)
            && first != head
            && startup_may_pass(&mapper, first, head)
        {
            chosen = first;
        }
        let before = mapper.progress[chosen].next;
        if mapper.jobs[chosen].gang {
            mapper.place_gang(chosen);
        } else {
            let zones = &mapper.progress[chosen].zones;
            match best(&mapper.jobs[chosen], zones, &mapper.machines) {
                Some(at) => mapper.place(chosen, &at),
                None => mapper.skip(chosen),
            }
        }
        steps += mapper.progress[chosen].next - before;
    }
    mapper.out
}

/// The paper's guard: a startup task goes ahead only if the batch head would still be in time.
fn startup_may_pass(mapper: &Mapper, first: usize, head: usize) -> bool {
    let (first_zones, head_zones) = (&mapper.progress[first].zones, &mapper.progress[head].zones);
    let (first, head) = (&mapper.jobs[first], &mapper.jobs[head]);
    let Some(at) = best(first, first_zones, &mapper.machines) else {
        return true;
    };
    let Some(alone) = best(head, head_zones, &mapper.machines) else {
        return true;
    };
    if alone.machine != at.machine {
        return !head.is_late(&alone);
    }
    let mut machines = mapper.machines.clone();
    machines[at.machine].occupy(&first.need, at.start, at.end);
    best(head, head_zones, &machines).is_some_and(|after| !head.is_late(&after))
}

#[cfg(test)]
mod tests;
