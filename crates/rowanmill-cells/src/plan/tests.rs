mod trace;

use super::*;
use crate::config::tests::valid_file;
use crate::record::{CapacitySummary, CellPresence, DrainRequest};
use handover::MAX_SUMMARY_AGE;
use rowanmill_config::ConfigFile;
use serde_json::json;
use trace::{trace_action, trace_state, trace_withdrawals};

const JOB: &str = "job-1";
/// Epoch of the job in these tests.
const EPOCH: u64 = 2;
/// The ledger's revision of the jobs' records and of the replica in these tests.
const REVISION: u64 = 9;

fn config() -> CellsConfig {
    let mut file = valid_file();
    file["cells"] = json!([
        {"name": "a", "controllers": ["10.0.0.1:1"]},
        {"name": "b", "controllers": ["10.0.0.2:1"]},
        {"name": "c", "controllers": ["10.0.0.3:1"]}
    ]);
    CellsConfig::parse(&file.to_string(), "test").unwrap()
}

/// A job that cell `a` accepted and `owner` owns.
fn job_of(owner: &str) -> LedgerJob {
    LedgerJob {
        owner: owner.to_owned(),
        epoch: EPOCH,
        ..LedgerJob::accepted_by("a", 0, Vec::new(), json!({}))
    }
}

fn insert_job(replica: &mut LedgerReplica, id: &str, record: LedgerJob) {
    let revision = REVISION;
    let held = Versioned { record, revision };
    replica.jobs.insert(id.to_owned(), held);
}

fn set_present(replica: &mut LedgerReplica, cell: &str, summary: CapacitySummary, now: Instant) {
    let state = replica.cells.get_mut(cell).unwrap();
    state.presence = Some(Versioned {
        record: CellPresence {
            controller: "m-0".to_owned(),
            incarnation: 1,
            summary,
        },
        revision: 1,
    });
    state.absent_since = None;
    state.presence_updated_at = Some(now);
}

fn set_absent(replica: &mut LedgerReplica, cell: &str, since: Instant) {
    let state = replica.cells.get_mut(cell).unwrap();
    state.presence = None;
    state.absent_since = Some(since);
}

fn set_draining(replica: &mut LedgerReplica, cell: &str) {
    let state = replica.cells.get_mut(cell).unwrap();
    state.drain = Some(DrainRequest { requested_ms: 1 });
}

fn with_free_cpus(free_cpus: f64) -> CapacitySummary {
    CapacitySummary {
        free_cpus,
        ..CapacitySummary::default()
    }
}

/// A replica with three present cells, of which `b` and `c` have free CPUs, and one job.
fn replica_with(record: LedgerJob, now: Instant) -> LedgerReplica {
    let mut replica = LedgerReplica::new(["a", "b", "c"]);
    replica.reload_from_snapshot(Vec::new(), REVISION, now);
    for (cell, free_cpus) in [("a", 0.0), ("b", 4.0), ("c", 8.0)] {
        set_present(&mut replica, cell, with_free_cpus(free_cpus), now);
    }
    insert_job(&mut replica, JOB, record);
    replica
}

fn owned_in_state(state: LocalJobState) -> LocalJobs {
    LocalJobs {
        owned: vec![(JOB.to_owned(), state)],
        tracked: Vec::new(),
    }
}

fn open(has_started: bool, waited_s: u64) -> LocalJobState {
    LocalJobState::Open {
        has_started,
        age_ms: waited_s * 1000,
        excluded_by_protection: false,
    }
}

/// The actions of one round in which no job can be taken over.
fn plan_once(
    planner: &mut Planner,
    replica: &LedgerReplica,
    local_jobs: &LocalJobs,
    now: Instant,
) -> Vec<Action> {
    planner.plan(replica, local_jobs, now, &BTreeSet::new())
}

/// Covers the action for each state of an owned job in the cell's own records, with and without a
/// cancellation in the ledger.
#[test]
fn next_action_of_an_owned_job_by_its_local_state() {
    let now = Instant::now();
    let mut trace = String::new();
    let states = [
        open(false, 1),
        open(true, 100),
        open(false, 100),
        LocalJobState::Open {
            has_started: false,
            age_ms: 1,
            excluded_by_protection: true,
        },
        LocalJobState::Cancelling,
        LocalJobState::Withdrawn,
        LocalJobState::Completed,
        LocalJobState::Cancelled,
        LocalJobState::Absent,
    ];
    for cancelled in [false, true] {
        for state in states {
            let mut record = job_of("a");
            record.cancelled = cancelled;
            let replica = replica_with(record, now);
            let mut planner = Planner::new("a", &config());
            let actions = plan_once(&mut planner, &replica, &owned_in_state(state), now);
            let actions: Vec<String> = actions.iter().map(trace_action).collect();
            let (state, actions) = (trace_state(state), actions.join(", "));
            trace.push_str(&format!("cancelled {cancelled}, {state}: [{actions}]\n"));
        }
    }
    insta::assert_snapshot!(trace);
}

/// A relinquished job goes to the cell with the most free capacity, and is reclaimed if no cell has any.
/// Cells with an outdated summary or with waiting tasks do not count.
#[test]
fn relinquished_job_is_handed_to_the_cell_with_most_capacity() {
    let now = Instant::now();
    let plan_at = |replica: &LedgerReplica, now| {
        let mut planner = Planner::new("a", &config());
        planner.record_relinquished(JOB, EPOCH);
        let local_jobs = owned_in_state(LocalJobState::Absent);
        plan_once(&mut planner, replica, &local_jobs, now)
    };
    let id = || JOB.to_owned();
    let hand_over_to = |cell: &str| Action::HandOver {
        id: id(),
        to: cell.to_owned(),
        reason: HandoverReason::Waited,
    };
    let mut replica = replica_with(job_of("a"), now);
    assert_eq!(plan_at(&replica, now), [hand_over_to("c")]);
    let busy = CapacitySummary {
        waiting_tasks: 1,
        ..with_free_cpus(8.0)
    };
    set_present(&mut replica, "c", busy, now);
    assert_eq!(plan_at(&replica, now), [hand_over_to("b")]);
    let later = now + MAX_SUMMARY_AGE + Duration::from_secs(1);
    assert_eq!(plan_at(&replica, later), [Action::Reclaim { id: id() }]);
    // The relinquishment does not apply to a later epoch: the job is adopted again.
    replica.jobs.get_mut(JOB).unwrap().record.epoch = EPOCH + 1;
    assert_eq!(plan_at(&replica, now), [Action::Adopt { id: id() }]);
}

/// A job that has spilled `moves` times does not leave after the usual wait, and no further job leaves while
/// `at_once` jobs are leaving.
#[test]
fn spills_are_delayed_per_job_and_limited_at_a_time() {
    let now = Instant::now();
    let leaves = |spill_count: u32, relinquished: usize| {
        let mut record = job_of("a");
        record.spill_count = spill_count;
        let mut replica = replica_with(record, now);
        let mut planner = Planner::new("a", &config());
        for number in 0..relinquished {
            let id = format!("job-9{number}");
            insert_job(&mut replica, &id, job_of("a"));
            planner.record_relinquished(&id, EPOCH);
        }
        let local_jobs = owned_in_state(open(false, 100));
        let actions = plan_once(&mut planner, &replica, &local_jobs, now);
        actions
            .iter()
            .any(|action| matches!(action, Action::Withdraw { .. }))
    };
    assert!(leaves(0, 0) && leaves(2, 7));
    assert!(
        !leaves(3, 0),
        "the job has spilled `moves` times and must wait longer"
    );
    assert!(!leaves(0, 8), "no job may leave while 8 others are leaving");
}

/// A job that has spilled `moves` times must not stay for good in a cell that cannot run it: it waits longer
/// in each further cell, and then spills again if another cell has capacity. With `moves` of 0, no job spills
/// because it waits.
#[test]
fn job_that_spilled_often_waits_longer_before_it_spills_again() {
    let now = Instant::now();
    let leaves = |moves: u32, waited_s: u64| {
        let mut config = config();
        config.spill.moves = moves;
        let mut record = job_of("a");
        record.spill_count = moves;
        let replica = replica_with(record, now);
        let mut planner = Planner::new("a", &config);
        let local_jobs = owned_in_state(open(false, waited_s));
        let actions = plan_once(&mut planner, &replica, &local_jobs, now);
        matches!(actions[..], [Action::Withdraw { .. }])
    };
    // Twice the 60 s of the file, plus the 15 s after which no summary from before the last move is used.
    assert!(!leaves(3, 134));
    assert!(leaves(3, 135));
    assert!(!leaves(0, 100_000));
}

/// The CPUs of jobs that a cell received after it computed its capacity summary are subtracted from its free
/// CPUs, and so are those of jobs handed over to it earlier in the same round. For a summary without a
/// revision, the revision at which it was written counts.
#[test]
fn capacity_used_since_the_summary_is_subtracted() {
    let now = Instant::now();
    let sized = |owner: &str, cpus: f64| LedgerJob {
        description: json!({"cpus": cpus, "sacks": 1}),
        ..job_of(owner)
    };
    let handovers = |ledger_revision: Option<u64>, sent_cpus: f64| {
        let mut replica = replica_with(sized("a", 3.0), now);
        insert_job(&mut replica, "job-2", sized("a", 3.0));
        insert_job(&mut replica, "job-sent", sized("c", sent_cpus));
        let summary = CapacitySummary {
            ledger_revision,
            ..with_free_cpus(8.0)
        };
        set_present(&mut replica, "c", summary, now);
        let mut planner = Planner::new("a", &config());
        let mut local_jobs = LocalJobs::default();
        for id in [JOB, "job-2"] {
            planner.record_relinquished(id, EPOCH);
            local_jobs
                .owned
                .push((id.to_owned(), LocalJobState::Absent));
        }
        let actions = plan_once(&mut planner, &replica, &local_jobs, now);
        let to = actions.iter().map(|action| match action {
            Action::HandOver { to, .. } => to.clone(),
            other => format!("{other:?}"),
        });
        to.collect::<Vec<_>>()
    };
    // `b` has 4 CPUs free. `c` has 8, less those of the jobs that its summary does not count.
    assert_eq!(handovers(Some(REVISION), 8.0), ["c", "c"]);
    assert_eq!(handovers(Some(REVISION - 1), 3.0), ["c", "b"]);
    assert_eq!(handovers(Some(REVISION - 1), 8.0), ["b", "b"]);
    assert_eq!(handovers(None, 8.0), ["b", "b"]);
}

/// Owned jobs that are still to be written to the cell's records, or that are leaving them, count as waiting.
/// Jobs that were cancelled, that depend on open jobs or that the cell cannot run do not count.
#[test]
fn jobs_outside_the_records_count_as_waiting() {
    let now = Instant::now();
    let mut replica = replica_with(job_of("a"), now);
    let mut dependent = job_of("a");
    dependent.depends_on = vec![JOB.to_owned()];
    insert_job(&mut replica, "job-dependent", dependent);
    insert_job(&mut replica, "job-cancelled", job_of("a").into_cancelled());
    let mut planner = Planner::new("a", &config());
    insert_job(&mut replica, "job-declined", job_of("a"));
    planner.record_ineligible("job-declined", EPOCH, now);
    let count =
        |id: &str, state| planner.count_jobs_outside_records(&replica, &[(id.to_owned(), state)]);
    assert_eq!(count(JOB, LocalJobState::Absent), 1);
    assert_eq!(count(JOB, LocalJobState::Withdrawn), 1);
    assert_eq!(
        count(JOB, open(false, 1)),
        0,
        "the cell's own records count it"
    );
    assert_eq!(count(JOB, LocalJobState::Completed), 0);
    assert_eq!(count("job-dependent", LocalJobState::Absent), 0);
    assert_eq!(count("job-cancelled", LocalJobState::Absent), 0);
    assert_eq!(count("job-unknown", LocalJobState::Absent), 0);
    assert_eq!(count("job-declined", LocalJobState::Absent), 0);
}

/// A cell that cannot run a job relinquishes it and hands it over to the cell that accepted it. If no other cell
/// is present, it keeps the job.
#[test]
fn declined_job_is_handed_over_to_its_home() {
    let now = Instant::now();
    let mut replica = replica_with(job_of("b"), now);
    let mut planner = Planner::new("b", &config());
    planner.record_ineligible(JOB, EPOCH, now);
    let absent = || owned_in_state(LocalJobState::Absent);
    let actions = plan_once(&mut planner, &replica, &absent(), now);
    let id = || JOB.to_owned();
    let relinquish = Action::Relinquish {
        id: id(),
        epoch: EPOCH,
    };
    assert_eq!(actions, [relinquish]);
    planner.record_relinquished(JOB, EPOCH);
    let actions = plan_once(&mut planner, &replica, &absent(), now);
    let hand_over = Action::HandOver {
        id: id(),
        to: "a".to_owned(),
        reason: HandoverReason::Declined,
    };
    assert_eq!(actions, [hand_over]);
    for cell in ["a", "c"] {
        replica.cells.get_mut(cell).unwrap().presence = None;
    }
    let actions = plan_once(&mut planner, &replica, &absent(), now);
    assert_eq!(actions, Vec::new());
}

/// A job of an absent cell is taken over after `takeover_after_s`, first by one cell and 2 s later by the
/// next, and only by a cell that could run it.
#[test]
fn cells_take_over_an_absent_cells_jobs_in_turn() {
    let now = Instant::now();
    let mut replica = replica_with(job_of("a"), now);
    set_absent(&mut replica, "a", now);
    let runnable = BTreeSet::from([JOB.to_owned()]);
    let config = config();
    let takes_over = |cell: &str, after_s: f64, runnable: &BTreeSet<String>| {
        let mut planner = Planner::new(cell, &config);
        let at = now + Duration::from_secs_f64(after_s);
        let actions = planner.plan(&replica, &LocalJobs::default(), at, runnable);
        actions
            .iter()
            .any(|action| matches!(action, Action::TakeOver { .. }))
    };
    let both = |after_s| ["b", "c"].map(|cell| takes_over(cell, after_s, &runnable));
    assert_eq!(both(44.9), [false, false]);
    assert_eq!(both(45.1).iter().filter(|takes| **takes).count(), 1);
    assert_eq!(both(47.1), [true, true]);
    assert!(!takes_over("b", 100.0, &BTreeSet::new()));
}

/// A job in the cell's records that another cell owns now, or that has ended, must not run and is withdrawn.
/// One whose acceptance the replica has not read yet is left alone.
#[test]
fn jobs_owned_elsewhere_or_ended_are_halted_and_withdrawn() {
    let now = Instant::now();
    let replica = replica_with(job_of("b"), now);
    let mut planner = Planner::new("a", &config());
    let tracked_job = |id: &str, revision: u64| TrackedJob {
        id: id.to_owned(),
        ownership: OwnershipVersion { epoch: 1, revision },
        is_stopping: false,
    };
    let tracked = [
        tracked_job(JOB, 3),
        tracked_job("job-over", 5),
        tracked_job("job-just-accepted", 12),
    ];
    let halted = planner.halted_jobs(&replica, &tracked);
    assert_eq!(halted, [JOB, "job-over"].map(str::to_owned).into());
    let local_jobs = LocalJobs {
        owned: Vec::new(),
        tracked: tracked.to_vec(),
    };
    let actions = plan_once(&mut planner, &replica, &local_jobs, now);
    insta::assert_snapshot!(trace_withdrawals(&actions));
}

/// A job is adopted once all jobs that it depends on are done, and cancelled if one of them was cancelled.
#[test]
fn dependent_job_is_adopted_or_cancelled_by_its_dependencies() {
    let now = Instant::now();
    let mut record = job_of("a");
    record.depends_on = vec!["job-7".to_owned()];
    let mut replica = replica_with(record, now);
    let id = |id: &str| id.to_owned();
    let plan = |replica: &LedgerReplica| {
        let mut planner = Planner::new("a", &config());
        let local_jobs = owned_in_state(LocalJobState::Absent);
        plan_once(&mut planner, replica, &local_jobs, now)
    };
    let read = Action::ReadFinalState { id: id("job-7") };
    assert_eq!(plan(&replica), [read]);
    insert_job(&mut replica, "job-7", job_of("b"));
    assert_eq!(plan(&replica), Vec::new());
    replica.record_final_state("job-7", FinalState::Done);
    assert_eq!(plan(&replica), [Action::Adopt { id: id(JOB) }]);
    let mut other = replica_with(replica.jobs[JOB].record.clone(), now);
    other.record_final_state("job-7", FinalState::Cancelled);
    assert_eq!(plan(&other), [Action::CancelInLedger { id: id(JOB) }]);
}

/// Jobs that have not started leave a cell that is being drained, regardless of how long they waited and how
/// often they spilled. No job is handed over to such a cell, and it takes over none.
#[test]
fn draining_cell_loses_its_unstarted_jobs_and_receives_none() {
    let now = Instant::now();
    let leaves = |replica: &LedgerReplica| {
        let mut planner = Planner::new("a", &config());
        let local_jobs = owned_in_state(open(false, 0));
        let actions = plan_once(&mut planner, replica, &local_jobs, now);
        matches!(actions[..], [Action::Withdraw { .. }])
    };
    let mut record = job_of("a");
    record.spill_count = 99;
    let mut replica = replica_with(record, now);
    assert!(!leaves(&replica));
    set_draining(&mut replica, "a");
    assert!(leaves(&replica));
    for cell in ["b", "c"] {
        set_draining(&mut replica, cell);
    }
    assert!(!leaves(&replica), "all other cells are being drained");
    set_absent(&mut replica, "a", now);
    let late = now + Duration::from_secs(1_000);
    let planner = Planner::new("b", &config());
    assert!(planner.takeover_candidates(&replica, late).is_empty());
}
