use super::*;

/// A client adopts the announced lower quota after three refusals or at another controller's report, but not after
/// a single refusal, and never if no lower quota is announced. Its write headroom is capped while other controllers
/// are short of writes.
#[test]
fn repeated_refusals_lower_the_quota() {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let quota = |writes_per_s| ServiceQuota {
        requests_per_s: 20.0,
        writes_per_s,
    };
    let client = StateClient::new(addr, quota(10.0), quota(7.0));
    let mut trace = String::new();
    let mut record = |label: &str, client: &StateClient| {
        let available = client.available_writes(WritePriority::Background);
        let rate = client.quota().writes_per_s;
        trace.push_str(&format!("{label}: {available} now, {rate} a second\n"));
    };
    record("at first", &client);
    client.record_refusal();
    record("one refusal", &client);
    client.record_refusal();
    client.record_refusal();
    record("three", &client);
    let never_lowered = StateClient::new(addr, quota(10.0), quota(10.0));
    (0..5).for_each(|_| never_lowered.record_refusal());
    assert!(!never_lowered.has_lower_quota());
    let informed = StateClient::new(addr, quota(10.0), quota(7.0));
    informed.adopt_lower_quota();
    record("told by another", &informed);
    informed.set_peers_short_of_writes(true);
    assert!(informed.write_headroom() <= MAX_HEADROOM_WHILE_PEERS_SHORT);
    insta::assert_snapshot!(trace, @r#"
    at first: 8 now, 10 a second
    one refusal: 0 now, 10 a second
    three: 0 now, 7 a second
    told by another: 5 now, 7 a second
    "#);
}
