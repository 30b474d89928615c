//! Schedules of several controllers over one team's limit: seeded ones, and one for each guard that only
//! a rare order of events needs.

mod model;

use model::{CONTROLLERS, Fate, Model, Without};

/// Schedules that CI plays; `more_schedules` plays many more.
const SCHEDULES: u64 = 2000;
const STEPS: usize = 400;
/// Rounds after the last trouble within which all that waits has started: each round ends one task, there
/// are at most 19 jobs of 12 tasks, and a transfer or a division takes a few rounds.
const ROUNDS: usize = 19 * 12 + 60;

/// Rounds, of a tenth of a second each, within which a free slot is used: a division, or several transfers
/// of half a second each at most, and a reading between any two of them.
const IDLE_ROUNDS: usize = 12;

fn play(seeds: std::ops::Range<u64>) {
    let (mut starts, mut transfers, mut longest_idle) = (0, 0, 0);
    for seed in seeds {
        let mut model = Model::new(seed, Without::Nothing);
        model.run(STEPS);
        model.recover();
        let all_started = model.rounds(ROUNDS, true);
        assert_eq!(model.overshoots, Vec::<String>::new(), "seed {seed}");
        assert!(all_started, "seed {seed}: work waits beside a free limit");
        assert!(
            model.longest_idle <= IDLE_ROUNDS,
            "seed {seed}: a slot was free for {} rounds",
            model.longest_idle
        );
        longest_idle = longest_idle.max(model.longest_idle);
        starts += model.starts;
        transfers += model.transfers;
    }
    println!("{starts} starts, {transfers} transfers, a slot free for {longest_idle} rounds");
    assert!(starts > 0 && transfers > 0, "the schedules do something");
}

#[test]
fn no_order_of_events_puts_a_team_over_its_limit() {
    play(0..SCHEDULES);
}

/// Outside CI: `cargo test --release -p rowanmill-limits -- --ignored more_schedules`.
#[test]
#[ignore = "longer search"]
fn more_schedules() {
    play(SCHEDULES..100_000);
}

/// The checker and the schedules are worth something only if they see each guard missing.
#[test]
fn seeded_schedules_miss_each_common_guard() {
    let guards = [
        Without::RecordGuard,
        Without::Unanswered,
        Without::ReadBeforeSettling,
        Without::ReadBeforeDividing,
    ];
    let broken = |without: Without| {
        let overshoots = |seed: &u64| {
            let mut model = Model::new(*seed, without);
            model.run(STEPS);
            !model.overshoots.is_empty()
        };
        (0..SCHEDULES).filter(overshoots).count()
    };
    let broken: Vec<_> = guards.iter().map(|guard| (guard, broken(*guard))).collect();
    println!("of {SCHEDULES} schedules: {broken:?}");
    assert!(broken.iter().all(|(_, count)| *count > 0), "{broken:?}");
}

/// What `Model::of_small_tasks` allows, and each controller's part of it.
const LIMIT: u64 = 12;
const EACH: u64 = LIMIT / CONTROLLERS as u64;

fn start_each(model: &mut Model, tasks: u64) {
    for at in 0..CONTROLLERS {
        (0..tasks).for_each(|_| model.start(at));
    }
}

/// A start on its way while another controller leaves: the leader has read what is in use, the start
/// comes, and the limit is divided. Whether the limit was overshot.
fn start_amid_a_change_of_controllers(without: Without) -> bool {
    let mut model = Model::of_small_tasks(without);
    start_each(&mut model, EACH - 1);
    (0..2).for_each(|at| model.start(at));
    model.fate = Some(Fate::Late);
    model.start(2);
    model.fate = Some(Fate::Answered);
    assert_eq!(model.cpus_in_use(), LIMIT - 1);
    model.end(2);
    model.read(0);
    model.lead(0);
    model.read(0);
    model.deliver_late();
    model.lead(0);
    model.rounds(20, false);
    assert!(model.cpus_in_use() >= LIMIT - 1, "the limit is used");
    !model.overshoots.is_empty()
}

#[test]
fn a_start_under_an_assignment_that_is_over_fails() {
    assert!(!start_amid_a_change_of_controllers(Without::Nothing));
    assert!(start_amid_a_change_of_controllers(Without::AssignmentGuard));
}

/// A controller that has not heard of a lower limit starts a task after the leader has read what is in
/// use. Whether the lower limit was overshot.
fn start_amid_a_lower_limit(without: Without) -> bool {
    let mut model = Model::of_small_tasks(without);
    start_each(&mut model, EACH - 2);
    model.set_cpus(LIMIT - 2);
    model.read(0);
    for at in [1, 1, 2, 2] {
        model.start(at);
    }
    assert_eq!(model.cpus_in_use(), LIMIT - 2);
    model.lead(0);
    model.rounds(20, false);
    !model.overshoots.is_empty()
}

#[test]
fn a_limit_is_lowered_without_an_overshoot() {
    assert!(!start_amid_a_lower_limit(Without::Nothing));
    assert!(start_amid_a_lower_limit(Without::Freeze));
}

/// A controller with little work gives away a part of its own and gets no answer. More work comes to it,
/// is started in that part, and the rest of it is cancelled; then the transfer comes. Whether the limit
/// was overshot.
fn late_transfer(without: Without) -> bool {
    let mut model = Model::of_small_tasks(without);
    for at in [1, 2] {
        (0..EACH).for_each(|_| model.start(at));
    }
    model.set_waiting(0, 1);
    model.set_waiting(3, 0);
    model.read(0);
    model.fate = Some(Fate::Late);
    model.change(0);
    model.fate = Some(Fate::Answered);
    model.set_waiting(0, 20);
    model.read(0);
    (0..EACH).for_each(|_| model.start(0));
    model.set_waiting(0, 0);
    assert!(model.deliver_late(), "the transfer is carried out");
    model.rounds(20, false);
    assert!(model.cpus_in_use() >= LIMIT - 1, "the limit is used");
    !model.overshoots.is_empty()
}

#[test]
fn what_is_given_away_without_an_answer_is_not_used() {
    assert!(!late_transfer(Without::Nothing));
    assert!(late_transfer(Without::UnansweredTransfers));
}
