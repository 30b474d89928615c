use super::*;

/// Tasks are lost if all workers are redirected in an outage of the state service, and also if all are kept in a
/// partition. In the outage the redirected worker returns; in the partition it does not.
#[test]
fn redirecting_one_worker_distinguishes_a_partition_from_an_outage() {
    let start = Instant::now();
    let mut trace = String::new();
    let mut heartbeat = |probe: &mut PartitionProbe, at: u64, machine: &str, is_isolated: bool| {
        let is_redirected = probe.redirects(machine, is_isolated, start + Duration::from_secs(at));
        let response = if is_redirected {
            "redirected"
        } else {
            "answered"
        };
        trace.push_str(&format!("{at} s {machine} {response}\n"));
    };
    let mut outage = PartitionProbe::default();
    for (at, machine) in [
        (1, "vm-1"),
        (2, "vm-2"),
        (3, "vm-1"),
        (8, "vm-2"),
        (10, "vm-3"),
    ] {
        heartbeat(&mut outage, at, machine, true);
    }
    heartbeat(&mut outage, 11, "vm-3", false);
    let mut partition = PartitionProbe::default();
    for (at, machine) in [
        (21, "vm-1"),
        (24, "vm-2"),
        (27, "vm-3"),
        (29, "vm-2"),
        (30, "vm-3"),
    ] {
        heartbeat(&mut partition, at, machine, true);
    }
    insta::assert_snapshot!(trace, @r"
    1 s vm-1 redirected
    2 s vm-2 answered
    3 s vm-1 answered
    8 s vm-2 answered
    10 s vm-3 redirected
    11 s vm-3 answered
    21 s vm-1 redirected
    24 s vm-2 answered
    27 s vm-3 answered
    29 s vm-2 redirected
    30 s vm-3 redirected
    ");
}
