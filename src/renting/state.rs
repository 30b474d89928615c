//! In-memory state of a controller for scaling. It is not durable, and a new leader does not get the
//! state of the previous one.

use super::release_decision::ReleaseReason;
use super::summary::ForecastSummaryRecord;
use crate::fleet::MachinePool;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

/// Scaling state of this controller. Fields marked "Leader" are used on the leader only.
pub struct ScalingState {
    /// When the next periodic forecast of this controller is due.
    pub next_forecast: Instant,
    /// Leader: when the periodic policy is applied next; `None` before the first provisioning event.
    pub next_provisioning_event: Option<Instant>,
    /// Leader: when the remedial policy last requested machines, by machine type.
    pub last_remedial: HashMap<String, Instant>,
    /// Leader: requests for machines that have not been sent to the cloud.
    pub scale_out_requests: Vec<ScaleOutRequest>,
    /// Machines whose release is in progress.
    pub releasing: BTreeMap<String, ReleaseReason>,
    /// Leader: machines to be recorded as draining.
    pub to_drain: Vec<String>,
    /// Pools in which the cloud had no capacity, with the time until which they are not requested again.
    pub exhausted_pools: HashMap<MachinePool, Instant>,
    /// Tasks that finished since this controller's last periodic forecast, by machine type.
    pub completion_counts: HashMap<String, CompletionCounts>,
    /// Arrival and completion rates over all controllers, by machine type.
    pub arrival_rates: HashMap<String, ArrivalRate>,
    /// Number of rentals that this process has named; part of their names.
    pub rental_count: u32,
    /// Leader: when it last looked for small rentals to merge.
    pub last_merge: Option<Instant>,
    /// The forecast to publish next.
    pub pending_forecast: Option<ForecastSummaryRecord>,
    /// When the last forecast was published, and that forecast.
    pub published_forecast: Option<(Instant, ForecastSummaryRecord)>,
}

impl ScalingState {
    /// Creates the state of a controller that starts at `now`. Its first forecast is due at once.
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

    /// Whether the cloud recently had no capacity in at least one pool.
    pub fn has_exhausted_pool(&self, now: Instant) -> bool {
        self.exhausted_pools.values().any(|until| *until > now)
    }
}

/// A request to rent machines of one type.
#[derive(Debug, Clone, PartialEq)]
pub struct ScaleOutRequest {
    pub machine_type: String,
    pub count: u32,
    /// Maximum number of spot machines among them.
    pub max_spot: u32,
    /// Whether only spot machines may be rented.
    pub spot_only: bool,
    /// What may be rented instead if the cloud has no more machines of the type.
    pub substitutes: Vec<Substitute>,
}

/// Machines of another type that can also run the late work.
#[derive(Debug, Clone, PartialEq)]
pub struct Substitute {
    pub machine_type: String,
    pub count: u32,
    pub spot_only: bool,
}

/// Counts of tasks that finished since a controller's last periodic forecast.
#[derive(Debug, Clone, Copy, Default)]
pub struct CompletionCounts {
    pub finished: u32,
    /// Amount of their work: the sum of the fractions of a machine that they filled.
    pub finished_work: f64,
    /// Amount of work of those tasks that were late.
    pub late_work: f64,
}

/// Weights of the past and of the last period in a smoothed rate.
const PAST_WEIGHT: f64 = 0.7;
const PERIOD_WEIGHT: f64 = 0.3;

/// Exponentially smoothed numbers of tasks per period.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArrivalRate {
    arrivals: f64,
    completions: f64,
    arrivals_before_last_period: f64,
}

impl ArrivalRate {
    /// Adds the numbers of tasks of one period.
    pub fn record_period(&mut self, arrived: u32, finished: u32) {
        self.arrivals_before_last_period = self.arrivals;
        self.arrivals = smoothed(self.arrivals, arrived);
        self.completions = smoothed(self.completions, finished);
    }

    /// Usual arrivals per period: the smoothed rate without the last period.
    pub fn usual_arrivals(&self) -> f64 {
        self.arrivals_before_last_period
    }

    /// Arrivals per completion. This is the CVSS paper's coefficient k, "based on the arrival rate" (algorithm 1).
    pub fn arrivals_per_completion(&self) -> f64 {
        self.arrivals / self.completions.max(1.0)
    }
}

fn smoothed(past: f64, present: u32) -> f64 {
    past * PAST_WEIGHT + f64::from(present) * PERIOD_WEIGHT
}
