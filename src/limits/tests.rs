use super::*;
use crate::jobs::pages::tests::plain_layout;
use crate::jobs::{TaskId, TaskRecord};
use rowanmill_limits::ResourceAmount;
use serde_json::{Value, json};
use std::time::Instant;

const ME: &str = "n-0";

/// One of two controllers, of which the other places nothing, and team `t` with a limit of `cpus` CPUs, of
/// which `micro_cpus` millionths are allocated to this controller.
fn core(cpus: f64, micro_cpus: u64) -> Core {
    let mut core = Core::new(plain_layout(8), Instant::now());
    let limit = TeamLimit::from_settings(cpus, 0.0).unwrap();
    let limits = BTreeMap::from([("t".to_owned(), limit)]);
    core.limits = TeamQuotas::new(LimitsConfig::default(), ME, limits);
    let members = json!([{"name": ME, "incarnation": 1}, {"name": "n-1", "incarnation": 1}]);
    let assignment = json!({"members": members, "teams": {}, "gangs": [0], "had_gangs": false,
        "slots": [0]});
    put(&mut core, "r/shares", assignment, 5);
    let limit = limit.as_amount();
    let record = json!({"assignment": 5, "limit": limit, "allotments": {ME: [micro_cpus, 0]}});
    put(&mut core, "r/a/t", record, 6);
    core
}

fn put(core: &mut Core, key: &str, data: Value, revision: u64) {
    core.replica.apply_put(key, &data.to_string(), revision);
}

fn job(core: &mut Core, id: &str, shape: &str, tasks: u32) {
    let spec = json!({"nameId": id, "grist": "c", "crew": "t", "shape": shape, "urgency": "standard",
        "sacks": tasks, "cpus": 1.0, "cards": 0.0, "memGb": 1.0, "mould": "i", "pullGb": 1.0,
        "together": false, "spread": false, "borrowed": true, "grindS": 10.0, "bankS": 0.0,
        "bankWriteS": 0.0});
    let record = json!({"spec": spec, "accepted_ms": 0});
    put(core, &format!("r/j/{id}"), record, 7);
}

fn plan_start(core: &mut Core, id: &str, task: u32) {
    let entry = TaskRecord::Placed {
        attempt: 1,
        machine: "vm-1".into(),
        incarnation: 1,
    };
    core.record_change(&TaskId::new(id, task), entry);
}

fn planned(core: &Core) -> usize {
    core.pending_changes
        .iter()
        .map(|(_, changes)| changes.len())
        .sum()
}

/// The record may have changed since starts were planned: those that it no longer covers are withdrawn, gangs
/// as a whole, and the others are charged to it.
#[test]
fn starts_that_the_allocation_does_not_cover_are_withdrawn() {
    let mut core = core(10.0, 5_000_000);
    job(&mut core, "job-1", "array", 4);
    job(&mut core, "job-2", "group", 3);
    (0..4).for_each(|task| plan_start(&mut core, "job-1", task));
    (0..3).for_each(|task| plan_start(&mut core, "job-2", task));
    core.pending_changes
        .rank_starts(["job-1", "job-2"].into_iter());
    withdraw_uncovered_starts(&mut core);
    assert_eq!(planned(&core), 4, "the gang does not fit beside the array");
    let charge = core.limits.charge_for(&core, "job-1", 4).unwrap();
    assert_eq!(
        (charge.amount.micro_cpus, charge.record_revision),
        (4_000_000, 6)
    );
    assert_eq!(charge.precondition().key, "r/a/t");
    let smaller =
        json!({"assignment": 5, "limit": [10_000_000, 0], "allotments": {ME: [2_500_000, 0]}});
    put(&mut core, "r/a/t", smaller, 8);
    withdraw_uncovered_starts(&mut core);
    assert_eq!(planned(&core), 2);
}

#[test]
fn nothing_starts_without_a_valid_record() {
    for (key, data) in [
        (
            "r/a/t",
            json!({"assignment": 5, "limit": [10_000_000, 0], "allotments": {}}),
        ),
        (
            "r/a/t",
            json!({"assignment": 4, "limit": [10_000_000, 0], "allotments": {ME: [1, 0]}}),
        ),
        (
            "r/a/t",
            json!({"assignment": 5, "limit": [9, 0], "allotments": {ME: [9, 0]}}),
        ),
        ("r/a/t", json!("no record of ours")),
        (
            "r/shares",
            json!({"members": [{"name": ME, "incarnation": 2}], "teams": {}, "gangs": [0],
            "had_gangs": false, "slots": [0]}),
        ),
    ] {
        let mut core = core(10.0, 10_000_000);
        job(&mut core, "job-1", "array", 1);
        plan_start(&mut core, "job-1", 0);
        put(&mut core, key, data.clone(), 9);
        withdraw_uncovered_starts(&mut core);
        assert_eq!(planned(&core), 0, "{data}");
    }
}

/// A start in doubt stays charged until the record has changed and all changes up to then were applied.
#[test]
fn a_start_in_doubt_is_charged_until_its_outcome_is_known() {
    let mut core = core(10.0, 4_000_000);
    job(&mut core, "job-1", "array", 8);
    let charge = core.limits.charge_for(&core, "job-1", 3).unwrap();
    core.limits.record_in_doubt(&charge);
    refresh_usage(&mut core);
    let headroom_cpus = |core: &Core| core.limits.divided_team(core, "t").unwrap().headroom().cpus;
    assert_eq!(headroom_cpus(&core), 1.0);
    let again =
        json!({"assignment": 5, "limit": [10_000_000, 0], "allotments": {ME: [4_000_000, 0]}});
    put(&mut core, "r/a/t", again, 9);
    refresh_usage(&mut core);
    assert_eq!(
        headroom_cpus(&core),
        1.0,
        "our own change is no proof of what came before it"
    );
    core.replica.apply(Vec::new(), 9);
    refresh_usage(&mut core);
    assert_eq!(headroom_cpus(&core), 4.0);
}

/// Rule `quota`, found on the bench: a task was seen absent and its headroom used again; before the absence was
/// recorded its machine was reassigned to another controller, which started the task by the record.
#[test]
fn only_completed_tasks_free_headroom_before_that_is_recorded() {
    let mut core = core(10.0, 3_000_000);
    job(&mut core, "job-1", "array", 8);
    let placed = json!([[1, "vm-1", 1], [1, "vm-1", 1], [1, "vm-1", 1]]);
    put(&mut core, "r/p/job-1/0", placed, 8);
    let headroom_cpus = |core: &mut Core| {
        refresh_usage(core);
        core.limits.divided_team(core, "t").unwrap().headroom().cpus
    };
    assert_eq!(headroom_cpus(&mut core), 0.0);
    core.record_change(&TaskId::new("job-1", 0), TaskRecord::Waiting { last: 1 });
    assert_eq!(
        headroom_cpus(&mut core),
        0.0,
        "an absence that is not recorded may become void"
    );
    core.record_change(&TaskId::new("job-1", 1), TaskRecord::Done);
    assert_eq!(headroom_cpus(&mut core), 1.0);
}

/// The size of the records of 200 limited teams with 2,000 jobs.
#[test]
fn records_of_200_teams_stay_small() {
    let members = 5;
    let mut record =
        AllocationRecord::frozen(u64::MAX >> 12, ResourceAmount::from((4 << 40, 4 << 40)));
    for member in 0..members {
        let name = format!("millstone-{member:06}");
        let allocation = ResourceAmount::from((1 << 40, 1 << 40));
        record.allocations.insert(name, allocation);
    }
    let bytes = serde_json::to_vec(&record).unwrap().len();
    assert!(bytes <= 512, "{bytes} bytes a team");
    let mut core = core(10.0, 0);
    let limit = TeamLimit::from_settings(1000.0, 0.0).unwrap();
    let teams = (0..200).map(|team| (format!("team-{team}"), limit));
    core.limits = TeamQuotas::new(LimitsConfig::default(), ME, teams.collect());
    for number in 0..2000 {
        let id = format!("job-{number}");
        job(&mut core, &id, "array", 20);
    }
    refresh_usage(&mut core);
    assert_eq!(core.limits.divided_teams(&core).count(), 200);
    for team in 0..200 {
        let unit = WaitingUnit {
            since_ms: u64::MAX >> 12,
            job: "job-000000000".into(),
            need: ResourceAmount::from((1 << 40, 1 << 40)),
            is_gang: true,
        };
        core.limits
            .blocked_gangs
            .insert(format!("{team:060}"), unit);
    }
    let published = serde_json::to_vec(&core.limits.published_gangs())
        .unwrap()
        .len();
    assert!(
        published <= MAX_PUBLISHED_GANG_BYTES,
        "{published} bytes published"
    );
}
