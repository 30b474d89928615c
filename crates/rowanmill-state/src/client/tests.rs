use super::*;

/// A controller keeps to the lower limits once refusals show them, not for a single burst, and not where
/// none are announced.
#[test]
fn refusals_show_that_the_limits_fell() {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let quota = |writes_per_s| ServiceQuota {
        requests_per_s: 20.0,
        writes_per_s,
    };
    let client = StateClient::new(addr, quota(10.0), quota(7.0));
    let mut trace = String::new();
    let mut say = |what: &str, client: &StateClient| {
        let left = client.available_writes(WritePriority::Background);
        let rate = client.quota().writes_per_s;
        trace.push_str(&format!("{what}: {left} now, {rate} a second\n"));
    };
    say("at first", &client);
    client.record_refusal();
    say("one refusal", &client);
    client.record_refusal();
    client.record_refusal();
    say("three", &client);
    let unchanging = StateClient::new(addr, quota(10.0), quota(10.0));
    (0..5).for_each(|_| unchanging.record_refusal());
    assert!(!unchanging.has_lower_quota());
    let informed = StateClient::new(addr, quota(10.0), quota(7.0));
    informed.adopt_lower_quota();
    say("told by another", &informed);
    informed.set_peers_short_of_writes(true);
    assert!(informed.write_headroom() <= MAX_HEADROOM_WHILE_PEERS_SHORT);
    insta::assert_snapshot!(trace, @r#"
    at first: 8 now, 10 a second
    one refusal: 0 now, 10 a second
    three: 0 now, 7 a second
    told by another: 5 now, 7 a second
    "#);
}
