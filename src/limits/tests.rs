use super::*;
use crate::jobs::pages::tests::plain_layout;
use crate::jobs::{TaskId, TaskRecord};
use rowanmill_limits::ResourceAmount;
use serde_json::{Value, json};
use std::time::Instant;

const OWN_NAME: &str = "n-0";

/// The state of one of two controllers. Team `t` has a limit of `cpus` CPUs, of which `micro_cpus` millionths
/// of a CPU are allocated to this controller; no jobs are assigned to the other.
fn core(cpus: f64, micro_cpus: u64) -> Core {
    let mut core = Core::new(plain_layout(8), Instant::now());
    let limit = TeamLimit::from_settings(cpus, 0.0).unwrap();
    let limits = BTreeMap::from([("t".to_owned(), limit)]);
    core.limits = TeamQuotas::new(LimitsConfig::default(), OWN_NAME, limits);
    let members = json!([{"name": OWN_NAME, "incarnation": 1}, {"name": "n-1", "incarnation": 1}]);
    let assignment = json!({"members": members, "teams": {}, "gangs": [0], "had_gangs": false,
        "slots": [0]});
    put(&mut core, "r/shares", assignment, 5);
    let limit = limit.as_amount();
    let record =
        json!({"assignment": 5, "limit": limit, "allotments": {OWN_NAME: [micro_cpus, 0]}});
    put(&mut core, "r/a/t", record, 6);
    core
}

fn put(core: &mut Core, key: &str, data: Value, revision: u64) {
    core.replica.apply_put(key, &data.to_string(), revision);
}

fn add_job(core: &mut Core, id: &str, shape: &str, tasks: u32) {
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

fn planned_starts(core: &Core) -> usize {
    core.pending_changes
        .iter()
        .map(|(_, changes)| changes.len())
        .sum()
}

/// Planned starts that the controller's allocation does not cover are discarded, gangs as a whole, also after the
/// allocation has become smaller. The charge for the others requires the record from which the headroom was computed.
#[test]
fn starts_that_the_allocation_does_not_cover_are_discarded() {
    let mut core = core(10.0, 5_000_000);
    add_job(&mut core, "job-1", "array", 4);
    add_job(&mut core, "job-2", "group", 3);
    (0..4).for_each(|task| plan_start(&mut core, "job-1", task));
    (0..3).for_each(|task| plan_start(&mut core, "job-2", task));
    core.pending_changes
        .rank_starts(["job-1", "job-2"].into_iter());
    discard_uncovered_starts(&mut core);
    assert_eq!(
        planned_starts(&core),
        4,
        "the gang does not fit beside the array"
    );
    let charge = core.limits.charge_for(&core, "job-1", 4).unwrap();
    assert_eq!(
        (charge.amount.micro_cpus, charge.record_revision),
        (4_000_000, 6)
    );
    assert_eq!(charge.precondition().key, "r/a/t");
    let smaller = json!({"assignment": 5, "limit": [10_000_000, 0], "allotments": {OWN_NAME: [2_500_000, 0]}});
    put(&mut core, "r/a/t", smaller, 8);
    discard_uncovered_starts(&mut core);
    assert_eq!(
        planned_starts(&core),
        2,
        "starts that 2.5 allocated CPUs cover"
    );
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
            json!({"assignment": 4, "limit": [10_000_000, 0], "allotments": {OWN_NAME: [1, 0]}}),
        ),
        (
            "r/a/t",
            json!({"assignment": 5, "limit": [9, 0], "allotments": {OWN_NAME: [9, 0]}}),
        ),
        ("r/a/t", json!("no record of ours")),
        (
            "r/shares",
            json!({"members": [{"name": OWN_NAME, "incarnation": 2}], "teams": {}, "gangs": [0],
            "had_gangs": false, "slots": [0]}),
        ),
    ] {
        let mut core = core(10.0, 10_000_000);
        add_job(&mut core, "job-1", "array", 1);
        plan_start(&mut core, "job-1", 0);
        put(&mut core, key, data.clone(), 9);
        discard_uncovered_starts(&mut core);
        assert_eq!(planned_starts(&core), 0, "starts with {key} = {data}");
    }
}

/// A start whose transaction got no answer stays charged until the team's record has changed and the replica has
/// applied all changes up to that one.
#[test]
fn a_start_in_doubt_is_charged_until_its_outcome_is_known() {
    let mut core = core(10.0, 4_000_000);
    add_job(&mut core, "job-1", "array", 8);
    let charge = core.limits.charge_for(&core, "job-1", 3).unwrap();
    core.limits.record_in_doubt(&charge);
    refresh_usage(&mut core);
    let headroom_cpus = |core: &Core| core.limits.divided_team(core, "t").unwrap().headroom().cpus;
    assert_eq!(headroom_cpus(&core), 1.0, "the start in doubt is charged");
    let again = json!({"assignment": 5, "limit": [10_000_000, 0], "allotments": {OWN_NAME: [4_000_000, 0]}});
    put(&mut core, "r/a/t", again, 9);
    refresh_usage(&mut core);
    assert_eq!(
        headroom_cpus(&core),
        1.0,
        "the controller's own change does not show that all earlier changes are applied"
    );
    core.replica.apply(Vec::new(), 9);
    refresh_usage(&mut core);
    assert_eq!(headroom_cpus(&core), 4.0, "the start is no longer in doubt");
}

/// Guards against a team that uses more than its limit: the headroom of a task that was only seen to be absent was used
/// again before its absence was recorded. Meanwhile its machine was reassigned to another controller, which started the
/// task again because it was still recorded as placed.
#[test]
fn only_completed_tasks_free_headroom_before_that_is_recorded() {
    let mut core = core(10.0, 3_000_000);
    add_job(&mut core, "job-1", "array", 8);
    let placed = json!([[1, "vm-1", 1], [1, "vm-1", 1], [1, "vm-1", 1]]);
    put(&mut core, "r/p/job-1/0", placed, 8);
    let headroom_cpus = |core: &mut Core| {
        refresh_usage(core);
        core.limits.divided_team(core, "t").unwrap().headroom().cpus
    };
    assert_eq!(headroom_cpus(&mut core), 0.0, "three tasks are placed");
    core.record_change(&TaskId::new("job-1", 0), TaskRecord::Waiting { last: 1 });
    assert_eq!(
        headroom_cpus(&mut core),
        0.0,
        "an absence frees no headroom before it is recorded"
    );
    core.record_change(&TaskId::new("job-1", 1), TaskRecord::Done);
    assert_eq!(
        headroom_cpus(&mut core),
        1.0,
        "a completion frees headroom at once"
    );
}

/// Guards against records that do not fit into a value of the state service. A team's allocation record for five
/// controllers takes at most 512 bytes. With a blocked gang in each of 200 teams, the published gangs take at most
/// `MAX_PUBLISHED_GANG_BYTES`. The 2,000 jobs belong to team `t`, which has no limit here, so no limit counts them.
#[test]
fn allocation_records_and_published_gangs_stay_small() {
    let members = 5;
    let mut record =
        AllocationRecord::frozen(u64::MAX >> 12, ResourceAmount::from((4 << 40, 4 << 40)));
    for member in 0..members {
        let name = format!("millstone-{member:06}");
        let allocation = ResourceAmount::from((1 << 40, 1 << 40));
        record.allocations.insert(name, allocation);
    }
    let bytes = serde_json::to_vec(&record).unwrap().len();
    assert!(bytes <= 512, "{bytes} bytes per team");
    let mut core = core(10.0, 0);
    let limit = TeamLimit::from_settings(1000.0, 0.0).unwrap();
    let teams = (0..200).map(|team| (format!("team-{team}"), limit));
    core.limits = TeamQuotas::new(LimitsConfig::default(), OWN_NAME, teams.collect());
    for number in 0..2000 {
        let id = format!("job-{number}");
        add_job(&mut core, &id, "array", 20);
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
        "{published} bytes of published gangs"
    );
}
