//! What becomes of all that waits: each task on the machine where it ends first, however long it
//! waits there (the paper's equation 1). Done once a period, it predicts the misses.

use super::gang::gang_slots;
use super::index::{MachineIndex, StartTimesId, TaskTimes};
use super::quota_headroom::QuotaHeadroom;
use super::{
    END_TOLERANCE, JobSnapshot, MachineSnapshot, SLACK, TasksByZone, batch_order, startup_order,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::sync::Arc;

/// Counts of a job's mapped tasks.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct JobForecast {
    pub tasks: u32,
    /// Expected to be late.
    pub late: u32,
    /// Of these, the ones that a machine rented now would start sooner.
    pub helped: u32,
}

#[derive(Debug, Default, Clone, PartialEq)]
pub struct Forecast {
    /// Per job, what was mapped.
    pub mapped: Vec<JobForecast>,
    /// Machines that work of their sort was mapped to.
    pub used: HashSet<Arc<str>>,
    pub machines_examined: u64,
}

/// Tasks of one job that are mapped one by one; of a larger job the rest is taken to fare as the
/// last of them did.
const MOST_OF_A_JOB: usize = 1000;

/// Waiting gangs that are mapped one by one; the rest, whose time is later, are taken to fare as the
/// last of them did. Each looks at all machines: with some hundreds waiting on a thousand machines
/// one forecast kept reports waiting for most of a second.
const MOST_GANGS: usize = 100;

struct Progress {
    next: usize,
    started: u32,
    zones: TasksByZone,
}

struct Forecaster<'a> {
    jobs: &'a [JobSnapshot],
    progress: Vec<Progress>,
    /// What limited teams may still start: what their limit keeps waiting takes no machine, is not late
    /// for want of one, and rents none.
    headroom: QuotaHeadroom,
    machines: MachineIndex<'a>,
    out: Forecast,
    gangs: usize,
    /// Whether the gang mapped last is late, and whether a machine rented now would help it.
    last_gang: (bool, bool),
}

#[derive(Debug, Clone, Copy)]
struct BestCandidate {
    machine: usize,
    start: f64,
    fetch: f64,
    end: f64,
}

impl Forecaster<'_> {
    fn left(&self, job: usize) -> usize {
        let view = &self.jobs[job];
        let left = view.waiting.len() - self.progress[job].next;
        left.min(self.headroom.tasks(view))
    }

    /// When one task of a job could start on each machine.
    fn start_times(&mut self, job: usize) -> StartTimesId {
        self.machines.start_times(&self.jobs[job].resources, 1)[0]
    }

    fn on(
        &self,
        start_times: StartTimesId,
        times: &TaskTimes,
        machine: usize,
    ) -> Option<BestCandidate> {
        let start = self.machines.start(start_times, machine)?;
        let fetch = times.fetch(machine);
        Some(BestCandidate {
            machine,
            start,
            fetch,
            end: start + fetch + times.run(machine),
        })
    }

    /// Ends in steps that count as equal, then the cheaper and fuller machine.
    fn rank(&self, job: usize, best: &BestCandidate) -> (u64, u64, usize) {
        let near = (self.jobs[job].duration * END_TOLERANCE).max(SLACK);
        let price = self.machines.price(best.machine);
        let price = ((price + self.machines.emptiness(best.machine)) * 1e6) as u64;
        ((best.end / near) as u64, price, best.machine)
    }

    fn may_add_in_zone(&self, job: usize, machine: usize) -> bool {
        let zone = self.machines.zone(machine);
        self.jobs[job].may_add_in_zone(&self.progress[job].zones, zone)
    }

    fn best(&mut self, job: usize) -> Option<BestCandidate> {
        let start_times = self.start_times(job);
        let mut machines_examined = 0;
        let mut found: Option<((u64, u64, usize), BestCandidate)> = None;
        let times = self.machines.task_times(&self.jobs[job]);
        for machine in self.machines.usable(&self.jobs[job]) {
            machines_examined += 1;
            if !self.may_add_in_zone(job, machine) {
                continue;
            }
            if let Some(best) = self.on(start_times, &times, machine) {
                let rank = self.rank(job, &best);
                if found.as_ref().is_none_or(|(least, _)| rank < *least) {
                    found = Some((rank, best));
                }
            }
        }
        self.out.machines_examined += machines_examined;
        found.map(|(_, best)| best)
    }

    fn put(&mut self, job: usize, at: &BestCandidate) {
        let view = &self.jobs[job];
        let progress = &mut self.progress[job];
        progress.next += 1;
        progress.started += 1;
        self.headroom.take(view, 1);
        self.machines
            .occupy(at.machine, &view.resources, at.start, at.end);
        self.machines.use_image(at.machine, view.image);
        let machine = &self.machines.machines()[at.machine];
        if machine.cpus_per_gpu == 0.0 || view.resources.gpus > 0.0 {
            self.out.used.insert(machine.name.clone());
        }
        if at.start <= SLACK {
            *progress.zones.entry(machine.zone).or_default() += 1;
        }
        let mapped = &mut self.out.mapped[job];
        mapped.tasks += 1;
        let late = view.is_late(at.start, at.fetch, at.end);
        mapped.late += u32::from(late);
        mapped.helped += u32::from(late && at.start > view.provisioning_s);
    }

    /// All that is left of an array job: the machines in a heap, by where a task would end first.
    fn run(&mut self, job: usize) {
        let start_times = self.start_times(job);
        let times = self.machines.task_times(&self.jobs[job]);
        let mut ends = Vec::new();
        let mut machines_examined = 0;
        for machine in self.machines.usable(&self.jobs[job]) {
            machines_examined += 1;
            if self.may_add_in_zone(job, machine)
                && let Some(best) = self.on(start_times, &times, machine)
            {
                ends.push(Reverse(self.rank(job, &best)));
            }
        }
        self.out.machines_examined += machines_examined;
        let mut heap = BinaryHeap::from(ends);
        let mut mapped = 0;
        let mut last_late = true;
        while self.left(job) > 0 && mapped < MOST_OF_A_JOB {
            let Some(Reverse((_, _, machine))) = heap.pop() else {
                break;
            };
            if !self.may_add_in_zone(job, machine) {
                continue;
            }
            let times = self.machines.task_times(&self.jobs[job]);
            let Some(best) = self.on(start_times, &times, machine) else {
                continue;
            };
            let view = &self.jobs[job];
            last_late = view.is_late(best.start, best.fetch, best.end);
            self.put(job, &best);
            mapped += 1;
            self.out.machines_examined += 1;
            let times = self.machines.task_times(&self.jobs[job]);
            if let Some(next) = self.on(start_times, &times, machine) {
                heap.push(Reverse(self.rank(job, &next)));
            }
        }
        self.rest(job, last_late);
    }

    fn gang(&mut self, job: usize) {
        let size = self.jobs[job].waiting.len();
        if self.headroom.tasks(&self.jobs[job]) < size {
            self.progress[job].next = size;
            return;
        }
        if self.gangs >= MOST_GANGS {
            let (late, helped) = self.last_gang;
            let count = |yes: bool| if yes { size as u32 } else { 0 };
            self.headroom.take(&self.jobs[job], size);
            let mapped = &mut self.out.mapped[job];
            mapped.tasks += size as u32;
            mapped.late += count(late);
            mapped.helped += count(helped);
            self.progress[job].next = size;
            return;
        }
        self.gangs += 1;
        let view = &self.jobs[job];
        let Some(places) = gang_slots(
            view,
            size,
            &mut self.machines,
            &mut self.out.machines_examined,
        ) else {
            self.last_gang = (true, true);
            self.rest(job, true);
            return;
        };
        let start = places.iter().map(|p| p.start).fold(0.0, f64::max);
        let end = places.iter().map(|p| p.end).fold(0.0, f64::max);
        for place in places {
            let at = BestCandidate {
                machine: place.machine,
                start,
                fetch: place.fetch,
                end,
            };
            self.put(job, &at);
        }
        let mapped = &self.out.mapped[job];
        self.last_gang = (mapped.late > 0, mapped.helped > 0);
    }

    /// What no machine can take waits, and counts as late.
    fn rest(&mut self, job: usize, late: bool) {
        let rest = self.left(job);
        self.headroom.take(&self.jobs[job], rest);
        let rest = rest as u32;
        let mapped = &mut self.out.mapped[job];
        mapped.tasks += rest;
        mapped.late += if late { rest } else { 0 };
        mapped.helped += if late { rest } else { 0 };
        self.progress[job].next = self.jobs[job].waiting.len();
    }

    /// The paper's guard: a startup task goes ahead only if the batch head would still be in time.
    fn startup_may_pass(&mut self, first: usize, at: &BestCandidate, head: usize) -> bool {
        let Some(alone) = self.best(head) else {
            return true;
        };
        let late = |at: &BestCandidate| self.jobs[head].is_late(at.start, at.fetch, at.end);
        if alone.machine != at.machine {
            return !late(&alone);
        }
        let resources = self.jobs[first].resources;
        let free_slots = self
            .machines
            .occupy_for_now(at.machine, &resources, at.start, at.end);
        let after = self.best(head);
        self.machines.restore(at.machine, free_slots);
        after.is_some_and(|after| !self.jobs[head].is_late(after.start, after.fetch, after.end))
    }
}

/// Maps all waiting tasks. `startup_count` tasks of each job are startup tasks.
pub fn forecast(
    jobs: &[JobSnapshot],
    machines: &[MachineSnapshot],
    headroom: &QuotaHeadroom,
    startup_count: u32,
) -> Forecast {
    let mut machines = machines.to_vec();
    let mut mapper = Forecaster {
        jobs,
        progress: jobs
            .iter()
            .map(|job| Progress {
                next: 0,
                started: job.started,
                zones: job.zones.clone(),
            })
            .collect(),
        headroom: headroom.clone(),
        machines: MachineIndex::new(&mut machines),
        out: Forecast {
            mapped: vec![JobForecast::default(); jobs.len()],
            ..Forecast::default()
        },
        gangs: 0,
        last_gang: (false, false),
    };
    let batch = batch_order(jobs);
    let startup = startup_order(jobs);
    let (mut batch_at, mut startup_at) = (0, 0);
    loop {
        while batch_at < jobs.len() && mapper.left(batch[batch_at]) == 0 {
            batch_at += 1;
        }
        let in_startup = |mapper: &Forecaster, job: usize| {
            mapper.left(job) > 0 && mapper.progress[job].started < startup_count && !jobs[job].gang
        };
        while startup_at < jobs.len() && !in_startup(&mapper, startup[startup_at]) {
            startup_at += 1;
        }
        let Some(&head) = batch.get(batch_at) else {
            break;
        };
        if let Some(&first) = startup.get(startup_at)
            && first != head
            && !jobs[head].gang
            && let Some(at) = mapper.best(first)
            && mapper.startup_may_pass(first, &at, head)
        {
            mapper.put(first, &at);
        } else if jobs[head].gang {
            mapper.gang(head);
        } else {
            mapper.run(head);
        }
    }
    mapper.out
}
