use super::*;

#[test]
fn slow_responses_shrink_the_limit_and_fast_ones_raise_it() {
    let limit = ConcurrencyLimit::new();
    let mut trace = String::new();
    let mut run_round = |phase: &str, offered: u32, response_ms: u64| {
        let mut admitted = 0;
        for _ in 0..offered {
            if let Some(permit) = limit.try_acquire(1.0) {
                // Dropping the permit would record its own response time.
                std::mem::forget(permit);
                admitted += 1;
            }
        }
        for _ in 0..admitted {
            limit.record_response(Duration::from_millis(response_ms));
        }
        let current = limit.state.lock().unwrap().limit;
        trace.push_str(&format!(
            "{phase}: offered {offered}, let in {admitted}, refused {}, then limit {current:.0}\n",
            offered - admitted
        ));
    };
    run_round("calm", 10, 20);
    run_round("burst", 100, 900);
    run_round("burst", 100, 900);
    run_round("burst goes on", 100, 900);
    for _ in 0..20 {
        run_round("calm again", 100, 20);
    }
    insta::assert_snapshot!(trace);
}
