use super::*;

fn pool<'a>(zone: &'a str, gpus: f64) -> MachinePoolFacts<'a> {
    MachinePoolFacts {
        machine_type: "m",
        cpus: 16.0,
        gpus,
        price: 1.0,
        zone,
        spot: false,
    }
}

fn at(text: &str) -> u64 {
    text.parse::<Timestamp>().unwrap().as_millisecond() as u64
}

fn policy(text: &str) -> Policy {
    Policy::parse(text).unwrap()
}

/// A protection from 01:00 to 02:30 local time while clocks change: in Los Angeles, the hour from 02:00 to 03:00
/// does not exist in March, and the hour from 01:00 to 02:00 occurs twice in November. Vancouver is not suitable
/// for this test: in the current time zone data, its clocks no longer change in November.
#[test]
fn protection_follows_local_time_when_clocks_change() {
    let policy = policy(
        "time_zone = \"America/Los_Angeles\"\nprotected = zone == \"kamloops\" and hour >= 1 and hour < 2.5",
    );
    let mut trace = String::new();
    for (season, times) in [
        (
            "spring",
            [
                "2026-03-08T08:59:00Z",
                "2026-03-08T09:00:00Z",
                "2026-03-08T09:59:00Z",
                "2026-03-08T10:00:00Z",
            ],
        ),
        (
            "autumn",
            [
                "2026-11-01T07:59:00Z",
                "2026-11-01T08:30:00Z",
                "2026-11-01T09:30:00Z",
                "2026-11-01T10:30:00Z",
            ],
        ),
    ] {
        for time in times {
            let local = local_time(&policy.time_zone, at(time));
            let is_protected = policy.is_protected(&pool("kamloops", 0.0), at(time));
            assert!(
                !policy.is_protected(&pool("victoria", 0.0), at(time)),
                "a pool in another zone is protected at {time}"
            );
            trace.push_str(&format!(
                "{season} {time}: {:.2} h, protected {is_protected}\n",
                local.hour
            ));
        }
    }
    insta::assert_snapshot!(trace, @r"
    spring 2026-03-08T08:59:00Z: 0.98 h, protected false
    spring 2026-03-08T09:00:00Z: 1.00 h, protected true
    spring 2026-03-08T09:59:00Z: 1.98 h, protected true
    spring 2026-03-08T10:00:00Z: 3.00 h, protected false
    autumn 2026-11-01T07:59:00Z: 0.98 h, protected false
    autumn 2026-11-01T08:30:00Z: 1.50 h, protected true
    autumn 2026-11-01T09:30:00Z: 1.50 h, protected true
    autumn 2026-11-01T10:30:00Z: 2.50 h, protected false
    ");
}

/// The end is found for a protection that lasts past midnight and for one that lasts a weekend. There is none for a
/// protection that never ends.
#[test]
fn end_of_a_protection_is_found_up_to_the_horizon() {
    let nightly = policy(
        "time_zone = \"Asia/Ho_Chi_Minh\"\nprotected = gpus > 0 and (hour >= 22 or hour < 5.5)",
    );
    let gpu_pool = pool("a", 2.0);
    let until = |policy: &Policy, now: &str| {
        let until = policy.protection_end_ms(&gpu_pool, at(now))?;
        let until = Timestamp::from_millisecond(until as i64).unwrap();
        Some(until.to_string())
    };
    // It is 23:10 local time, and the protection ends at 05:30.
    let end = until(&nightly, "2026-06-01T16:10:00Z");
    assert_eq!(end.as_deref(), Some("2026-06-01T22:30:00Z"));
    let weekend = policy("time_zone = \"Asia/Ho_Chi_Minh\"\nprotected = weekday >= 6");
    let end = until(&weekend, "2026-06-06T03:00:00Z");
    assert_eq!(end.as_deref(), Some("2026-06-07T17:00:00Z"));
    assert_eq!(
        until(&policy("protected = true"), "2026-06-06T03:00:00Z"),
        None
    );
}

/// The default policy protects nothing. Unknown and computed time zones, invalid protection expressions, and the facts
/// of a protection in other settings are rejected.
#[test]
fn invalid_time_zones_and_protections_are_rejected() {
    assert!(!Policy::default().has_protection());
    let invalid = [
        "time_zone = \"Asia/Danang\"",
        "time_zone = 7",
        "time_zone = if true then \"UTC\" else \"UTC\"",
        "protected = hour",
        "protected = zone == 7",
        "protected = waiting > 3",
        "hold = if hour > 3 then 1 else 2",
    ];
    let mut trace = String::new();
    for text in invalid {
        let problem = Policy::parse(text).expect_err(text);
        trace.push_str(&format!("{text}\n  {problem}\n"));
    }
    insta::assert_snapshot!(trace);
}
