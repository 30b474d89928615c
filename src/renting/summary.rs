//! The record in which a controller publishes its forecast, and the sum of such records.
//!
//! The JSON is read by controllers of other versions, so its fields keep their names and their order.

use rowanmill_limits::WaitingUnit;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Demand for one machine type, as a controller sees it or as the leader adds it up.
///
/// Amounts of work count each task by the part of a machine that it fills. The paper's tasks are alike; here
/// a few gangs that wait for whole machines would be lost among thousands of small tasks.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct DemandForecast {
    /// Work that is late now: finished late since the last provisioning event, or waiting past its deadline.
    pub late_now: f64,
    /// All work of which `late_now` is a part.
    pub counted_now: f64,
    /// Work expected to be late among what is mapped up to the next provisioning event.
    pub late_next: f64,
    /// All work of which `late_next` is a part.
    pub counted_next: f64,
    /// Work on machines.
    pub running: f64,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks in the startup queue, N_s of equation 2.
    #[serde(rename = "startup")]
    pub startup_queue: u32,
    /// Machines that have not reported yet.
    pub booting: u32,
    /// Machines that the late tasks would fill.
    #[serde(rename = "wanted")]
    pub wanted_machines: f64,
    /// How many of these may be spot machines.
    #[serde(rename = "wanted_spot")]
    pub wanted_spot_machines: f64,
    /// Of other machine types that the late tasks may run on too, by name: how many they would fill.
    #[serde(
        rename = "wanted_else",
        default,
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    pub wanted_substitutes: BTreeMap<String, f64>,
    /// Tasks that arrived since the last provisioning event.
    pub arrived: u32,
    /// Tasks that finished since the last provisioning event.
    pub finished: u32,
    /// Machines past their hold to which nothing was mapped.
    #[serde(rename = "held")]
    pub idle: Vec<IdleMachine>,
    /// The same by their names alone, once no leader can be of the version before: five times as many fit
    /// the record.
    #[serde(rename = "idle", default, skip_serializing_if = "Vec::is_empty")]
    pub idle_names: Vec<String>,
}

/// A machine to which nothing was mapped.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IdleMachine {
    pub name: String,
    /// Seconds until the operators' hold on an idle machine is over; not above 0 if it is.
    pub remaining_hold_s: f64,
}

/// All that a controller publishes.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ForecastSummaryRecord {
    /// When it was made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Puts a second that the controller recently sent, so that others may use what it leaves of its share.
    #[serde(default)]
    pub puts_per_s: f64,
    /// Pages that it could not write in its recent cycles, on the mean, for want of puts.
    #[serde(rename = "unwritten", default, skip_serializing_if = "is_zero")]
    pub write_backlog: f64,
    /// It saw that the state service's lower limits are in force.
    #[serde(rename = "fallen", default, skip_serializing_if = "std::ops::Not::not")]
    pub has_lower_quota: bool,
    /// The forecasts by machine type.
    #[serde(rename = "kinds")]
    pub by_machine_type: BTreeMap<String, DemandForecast>,
    /// By team, the controller's gang that only the team's limit keeps from starting.
    #[serde(
        rename = "blocked",
        default,
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    pub blocked_gangs: BTreeMap<String, WaitingUnit>,
}

fn is_zero(count: &f64) -> bool {
    *count == 0.0
}

impl DemandForecast {
    /// Adds another controller's forecast for the same machine type.
    pub fn add(&mut self, other: &DemandForecast) {
        self.late_now += other.late_now;
        self.counted_now += other.counted_now;
        self.late_next += other.late_next;
        self.counted_next += other.counted_next;
        self.running += other.running;
        self.waiting += other.waiting;
        self.startup_queue += other.startup_queue;
        self.booting += other.booting;
        self.wanted_machines += other.wanted_machines;
        self.wanted_spot_machines += other.wanted_spot_machines;
        for (machine_type, wanted) in &other.wanted_substitutes {
            *self
                .wanted_substitutes
                .entry(machine_type.clone())
                .or_default() += wanted;
        }
        self.arrived += other.arrived;
        self.finished += other.finished;
        self.idle.extend(other.idle.iter().cloned());
        self.idle
            .extend(other.idle_names.iter().map(|name| IdleMachine {
                name: name.clone(),
                remaining_hold_s: 0.0,
            }));
    }

    /// Whether there is or was any work.
    pub fn has_work(&self) -> bool {
        self.counted_next + self.counted_now + self.running > 0.0
    }

    /// The present deadline miss rate, γ(t) of algorithm 1.
    pub fn miss_rate_now(&self) -> f64 {
        ratio(self.late_now, self.counted_now)
    }

    /// The deadline miss rate predicted for the next event, γ(t+1) of algorithm 1.
    pub fn miss_rate_next(&self) -> f64 {
        ratio(self.late_next, self.counted_next)
    }

    /// The predicted rate among all tasks, those on machines included: one late task must not keep a fleet
    /// that has no use for it.
    pub fn miss_rate_next_of_all(&self) -> f64 {
        ratio(self.late_next, self.counted_next + self.running)
    }
}

fn ratio(late: f64, counted: f64) -> f64 {
    if counted > 0.0 { late / counted } else { 0.0 }
}
