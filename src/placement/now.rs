//! What can start at once. Work follows the machines that have room, not the fleet's size; only
//! gangs and tasks that fill a machine look further, to have room set aside for them.

use super::{
    By, Hold, JobView, MachineView, NEAR, Need, SLACK, Start, Zones, batch_order,
    first as first_class, gang_places, startup_order,
};

/// A job that found no room, and when it would if it waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Waits {
    pub job: usize,
    pub start: Option<f64>,
    /// Whether the room that it waits for is set aside: else smaller work would take it again.
    pub held: bool,
}

#[derive(Debug, Default, Clone, PartialEq)]
pub struct Placing {
    pub starts: Vec<Start>,
    pub waits: Vec<Waits>,
    /// Machines looked at.
    pub steps: u64,
}

/// Part of the machines that may be set aside at a time, for work that waits for room.
const MOST_HELD: f64 = 0.5;
/// Most jobs whose waiting room is worked out in one turn.
const MOST_LOOKED_AHEAD: usize = 16;

struct Progress {
    next: usize,
    begun: u32,
    quota: u32,
    zones: Zones,
    /// Nothing more of it can start now.
    over: bool,
    /// It cannot keep its earliest time any more, and goes by the next one.
    put_off: bool,
}

struct Placer<'a> {
    jobs: &'a [JobView],
    progress: Vec<Progress>,
    machines: &'a mut [MachineView],
    /// Machines with room now, and that room.
    open: Vec<usize>,
    free: Vec<Need>,
    held: usize,
    looked_ahead: usize,
    out: Placing,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    machine: usize,
    fetch: f64,
    end: f64,
}

impl Placer<'_> {
    fn left(&self, job: usize) -> usize {
        let progress = &self.progress[job];
        match progress.over {
            true => 0,
            false => (self.jobs[job].waiting.len() - progress.next).min(progress.quota as usize),
        }
    }

    /// Machines where a task of the job could start now, best first.
    fn candidates(&mut self, job: usize) -> Vec<Candidate> {
        let view = &self.jobs[job];
        let zones = &self.progress[job].zones;
        let mut found = Vec::new();
        for &index in &self.open {
            let machine = &self.machines[index];
            self.out.steps += 1;
            if !machine.takes(&view.need, &self.free[index])
                || !view.may_use(machine)
                || !view.may_enter(zones, machine.zone)
            {
                continue;
            }
            let fetch = machine.fetch_time(view);
            let end = fetch + view.duration * machine.slowness;
            if machine.leaves_holds(&view.need, end) {
                let rank = machine.price + machine.emptiness();
                let found_one = Candidate {
                    machine: index,
                    fetch,
                    end,
                };
                found.push((end, rank, found_one));
            }
        }
        let first = found.iter().map(|f| f.0).fold(f64::INFINITY, f64::min);
        let near = (view.duration * NEAR).max(SLACK);
        let class = |end: f64| ((end - first) / near) as u64;
        found.sort_by(|a, b| {
            let by_end = class(a.0).cmp(&class(b.0));
            by_end.then(a.1.total_cmp(&b.1))
        });
        found.into_iter().map(|f| f.2).collect()
    }

    fn start(&mut self, job: usize, at: &Candidate) {
        let view = &self.jobs[job];
        let progress = &mut self.progress[job];
        let task = view.waiting[progress.next];
        progress.next += 1;
        progress.quota -= 1;
        progress.begun += 1;
        let machine = &mut self.machines[at.machine];
        *progress.zones.entry(machine.zone).or_default() += 1;
        machine.occupy(&view.need, 0.0, at.end.max(0.001));
        machine.use_image(view.image);
        self.free[at.machine].sub(&view.need);
        self.out.starts.push(Start {
            job,
            task,
            machine: at.machine,
        });
    }

    /// Starts as many of a job's tasks as find room, `most` at the most.
    fn run(&mut self, job: usize, most: usize) {
        let candidates = self.candidates(job);
        let mut wanted = self.left(job).min(most);
        for at in candidates {
            while wanted > 0 {
                let view = &self.jobs[job];
                let machine = &self.machines[at.machine];
                if !machine.takes(&view.need, &self.free[at.machine])
                    || !view.may_enter(&self.progress[job].zones, machine.zone)
                    || !machine.leaves_holds(&view.need, at.end)
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
        self.progress[job].over = true;
        self.out.waits.push(Waits {
            job,
            start: None,
            held: false,
        });
    }

    /// A gang's tasks start together or not at all. One that must wait, and a task that fills a
    /// machine, has room set aside: else smaller work would keep it waiting for ever.
    fn run_whole(&mut self, job: usize) {
        let view = &self.jobs[job];
        let size = match view.gang {
            true => view.waiting.len() - self.progress[job].next,
            false => 1,
        };
        while self.left(job) >= size {
            if self.looked_ahead >= MOST_LOOKED_AHEAD {
                break;
            }
            let places = gang_places(view, size, self.machines, &mut self.out.steps);
            let Some(places) = places.filter(|p| self.zones_allow(job, p)) else {
                break;
            };
            let start = places.iter().map(|p| p.start).fold(0.0, f64::max);
            if start <= SLACK {
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
            if view.due > 0.0
                && view.next_due > view.due
                && view.by == By::Start
                && start > view.due
                && !self.progress[job].put_off
            {
                self.progress[job].put_off = true;
                return;
            }
            self.looked_ahead += 1;
            if self.held > 0 && (self.held + size) as f64 > self.machines.len() as f64 * MOST_HELD {
                break;
            }
            self.held += size;
            self.out.waits.push(Waits {
                job,
                start: Some(start),
                held: true,
            });
            for place in places {
                let hold = Hold {
                    at: start,
                    need: view.need,
                    job,
                };
                let holds = &mut self.machines[place.machine].holds;
                let before = holds.partition_point(|h| h.at <= hold.at);
                holds.insert(before, hold);
            }
            break;
        }
        self.progress[job].over = true;
    }

    /// Array tasks in one zone, or spread, depend on where the others are.
    fn zones_allow(&self, job: usize, places: &[super::Place]) -> bool {
        let view = &self.jobs[job];
        view.gang
            || places
                .iter()
                .all(|p| view.may_enter(&self.progress[job].zones, self.machines[p.machine].zone))
    }

    fn is_whole(&self, job: usize) -> bool {
        self.jobs[job].gang || self.jobs[job].large
    }

    /// The paper's guard: a startup task goes ahead only if the batch head would still be in time.
    /// What the head would lose is one place among those that are free now.
    fn startup_may_pass(&mut self, first: usize, head: usize) -> bool {
        let heads = self.candidates(head);
        let Some(alone) = heads.first() else {
            return true; // the head cannot start now whatever happens
        };
        if self.jobs[head].is_late(0.0, alone.fetch, alone.end) {
            return false;
        }
        let firsts = self.candidates(first);
        let Some(taken) = firsts.first() else {
            return true;
        };
        if taken.machine != alone.machine || heads.len() > 1 {
            let other = heads.iter().find(|c| c.machine != taken.machine);
            return other.is_none_or(|o| !self.jobs[head].is_late(0.0, o.fetch, o.end));
        }
        let mut room = self.free[alone.machine];
        room.sub(&self.jobs[first].need);
        // It would wait for the startup task's end.
        let (wait, took) = (taken.end, alone.end - alone.fetch);
        self.jobs[head].need.fits(&room) || !self.jobs[head].is_late(wait, 0.0, wait + took)
    }
}

/// Starts what can start now, `most` tasks at the most. `startup_count` tasks of each job are
/// startup tasks.
pub fn place(
    jobs: &[JobView],
    machines: &mut [MachineView],
    startup_count: u32,
    most: usize,
) -> Placing {
    let least = jobs
        .iter()
        .map(|j| j.need.cpus)
        .fold(f64::INFINITY, f64::min);
    let free: Vec<Need> = machines.iter().map(|m| m.room_at(0.0)).collect();
    let open = (0..machines.len())
        .filter(|i| free[*i].cpus + SLACK >= least && free[*i].memory_gb > 0.0)
        .collect();
    let mut placer = Placer {
        jobs,
        progress: jobs
            .iter()
            .map(|job| Progress {
                next: 0,
                begun: job.begun,
                quota: job.quota,
                zones: job.zones.clone(),
                over: false,
                put_off: false,
            })
            .collect(),
        machines,
        open,
        free,
        held: 0,
        looked_ahead: 0,
        out: Placing::default(),
    };
    let mut batch = batch_order(jobs);
    let startup = startup_order(jobs);
    let (mut batch_at, mut startup_at) = (0, 0);
    while placer.out.starts.len() < most {
        let fully = |placer: &Placer, i: usize| placer.free[i].cpus + SLACK < least;
        let open = std::mem::take(&mut placer.open);
        placer.open = open.into_iter().filter(|i| !fully(&placer, *i)).collect();
        while batch_at < jobs.len() && placer.left(batch[batch_at]) == 0 {
            batch_at += 1;
        }
        let in_startup = |placer: &Placer, job: usize| {
            placer.left(job) > 0
                && placer.progress[job].begun < startup_count
                && !placer.is_whole(job)
        };
        while startup_at < jobs.len() && !in_startup(&placer, startup[startup_at]) {
            startup_at += 1;
        }
        let Some(&head) = batch.get(batch_at) else {
            break;
        };
        let first = startup.get(startup_at).copied();
        if let Some(first) = first.filter(|f| *f != head)
            && !placer.is_whole(head)
            && placer.startup_may_pass(first, head)
        {
            placer.run(first, 1);
        } else if placer.is_whole(head) {
            placer.run_whole(head);
            if placer.progress[head].put_off && !placer.progress[head].over {
                let job = &jobs[head];
                let later = |other: &usize| {
                    let other = &jobs[*other];
                    first_class(other) < first_class(job)
                        || (first_class(other) == first_class(job) && other.due > job.next_due)
                };
                let rest = &batch[batch_at + 1..];
                let place = batch_at + rest.iter().position(later).unwrap_or(rest.len());
                batch[batch_at..=place].rotate_left(1);
            }
        } else {
            let left = most - placer.out.starts.len();
            placer.run(head, left);
        }
    }
    placer.out
}
