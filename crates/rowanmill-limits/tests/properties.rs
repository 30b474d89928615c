//! The division, the targets and the transfers on drawn demands.

use proptest::prelude::*;
use rowanmill_limits::division::LeaderView;
use rowanmill_limits::record::{key_part, team_of};
use rowanmill_limits::{
    AllotmentRecord, Amount, Division, Holder, Limit, LimitsConfig, MemberDemand, TeamView,
    Versioned, WaitingUnit, divide, targets,
};
use std::time::Instant;

fn amount(most: u64) -> impl Strategy<Value = Amount> {
    (0..=most, 0..=most).prop_map(Amount::from)
}

fn demand(number: usize) -> impl Strategy<Value = MemberDemand> {
    let unit = (0..50u64, amount(3_000), any::<bool>());
    (
        amount(3_000),
        amount(9_000),
        amount(9_000),
        proptest::option::of(unit),
    )
        .prop_map(move |(used, waiting, timely, unit)| MemberDemand {
            member: format!("m{number}"),
            used,
            waiting,
            timely: timely.least(waiting),
            oldest: unit.map(|(since_ms, need, is_gang)| WaitingUnit {
                since_ms,
                job: format!("job-{number}"),
                need,
                is_gang,
            }),
        })
}

fn members() -> impl Strategy<Value = Vec<MemberDemand>> {
    (1..6usize).prop_flat_map(|count| (0..count).map(demand).collect::<Vec<_>>())
}

fn sum(amounts: impl Iterator<Item = Amount>) -> Amount {
    amounts.sum()
}

fn limit_of(limit: Amount) -> Limit {
    Limit {
        cpus: Some(limit.cpus),
        cards: Some(limit.cards),
    }
}

proptest! {
    #[test]
    fn targets_never_add_up_to_more_than_the_limit(limit in amount(20_000), members in members()) {
        let targets = targets(limit, &members);
        prop_assert!(sum(targets.into_iter()).fits(limit));
    }

    /// Whoever divides gives each at least what its tasks use, and all together no more than the limit.
    #[test]
    fn a_division_covers_what_is_in_use(
        limit in amount(20_000),
        members in members(),
        unowned in amount(2_000),
    ) {
        let view = LeaderView {
            limit: limit_of(limit),
            record: None,
            assignment: 5,
            revision: 9,
            members: &members,
            unowned,
        };
        let in_use = sum(members.iter().map(|m| m.used)).plus(unowned);
        match divide(&view) {
            Division::Divide(record) => {
                prop_assert!(record.allotted().plus(unowned).fits(limit));
                for member in &members {
                    prop_assert!(member.used.fits(record.of(&member.member)));
                }
            }
            Division::Keep => prop_assert!(!in_use.fits(limit)),
            Division::Freeze(_) => prop_assert!(false, "nothing can be started under no record"),
        }
        let unread = LeaderView { revision: 4, ..view };
        prop_assert_eq!(divide(&unread), Division::Keep);
    }

    /// A transfer moves what its holder does not use, and changes no sum.
    #[test]
    fn a_transfer_gives_away_nothing_that_is_used(
        members in members(),
        spare in amount(9_000),
        planned in amount(500),
    ) {
        let limit = sum(members.iter().map(|m| m.used)).plus(spare).plus(planned);
        let mut record = AllotmentRecord::frozen(5, limit);
        for member in &members {
            record.allotments.insert(member.member.clone(), member.used);
        }
        let mine = members[0].used.plus(spare).plus(planned);
        record.allotments.insert("m0".into(), mine);
        let view = TeamView {
            limit: limit_of(limit),
            record: Some(Versioned { record: &record, revision: 7 }),
            assignment: 5,
            revision: 9,
            members: &members,
        };
        let charged = members[0].used.plus(planned);
        let mut holder = Holder::new(LimitsConfig::default(), "m0");
        prop_assert!(holder.room("t", &view, charged).fits(spare));
        if let Some(change) = holder.next_change("t", &view, charged, Instant::now()) {
            prop_assert_eq!(change.follows, 7);
            prop_assert_eq!(change.record.allotted(), record.allotted());
            prop_assert!(charged.fits(change.record.of("m0")), "it keeps what it uses");
            prop_assert!(change.given.fits(spare));
            for member in &members[1..] {
                prop_assert!(member.used.fits(change.record.of(&member.member)));
            }
        }
    }

    #[test]
    fn a_key_names_one_team(team in "\\PC{0,20}", other in "\\PC{0,20}") {
        let part = key_part(&team);
        prop_assert!(part.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/'));
        prop_assert_eq!(team_of(&part), Some(team.clone()));
        prop_assert_eq!(team == other, part == key_part(&other));
    }

    #[test]
    fn tasks_are_counted_to_a_unit(cpus in 0.0..64.0f64, tasks in 0..100_000u32) {
        let amount = Amount::of_tasks(cpus, 0.0, tasks).unwrap();
        let exact = cpus * f64::from(tasks);
        prop_assert!((amount.cpus_f64() - exact).abs() <= 1e-6 * (1.0 + exact * 1e-9));
    }
}

#[test]
fn what_is_no_amount_is_refused() {
    for bad in [-1.0, f64::NAN, f64::INFINITY, 1e12] {
        assert!(Amount::of_tasks(bad, 0.0, 1).is_err(), "{bad}");
        assert!(Limit::of_settings(1.0, bad).is_err(), "{bad}");
    }
    let whole = Amount::of_tasks(0.1, 0.0, 30).unwrap();
    assert_eq!(whole.cpus, 3_000_000, "thirty tenths are three");
}

#[test]
fn records_that_allow_more_than_their_limit_are_refused() {
    let fine = r#"{"assignment":3,"limit":[10,2],"allotments":{"a":[6,1],"b":[4,1]}}"#;
    assert!(AllotmentRecord::parse(fine).is_ok());
    for bad in [
        r#"{"assignment":3,"limit":[10,2],"allotments":{"a":[7,1],"b":[4,1]}}"#,
        r#"{"assignment":3,"limit":[10,2],"allotments":{"a":[-1,1]}}"#,
        r#"{"assignment":3,"limit":[10,2]}"#,
        "[]",
    ] {
        assert!(AllotmentRecord::parse(bad).is_err(), "{bad}");
    }
}

#[test]
fn of_two_gangs_that_need_more_than_half_the_older_comes_first() {
    let gang = |member: &str, since_ms: u64| MemberDemand {
        member: member.into(),
        waiting: Amount::from((70, 0)),
        oldest: Some(WaitingUnit {
            since_ms,
            job: format!("job-{member}"),
            need: Amount::from((70, 0)),
            is_gang: true,
        }),
        ..MemberDemand::default()
    };
    let targets = targets(Amount::from((100, 0)), &[gang("a", 2), gang("b", 1)]);
    assert!(targets[1].cpus >= 70, "{targets:?}");
}
