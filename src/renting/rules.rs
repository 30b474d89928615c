//! The CVSS paper's two provisioning policies, as pure functions of a forecast and the operators' parameters.

use super::summary::{DemandForecast, IdleMachine};
use crate::policy::ScalingParameters;

/// A decision of the periodic policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScalingDecision {
    /// Rent up to this many machines.
    ScaleOut(u32),
    /// Release idle machines whose hold is over.
    ScaleIn,
    /// Change nothing: the miss rate is between the thresholds, or is moving towards that range.
    Hold,
}

/// The periodic policy (algorithm 1, section V.B). It scales out by n = ⌊k·γ(t+1)/β⌋ machines, at least one, if
/// the predicted miss rate γ(t+1) is at least β and not below the current rate γ(t). It scales in if γ(t+1) is
/// not above γ(t), and is at most α with running work included.
pub fn periodic_policy(
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

/// The smallest k of algorithm 1 that suits the amount of work: β times the counted work. With it, the formula
/// yields the number of machines that the late work fills.
///
/// The paper converts a miss rate into a number of machines by k alone, for a fleet of a few dozen machines. With
/// k near 1, a fleet of a thousand machines rented one machine per period while it needed hundreds. Late work
/// that a new machine would not start sooner still rents none, because `DemandForecast::wanted_machines` limits
/// the number.
pub fn min_k_for_workload(forecast: &DemandForecast, parameters: &ScalingParameters) -> f64 {
    forecast.counted_next * parameters.beta
}

/// The remedial policy (equation 2, section V.C): n = ⌊(N_s − 1)/(θ·β)⌋ machines for a startup queue of N_s
/// tasks, minus the machines that are already booting or requested.
pub fn remedial_policy(startup_queue: u32, booting: u32, parameters: &ScalingParameters) -> u32 {
    let waiting = f64::from(startup_queue) - 1.0;
    let machines = (waiting / (parameters.theta * parameters.beta)).floor();
    (machines.max(0.0) as u32).saturating_sub(booting)
}

/// Selects the machines to drain, least remaining hold first, at most `max_machines`.
///
/// Algorithm 1 releases only the machine with the least remaining time (step 11). This selects all idle machines
/// whose hold is over: releasing one per period would keep paying for machines that nobody needs.
pub fn scale_in_candidates(idle: &[IdleMachine], max_machines: usize) -> Vec<&IdleMachine> {
    let mut past_hold: Vec<&IdleMachine> = idle
        .iter()
        .filter(|machine| machine.remaining_hold_s <= 0.0)
        .collect();
    past_hold.sort_by(|a, b| a.remaining_hold_s.total_cmp(&b.remaining_hold_s));
    past_hold.truncate(max_machines);
    past_hold
}
