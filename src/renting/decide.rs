//! The leader's scaling decisions: the periodic policy at each provisioning event, and the remedial policy
//! between events. Both add requests to `ScalingState`, which `provision` and `release` carry out.

use super::rules::{
    ScalingDecision, min_k_for_workload, periodic_policy, remedial_policy, scale_in_candidates,
};
use super::state::{ScaleOutRequest, Substitute};
use super::summary::{DemandForecast, IdleMachine};
use crate::cells::protection;
use crate::cloud::MachineType;
use crate::fleet::Machine;
use crate::node::{Core, Node, age_s};
use crate::policy::MachineTypeFacts;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Upper bound on the k that is derived from arrival rates. With a larger k, the machines that late tasks would
/// fill limit the result anyway.
const MAX_K: f64 = 20.0;
/// Age in periods after which a forecast is ignored.
const FORECAST_LIFETIME_PERIODS: f64 = 2.5;
/// Lower bound on that age in seconds, for short periods.
const MIN_FORECAST_LIFETIME_S: f64 = 15.0;

/// Sums the recent forecasts of the present controllers by machine type.
pub(super) fn sum_forecasts(
    node: &Node,
    core: &Core,
    now_ms: u64,
) -> BTreeMap<String, DemandForecast> {
    let max_age_s = (node.policy.period_s * FORECAST_LIFETIME_PERIODS).max(MIN_FORECAST_LIFETIME_S);
    let mut sums: BTreeMap<String, DemandForecast> = BTreeMap::new();
    for member in core.replica.present_members() {
        let Some(summary) = core.replica.forecast_summaries.get(&member.name) else {
            continue;
        };
        if age_s(summary.record.at_ms, now_ms) > max_age_s {
            continue; // too old: made before the controller restarted, or the controller cannot publish
        }
        for (machine_type, forecast) in &summary.record.by_machine_type {
            sums.entry(machine_type.clone()).or_default().add(forecast);
        }
    }
    sums
}

/// The facts about a machine type that operators' expressions may refer to; `None` if the catalog lacks the type.
pub(super) fn machine_type_facts<'a>(
    core: &Core,
    name: &'a str,
    forecast: &DemandForecast,
) -> Option<MachineTypeFacts<'a>> {
    let machine_type = core.machine_type(name)?;
    let rate = core.scaling.arrival_rates.get(name);
    Some(MachineTypeFacts {
        machine_type: name,
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        price: machine_type.price,
        arrived: f64::from(forecast.arrived),
        usual: rate.copied().unwrap_or_default().usual_arrivals(),
        waiting: f64::from(forecast.waiting),
    })
}

/// Handles a provisioning event (algorithm 1 of the CVSS paper): decides for each machine type whether to rent,
/// release or hold.
pub fn apply_periodic_policy(node: &Node, core: &mut Core, now_ms: u64) {
    for (machine_type, forecast) in sum_forecasts(node, core, now_ms) {
        let Some(facts) = machine_type_facts(core, &machine_type, &forecast) else {
            continue;
        };
        match decide_periodic(node, core, &facts, &forecast) {
            ScalingDecision::ScaleOut(machines) => {
                // Booting machines are not subtracted: the forecast already counts on them, so work that is late is
                // late despite them.
                let count = machines.min(forecast.wanted_machines.ceil() as u32);
                if count > 0 {
                    let request = scale_out_request(node, core, &facts, &forecast, count);
                    core.scaling.scale_out_requests.push(request);
                }
            }
            ScalingDecision::ScaleIn => {
                let machines = machines_to_drain(node, core, &facts, &forecast, now_ms);
                for machine in &machines {
                    tracing::info!(machine, "machine selected for draining");
                }
                core.scaling.to_drain.extend(machines);
            }
            ScalingDecision::Hold => {}
        }
    }
}

fn decide_periodic(
    node: &Node,
    core: &Core,
    facts: &MachineTypeFacts<'_>,
    forecast: &DemandForecast,
) -> ScalingDecision {
    let parameters = node.policy.scaling_parameters(facts);
    let rate = core.scaling.arrival_rates.get(facts.machine_type);
    let rate = rate.copied().unwrap_or_default();
    let arrivals_k = rate.arrivals_per_completion().clamp(1.0, MAX_K);
    let k = arrivals_k.max(min_k_for_workload(forecast, &parameters));
    let decision = periodic_policy(forecast, &parameters, k);
    tracing::info!(
        machine_type = facts.machine_type,
        miss_rate_now = forecast.miss_rate_now(),
        miss_rate_next = forecast.miss_rate_next(),
        late = forecast.late_next,
        counted = forecast.counted_next,
        startup_queue = forecast.startup_queue,
        booting = forecast.booting,
        wanted = forecast.wanted_machines,
        k,
        ?decision,
        "scaling decided"
    );
    decision
}

/// Selects the idle machines to drain, among those that operators allow to be released.
fn machines_to_drain(
    node: &Node,
    core: &Core,
    facts: &MachineTypeFacts<'_>,
    forecast: &DemandForecast,
    now_ms: u64,
) -> Vec<String> {
    let machines = &core.replica.fleet.machines;
    let fleet_size = machines
        .values()
        .filter(|machine| machine.pool.machine_type == facts.machine_type)
        .count();
    let may_be_released = |idle: &&IdleMachine| {
        machines.get(&idle.name).is_some_and(|machine| {
            let pool = &machine.pool;
            node.policy.allows_release(facts, &pool.zone, pool.spot)
                && !is_protected(node, core, machine, now_ms)
        })
    };
    let idle = forecast.idle.iter().filter(may_be_released);
    let idle: Vec<IdleMachine> = idle.cloned().collect();
    let candidates = scale_in_candidates(&idle, fleet_size);
    let names = candidates.into_iter().map(|machine| machine.name.clone());
    names.collect()
}

/// Whether operators currently protect a machine from being drained to scale in.
fn is_protected(node: &Node, core: &Core, machine: &Machine, now_ms: u64) -> bool {
    let pool = &machine.pool;
    core.machine_type(&pool.machine_type)
        .is_some_and(|machine_type| {
            protection::is_protected(node, machine_type, &pool.zone, pool.spot, now_ms)
        })
}

/// Requests machines between provisioning events, by the length of the startup queue (equation 2), at most once
/// per period for each machine type.
pub fn apply_remedial_policy(node: &Node, core: &mut Core, now: Instant, now_ms: u64) {
    let period = Duration::from_secs_f64(node.policy.period_s);
    for (machine_type, forecast) in sum_forecasts(node, core, now_ms) {
        let last = core.scaling.last_remedial.get(&machine_type);
        if last.is_some_and(|last| now.saturating_duration_since(*last) < period) {
            continue;
        }
        let Some(facts) = machine_type_facts(core, &machine_type, &forecast) else {
            continue;
        };
        let expected = forecast.booting + requested_machines(core, &machine_type);
        let parameters = node.policy.scaling_parameters(&facts);
        let count = remedial_policy(forecast.startup_queue, expected, &parameters);
        if count == 0 {
            continue;
        }
        tracing::info!(
            machine_type,
            startup_queue = forecast.startup_queue,
            expected,
            count,
            "scale-out requested by the remedial policy"
        );
        let request = scale_out_request(node, core, &facts, &forecast, count);
        core.scaling.scale_out_requests.push(request);
        core.scaling.last_remedial.insert(machine_type, now);
    }
}

fn requested_machines(core: &Core, machine_type: &str) -> u32 {
    let requests = core.scaling.scale_out_requests.iter();
    requests
        .filter(|request| request.machine_type == machine_type)
        .map(|request| request.count)
        .sum()
}

/// Creates a request for `count` machines. The share that may be spot machines is the share of late work that
/// may run on them.
fn scale_out_request(
    node: &Node,
    core: &Core,
    facts: &MachineTypeFacts<'_>,
    forecast: &DemandForecast,
    count: u32,
) -> ScaleOutRequest {
    let spot_share = if forecast.wanted_machines > 0.0 {
        forecast.wanted_spot_machines / forecast.wanted_machines
    } else {
        0.0
    };
    let max_price = node.policy.max_price_ratio(facts) * facts.price;
    let wanted = forecast.wanted_substitutes.iter();
    let substitutes = wanted.filter_map(|(name, wanted)| {
        let machine_type = core.machine_type(name)?;
        substitute(machine_type, max_price, count.min(wanted.ceil() as u32))
    });
    ScaleOutRequest {
        machine_type: facts.machine_type.to_owned(),
        count,
        max_spot: (f64::from(count) * spot_share).round() as u32,
        spot_only: false,
        substitutes: substitutes.collect(),
    }
}

/// Returns a machine type as a substitute if its spot or on-demand price per hour is at most `max_price`.
fn substitute(machine_type: &MachineType, max_price: f64, count: u32) -> Option<Substitute> {
    let lowest_price = if machine_type.spot_price > 0.0 {
        machine_type.spot_price.min(machine_type.price)
    } else {
        machine_type.price
    };
    (lowest_price <= max_price).then(|| Substitute {
        machine_type: machine_type.name.clone(),
        count,
        spot_only: machine_type.price > max_price,
    })
}
