use super::*;

/// Without being told, a node keeps to the lower limits once refusals show
/// them, not for a single burst, and not where none are to come.
#[test]
fn refusals_show_that_the_limits_fell() {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let share = |writes| StateShare {
        requests: 20.0,
        writes,
    };
    let client = StateClient::new(addr, share(10.0), share(7.0));
    let mut trace = String::new();
    let mut say = |what: &str, client: &StateClient| {
        let left = client.writes_left(Need::Own);
        let rate = client.part().writes;
        trace.push_str(&format!("{what}: {left} now, {rate} a second\n"));
    };
    say("at first", &client);
    client.note_refusal();
    say("one refusal", &client);
    client.note_refusal();
    client.note_refusal();
    say("three", &client);
    let unchanging = StateClient::new(addr, share(10.0), share(10.0));
    (0..5).for_each(|_| unchanging.note_refusal());
    assert!(!unchanging.has_fallen());
    let told = StateClient::new(addr, share(10.0), share(7.0));
    told.fall();
    say("told by another", &told);
    told.set_others_lack(true);
    assert!(told.writes_at_ease() <= LEFT_TO_OTHERS);
    insta::assert_snapshot!(trace, @r#"
    at first: 8 now, 10 a second
    one refusal: 0 now, 10 a second
    three: 0 now, 7 a second
    told by another: 5 now, 7 a second
    "#);
}
