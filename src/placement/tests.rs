use super::forecast::forecast;
use super::packing::pack;
use super::quota_headroom::QuotaHeadroom;
use super::*;
use crate::jobs::Urgency;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

static NO_LIMITS: QuotaHeadroom = QuotaHeadroom::none();

/// Limits of a packing where no team has a quota.
pub fn unlimited() -> packing::PackingLimits<'static> {
    packing::PackingLimits {
        headroom: &NO_LIMITS,
        reservation_delay_s: 0.0,
    }
}

pub fn machine(name: &str, free_at: f64, cpus: f64) -> MachineSnapshot {
    MachineSnapshot {
        name: name.into(),
        machine_type: 0,
        zone: 0,
        spot: false,
        free_slots: vec![FreeSlot {
            at: free_at,
            available: Resources {
                cpus,
                gpus: 0.0,
                memory_gb: 64.0,
            },
        }],
        images: Vec::new(),
        fetch_gb_per_s: 1.0,
        slowness: 1.0,
        cpus_per_gpu: 0.0,
        price: 1.0,
        reservations: Vec::new(),
        reserved_for: None,
    }
}

pub fn job(id: &str, cpus: f64, tasks: u32, due: f64) -> JobSnapshot {
    JobSnapshot {
        id: id.into(),
        index: 0,
        gang: false,
        resources: Resources {
            cpus,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        large: false,
        machine_types: vec![0],
        zone: None,
        spot: true,
        one_zone: false,
        most_in_zone: tasks,
        zones: BTreeMap::new(),
        waiting: Arc::new((0..tasks).collect()),
        started: 0,
        arrived: 0.0,
        guaranteed: false,
        urgency: Urgency::Standard,
        due,
        next_due: due,
        due_milestone: Milestone::Finish,
        duration: 30.0,
        provisioning_s: 0.0,
        image: 0,
        image_gb: 1.0,
        team: None,
        avoid: HashSet::new(),
        excluded_pools: Arc::default(),
    }
}

/// The starts that packing chooses and what the forecast expects, as text.
fn describe_placement(jobs: &[JobSnapshot], machines: &[MachineSnapshot]) -> String {
    let placement = pack(jobs, &mut machines.to_vec(), unlimited(), 2, 1000);
    let mut text = String::new();
    for start in &placement.starts {
        text.push_str(&format!(
            "start {}/{} on {}\n",
            jobs[start.job].id, start.task, machines[start.machine].name
        ));
    }
    let predicted = forecast(jobs, machines, &QuotaHeadroom::default(), 2);
    for (job, counts) in jobs.iter().zip(&predicted.jobs) {
        text.push_str(&format!(
            "{}: {} of {} late\n",
            job.id, counts.late, counts.tasks
        ));
    }
    text
}

#[test]
fn earliest_completion_accounts_for_queueing_fetch_and_boot() {
    let machines = vec![machine("busy", 20.0, 4.0), machine("booting", 5.0, 2.0)];
    let jobs = vec![job("late", 2.0, 3, 50.0), job("easy", 1.0, 1, 500.0)];
    insta::assert_snapshot!(describe_placement(&jobs, &machines), @r"
    late: 1 of 3 late
    easy: 0 of 1 late
    ");
}

#[test]
fn a_startup_task_goes_first_only_if_the_batch_head_stays_in_time() {
    // All startup tasks of `urgent` have been started, none of `new`.
    let mut urgent = job("urgent", 4.0, 1, 40.0);
    urgent.started = 2;
    let fresh = job("new", 4.0, 1, 400.0);
    let machines = vec![machine("one", 0.0, 4.0)];
    let jobs = vec![urgent.clone(), fresh.clone()];
    let blocked = describe_placement(&jobs, &machines);
    urgent.due = 100.0;
    let machines = vec![machine("one", 0.0, 4.0)];
    let jobs = vec![urgent, fresh];
    let passing = describe_placement(&jobs, &machines);
    insta::assert_snapshot!(format!("{blocked}---\n{passing}"), @r"
    start urgent/0 on one
    urgent: 0 of 1 late
    new: 0 of 1 late
    ---
    start new/0 on one
    urgent: 0 of 1 late
    new: 0 of 1 late
    ");
}

#[test]
fn a_gang_starts_whole_in_one_zone_or_waits() {
    let mut gang = job("gang", 4.0, 2, 500.0);
    gang.gang = true;
    gang.one_zone = true;
    let mut other = machine("b1", 0.0, 4.0);
    other.zone = 1;
    let apart = vec![machine("a1", 0.0, 4.0), other.clone()];
    let unplaced = describe_placement(&[gang.clone()], &apart);
    let close = vec![machine("a1", 0.0, 4.0), other, machine("a2", 0.0, 4.0)];
    let starts = describe_placement(&[gang], &close);
    insta::assert_snapshot!(format!("{unplaced}---\n{starts}"));
}

#[test]
fn placement_respects_spot_zone_spread_and_failed_machines() {
    let mut spot = machine("spot", 0.0, 8.0);
    spot.spot = true;
    let mut constrained = job("picky", 1.0, 4, 100.0);
    constrained.spot = false;
    constrained.most_in_zone = 2;
    constrained.avoid.insert("avoided".into());
    let mut far = machine("far", 0.0, 8.0);
    far.zone = 1;
    let machines = vec![
        spot,
        machine("avoided", 0.0, 8.0),
        machine("near", 0.0, 8.0),
        far,
    ];
    insta::assert_snapshot!(describe_placement(&[constrained], &machines));
}

/// A fleet and its waiting jobs, simulated in steps of one second.
struct SimulatedFleet {
    machines: Vec<MachineSnapshot>,
    /// Jobs with waiting tasks, each with its arrival and the seconds within which it should start.
    jobs: Vec<(JobSnapshot, f64, f64)>,
    /// Per job with a started task, its id and the seconds that it waited for the first start.
    started: Vec<(String, f64)>,
}

impl SimulatedFleet {
    fn add(&mut self, mut snapshot: JobSnapshot, now: f64, start_within: f64) {
        snapshot.due = start_within;
        snapshot.next_due = start_within;
        snapshot.due_milestone = Milestone::Start;
        self.jobs.push((snapshot, now, start_within));
    }

    fn step(&mut self, now: f64) {
        for machine in &mut self.machines {
            for slot in &mut machine.free_slots {
                slot.at = (slot.at - 1.0).max(0.0);
            }
            machine.reservations.clear();
        }
        let mut jobs: Vec<JobSnapshot> = self.jobs.iter().map(|j| j.0.clone()).collect();
        for (snapshot, (_, arrived, within)) in jobs.iter_mut().zip(&self.jobs) {
            snapshot.due = within.min(190.0) - (now - arrived);
            snapshot.next_due = snapshot.due;
            snapshot.arrived = *arrived;
        }
        let placement = pack(&jobs, &mut self.machines, unlimited(), 2, 400);
        for start in &placement.starts {
            let job = &mut self.jobs[start.job];
            let waiting = job.0.waiting.iter().filter(|t| *t != start.task);
            job.0.waiting = Arc::new(waiting.collect());
            if job.0.started == 0 {
                self.started.push((job.0.id.clone(), now - job.1));
            }
            job.0.started += 1;
        }
        self.jobs.retain(|j| !j.0.waiting.is_empty());
    }
}

/// A large gang and the first task of a large array, both of low urgency, start within four minutes although a
/// stream of small urgent jobs could fill the fleet by itself.
#[test]
fn a_large_gang_and_a_large_array_start_despite_a_stream_of_urgent_work() {
    let mut fleet = SimulatedFleet {
        machines: (0..12)
            .map(|n| machine(&format!("m{n}"), 0.0, 16.0))
            .collect(),
        jobs: Vec::new(),
        started: Vec::new(),
    };
    for now in 0..300 {
        if now == 20 {
            let mut gang = job("gang", 15.0, 8, 0.0);
            gang.gang = true;
            gang.large = true;
            gang.one_zone = true;
            gang.duration = 90.0;
            gang.urgency = Urgency::BestEffort;
            fleet.add(gang, 20.0, 100.0);
            let mut array = job("array", 1.0, 400, 0.0);
            array.urgency = Urgency::BestEffort;
            fleet.add(array, 20.0, 100.0);
        }
        let mut small = job(&format!("small-{now}"), 1.0, 8, 0.0);
        small.urgency = Urgency::Urgent;
        small.duration = 24.0;
        fleet.add(small, f64::from(now), 10.0);
        fleet.step(f64::from(now));
    }
    let wait = |id: &str| fleet.started.iter().find(|s| s.0 == id).map(|s| s.1);
    let small: Vec<f64> = fleet
        .started
        .iter()
        .filter(|s| s.0.starts_with("small"))
        .map(|s| s.1)
        .collect();
    let longest = small.iter().copied().fold(0.0, f64::max);
    let (gang, array) = (wait("gang").unwrap(), wait("array").unwrap());
    assert!(
        gang <= 240.0 && array <= 240.0,
        "the gang started after {gang} s, the array after {array} s"
    );
    insta::assert_snapshot!(format!(
        "gang of 8 machines begins after {gang} s, array of 400 after {array} s;\n\
         {} of 300 small jobs began, the last to wait after {longest} s",
        small.len()
    ), @r"
    gang of 8 machines begins after 115 s, array of 400 after 0 s;
    288 of 300 small jobs began, the last to wait after 40 s
    ");
}

/// The cost of a packing, counted in examined machines, depends on the number of machines with free capacity
/// and not on the fleet's size.
#[test]
fn packing_examines_only_machines_with_free_capacity() {
    let machines_examined = |fleet: usize| {
        let busy = |n| machine(&format!("m{n}"), 30.0, 16.0);
        let mut machines: Vec<MachineSnapshot> = (0..fleet).map(busy).collect();
        for n in 0..5 {
            machines[n * fleet / 5].free_slots[0].at = 0.0;
        }
        let jobs: Vec<JobSnapshot> = (0..20)
            .map(|n| job(&format!("j{n}"), 1.0, 50, 60.0))
            .collect();
        pack(&jobs, &mut machines, unlimited(), 2, 400).machines_examined
    };
    let (small, large) = (machines_examined(100), machines_examined(1000));
    assert!(
        large <= small * 2,
        "machines examined: {small} in a fleet of 100, {large} in one of 1000"
    );
}

/// A forecast searches the fleet for a bounded number of gangs, however many wait. Without the bound, one forecast
/// for some hundreds of gangs and a thousand machines delayed heartbeats for most of a second.
#[test]
fn forecast_cost_is_bounded_however_many_gangs_wait() {
    let forecast_of = |gangs: usize| {
        let machines: Vec<MachineSnapshot> = (0..60)
            .map(|n| machine(&format!("m{n}"), 30.0, 16.0))
            .collect();
        let jobs: Vec<JobSnapshot> = (0..gangs)
            .map(|n| {
                let mut gang = job(&format!("g{n}"), 15.0, 2, 40.0 + n as f64);
                gang.gang = true;
                gang
            })
            .collect();
        let predicted = super::forecast::forecast(&jobs, &machines, &QuotaHeadroom::default(), 2);
        let tasks: u32 = predicted.jobs.iter().map(|j| j.tasks).sum();
        let late: u32 = predicted.jobs.iter().map(|j| j.late).sum();
        (predicted.machines_examined, tasks, late)
    };
    let (some, many) = (forecast_of(100), forecast_of(600));
    assert!(
        many.0 <= some.0,
        "machines examined: {} for 100 gangs, {} for 600",
        some.0,
        many.0
    );
    assert_eq!((some.1, many.1), (200, 1200), "every task is counted");
    assert!(
        many.2 > some.2 && many.2 <= many.1,
        "gangs beyond the bound are late as well"
    );
}

/// A job is neither started on the idle machine of a pool that is excluded for it, nor assigned to it by the forecast;
/// a job without excluded pools is. Pools that are protected from jobs of other cells are excluded for these jobs.
#[test]
fn protected_machines_take_no_jobs_of_other_cells() {
    let machines = || vec![machine("vm-1", 0.0, 4.0)];
    let pool = machines()[0].pool();
    let own = job("job-1", 1.0, 2, 60.0);
    let mut other = job("job-2", 1.0, 2, 60.0);
    other.excluded_pools = Arc::new(BTreeSet::from([pool]));
    for (index, snapshot) in [own, other].into_iter().enumerate() {
        let jobs = [JobSnapshot {
            index: 0,
            ..snapshot
        }];
        let placed = packing::pack(&jobs, &mut machines(), unlimited(), 2, 100);
        let predicted = forecast::forecast(&jobs, &machines(), &QuotaHeadroom::default(), 2);
        let expected = if index == 0 { 2 } else { 0 };
        let id = &jobs[0].id;
        assert_eq!(placed.starts.len(), expected, "starts of {id}");
        assert_eq!(
            predicted.machines_needed.len(),
            expected.min(1),
            "machines needed for {id}"
        );
    }
}
