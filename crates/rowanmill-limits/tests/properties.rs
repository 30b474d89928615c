//! Properties of targets, allocations, transfers, encoded keys and amounts for random input, and the rejection
//! of invalid input.

use proptest::prelude::*;
use rowanmill_limits::key::{decode_team, encode_team};
use rowanmill_limits::{
    AllocationDecision, AllocationRecord, LeaderView, LimitsConfig, MemberDemand, QuotaHolder,
    ResourceAmount, TeamLimit, TeamView, Versioned, WaitingUnit, allocation_targets,
    decide_allocation,
};
use std::time::Instant;

fn amount(max: u64) -> impl Strategy<Value = ResourceAmount> {
    (0..=max, 0..=max).prop_map(ResourceAmount::from)
}

fn demand(index: usize) -> impl Strategy<Value = MemberDemand> {
    let unit = (0..50u64, amount(3_000), any::<bool>());
    (
        any::<bool>(),
        amount(3_000),
        amount(9_000),
        amount(9_000),
        proptest::option::of(unit),
    )
        .prop_map(
            move |(lacks_machines, used, waiting, on_time, unit)| MemberDemand {
                member: format!("m{index}"),
                used,
                waiting,
                waiting_on_time: on_time.componentwise_min(waiting),
                oldest: unit.map(|(since_ms, need, is_gang)| WaitingUnit {
                    since_ms,
                    job: format!("job-{index}"),
                    need,
                    is_gang,
                }),
                lacks_machines,
            },
        )
}

fn members() -> impl Strategy<Value = Vec<MemberDemand>> {
    (1..6usize).prop_flat_map(|count| (0..count).map(demand).collect::<Vec<_>>())
}

fn sum(amounts: impl Iterator<Item = ResourceAmount>) -> ResourceAmount {
    amounts.sum()
}

fn limit_of(limit: ResourceAmount) -> TeamLimit {
    TeamLimit {
        micro_cpus: Some(limit.micro_cpus),
        micro_gpus: Some(limit.micro_gpus),
    }
}

proptest! {
    #[test]
    fn the_sum_of_targets_does_not_exceed_the_limit(limit in amount(20_000), members in members()) {
        let targets = allocation_targets(limit, &members);
        prop_assert!(sum(targets.into_iter()).fits_within(limit));
    }

    /// Each controller's allocation covers the usage of its tasks, and the sum of all allocations and of the
    /// usage of jobs without a controller does not exceed the limit. Nothing is allocated while the usage exceeds
    /// the limit, or before the replica has applied all changes up to the assignment.
    #[test]
    fn allocations_cover_what_is_in_use(
        limit in amount(20_000),
        members in members(),
        unowned in amount(2_000),
    ) {
        let view = LeaderView {
            limit: limit_of(limit),
            record: None,
            assignment_revision: 5,
            applied_revision: 9,
            members: &members,
            unowned,
        };
        let in_use = sum(members.iter().map(|m| m.used)).saturating_add(unowned);
        match decide_allocation(&view) {
            AllocationDecision::Allocate(record) => {
                prop_assert!(record.total_allocated().saturating_add(unowned).fits_within(limit));
                for member in &members {
                    prop_assert!(member.used.fits_within(record.allocation_of(&member.member)));
                }
            }
            AllocationDecision::Keep => prop_assert!(!in_use.fits_within(limit)),
            AllocationDecision::Freeze(_) => prop_assert!(false, "the leader freezes although there is no record"),
        }
        let behind = LeaderView { applied_revision: 4, ..view };
        prop_assert_eq!(decide_allocation(&behind), AllocationDecision::Keep);
    }

    /// A transfer moves only headroom that its sender does not use, and preserves the sum of the allocations.
    #[test]
    fn a_transfer_moves_nothing_that_is_used(
        members in members(),
        spare in amount(9_000),
        planned in amount(500),
    ) {
        let limit = sum(members.iter().map(|m| m.used)).saturating_add(spare).saturating_add(planned);
        let mut record = AllocationRecord::frozen(5, limit);
        for member in &members {
            record.allocations.insert(member.member.clone(), member.used);
        }
        let mine = members[0].used.saturating_add(spare).saturating_add(planned);
        record.allocations.insert("m0".into(), mine);
        let view = TeamView {
            limit: limit_of(limit),
            record: Some(Versioned { record: &record, revision: 7 }),
            assignment_revision: 5,
            applied_revision: 9,
            members: &members,
        };
        let charged = members[0].used.saturating_add(planned);
        let mut holder = QuotaHolder::new(LimitsConfig::default(), "m0");
        prop_assert!(holder.headroom("t", &view, charged).fits_within(spare));
        if let Some(change) = holder.next_change("t", &view, charged, Instant::now()) {
            prop_assert_eq!(change.base_revision, 7);
            prop_assert_eq!(change.record.total_allocated(), record.total_allocated());
            prop_assert!(charged.fits_within(change.record.allocation_of("m0")), "the allocation no longer covers the charged amount");
            prop_assert!(change.transferred.fits_within(spare));
            for member in &members[1..] {
                prop_assert!(member.used.fits_within(change.record.allocation_of(&member.member)));
            }
        }
    }

    #[test]
    fn an_encoded_key_identifies_one_team(team in "\\PC{0,20}", other in "\\PC{0,20}") {
        let encoded = encode_team(&team);
        prop_assert!(encoded.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/'));
        prop_assert_eq!(decode_team(&encoded), Some(team.clone()));
        prop_assert_eq!(team == other, encoded == encode_team(&other));
    }

    #[test]
    fn amounts_of_tasks_are_exact_to_a_unit(cpus in 0.0..64.0f64, tasks in 0..100_000u32) {
        let amount = ResourceAmount::for_tasks(cpus, 0.0, tasks).unwrap();
        let exact = cpus * f64::from(tasks);
        prop_assert!((amount.cpus() - exact).abs() <= 1e-6 * (1.0 + exact * 1e-9));
    }
}

/// Invalid amounts are rejected, and decimal fractions are counted exactly.
#[test]
fn invalid_amounts_are_rejected() {
    for bad in [-1.0, f64::NAN, f64::INFINITY, 1e12] {
        assert!(ResourceAmount::for_tasks(bad, 0.0, 1).is_err(), "{bad}");
        assert!(TeamLimit::from_settings(1.0, bad).is_err(), "{bad}");
    }
    let whole = ResourceAmount::for_tasks(0.1, 0.0, 30).unwrap();
    assert_eq!(
        whole.micro_cpus, 3_000_000,
        "30 times 0.1 CPUs are exactly 3"
    );
}

/// A record whose allocations exceed its limit is rejected, and so is a malformed one.
#[test]
fn records_that_exceed_their_limit_are_rejected() {
    let fine = r#"{"assignment":3,"limit":[10,2],"allotments":{"a":[6,1],"b":[4,1]}}"#;
    assert!(AllocationRecord::parse(fine).is_ok());
    for bad in [
        r#"{"assignment":3,"limit":[10,2],"allotments":{"a":[7,1],"b":[4,1]}}"#,
        r#"{"assignment":3,"limit":[10,2],"allotments":{"a":[-1,1]}}"#,
        r#"{"assignment":3,"limit":[10,2]}"#,
        "[]",
    ] {
        assert!(AllocationRecord::parse(bad).is_err(), "{bad}");
    }
}

#[test]
fn the_older_of_two_gangs_that_need_more_than_half_is_served_first() {
    let gang = |member: &str, since_ms: u64| MemberDemand {
        member: member.into(),
        waiting: ResourceAmount::from((70, 0)),
        oldest: Some(WaitingUnit {
            since_ms,
            job: format!("job-{member}"),
            need: ResourceAmount::from((70, 0)),
            is_gang: true,
        }),
        ..MemberDemand::default()
    };
    let targets = allocation_targets(
        ResourceAmount::from((100, 0)),
        &[gang("a", 2), gang("b", 1)],
    );
    assert!(targets[1].micro_cpus >= 70, "{targets:?}");
}
