use super::forecast::forecast;
use super::now::place;
use super::*;

pub fn machine(name: &str, free_at: f64, cpus: f64) -> MachineView {
    MachineView {
        name: name.into(),
        kind: 0,
        zone: 0,
        spot: false,
        chunks: vec![Chunk {
            at: free_at,
            room: Need {
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
        holds: Vec::new(),
        kept_for: None,
    }
}

pub fn job(id: &str, cpus: f64, tasks: u32, due: f64) -> JobView {
    JobView {
        id: id.into(),
        index: 0,
        gang: false,
        need: Need {
            cpus,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        large: false,
        kinds: vec![0],
        zone: None,
        spot: true,
        one_zone: false,
        most_in_zone: tasks,
        zones: BTreeMap::new(),
        waiting: Arc::new((0..tasks).collect()),
        begun: 0,
        arrived: 0.0,
        guaranteed: false,
        urgency: Urgency::Standard,
        due,
        next_due: due,
        by: By::End,
        duration: 30.0,
        rented_in: 0.0,
        image: 0,
        image_gb: 1.0,
        quota: 1000,
        avoid: HashSet::new(),
    }
}

fn show(jobs: &[JobView], machines: &[MachineView]) -> String {
    let out = place(jobs, &mut machines.to_vec(), 2, 1000);
    let mut text = String::new();
    for s in &out.starts {
        text.push_str(&format!(
            "start {}/{} on {}\n",
            jobs[s.job].id, s.task, machines[s.machine].name
        ));
    }
    let out = forecast(jobs, machines, 2);
    for (job, mapped) in jobs.iter().zip(&out.mapped) {
        text.push_str(&format!(
            "{}: {} of {} late\n",
            job.id, mapped.late, mapped.tasks
        ));
    }
    text
}

#[test]
fn earliest_finish_counts_queue_fetch_and_boot() {
    let machines = vec![machine("busy", 20.0, 4.0), machine("booting", 5.0, 2.0)];
    let jobs = vec![job("late", 2.0, 3, 50.0), job("easy", 1.0, 1, 500.0)];
    insta::assert_snapshot!(show(&jobs, &machines), @r"
    late: 1 of 3 late
    easy: 0 of 1 late
    ");
}

#[test]
fn a_startup_task_passes_only_if_the_batch_head_stays_in_time() {
    // `urgent` has had its startup tasks; `new` has not.
    let mut urgent = job("urgent", 4.0, 1, 40.0);
    urgent.begun = 2;
    let fresh = job("new", 4.0, 1, 400.0);
    let machines = vec![machine("one", 0.0, 4.0)];
    let jobs = vec![urgent.clone(), fresh.clone()];
    let guarded = show(&jobs, &machines);
    urgent.due = 100.0;
    let machines = vec![machine("one", 0.0, 4.0)];
    let jobs = vec![urgent, fresh];
    let passing = show(&jobs, &machines);
    insta::assert_snapshot!(format!("{guarded}---\n{passing}"), @r"
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
    let waits = show(&[gang.clone()], &apart);
    let close = vec![machine("a1", 0.0, 4.0), other, machine("a2", 0.0, 4.0)];
    let starts = show(&[gang], &close);
    insta::assert_snapshot!(format!("{waits}---\n{starts}"));
}

#[test]
fn spot_zone_spread_and_failed_machines_are_heeded() {
    let mut spot = machine("spot", 0.0, 8.0);
    spot.spot = true;
    let mut picky = job("picky", 1.0, 4, 100.0);
    picky.spot = false;
    picky.most_in_zone = 2;
    picky.avoid.insert("sick".into());
    let mut far = machine("far", 0.0, 8.0);
    far.zone = 1;
    let machines = vec![
        spot,
        machine("sick", 0.0, 8.0),
        machine("near", 0.0, 8.0),
        far,
    ];
    insta::assert_snapshot!(show(&[picky], &machines));
}
