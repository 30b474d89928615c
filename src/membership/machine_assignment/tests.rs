use super::*;

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        name: name.into(),
        incarnation,
    }
}

/// Demand of work that may use any machine.
fn any(machines: f64) -> MachineDemand {
    MachineDemand {
        any: machines,
        on_demand: 0.0,
    }
}

#[test]
fn machines_are_reassigned_by_demand_and_away_from_absent_controllers() {
    let (a, b, gone) = (member("a", 1), member("b", 1), member("c", 1));
    let machine = |name: &'static str, owner, tasks| AssignableMachine {
        name,
        machine_type: "m",
        zone: "z",
        spot: false,
        owner,
        tasks,
    };
    let machines = vec![
        machine("vm-1", &a, 3),
        machine("vm-2", &a, 0),
        machine("vm-3", &a, 1),
        machine("vm-4", &b, 2),
        machine("vm-5", &gone, 2),
    ];
    let present = BTreeSet::from([a.clone(), b.clone()]);
    let demand_of = |member: &Member, urgency, n: f64| {
        (
            (member.clone(), "m".to_string()),
            BTreeMap::from([(urgency, any(n))]),
        )
    };
    let show = |demand: &DemandByMember| -> String {
        assign_machines(&machines, &present, demand, 4)
            .iter()
            .map(|r| format!("{} to {}\n", r.machine, r.owner.name))
            .collect()
    };
    let (low, high) = (Urgency::BestEffort, Urgency::Standard);
    let equal = show(&BTreeMap::from([
        demand_of(&a, low, 1.0),
        demand_of(&b, low, 4.0),
    ]));
    let urgent = show(&BTreeMap::from([
        demand_of(&a, high, 4.0),
        demand_of(&b, low, 40.0),
    ]));
    insta::assert_snapshot!(format!("equal urgency\n{equal}more urgent work at a\n{urgent}"), @r"
    equal urgency
    vm-5 to b
    vm-2 to b
    more urgent work at a
    vm-5 to a
    ");
}

/// Some gangs need all their machines in one zone. Three controllers take over the machines of two zones, and each zone
/// is divided among as few controllers as possible.
#[test]
fn machines_of_a_zone_stay_together() {
    let gone = member("gone", 1);
    let names: Vec<String> = (0..60).map(|n| format!("vm-{n:02}")).collect();
    let machines: Vec<AssignableMachine> = names
        .iter()
        .enumerate()
        .map(|(n, name)| AssignableMachine {
            name,
            machine_type: "m",
            zone: if n % 2 == 0 { "east" } else { "west" },
            spot: false,
            owner: &gone,
            tasks: 1,
        })
        .collect();
    let present: BTreeSet<Member> = ["a", "b", "c"].map(|n| member(n, 1)).into();
    let level = |n: f64| BTreeMap::from([(Urgency::Standard, any(n))]);
    let demand: DemandByMember = present
        .iter()
        .map(|m| ((m.clone(), "m".to_string()), level(20.0)))
        .collect();
    let moves = assign_machines(&machines, &present, &demand, 0);
    let mut counts: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    for Reassignment { machine, owner } in &moves {
        let machine = machines.iter().find(|m| m.name == machine).unwrap();
        *counts.entry((&owner.name, machine.zone)).or_default() += 1;
    }
    insta::assert_snapshot!(format!("{counts:?}"), @r#"{("a", "west"): 20, ("b", "east"): 10, ("b", "west"): 10, ("c", "east"): 20}"#);
}

/// Guards against two cases of work that waited indefinitely although machines were idle. In one, two tasks that filled
/// half a machine waited at a controller without machines while the other controller had idle ones. In the other, 39 of
/// 4,000 machines stayed idle at one controller while tasks waited at the other.
#[test]
fn an_idle_machine_moves_to_a_controller_that_lacks_part_of_one_and_stays_there() {
    let (a, b) = (member("a", 1), member("b", 1));
    let present: BTreeSet<Member> = [a.clone(), b.clone()].into();
    let demand_of = |m: &Member, n: f64| {
        let levels = BTreeMap::from([(Urgency::Standard, any(n))]);
        ((m.clone(), "m".to_owned()), levels)
    };
    // The number of machines that move to b and to a.
    let moves = |machines: usize, of_a: usize, demand: (f64, f64)| {
        let names: Vec<String> = (0..machines).map(|n| format!("vm-{n:05}")).collect();
        let demand: DemandByMember = [demand_of(&a, demand.0), demand_of(&b, demand.1)].into();
        let machines: Vec<AssignableMachine> = names
            .iter()
            .enumerate()
            .map(|(n, name)| AssignableMachine {
                name,
                machine_type: "m",
                zone: "z",
                spot: false,
                owner: if n < of_a { &a } else { &b },
                tasks: 0,
            })
            .collect();
        let moves = assign_machines(&machines, &present, &demand, 10);
        let to_b = moves.iter().filter(|r| r.owner == b).count();
        (to_b, moves.len() - to_b)
    };
    assert_eq!(
        moves(4, 4, (1.5, 0.5)),
        (1, 0),
        "one machine moves to a deficit of half a machine"
    );
    assert_eq!(
        moves(4, 3, (1.5, 0.5)),
        (0, 0),
        "the machine does not move back"
    );
    assert_eq!(
        moves(2, 2, (1.5, 0.5)),
        (0, 0),
        "a surplus of half a machine moves no machine"
    );
    assert_eq!(
        moves(4_000, 2_039, (2_000.0, 2_000.0)),
        (39, 0),
        "the whole surplus moves"
    );
    assert_eq!(
        moves(4_000, 2_000, (2_000.0, 2_000.0)),
        (0, 0),
        "no machine moves without an imbalance"
    );
}
