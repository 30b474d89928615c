//! Randomized simulations ("schedules") of three cells that share a ledger, in simulated time. Faults are injected:
//! ledger transactions whose responses are lost, writes that are carried out late, controllers that are paused,
//! restarted or disconnected from the ledger, and cells without room. Jobs are cancelled at random times. A checker
//! outside the cells verifies at every step which jobs the machines run and what users are told.

mod model;

use model::ledger::Ledger;
use model::{Defect, EventCounts, Model};
use rowanmill_cells::LedgerJob;
use rowanmill_cells::plan::{Action, HandoverReason};
use rowanmill_cells::record::{CapacitySummary, CellPresence, generation_key};
use rowanmill_cells::replica::LedgerReplica;
use rowanmill_cells::transaction::{self, LedgerChange, Transaction};
use serde_json::json;
use std::time::{Duration, Instant};

/// Number of schedules that CI runs.
const SEEDS: u64 = 120;
/// Number of schedules of the longer search.
const MANY_SEEDS: u64 = 4_000;

const JOB: &str = "job-1";
/// Maximum number of operations of a ledger transaction.
const MAX_OPERATIONS: usize = 8;

/// In every schedule, no job runs in two cells at a time, none starts after its cancellation was confirmed, and every
/// accepted job reaches exactly one final state.
#[test]
fn each_job_reaches_one_final_state_in_every_schedule() {
    let mut totals = EventCounts::default();
    for seed in 0..SEEDS {
        let mut model = Model::new(seed, Defect::None);
        model.run();
        let violations = model.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        totals += model.counts;
    }
    println!("{totals:?}");
    // The schedules must contain the events that they are meant to test.
    assert!(totals.late_writes_applied > 100 && totals.takeovers > 100 && totals.handovers > 100);
    assert!(totals.cancellations > 50 && totals.restarts > 50 && totals.readoptions > 10);
}

/// The checker detects violations: for each safeguard that is removed, some schedule violates an invariant.
#[test]
fn schedules_detect_each_defect() {
    let defects = [
        Defect::TakeOverAtOnce,
        Defect::StartWithoutRead,
        Defect::FinishWithoutPrecondition,
    ];
    for defect in defects {
        let detects = |seed: &u64| {
            let mut model = Model::new(*seed, defect);
            model.run();
            !model.violations().is_empty()
        };
        let detected_by = (0..SEEDS * 5).find(detects);
        println!("{defect:?}: detected by seed {detected_by:?}");
        assert!(detected_by.is_some(), "no schedule detects {defect:?}");
    }
}

fn presence() -> CellPresence {
    CellPresence {
        controller: "m-0".to_owned(),
        incarnation: 1,
        summary: CapacitySummary::default(),
    }
}

/// Publishes a job that cell `a` accepts.
fn publish_job(ledger: &mut Ledger, now: Instant) {
    let job = LedgerJob::accepted_by("a", 0, Vec::new(), json!({}));
    let transaction = transaction::publish(JOB, &job);
    ledger.commit(&transaction, now).unwrap();
}

fn replica_of(ledger: &Ledger, now: Instant) -> LedgerReplica {
    let mut replica = LedgerReplica::new(["a", "b"]);
    replica.apply_changes(ledger.changes_since(0), ledger.revision, now);
    replica
}

/// Registers cell `a` with a lease that is not renewed.
fn register_cell(ledger: &mut Ledger, now: Instant) {
    let replica = replica_of(ledger, now);
    let lease = ledger.create_lease(now + Ledger::CELL_LEASE);
    let transaction = transaction::register(&replica, "a", &presence(), lease);
    ledger.commit(&transaction, now).unwrap();
}

/// The transaction with which `cell` carries out an action.
fn transaction_for(replica: &LedgerReplica, cell: &str, action: &Action) -> Transaction {
    let change = LedgerChange::for_action(replica, cell, action, MAX_OPERATIONS);
    change.unwrap().transaction
}

/// A takeover is planned while a cell is absent, and committed after the cell has returned and become absent again.
/// The cell's tasks may still be running, so the takeover must fail. The precondition on the cell's generation, which
/// counts its registrations, prevents it. Hundreds of random schedules did not reach this case, so it is tested
/// separately, with and without the precondition.
#[test]
fn late_takeover_fails_once_the_cell_had_returned() {
    let takes_over = |with_generation: bool| {
        let start = Instant::now();
        let absent_at = start + Ledger::CELL_LEASE + Duration::from_secs(20);
        let mut ledger = Ledger::default();
        register_cell(&mut ledger, start);
        publish_job(&mut ledger, start);
        ledger.expire_leases(absent_at);
        let replica = replica_of(&ledger, absent_at);
        let take_over = Action::TakeOver {
            from: "a".to_owned(),
            ids: vec![JOB.to_owned()],
        };
        let mut takeover = transaction_for(&replica, "b", &take_over);
        if !with_generation {
            takeover
                .preconditions
                .retain(|precondition| precondition.key != generation_key("a"));
        }
        register_cell(&mut ledger, absent_at);
        let absent_again_at = absent_at + Ledger::CELL_LEASE;
        ledger.commit(&takeover, absent_again_at).is_ok()
    };
    assert!(!takes_over(true));
    assert!(
        takes_over(false),
        "without the precondition, the takeover must succeed"
    );
}

/// A handover gets no response, and the cell adopts the job again. If the handover were committed late, another cell
/// could run the job, too. The cell therefore reclaims the job before it adopts it: this changes the revision of the
/// job's record, which is a precondition of the late handover.
#[test]
fn late_handover_fails_once_the_cell_reclaimed_the_job() {
    let hands_over = |with_reclaim: bool| {
        let now = Instant::now();
        let mut ledger = Ledger::default();
        register_cell(&mut ledger, now);
        publish_job(&mut ledger, now);
        let replica = replica_of(&ledger, now);
        let id = JOB.to_owned();
        let hand_over = Action::HandOver {
            id: id.clone(),
            to: "b".to_owned(),
            reason: HandoverReason::Waited,
        };
        let handover = transaction_for(&replica, "a", &hand_over);
        if with_reclaim {
            let reclaim = transaction_for(&replica, "a", &Action::Reclaim { id });
            ledger.commit(&reclaim, now).unwrap();
        }
        ledger.commit(&handover, now).is_ok()
    };
    assert!(!hands_over(true));
    assert!(
        hands_over(false),
        "without the reclaim, the handover must succeed"
    );
}

/// Runs more schedules than CI has time for. Command:
/// `cargo test --release -p rowanmill-cells --test schedules -- --ignored --nocapture`.
#[test]
#[ignore = "a longer search"]
fn thousands_of_schedules() {
    let mut failing_seeds = Vec::new();
    for seed in 0..MANY_SEEDS {
        let mut model = Model::new(seed, Defect::None);
        model.run();
        if let Some(violation) = model.violations().first() {
            println!("seed {seed}: {violation}");
            failing_seeds.push(seed);
        }
    }
    assert!(failing_seeds.is_empty(), "{failing_seeds:?}");
}
