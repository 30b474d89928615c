use super::*;

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        name: name.into(),
        incarnation,
    }
}

fn show(assignment: &Assignment) -> String {
    let mut text = String::new();
    for (at, member) in assignment.members.iter().enumerate() {
        let slots = assignment.slots.iter().filter(|s| **s == at).count();
        let teams = assignment.teams.iter().filter(|t| *t.1 == at);
        let teams: Vec<&str> = teams.map(|t| t.0.as_str()).collect();
        let gangs = if assignment.gangs.contains(&at) {
            ", gangs"
        } else {
            ""
        };
        text.push_str(&format!(
            "{} ({}): {slots} slots{gangs} {teams:?}\n",
            member.name, member.incarnation
        ));
    }
    text
}

#[test]
fn jobs_are_reassigned_only_if_their_controller_left_and_teams_with_undivided_quotas_stay_whole() {
    let limited = BTreeMap::from([("plans".to_string(), 5.0), ("scores".to_string(), 3.0)]);
    let workload = Workload {
        undivided_teams: &limited,
        has_gangs: true,
    };
    let a = member("a", 1);
    let three: BTreeSet<Member> = ["a", "b", "c"].map(|n| member(n, 1)).into();
    let first = assign_jobs(&three, &a, &Assignment::default(), &workload);
    let two: BTreeSet<Member> = [member("a", 1), member("b", 1)].into();
    let after_end = assign_jobs(&two, &a, &first, &workload);
    // c is back within a moment: another incarnation, which owns nothing by right.
    let mut back = two.clone();
    back.insert(member("c", 2));
    let after_return = assign_jobs(&back, &a, &after_end, &workload);
    let kept = (0..SLOTS).filter(|s| {
        after_end.members[after_end.slots[*s]] == after_return.members[after_return.slots[*s]]
    });
    insta::assert_snapshot!(format!(
        "all there\n{}c ended\n{}c is back\n{}slots that stayed: {}",
        show(&first),
        show(&after_end),
        show(&after_return),
        kept.count()
    ), @r#"
    all there
    a (1): 22 slots ["scores"]
    b (1): 11 slots, gangs []
    c (1): 27 slots ["plans"]
    c ended
    a (1): 40 slots ["scores"]
    b (1): 20 slots, gangs ["plans"]
    c is back
    a (1): 22 slots ["scores"]
    b (1): 11 slots, gangs ["plans"]
    c (2): 27 slots []
    slots that stayed: 33
    "#);
}
