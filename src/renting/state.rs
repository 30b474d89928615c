//! What a controller keeps in memory for scaling. None of it is durable: a new leader starts afresh.

use super::release_decision::ReleaseReason;
use super::summary::ForecastSummaryRecord;
use crate::fleet::MachinePool;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

/// The state of scaling in this controller; what only the leader uses is marked so.
pub struct ScalingState {
    /// When this controller makes its next forecast.
    pub next_forecast: Instant,
    /// Leader: when it next decides by the periodic policy; none before the first event.
    pub next_provisioning_event: Option<Instant>,
    /// Leader: when the remedial policy last rented, by machine type.
    pub last_remedial: HashMap<String, Instant>,
    /// Leader: machines to be rented.
    pub scale_out_requests: Vec<ScaleOutRequest>,
    /// Machines whose release is in progress.
    pub releasing: BTreeMap<String, ReleaseReason>,
    /// Machines to be recorded as draining.
    pub to_drain: Vec<String>,
    /// Pools that the cloud had no capacity in, and until when they are not asked for.
    pub exhausted_pools: HashMap<MachinePool, Instant>,
    /// What finished since the last event, by machine type.
    pub completion_counts: HashMap<String, CompletionCounts>,
    /// By machine type, over the whole fleet.
    pub arrival_rates: HashMap<String, ArrivalRate>,
    /// Rentals recorded by this process, for their names.
    pub rental_count: u32,
    /// Leader: when it last looked for small rentals to merge.
    pub last_merge: Option<Instant>,
    /// The forecast to be published.
    pub pending_forecast: Option<ForecastSummaryRecord>,
    /// The forecast published last, and when.
    pub published_forecast: Option<(Instant, ForecastSummaryRecord)>,
}

impl ScalingState {
    /// The state of a controller that starts at `now`; its first forecast is due at once.
    pub fn new(now: Instant) -> Self {
        Self {
            next_forecast: now,
            next_provisioning_event: None,
            last_remedial: HashMap::new(),
            scale_out_requests: Vec::new(),
            releasing: BTreeMap::new(),
            to_drain: Vec::new(),
            exhausted_pools: HashMap::new(),
            completion_counts: HashMap::new(),
            arrival_rates: HashMap::new(),
            rental_count: 0,
            last_merge: None,
            pending_forecast: None,
            published_forecast: None,
        }
    }

    /// Whether the cloud recently had no capacity in some pool.
    pub fn has_exhausted_pool(&self, now: Instant) -> bool {
        self.exhausted_pools.values().any(|until| *until > now)
    }
}

/// Machines of a type to be rented.
#[derive(Debug, Clone, PartialEq)]
pub struct ScaleOutRequest {
    pub machine_type: String,
    pub count: u32,
    /// How many of them may be spot machines.
    pub max_spot: u32,
    /// None of them may be an on-demand machine.
    pub spot_only: bool,
    /// What may be rented instead if the cloud has no more of the type.
    pub substitutes: Vec<Substitute>,
}

/// Machines of another type that late work may run on too.
#[derive(Debug, Clone, PartialEq)]
pub struct Substitute {
    pub machine_type: String,
    pub count: u32,
    pub spot_only: bool,
}

/// Tasks finished since the last provisioning event.
#[derive(Debug, Clone, Copy, Default)]
pub struct CompletionCounts {
    pub finished: u32,
    /// Their work, by the part of a machine that each filled.
    pub finished_work: f64,
    /// The work of those that were late.
    pub late_work: f64,
}

/// Weights of the past and of the last period in a smoothed rate.
const PAST_WEIGHT: f64 = 0.7;
const PERIOD_WEIGHT: f64 = 0.3;

/// Smoothed tasks per period.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArrivalRate {
    arrivals: f64,
    completions: f64,
    arrivals_before_last_period: f64,
}

impl ArrivalRate {
    /// Takes in the tasks of a period.
    pub fn record_period(&mut self, arrived: u32, finished: u32) {
        self.arrivals_before_last_period = self.arrivals;
        self.arrivals = smoothed(self.arrivals, arrived);
        self.completions = smoothed(self.completions, finished);
    }

    /// Arrivals per period as they were before the last one: what is usual.
    pub fn usual_arrivals(&self) -> f64 {
        self.arrivals_before_last_period
    }

    /// Arrivals per completion, the paper's coefficient k "based on the arrival rate" (algorithm 1).
    pub fn arrivals_per_completion(&self) -> f64 {
        self.arrivals / self.completions.max(1.0)
    }
}

fn smoothed(past: f64, present: u32) -> f64 {
    past * PAST_WEIGHT + f64::from(present) * PERIOD_WEIGHT
}
