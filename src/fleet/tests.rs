use super::*;
use crate::membership::assignment::Member;
use crate::state::records::Versioned;

fn rental(machines: usize, name_bytes: usize) -> Rental {
    let machine = |n: usize| RentedMachine {
        name: format!("{n:0name_bytes$}"),
        owner: Member {
            name: format!("controller-{:08}", n % 9),
            incarnation: u64::MAX >> 12,
        },
        fencing_token: u64::MAX >> 11,
        state: MachineState::Releasing,
    };
    Rental {
        pool: MachinePool {
            machine_type: "a-kind-of-machine-with-a-long-name".into(),
            zone: "a-zone-with-a-long-name".into(),
            spot: true,
        },
        count: machines as u32,
        requested_ms: u64::MAX >> 11,
        unconfirmed: true,
        machines: (0..machines).map(machine).collect(),
    }
}

/// The state service rejects a record above its value limit, however often it is written. Under each limit, a rental
/// must not request more machines than fit into its record.
#[test]
fn a_rental_fits_its_record_under_any_limit_on_values() {
    let mut trace = String::new();
    for kib in [1, 2, 8, 32] {
        let max = max_machines_per_rental(kib * 1024);
        let bytes = serde_json::to_vec(&rental(max, 60)).unwrap().len();
        assert!(
            bytes <= kib * 1024,
            "a rental of {max} machines takes {bytes} bytes, more than {kib} KiB"
        );
        let records = 1122_usize.div_ceil(max);
        trace.push_str(&format!(
            "{kib} KiB: {max} machines per rental; 1122 machines are reassigned with {records} puts\n"
        ));
    }
    insta::assert_snapshot!(trace, @r"
    1 KiB: 2 machines per rental; 1122 machines are reassigned with 561 puts
    2 KiB: 9 machines per rental; 1122 machines are reassigned with 125 puts
    8 KiB: 50 machines per rental; 1122 machines are reassigned with 23 puts
    32 KiB: 50 machines per rental; 1122 machines are reassigned with 23 puts
    ");
}

/// Rentals are merged in one transaction, whose changes may be applied in any order. The tasks of a machine that
/// appeared to be released in between would be placed again.
#[test]
fn a_merged_rental_keeps_its_machines_in_any_order_of_changes() {
    let (mut small, mut other) = (rental(1, 4), rental(1, 4));
    small.machines[0].name = "vm-1".into();
    other.machines[0].name = "vm-2".into();
    let mut merged = small.clone();
    merged.machines.extend(other.machines.clone());
    for put_first in [true, false] {
        let mut fleet = Fleet::default();
        fleet.apply_put("r-1", small.clone(), 5);
        fleet.apply_put("r-2", other.clone(), 6);
        if put_first {
            fleet.apply_put("r-1", merged.clone(), 9);
            fleet.apply_delete("r-2", 9);
        } else {
            fleet.apply_delete("r-2", 9);
            fleet.apply_put("r-1", merged.clone(), 9);
        }
        assert_eq!(fleet.machines.len(), 2);
        assert_eq!(fleet.machines["vm-2"].rental, "r-1");
        assert_eq!(fleet.rentals.len(), 1);
    }
}

/// A rental of 50 machines that no longer fits into its record, because the value limit was lowered, is written in
/// parts. The replica keeps all its machines whichever part arrives first.
#[test]
fn a_rental_too_large_for_its_record_is_written_in_parts() {
    let mut old = rental(50, 9);
    old.unconfirmed = false;
    let versioned = Versioned {
        record: old.clone(),
        revision: 7,
    };
    assert_eq!(split_to_fit("r-1", versioned.clone(), 8192).len(), 1);
    let parts = split_to_fit("r-1", versioned, 1536);
    let names: Vec<_> = parts
        .iter()
        .map(|part| {
            let Versioned { record, revision } = &part.rental;
            format!("{}@{revision} of {}", part.name, record.machines.len())
        })
        .collect();
    insta::assert_snapshot!(names.join(", "), @r#"r-1@7 of 25, r-1.7-1@0 of 25"#);
    for reversed in [false, true] {
        let mut fleet = Fleet::default();
        fleet.apply_put("r-1", old.clone(), 7);
        let mut parts = parts.clone();
        if reversed {
            parts.reverse();
        }
        for part in parts {
            fleet.apply_put(&part.name, part.rental.record, 9);
        }
        assert_eq!(fleet.machines.len(), 50);
    }
}

#[test]
fn changed_machines_of_a_rental_share_one_record_and_released_ones_are_remembered() {
    let mut fleet = Fleet::default();
    fleet.apply_put("r-1", rental(3, 4), 7);
    let read: Rental =
        serde_json::from_str(&serde_json::to_string(&rental(3, 4)).unwrap()).unwrap();
    assert_eq!(read, rental(3, 4));
    let changed = fleet.with_machines_changed(["0000", "0002"], |m| {
        m.fencing_token += 1;
        m.name != "0002"
    });
    assert_eq!(changed.len(), 1);
    let versioned = changed["r-1"].clone();
    assert_eq!(
        versioned.revision, 7,
        "the precondition is the revision that was read"
    );
    fleet.apply_put("r-1", versioned.record, 9);
    assert!(fleet.was_released("0002") && !fleet.machines.contains_key("0002"));
    assert_eq!(fleet.machines["0000"].fencing_token, (u64::MAX >> 11) + 1);
    fleet.apply_put("r-1", rental(3, 4), 7);
    assert!(
        !fleet.machines.contains_key("0002"),
        "an older record that arrives late changes nothing"
    );
}
