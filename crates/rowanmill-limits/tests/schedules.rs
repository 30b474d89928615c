//! Schedules of several controllers that share a team's limit: random ones from seeds, and a scripted one for
//! each safeguard that only a rare order of events needs.

mod model;

use model::{CONTROLLERS, Model, Omission, Outcome};

/// The number of schedules that CI runs; `more_schedules` runs many more.
const SCHEDULES: u64 = 2000;
const STEPS: usize = 400;
/// Rounds after the last fault within which all waiting work must have started: one task completes in each
/// round, there are at most 19 jobs of fewer than 12 tasks each, and a transfer or an allocation takes a few
/// rounds.
const MAX_ROUNDS: usize = 19 * 12 + 60;

/// Rounds within which free headroom must be used. They allow for an allocation or for several transfers:
/// in each round, a controller reads once and makes at most one transfer. They are fewer than the 20 rounds of
/// the default `idle_after_s`, after which a controller releases headroom that its waiting work does not use.
const MAX_IDLE_ROUNDS: usize = 12;

fn run_schedules(seeds: std::ops::Range<u64>) {
    let (mut starts, mut record_changes, mut longest_idle) = (0, 0, 0);
    for seed in seeds {
        let mut model = Model::new(seed, Omission::Nothing);
        model.run(STEPS);
        model.recover();
        let all_started = model.run_rounds(MAX_ROUNDS, true);
        assert_eq!(
            model.overshoots,
            Vec::<String>::new(),
            "seed {seed}: starts exceeded the limit"
        );
        assert!(
            all_started,
            "seed {seed}: tasks still wait after {MAX_ROUNDS} rounds without faults"
        );
        assert!(
            model.longest_idle <= MAX_IDLE_ROUNDS,
            "seed {seed}: usable headroom was free for {} rounds",
            model.longest_idle
        );
        longest_idle = longest_idle.max(model.longest_idle);
        starts += model.starts;
        record_changes += model.record_changes;
    }
    println!(
        "{starts} starts, {record_changes} transfers and fences, usable headroom free for at most {longest_idle} rounds"
    );
    assert!(
        starts > 0 && record_changes > 0,
        "the schedules must contain starts and changes of the record"
    );
}

#[test]
fn no_order_of_events_lets_a_team_exceed_its_limit() {
    run_schedules(0..SCHEDULES);
}

/// Not run by CI: `cargo test --release -p rowanmill-limits -- --ignored more_schedules`.
#[test]
#[ignore = "longer search"]
fn more_schedules() {
    run_schedules(SCHEDULES..100_000);
}

/// Checks that the seeded schedules detect the absence of each safeguard that is needed often; otherwise,
/// passing them would prove nothing. The scripted schedules cover the other safeguards.
#[test]
fn seeded_schedules_detect_missing_safeguards() {
    let safeguards = [
        Omission::RecordPrecondition,
        Omission::InDoubtStarts,
        Omission::ReadBeforeResolving,
        Omission::ReadBeforeAllocating,
    ];
    let count_broken = |omission: Omission| {
        let overshoots = |seed: &u64| {
            let mut model = Model::new(*seed, omission);
            model.run(STEPS);
            !model.overshoots.is_empty()
        };
        (0..SCHEDULES).filter(overshoots).count()
    };
    let broken: Vec<_> = safeguards
        .iter()
        .map(|omission| (omission, count_broken(*omission)))
        .collect();
    println!("of {SCHEDULES} schedules: {broken:?}");
    assert!(
        broken.iter().all(|(_, count)| *count > 0),
        "some missing safeguard was not detected: {broken:?}"
    );
}

/// The limit of [`Model::with_small_tasks`] in CPUs, and each controller's equal share of it.
const LIMIT: u64 = 12;
const SHARE: u64 = LIMIT / CONTROLLERS as u64;

fn start_tasks(model: &mut Model, controller: usize, tasks: u64) {
    (0..tasks).for_each(|_| model.start(controller));
}

fn start_tasks_at_each(model: &mut Model, tasks: u64) {
    (0..CONTROLLERS).for_each(|controller| start_tasks(model, controller, tasks));
}

/// A start is delayed while its controller leaves. The leader reads the usage, then the start is delivered, and
/// then the leader divides the limit. Returns whether the limit was exceeded.
fn overshoots_on_delayed_start_of_leaving_controller(omission: Omission) -> bool {
    let mut model = Model::with_small_tasks(omission);
    start_tasks_at_each(&mut model, SHARE - 1);
    (0..2).for_each(|controller| model.start(controller));
    model.outcome = Some(Outcome::Delayed);
    model.start(2);
    model.outcome = Some(Outcome::Answered);
    assert_eq!(model.cpus_in_use(), LIMIT - 1);
    model.end_controller(2);
    model.read(0);
    model.lead(0);
    model.read(0);
    model.deliver_delayed();
    model.lead(0);
    model.run_rounds(20, false);
    assert!(
        model.cpus_in_use() >= LIMIT - 1,
        "more than one CPU of the limit is unused"
    );
    !model.overshoots.is_empty()
}

#[test]
fn a_start_under_a_previous_assignment_fails() {
    let overshoots = overshoots_on_delayed_start_of_leaving_controller;
    assert!(!overshoots(Omission::Nothing));
    assert!(overshoots(Omission::AssignmentPrecondition));
}

/// Two controllers that have not read a lowered limit start tasks after the leader has read the usage. Returns
/// whether the lowered limit was exceeded.
fn overshoots_on_lowered_limit(omission: Omission) -> bool {
    let mut model = Model::with_small_tasks(omission);
    start_tasks_at_each(&mut model, SHARE - 2);
    model.set_limit_cpus(LIMIT - 2);
    model.read(0);
    for controller in [1, 1, 2, 2] {
        model.start(controller);
    }
    assert_eq!(model.cpus_in_use(), LIMIT - 2);
    model.lead(0);
    model.run_rounds(20, false);
    !model.overshoots.is_empty()
}

#[test]
fn a_lowered_limit_is_not_exceeded() {
    assert!(!overshoots_on_lowered_limit(Omission::Nothing));
    assert!(overshoots_on_lowered_limit(Omission::Freeze));
}

/// A controller with little work transfers a part of its allocation and gets no answer. New work is submitted
/// to it, of which it starts as much as it has headroom for, and the remaining work is cancelled. Then the
/// transfer is applied. Returns whether the limit was exceeded.
fn overshoots_on_delayed_transfer(omission: Omission) -> bool {
    let mut model = Model::with_small_tasks(omission);
    for controller in [1, 2] {
        start_tasks(&mut model, controller, SHARE);
    }
    model.set_waiting(0, 1);
    model.set_waiting(3, 0);
    model.read(0);
    model.outcome = Some(Outcome::Delayed);
    model.change(0);
    model.outcome = Some(Outcome::Answered);
    model.set_waiting(0, 20);
    model.read(0);
    start_tasks(&mut model, 0, SHARE);
    model.set_waiting(0, 0);
    assert!(
        model.deliver_delayed(),
        "the delayed transfer was not applied"
    );
    model.run_rounds(20, false);
    assert!(
        model.cpus_in_use() >= LIMIT - 1,
        "more than one CPU of the limit is unused"
    );
    !model.overshoots.is_empty()
}

#[test]
fn a_transfer_in_doubt_stays_charged() {
    assert!(!overshoots_on_delayed_transfer(Omission::Nothing));
    assert!(overshoots_on_delayed_transfer(Omission::InDoubtTransfers));
}
