use super::*;

#[test]
fn a_burst_shrinks_the_limit_and_calm_restores_it() {
    let limit = ConcurrencyLimit::new();
    let mut trace = String::new();
    let mut round = |what: &str, offered: u32, took_ms: u64| {
        let mut admitted = 0;
        for _ in 0..offered {
            if let Some(permit) = limit.try_acquire(1.0) {
                std::mem::forget(permit);
                admitted += 1;
            }
        }
        for _ in 0..admitted {
            limit.record_response(Duration::from_millis(took_ms));
        }
        let now = limit.state.lock().unwrap().limit;
        trace.push_str(&format!(
            "{what}: offered {offered}, let in {admitted}, refused {}, then limit {now:.0}\n",
            offered - admitted
        ));
    };
    round("calm", 10, 20);
    round("burst", 100, 900);
    round("burst", 100, 900);
    round("burst goes on", 100, 900);
    for _ in 0..20 {
        round("calm again", 100, 20);
    }
    insta::assert_snapshot!(trace);
}
