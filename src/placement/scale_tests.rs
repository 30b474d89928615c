//! Placement decisions for clusters of the size of real deployments, kept as snapshots: an optimization of
//! placement must not change them.

use super::forecast::{JobForecast, forecast};
use super::packing::pack;
use super::quota_headroom::QuotaHeadroom;
use super::tests::unlimited;
use super::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::fmt::Write;

/// Parameters of a random fleet and its waiting jobs.
struct Workload {
    machines: u32,
    zones: u32,
    gang_sizes: &'static [u32],
    gangs: u32,
    gpu_arrays: u32,
    cpu_arrays: u32,
    largest_array: u32,
    /// Fraction of the machines on which tasks run.
    busy: f64,
}

/// One controller's part of a deployment in two zones, with the jobs that wait at its start: mostly gangs, of at most
/// six tasks.
const TWO_ZONES: Workload = Workload {
    machines: 640,
    zones: 2,
    gang_sizes: &[1, 2, 6],
    gangs: 150,
    gpu_arrays: 12,
    cpu_arrays: 30,
    largest_array: 350,
    busy: 0.7,
};

/// One controller's part of a smaller deployment in four zones, with the jobs that wait at its start: fewer but larger
/// gangs, of at most 16 tasks, and fewer but larger arrays.
const FOUR_ZONES: Workload = Workload {
    machines: 240,
    zones: 4,
    gang_sizes: &[1, 3, 6, 12, 16],
    gangs: 30,
    gpu_arrays: 8,
    cpu_arrays: 13,
    largest_array: 500,
    busy: 0.7,
};

/// The same parts later in the day, when nearly all machines are busy and fewer CPU arrays wait.
const TWO_ZONES_NEARLY_FULL: Workload = Workload {
    cpu_arrays: 3,
    busy: 0.98,
    ..TWO_ZONES
};
const FOUR_ZONES_NEARLY_FULL: Workload = Workload {
    cpu_arrays: 3,
    busy: 0.98,
    ..FOUR_ZONES
};

/// The interned machine types.
const WITHOUT_GPUS: u32 = 0;
const WITH_GPUS: u32 = 1;
/// Number of images that the jobs use.
const IMAGES: u32 = 10;

impl Workload {
    fn generate(&self, seed: u64) -> (Vec<JobSnapshot>, Vec<MachineSnapshot>) {
        let mut rng = StdRng::seed_from_u64(seed);
        let machines = (0..self.machines).map(|n| self.machine(n, &mut rng));
        let machines = machines.collect();
        let mut jobs = Vec::new();
        for _ in 0..self.gangs {
            let size = self.gang_sizes[rng.random_range(0..self.gang_sizes.len())];
            jobs.push(self.gang(size, &mut rng));
        }
        for _ in 0..self.gpu_arrays {
            jobs.push(self.array(WITH_GPUS, &mut rng));
        }
        for _ in 0..self.cpu_arrays {
            jobs.push(self.array(WITHOUT_GPUS, &mut rng));
        }
        for (index, job) in jobs.iter_mut().enumerate() {
            job.index = index;
            job.id = format!("job-{index:06}");
        }
        (jobs, machines)
    }

    fn machine(&self, number: u32, rng: &mut StdRng) -> MachineSnapshot {
        let machine_type = if rng.random_bool(0.3) {
            WITH_GPUS
        } else {
            WITHOUT_GPUS
        };
        let gpus = f64::from(machine_type) * 2.0;
        let name = format!("vm-{number:06}");
        let mut machine = super::tests::machine(&name, 0.0, 16.0);
        machine.machine_type = machine_type;
        machine.zone = rng.random_range(0..self.zones);
        machine.spot = rng.random_bool(0.4);
        machine.price = if machine_type == WITH_GPUS {
            4.61
        } else {
            0.96
        };
        machine.fetch_gb_per_s = 0.3;
        machine.slowness = rng.random_range(0.9..1.2);
        machine.cpus_per_gpu = f64::from(machine_type) * 6.4;
        machine.images = (0..IMAGES).filter(|_| rng.random_bool(0.3)).collect();
        let boots_until = if rng.random_bool(0.1) { 20.0 } else { 0.0 };
        let busy = if rng.random_bool(self.busy) {
            rng.random_range(1..=15)
        } else {
            0
        };
        let busy = f64::from(busy);
        let available = |cpus: f64, gpus: f64, memory_gb: f64| Resources {
            cpus,
            gpus,
            memory_gb,
        };
        let free = available(16.0 - busy, gpus, 64.0 - busy * 2.4);
        machine.free_slots = vec![FreeSlot {
            at: boots_until,
            available: free,
        }];
        if busy > 0.0 {
            let ends = boots_until + rng.random_range(1.0..120.0);
            machine.free_slots.push(FreeSlot {
                at: ends,
                available: available(busy, 0.0, busy * 2.4),
            });
        }
        machine
    }

    fn gang(&self, size: u32, rng: &mut StdRng) -> JobSnapshot {
        let mut job = super::tests::job("", 15.0, size, 0.0);
        job.gang = true;
        job.large = true;
        job.resources.memory_gb = 51.0;
        job.one_zone = true;
        job.machine_types = vec![WITHOUT_GPUS, WITH_GPUS];
        job.due_milestone = Milestone::Start;
        self.randomize(&mut job, 90.0, rng);
        job
    }

    fn array(&self, machine_type: u32, rng: &mut StdRng) -> JobSnapshot {
        let tasks = rng.random_range(1..=self.largest_array);
        let mut job = super::tests::job("", 1.0, tasks, 0.0);
        job.resources.memory_gb = 2.4;
        job.machine_types = vec![WITHOUT_GPUS, WITH_GPUS];
        if machine_type == WITH_GPUS {
            job.machine_types = vec![WITH_GPUS];
            job.resources.cpus = rng.random_range(4.0..8.0);
            job.resources.gpus = 1.0;
            job.resources.memory_gb = 30.0;
        }
        self.randomize(&mut job, 40.0, rng);
        job
    }

    /// Draws the job's other parameters at random; `base_run_s` scales its run time.
    fn randomize(&self, job: &mut JobSnapshot, base_run_s: f64, rng: &mut StdRng) {
        job.duration = base_run_s * rng.random_range(0.5..2.0);
        job.due = rng.random_range(-20.0..150.0);
        job.next_due = job.due + rng.random_range(0.0..150.0);
        job.arrived = -rng.random_range(0.0..100.0);
        job.image = rng.random_range(0..IMAGES);
        job.image_gb = rng.random_range(1.0..6.0);
        job.spot = rng.random_bool(0.8);
        job.provisioning_s = 27.5;
        if rng.random_bool(0.2) {
            job.started = 1;
        }
        if rng.random_bool(0.1) {
            job.zone = Some(rng.random_range(0..self.zones));
        }
        if !job.gang && rng.random_bool(0.2) {
            job.most_in_zone = job.waiting.len().div_ceil(2) as u32;
        }
    }
}

/// The FNV-1a hash of a text.
fn checksum(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// The decisions for a workload as text: totals, and a checksum of the individual decisions.
fn decisions(workload: &Workload, seed: u64) -> String {
    let (jobs, machines) = workload.generate(seed);
    let mut all = String::new();
    let mut text = String::new();
    let placed = pack(&jobs, &mut machines.clone(), unlimited(), 2, 400);
    for start in &placed.starts {
        writeln!(all, "{} {} {}", start.job, start.task, start.machine).unwrap();
    }
    let of = |gang: bool| {
        placed
            .starts
            .iter()
            .filter(|s| jobs[s.job].gang == gang)
            .count()
    };
    writeln!(
        text,
        "starts: {} of gangs, {} of arrays",
        of(true),
        of(false)
    )
    .unwrap();
    let reserved = placed.unplaced.iter().filter(|job| job.reserved).count();
    writeln!(
        text,
        "waits: {}, with room set aside: {reserved}",
        placed.unplaced.len()
    )
    .unwrap();
    for wait in &placed.unplaced {
        writeln!(all, "{} {:?} {}", wait.job, wait.start, wait.reserved).unwrap();
    }
    let predicted = forecast(&jobs, &machines, &QuotaHeadroom::default(), 2);
    let sum = |of: &dyn Fn(&JobForecast) -> u32| -> u32 { predicted.jobs.iter().map(of).sum() };
    let (tasks, late, helped) = (sum(&|m| m.tasks), sum(&|m| m.late), sum(&|m| m.helped));
    writeln!(
        text,
        "forecast: {tasks} tasks, {late} late, {helped} helped"
    )
    .unwrap();
    writeln!(
        text,
        "machines with work: {}",
        predicted.machines_needed.len()
    )
    .unwrap();
    for counts in &predicted.jobs {
        let JobForecast {
            tasks,
            late,
            helped,
        } = counts;
        // The checksum in the snapshot covers this text.
        let counts = format!("Mapped {{ tasks: {tasks}, late: {late}, helped: {helped} }}");
        writeln!(all, "{counts}").unwrap();
    }
    writeln!(text, "checksum: {:016x}", checksum(&all)).unwrap();
    text
}

#[test]
fn decisions_at_full_size_stay_the_same() {
    let workloads = [
        ("two zones", &TWO_ZONES),
        ("two zones, taken", &TWO_ZONES_NEARLY_FULL),
        ("four zones", &FOUR_ZONES),
        ("four zones, taken", &FOUR_ZONES_NEARLY_FULL),
    ];
    let mut text = String::new();
    for (name, workload) in workloads {
        for seed in [1, 2] {
            writeln!(text, "{name}, seed {seed}\n{}", decisions(workload, seed)).unwrap();
        }
    }
    insta::assert_snapshot!(text);
}

/// Measures how long packing and forecast take at these sizes; checks nothing. Run it in a release build:
/// `cargo test --release -- --ignored --nocapture time_packing_and_forecast`.
#[test]
#[ignore = "a measurement"]
fn time_packing_and_forecast() {
    let workloads = [
        ("two zones", &TWO_ZONES),
        ("two zones, taken", &TWO_ZONES_NEARLY_FULL),
        ("four zones", &FOUR_ZONES),
        ("four zones, taken", &FOUR_ZONES_NEARLY_FULL),
    ];
    for (name, workload) in workloads {
        let (jobs, machines) = workload.generate(1);
        let rounds = 20;
        let started_at = std::time::Instant::now();
        let mut machines_examined = 0;
        for _ in 0..rounds {
            machines_examined +=
                pack(&jobs, &mut machines.clone(), unlimited(), 2, 400).machines_examined;
        }
        let packing_time = started_at.elapsed() / rounds;
        let started_at = std::time::Instant::now();
        for _ in 0..rounds {
            machines_examined +=
                forecast(&jobs, &machines, &QuotaHeadroom::default(), 2).machines_examined;
        }
        let forecast_time = started_at.elapsed() / rounds;
        println!(
            "{name}: packing {packing_time:?}, forecast {forecast_time:?}, machines examined {}",
            machines_examined / u64::from(rounds)
        );
    }
}
