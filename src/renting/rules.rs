//! The paper's two provisioning policies as pure functions of a forecast and the operators' parameters.

use super::summary::{DemandForecast, IdleMachine};
use crate::policy::ScalingParameters;

/// What the periodic policy makes of a forecast.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScalingDecision {
    /// Rent up to so many machines.
    ScaleOut(u32),
    /// Release machines that are idle and past their hold.
    ScaleIn,
    /// Change nothing: the miss rate is between the thresholds, or moves towards them.
    Hold,
}

/// The periodic policy (algorithm 1, section V.B). It rents n = ⌊k·γ(t+1)/β⌋ machines, at least one, if the
/// predicted miss rate γ(t+1) is at least β and not below the present rate γ(t). It releases if γ(t+1) is at
/// most α and not above γ(t).
pub fn periodic(
    forecast: &DemandForecast,
    parameters: &ScalingParameters,
    k: f64,
) -> ScalingDecision {
    let next = forecast.miss_rate_next();
    let variation = next - forecast.miss_rate_now();
    if variation >= 0.0 && next >= parameters.beta {
        let machines = (k.max(parameters.k) * next / parameters.beta).floor() as u32;
        ScalingDecision::ScaleOut(machines.max(1))
    } else if variation <= 0.0 && forecast.miss_rate_next_of_all() <= parameters.alpha {
        ScalingDecision::ScaleIn
    } else {
        ScalingDecision::Hold
    }
}

/// The least k of algorithm 1 that suits the amount of work: β times the counted work, so that the formula
/// gives the machines that the late work fills.
///
/// The paper turns a rate into machines by k alone, and its fleet had a few dozen. With k near 1 a fleet of a
/// thousand rented one machine a period, while hundreds were wanted. Late work that a rented machine would
/// not start sooner still rents none, as `DemandForecast::wanted_machines` limits the number.
pub fn k_for_amount_of_work(forecast: &DemandForecast, parameters: &ScalingParameters) -> f64 {
    forecast.counted_next * parameters.beta
}

/// The remedial policy (equation 2, section V.C): n = ⌊(N_s − 1)/(θ·β)⌋ machines for a startup queue of N_s
/// tasks, less those that boot or are requested already.
pub fn remedial(startup_queue: u32, booting: u32, parameters: &ScalingParameters) -> u32 {
    let waiting = f64::from(startup_queue) - 1.0;
    let machines = (waiting / (parameters.theta * parameters.beta)).floor();
    (machines.max(0.0) as u32).saturating_sub(booting)
}

/// The machines to drain, least remaining hold first, at most `max_machines`.
///
/// Algorithm 1 releases the one machine with the least remaining time (step 11). Here all go whose hold is
/// over and to which nothing was mapped: one a period would pay for a fleet that nobody needs.
pub fn scale_in_candidates(idle: &[IdleMachine], max_machines: usize) -> Vec<&IdleMachine> {
    let mut past_hold: Vec<&IdleMachine> = idle
        .iter()
        .filter(|machine| machine.remaining_hold_s <= 0.0)
        .collect();
    past_hold.sort_by(|a, b| a.remaining_hold_s.total_cmp(&b.remaining_hold_s));
    past_hold.truncate(max_machines);
    past_hold
}
