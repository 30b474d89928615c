use super::*;

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        name: name.into(),
        incarnation,
    }
}

fn describe(assignment: &Assignment) -> String {
    let mut text = String::new();
    for (index, member) in assignment.members.iter().enumerate() {
        let slots = assignment.slots.iter().filter(|s| **s == index).count();
        let teams = assignment.teams.iter().filter(|t| *t.1 == index);
        let teams: Vec<&str> = teams.map(|t| t.0.as_str()).collect();
        let gangs = if assignment.gangs.contains(&index) {
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

/// When controllers leave or join, the others keep their teams with undivided quotas, and their hash slots up to their
/// share. Each such team is owned by one controller.
#[test]
fn present_controllers_keep_their_teams_and_their_hash_slots_up_to_their_share() {
    let undivided_teams = BTreeMap::from([("plans".to_string(), 5.0), ("scores".to_string(), 3.0)]);
    let workload = Workload {
        undivided_teams: &undivided_teams,
        has_gangs: true,
    };
    let a = member("a", 1);
    let three: BTreeSet<Member> = ["a", "b", "c"].map(|n| member(n, 1)).into();
    let first = assign_jobs(&three, &a, &Assignment::default(), &workload);
    let two: BTreeSet<Member> = [member("a", 1), member("b", 1)].into();
    let after_exit = assign_jobs(&two, &a, &first, &workload);
    // Controller c restarts. Its new incarnation inherits nothing from the previous one.
    let mut restarted = two.clone();
    restarted.insert(member("c", 2));
    let after_restart = assign_jobs(&restarted, &a, &after_exit, &workload);
    let unchanged = (0..SLOTS).filter(|s| {
        after_exit.members[after_exit.slots[*s]] == after_restart.members[after_restart.slots[*s]]
    });
    insta::assert_snapshot!(format!(
        "a, b and c\n{}c exited\n{}c restarted\n{}slots with unchanged owner: {}",
        describe(&first),
        describe(&after_exit),
        describe(&after_restart),
        unchanged.count()
    ), @r#"
    a, b and c
    a (1): 22 slots ["scores"]
    b (1): 11 slots, gangs []
    c (1): 27 slots ["plans"]
    c exited
    a (1): 40 slots ["scores"]
    b (1): 20 slots, gangs ["plans"]
    c restarted
    a (1): 22 slots ["scores"]
    b (1): 11 slots, gangs ["plans"]
    c (2): 27 slots []
    slots with unchanged owner: 33
    "#);
}
