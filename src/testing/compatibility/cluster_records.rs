//! The records of rentals, controllers, the assignment, schema versions, forecasts and quota allocations.

use super::trace::Trace;
use crate::fleet::{MachinePool, MachineState, Rental, RentedMachine};
use crate::jobs::PageLayout;
use crate::membership::assignment::{Assignment, Member};
use crate::membership::schema_versions::{FeatureLevel, SchemaVersions};
use crate::renting::summary::{DemandForecast, ForecastSummaryRecord, IdleMachine};
use crate::state::RecordKey;
use crate::state::records::{LeaderRecord, PresenceRecord};
use rowanmill_limits::{AllocationRecord, ResourceAmount, WaitingUnit};
use serde_json::json;

fn member(number: u64) -> Member {
    Member {
        name: format!("millstone-{number}"),
        incarnation: 1_170_161_245_356_350 + number,
    }
}

#[test]
fn rental_record_keeps_its_json() {
    let mut trace = Trace::default();
    let requested = Rental {
        pool: MachinePool {
            machine_type: "m4".into(),
            zone: "a".into(),
            spot: false,
        },
        count: 4,
        requested_ms: 1_796_178_941_403,
        unconfirmed: true,
        machines: Vec::new(),
    };
    let key = || RecordKey::Rental("r-9-2").to_string();
    trace.add("requested, not answered", key(), &requested);
    let machine = |name: &str, owner, token, state| RentedMachine {
        name: name.into(),
        owner: member(owner),
        fencing_token: token,
        state,
    };
    let answered = Rental {
        pool: MachinePool {
            spot: true,
            ..requested.pool.clone()
        },
        unconfirmed: false,
        machines: vec![
            machine("vm-000005", 0, 9, MachineState::Active),
            machine("vm-000006", 1, 10, MachineState::Draining),
            machine("vm-000007", 0, 11, MachineState::Releasing),
        ],
        ..requested.clone()
    };
    trace.add("answered, each use of a machine", key(), &answered);
    let returned = Rental {
        unconfirmed: false,
        ..requested
    };
    trace.add("no machine left", key(), &returned);
    insta::assert_snapshot!("rental_record", trace.0);
}

#[test]
fn presence_record_keeps_its_json() {
    let mut trace = Trace::default();
    for (label, supported_level) in [
        ("the version before", FeatureLevel::NONE),
        ("present version", FeatureLevel::COMPACT_PAGES),
        ("divides limits", FeatureLevel::DIVIDED_QUOTAS),
    ] {
        let record = PresenceRecord {
            incarnation: 1_170_161_245_356_350,
            lease: 17,
            supported_level,
        };
        trace.add(
            label,
            RecordKey::Presence("millstone-0").to_string(),
            &record,
        );
    }
    insta::assert_snapshot!("presence_record", trace.0);
}

#[test]
fn leader_record_keeps_its_json() {
    let mut trace = Trace::default();
    let record = LeaderRecord {
        member: "millstone-0".into(),
        incarnation: 1_170_161_245_356_350,
        lease: 17,
    };
    trace.add("leader", RecordKey::Leader.to_string(), &record);
    insta::assert_snapshot!("leader_record", trace.0);
}

#[test]
fn assignment_record_keeps_its_json() {
    let mut trace = Trace::default();
    let key = || RecordKey::Assignment.to_string();
    trace.add("of nobody", key(), &Assignment::default());
    let record = Assignment {
        members: vec![member(0), member(1), member(2)],
        teams: [("film".to_owned(), 1), ("web".to_owned(), 0)].into(),
        gangs: vec![1, 2],
        had_gangs: true,
        slots: vec![0, 0, 1, 2],
    };
    trace.add("of three controllers", key(), &record);
    insta::assert_snapshot!("assignment_record", trace.0);
}

#[test]
fn schema_versions_record_keeps_its_json() {
    let mut trace = Trace::default();
    let key = || RecordKey::SchemaVersions.to_string();
    trace.add("nobody seen", key(), &SchemaVersions::default());
    let waiting = SchemaVersions {
        upgraded_members: ["millstone-0".to_owned(), "millstone-1".to_owned()].into(),
        layout: None,
    };
    trace.add("not all seen", key(), &waiting);
    // `value_bytes` comes from the process's own settings and is not stored.
    let activated = SchemaVersions {
        layout: Some(PageLayout {
            plain_tasks: 170,
            compact_tasks: 64,
            value_bytes: 0,
        }),
        ..waiting
    };
    trace.add("begun", key(), &activated);
    insta::assert_snapshot!("schema_versions_record", trace.0);
}

fn gang() -> WaitingUnit {
    WaitingUnit {
        since_ms: 1_796_178_938_037,
        job: "job-000412".into(),
        need: ResourceAmount {
            micro_cpus: 12_500_000,
            micro_gpus: 2_000_000,
        },
        is_gang: true,
    }
}

#[test]
fn forecast_summary_record_keeps_its_json() {
    let mut trace = Trace::default();
    let key = || RecordKey::ForecastSummary("millstone-0").to_string();
    trace.add("no field set", key(), &ForecastSummaryRecord::default());
    let plain = ForecastSummaryRecord {
        by_machine_type: [("m4".to_owned(), DemandForecast::default())].into(),
        ..ForecastSummaryRecord::default()
    };
    trace.add("a kind with no field set", key(), &plain);
    let forecast = DemandForecast {
        late_now: 0.5,
        counted_now: 19.75,
        late_next: 1.25,
        counted_next: 8.0,
        running: 1.5,
        waiting: 122,
        startup_queue: 2,
        booting: 3,
        wanted_machines: 4.5,
        wanted_spot_machines: 2.5,
        wanted_substitutes: [("g8".to_owned(), 0.75)].into(),
        arrived: 5,
        finished: 6,
        idle: vec![IdleMachine {
            name: "vm-000005".into(),
            remaining_hold_s: -12.5,
        }],
        idle_names: vec!["vm-000006".into(), "vm-000007".into()],
    };
    let full = ForecastSummaryRecord {
        at_ms: 1_796_178_943_111,
        puts_per_s: 3.9563055831410505,
        write_backlog: 0.25,
        has_lower_quota: true,
        by_machine_type: [("m4".to_owned(), forecast)].into(),
        blocked_gangs: [("film".to_owned(), gang())].into(),
    };
    trace.add("all fields set", key(), &full);
    insta::assert_snapshot!("forecast_summary_record", trace.0);
}

#[test]
fn quota_allocation_record_keeps_its_json() {
    let mut trace = Trace::default();
    let limit = ResourceAmount {
        micro_cpus: 64_000_000,
        micro_gpus: 8_000_000,
    };
    let frozen = AllocationRecord::frozen(31, limit);
    trace.add(
        "frozen",
        RecordKey::quota_allocations("film").to_string(),
        &frozen,
    );
    let half = ResourceAmount {
        micro_cpus: 32_000_000,
        micro_gpus: 0,
    };
    let members = [("millstone-0", half), ("millstone-1", half)];
    let divided = AllocationRecord {
        allocations: members
            .map(|(name, amount)| (name.to_owned(), amount))
            .into(),
        ..frozen
    };
    trace.add(
        "divided",
        RecordKey::quota_allocations("film").to_string(),
        &divided,
    );
    insta::assert_snapshot!("allotments_record", trace.0);
}

/// Records of an earlier version lack fields, and those of a later version have unknown ones.
#[test]
fn records_with_missing_or_unknown_fields_are_readable() {
    let presence = json!({"incarnation": 7, "lease": 8, "added_later": true});
    let read: PresenceRecord = serde_json::from_value(presence).unwrap();
    let expected = PresenceRecord {
        incarnation: 7,
        lease: 8,
        supported_level: FeatureLevel::NONE,
    };
    assert_eq!(read, expected);
    let summary = json!({"at_ms": 9, "kinds": {}, "added_later": [1]});
    let read: ForecastSummaryRecord = serde_json::from_value(summary).unwrap();
    let expected = ForecastSummaryRecord {
        at_ms: 9,
        ..ForecastSummaryRecord::default()
    };
    assert_eq!(read, expected);
    // An unknown machine state is read as `Releasing`, so that no task starts on the machine.
    let rental = json!({"kind": "m4", "zone": "a", "spot": true, "count": 1, "hired_ms": 5,
        "added_later": null, "owners": [["millstone-0", 3]], "machines": [["vm-1", 0, 9, 7]]});
    let read: Rental = serde_json::from_value(rental).unwrap();
    assert!(!read.unconfirmed);
    assert_eq!(read.machines[0].state, MachineState::Releasing);
    assert_eq!(read.machines[0].owner.name, "millstone-0");
}
