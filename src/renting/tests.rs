use super::*;

fn outlook(now: (i32, i32), next: (i32, i32)) -> Outlook {
    Outlook {
        late_now: now.0.into(),
        counted_now: now.1.into(),
        late_next: next.0.into(),
        counted_next: next.1.into(),
        ..Outlook::default()
    }
}

#[test]
fn bands_and_formulas() {
    let parameters = ScalingParameters {
        alpha: 0.02,
        beta: 0.2,
        theta: 10.0,
        k: 1.0,
    };
    let mut trace = String::new();
    for (now, next, k) in [
        ((0, 10), (0, 10), 1.0),
        ((0, 10), (1, 10), 1.0),
        ((0, 10), (2, 10), 1.0),
        ((1, 10), (5, 10), 1.0),
        ((1, 10), (5, 10), 2.5),
        ((6, 10), (5, 10), 1.0),
        ((3, 10), (0, 10), 1.0),
        ((0, 0), (0, 0), 1.0),
    ] {
        let verdict = periodic(&outlook(now, next), &parameters, k);
        trace.push_str(&format!("now {now:?} next {next:?} k {k} -> {verdict:?}\n"));
    }
    for counted in [10, 100, 1000] {
        let work = outlook((0, counted), (counted / 4, counted));
        let k = k_of_size(&work, &parameters).max(1.0);
        let verdict = periodic(&work, &parameters, k);
        trace.push_str(&format!(
            "a quarter late of {counted}, k {k} -> {verdict:?}\n"
        ));
    }
    for (startup, booting) in [(0, 0), (1, 0), (2, 0), (3, 0), (16, 0), (16, 5), (16, 9)] {
        let n = remedial(startup, booting, &parameters);
        trace.push_str(&format!(
            "startup {startup} booting {booting} -> rent {n}\n"
        ));
    }
    insta::assert_snapshot!(trace);
}
