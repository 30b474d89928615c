use super::*;
use crate::config::tests::file;
use crate::record::{CellPresence, Drain, Summary};
use serde_json::json;

fn config() -> CellsConfig {
    let mut file = file();
    file["cells"] = json!([
        {"name": "a", "controllers": ["10.0.0.1:1"]},
        {"name": "b", "controllers": ["10.0.0.2:1"]},
        {"name": "c", "controllers": ["10.0.0.3:1"]}
    ]);
    CellsConfig::parse(&file.to_string(), "test").unwrap()
}

fn job(owner: &str) -> LedgerJob {
    LedgerJob {
        owner: owner.to_owned(),
        epoch: 2,
        home: "a".to_owned(),
        cancelled: false,
        moves: 0,
        declined: Vec::new(),
        awaits: Vec::new(),
        accepted_ms: 0,
        description: json!({}),
    }
}

fn present(replica: &mut LedgerReplica, cell: &str, summary: Summary, now: Instant) {
    let state = replica.cells.get_mut(cell).unwrap();
    state.presence = Some(Versioned {
        record: CellPresence {
            controller: "m-0".to_owned(),
            incarnation: 1,
            summary,
        },
        mark: 1,
    });
    state.absent_since = None;
    state.heard_at = Some(now);
}

fn with_room(free_cpus: f64) -> Summary {
    Summary {
        free_cpus,
        ..Summary::default()
    }
}

/// Three cells that are there, `b` and `c` with room, and one job of cell `a`.
fn scene(record: LedgerJob, now: Instant) -> LedgerReplica {
    let mut replica = LedgerReplica::new(["a", "b", "c"]);
    replica.reset(Vec::new(), 9, now);
    for (cell, room) in [("a", 0.0), ("b", 4.0), ("c", 8.0)] {
        present(&mut replica, cell, with_room(room), now);
    }
    let mark = 9;
    replica
        .jobs
        .insert("job-1".to_owned(), Versioned { record, mark });
    replica
}

fn picture(local: LocalJob) -> Picture {
    Picture {
        owned: vec![("job-1".to_owned(), local)],
        stamped: Vec::new(),
    }
}

fn open(begun: bool, waited_s: u64) -> LocalJob {
    let age_ms = waited_s * 1000;
    LocalJob::Open {
        begun,
        age_ms,
        is_barred: false,
    }
}

/// What is done about an owned job, for each place where the records may say that it stands.
#[test]
fn the_next_step_of_an_owned_job() {
    let now = Instant::now();
    let mut trace = String::new();
    let states = [
        open(false, 1),
        open(true, 100),
        open(false, 100),
        LocalJob::Open {
            begun: false,
            age_ms: 1,
            is_barred: true,
        },
        LocalJob::Cancelled,
        LocalJob::Withdrawn,
        LocalJob::Done,
        LocalJob::EndedCancelled,
        LocalJob::Absent,
    ];
    for cancelled in [false, true] {
        for local in states {
            let mut record = job("a");
            record.cancelled = cancelled;
            let replica = scene(record, now);
            let mut planner = Planner::new("a", &config());
            let actions = planner.plan(&replica, &picture(local), now, &BTreeSet::new());
            trace.push_str(&format!("cancelled {cancelled}, {local:?}: {actions:?}\n"));
        }
    }
    insta::assert_snapshot!(trace);
}

/// A job that was given up goes to the cell with most room, and back into the records if nobody has any;
/// old summaries count for nothing, nor does room where work waits.
#[test]
fn a_job_that_was_given_up_goes_where_there_is_room() {
    let now = Instant::now();
    let plan = |replica: &LedgerReplica, now| {
        let mut planner = Planner::new("a", &config());
        planner.note_given_up("job-1", 2);
        planner.plan(replica, &picture(LocalJob::Absent), now, &BTreeSet::new())
    };
    let id = || "job-1".to_owned();
    let to = |cell: &str| Action::HandOver {
        id: id(),
        to: cell.to_owned(),
        waited: true,
    };
    let mut replica = scene(job("a"), now);
    assert_eq!(plan(&replica, now), [to("c")]);
    let waiting = Summary {
        waiting: 1,
        ..with_room(8.0)
    };
    present(&mut replica, "c", waiting, now);
    assert_eq!(plan(&replica, now), [to("b")]);
    let later = now + SUMMARY_COUNTS + Duration::from_secs(1);
    assert_eq!(plan(&replica, later), [Action::Claim { id: id() }]);
    // Under another epoch it is to be taken again.
    replica.jobs.get_mut("job-1").unwrap().record.epoch = 3;
    assert_eq!(plan(&replica, now), [Action::Adopt { id: id() }]);
}

/// A job moves a bounded number of times, and a bounded number at a time.
#[test]
fn spilling_is_bounded() {
    let now = Instant::now();
    let waits = |moves: u32, given_up: usize| {
        let mut record = job("a");
        record.moves = moves;
        let mut replica = scene(record, now);
        let mut planner = Planner::new("a", &config());
        for number in 0..given_up {
            let id = format!("job-9{number}");
            let mark = 9;
            let record = job("a");
            replica.jobs.insert(id.clone(), Versioned { record, mark });
            planner.note_given_up(&id, 2);
        }
        let local = picture(open(false, 100));
        let actions = planner.plan(&replica, &local, now, &BTreeSet::new());
        actions.iter().any(|a| matches!(a, Action::Withdraw { .. }))
    };
    assert!(waits(0, 0) && waits(2, 7));
    assert!(!waits(3, 0), "moved too often");
    assert!(!waits(0, 8), "too many on their way");
}

/// One that cannot run it hands a job to its home, or keeps it until another cell is there.
#[test]
fn what_a_cell_cannot_run_goes_home() {
    let now = Instant::now();
    let mut replica = scene(job("b"), now);
    let mut planner = Planner::new("b", &config());
    planner.note_unfit("job-1", 2, now);
    let local = || picture(LocalJob::Absent);
    let actions = planner.plan(&replica, &local(), now, &BTreeSet::new());
    let id = || "job-1".to_owned();
    assert_eq!(actions, [Action::GiveUp { id: id(), epoch: 2 }]);
    planner.note_given_up("job-1", 2);
    let actions = planner.plan(&replica, &local(), now, &BTreeSet::new());
    let home = Action::HandOver {
        id: id(),
        to: "a".to_owned(),
        waited: false,
    };
    assert_eq!(actions, [home]);
    for cell in ["a", "c"] {
        replica.cells.get_mut(cell).unwrap().presence = None;
    }
    assert_eq!(
        planner.plan(&replica, &local(), now, &BTreeSet::new()),
        Vec::new()
    );
}

/// A cell's jobs are taken over once it has been missing for long enough, by one cell before the next, and
/// only by one that could run them.
#[test]
fn jobs_of_a_missing_cell_are_taken_over_in_turn() {
    let now = Instant::now();
    let mut replica = scene(job("a"), now);
    let state = replica.cells.get_mut("a").unwrap();
    state.presence = None;
    state.absent_since = Some(now);
    let runnable = BTreeSet::from(["job-1".to_owned()]);
    let config = config();
    let takes = |cell: &str, after_s: f64, runnable: &BTreeSet<String>| {
        let mut planner = Planner::new(cell, &config);
        let at = now + Duration::from_secs_f64(after_s);
        let actions = planner.plan(&replica, &Picture::default(), at, runnable);
        actions.iter().any(|a| matches!(a, Action::TakeOver { .. }))
    };
    let both = |after_s| ["b", "c"].map(|cell| takes(cell, after_s, &runnable));
    assert_eq!(both(44.9), [false, false]);
    assert_eq!(both(45.1).iter().filter(|takes| **takes).count(), 1);
    assert_eq!(both(47.1), [true, true]);
    assert!(!takes("b", 100.0, &BTreeSet::new()));
}

/// What a controller must not run, and what it records about that.
#[test]
fn records_that_the_ledger_contradicts_are_withdrawn() {
    let now = Instant::now();
    let replica = scene(job("b"), now);
    let planner = Planner::new("a", &config());
    let stamped = |id: &str, mark: u64| StampedJob {
        id: id.to_owned(),
        stamp: Stamp { epoch: 1, mark },
        stopped: false,
    };
    let all = [
        stamped("job-1", 3),
        stamped("job-over", 5),
        stamped("job-just-accepted", 12),
    ];
    let halted = planner.halted(&replica, &all);
    assert_eq!(halted, ["job-1", "job-over"].map(str::to_owned).into());
    let mut planner = planner;
    let picture = Picture {
        owned: Vec::new(),
        stamped: all.to_vec(),
    };
    let actions = planner.plan(&replica, &picture, now, &BTreeSet::new());
    insta::assert_debug_snapshot!(actions);
}

/// A job that waits for others is put into the records once they are done, and cancelled with them.
#[test]
fn what_a_job_waits_for_decides() {
    let now = Instant::now();
    let mut record = job("a");
    record.awaits = vec!["job-7".to_owned()];
    let mut replica = scene(record, now);
    let id = |id: &str| id.to_owned();
    let plan = |replica: &LedgerReplica| {
        let mut planner = Planner::new("a", &config());
        planner.plan(replica, &picture(LocalJob::Absent), now, &BTreeSet::new())
    };
    assert_eq!(plan(&replica), [Action::LookUp { id: id("job-7") }]);
    let held = Versioned {
        record: job("b"),
        mark: 8,
    };
    replica.jobs.insert(id("job-7"), held);
    assert_eq!(plan(&replica), Vec::new());
    replica.remember_final("job-7", FinalState::Done);
    assert_eq!(plan(&replica), [Action::Adopt { id: id("job-1") }]);
    let mut other = scene(replica.jobs["job-1"].record.clone(), now);
    other.remember_final("job-7", FinalState::Cancelled);
    assert_eq!(plan(&other), [Action::CancelInLedger { id: id("job-1") }]);
}

/// What has not begun leaves a cell that is being drained, however short it waited and however often it was
/// moved; nothing goes there, and it takes nothing over.
#[test]
fn a_drained_cell_is_left() {
    let now = Instant::now();
    let drain = |replica: &mut LedgerReplica, cell: &str| {
        let state = replica.cells.get_mut(cell).unwrap();
        state.drain = Some(Drain { since_ms: 1 });
    };
    let leaves = |replica: &LedgerReplica| {
        let mut planner = Planner::new("a", &config());
        let local = picture(open(false, 0));
        let actions = planner.plan(replica, &local, now, &BTreeSet::new());
        matches!(actions[..], [Action::Withdraw { .. }])
    };
    let mut record = job("a");
    record.moves = 99;
    let mut replica = scene(record, now);
    assert!(!leaves(&replica));
    drain(&mut replica, "a");
    assert!(leaves(&replica));
    for cell in ["b", "c"] {
        drain(&mut replica, cell);
    }
    assert!(!leaves(&replica), "there is nowhere to go");
    let state = replica.cells.get_mut("a").unwrap();
    state.presence = None;
    state.absent_since = Some(now);
    let late = now + Duration::from_secs(1_000);
    assert!(Planner::new("b", &config()).lost(&replica, late).is_empty());
}
