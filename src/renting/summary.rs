//! The record in which a controller publishes its forecast, and the sum of such records.
//!
//! Controllers of other versions read this JSON, so the names and the order of its fields must not change.

use rowanmill_limits::WaitingUnit;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Demand for one machine type, as one controller forecasts it or as the leader sums it.
///
/// Amounts of work weight each task by the fraction of a machine that it fills. The CVSS paper counts tasks, since
/// its tasks are alike; here, a few gangs that wait for whole machines would hardly count among thousands of small
/// tasks.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct DemandForecast {
    /// Work that is late now: finished late since the controller's last periodic forecast, or waiting past its
    /// deadline.
    pub late_now: f64,
    /// Total work that `late_now` is a part of.
    pub counted_now: f64,
    /// Waiting work that is expected to be late, as predicted for the next provisioning event.
    pub late_next: f64,
    /// Total work that `late_next` is a part of.
    pub counted_next: f64,
    /// Work of the tasks placed on machines.
    pub running: f64,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Length of the startup queue, N_s of equation 2.
    #[serde(rename = "startup")]
    pub startup_queue: u32,
    /// Number of machines that have not reported yet.
    pub booting: u32,
    /// Number of machines that would be filled by those late tasks that new machines help.
    #[serde(rename = "wanted")]
    pub wanted_machines: f64,
    /// How many of these may be spot machines.
    #[serde(rename = "wanted_spot")]
    pub wanted_spot_machines: f64,
    /// For each other machine type that these tasks may run on: the number of machines that they would fill.
    #[serde(
        rename = "wanted_else",
        default,
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    pub wanted_substitutes: BTreeMap<String, f64>,
    /// Number of tasks that arrived within the last period.
    pub arrived: u32,
    /// Number of tasks that finished since the controller's last periodic forecast.
    pub finished: u32,
    /// Idle machines whose hold is over and to which the forecast mapped no task.
    #[serde(rename = "held")]
    pub idle: Vec<IdleMachine>,
    /// The same machines by name only, used once no controller of the previous version can be the leader. Five
    /// times as many fit into the record.
    #[serde(rename = "idle", default, skip_serializing_if = "Vec::is_empty")]
    pub idle_names: Vec<String>,
}

/// An idle machine to which the forecast mapped no task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IdleMachine {
    pub name: String,
    /// Seconds until the operators' hold on the idle machine is over; 0 or negative once it is.
    pub remaining_hold_s: f64,
}

/// What a controller publishes: its forecasts, the state of its writes, and its gangs that are blocked by team
/// limits.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ForecastSummaryRecord {
    /// Time of the forecast, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Puts per second that the controller recently sent. Others may use what it leaves of its share.
    #[serde(default)]
    pub puts_per_s: f64,
    /// Smoothed number of pages per cycle that it could not write because its puts were used up.
    #[serde(rename = "unwritten", default, skip_serializing_if = "is_zero")]
    pub write_backlog: f64,
    /// Whether it knows that the state service's lower limits are in force.
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

    /// Whether any work is waiting, running, or finished since the last periodic forecast.
    pub fn has_work(&self) -> bool {
        self.counted_next + self.counted_now + self.running > 0.0
    }

    /// The current deadline miss rate, γ(t) of algorithm 1.
    pub fn miss_rate_now(&self) -> f64 {
        ratio(self.late_now, self.counted_now)
    }

    /// The deadline miss rate predicted for the next event, γ(t+1) of algorithm 1.
    pub fn miss_rate_next(&self) -> f64 {
        ratio(self.late_next, self.counted_next)
    }

    /// The predicted deadline miss rate of all work, including running work. It is used for scaling in, because a
    /// single late task must not prevent the release of idle machines.
    pub fn miss_rate_next_of_all(&self) -> f64 {
        ratio(self.late_next, self.counted_next + self.running)
    }
}

fn ratio(late: f64, counted: f64) -> f64 {
    if counted > 0.0 { late / counted } else { 0.0 }
}
