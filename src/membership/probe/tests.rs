use super::*;

/// Work is lost either way: by redirecting all workers in an outage, and by keeping them in a partition.
#[test]
fn one_worker_tells_a_partition_from_an_outage() {
    let start = Instant::now();
    let mut trace = String::new();
    let mut say = |probe: &mut Probe, at: u64, machine: &str, alone: bool| {
        let sent_on = probe.redirects(machine, alone, start + Duration::from_secs(at));
        let what = if sent_on { "sent on" } else { "answered" };
        trace.push_str(&format!("{at} s {machine} {what}\n"));
    };
    let mut outage = Probe::default();
    for (at, machine) in [
        (1, "vm-1"),
        (2, "vm-2"),
        (3, "vm-1"),
        (8, "vm-2"),
        (10, "vm-3"),
    ] {
        say(&mut outage, at, machine, true);
    }
    say(&mut outage, 11, "vm-3", false);
    let mut partition = Probe::default();
    for (at, machine) in [
        (21, "vm-1"),
        (24, "vm-2"),
        (27, "vm-3"),
        (29, "vm-2"),
        (30, "vm-3"),
    ] {
        say(&mut partition, at, machine, true);
    }
    insta::assert_snapshot!(trace, @r"
    1 s vm-1 sent on
    2 s vm-2 answered
    3 s vm-1 answered
    8 s vm-2 answered
    10 s vm-3 sent on
    11 s vm-3 answered
    21 s vm-1 sent on
    24 s vm-2 answered
    27 s vm-3 answered
    29 s vm-2 sent on
    30 s vm-3 sent on
    ");
}
