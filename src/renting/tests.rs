use super::rules::{ScalingDecision, min_k_for_workload, periodic_policy, remedial_policy};
use super::summary::DemandForecast;
use crate::policy::ScalingParameters;

/// Formats a decision with the variant names that the stored snapshot contains.
fn trace_decision(decision: ScalingDecision) -> String {
    match decision {
        ScalingDecision::ScaleOut(machines) => format!("Rent({machines})"),
        ScalingDecision::ScaleIn => "Return".to_owned(),
        ScalingDecision::Hold => "Keep".to_owned(),
    }
}

/// A forecast from the late and the counted work, now and as predicted for the next provisioning event.
fn forecast(now: (i32, i32), next: (i32, i32)) -> DemandForecast {
    DemandForecast {
        late_now: now.0.into(),
        counted_now: now.1.into(),
        late_next: next.0.into(),
        counted_next: next.1.into(),
        ..DemandForecast::default()
    }
}

#[test]
fn decisions_follow_the_thresholds_and_formulas() {
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
        let decision = trace_decision(periodic_policy(&forecast(now, next), &parameters, k));
        trace.push_str(&format!("now {now:?} next {next:?} k {k} -> {decision}\n"));
    }
    for counted in [10, 100, 1000] {
        let work = forecast((0, counted), (counted / 4, counted));
        let k = min_k_for_workload(&work, &parameters).max(1.0);
        let decision = trace_decision(periodic_policy(&work, &parameters, k));
        trace.push_str(&format!(
            "a quarter late of {counted}, k {k} -> {decision}\n"
        ));
    }
    for (startup, booting) in [(0, 0), (1, 0), (2, 0), (3, 0), (16, 0), (16, 5), (16, 9)] {
        let n = remedial_policy(startup, booting, &parameters);
        trace.push_str(&format!(
            "startup {startup} booting {booting} -> rent {n}\n"
        ));
    }
    insta::assert_snapshot!(trace);
}
