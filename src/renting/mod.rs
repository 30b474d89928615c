//! When to rent and when to return: the paper's periodic and remedial rules, per kind of machine.

pub mod decide;
mod provision;
mod release;
pub mod service;

use crate::policy::ScalingParameters;
use rowanmill_limits::WaitingUnit;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a controller publishes each period for a kind of machine; the leader sums them.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Outlook {
    /// Late now: finished late since the last event, and waiting past their time. The paper's
    /// tasks are alike; ours count by the part of a machine that each fills, or else a few gangs
    /// that wait for whole machines would be lost among thousands of small tasks.
    pub late_now: f64,
    pub counted_now: f64,
    /// Expected late among those mapped to the next event.
    pub late_next: f64,
    pub counted_next: f64,
    /// On machines.
    pub running: f64,
    /// Tasks that wait.
    pub waiting: u32,
    /// The startup queue's length.
    pub startup: u32,
    /// Machines not up yet.
    pub booting: u32,
    /// Machines that the late tasks would fill, and how many of these may be spot machines.
    pub wanted: f64,
    pub wanted_spot: f64,
    /// Of another kind, by its name, that the late tasks may run on too: how many machines of it
    /// they would fill.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub wanted_else: BTreeMap<String, f64>,
    /// Tasks that came and that finished since the last event.
    pub arrived: u32,
    pub finished: u32,
    /// Machines past their hold that the mapping has no use for.
    pub held: Vec<Held>,
    /// The same, by their names alone, once no leader can be of the version before: five times as many
    /// fit the record.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub idle: Vec<String>,
}

/// All that a controller publishes.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ForecastSummaryRecord {
    pub at_ms: u64,
    /// What it wrote of late, so that others may use what it leaves of its part.
    #[serde(default)]
    pub puts_per_s: f64,
    /// Pages that it could not write at its last turns, on the mean, for want of puts.
    #[serde(default, skip_serializing_if = "is_none")]
    pub unwritten: f64,
    /// It saw that the state service's lower limits hold.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub fallen: bool,
    pub kinds: BTreeMap<String, Outlook>,
    /// By team, the gang there that only the team's limit keeps from starting.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub blocked: BTreeMap<String, WaitingUnit>,
}

fn is_none(count: &f64) -> bool {
    *count == 0.0
}

impl Outlook {
    pub fn add(&mut self, other: &Outlook) {
        self.late_now += other.late_now;
        self.counted_now += other.counted_now;
        self.late_next += other.late_next;
        self.counted_next += other.counted_next;
        self.running += other.running;
        self.waiting += other.waiting;
        self.startup += other.startup;
        self.booting += other.booting;
        self.wanted += other.wanted;
        self.wanted_spot += other.wanted_spot;
        for (kind, wanted) in &other.wanted_else {
            *self.wanted_else.entry(kind.clone()).or_default() += wanted;
        }
        self.arrived += other.arrived;
        self.finished += other.finished;
        self.held.extend(other.held.iter().cloned());
        self.held.extend(other.idle.iter().map(|name| Held {
            name: name.clone(),
            remaining_hold_s: 0.0,
        }));
    }

    pub fn rate_now(&self) -> f64 {
        rate(self.late_now, self.counted_now)
    }

    /// The predicted rate among all tasks, those on machines included: one late task must not
    /// keep a fleet that has no use for it.
    pub fn rate_of_all(&self) -> f64 {
        rate(self.late_next, self.counted_next + self.running)
    }

    pub fn rate_next(&self) -> f64 {
        rate(self.late_next, self.counted_next)
    }
}

fn rate(late: f64, counted: f64) -> f64 {
    if counted > 0.0 { late / counted } else { 0.0 }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Rent(u32),
    Return,
    Keep,
}

/// The periodic rule (the paper's algorithm 1).
pub fn periodic(outlook: &Outlook, parameters: &ScalingParameters, k: f64) -> Verdict {
    let (now, next) = (outlook.rate_now(), outlook.rate_next());
    let change = next - now;
    if change >= 0.0 && next >= parameters.beta {
        let n = (k.max(parameters.k) * next / parameters.beta).floor() as u32;
        Verdict::Rent(n.max(1))
    } else if change <= 0.0 && outlook.rate_of_all() <= parameters.alpha {
        Verdict::Return
    } else {
        Verdict::Keep
    }
}

/// The paper's formula turns a rate into machines by k alone, and its fleet had a few dozen. The
/// same rate of a thousand machines' work rented one machine a period there, while hundreds were
/// wanted: so k grows with the work that the rate is a part of, until the formula gives what the
/// late work fills. What it would not start sooner is still not rented.
pub fn k_of_size(outlook: &Outlook, parameters: &ScalingParameters) -> f64 {
    outlook.counted_next * parameters.beta
}

/// The remedial rule (equation 2), less what is booting.
pub fn remedial(startup: u32, booting: u32, parameters: &ScalingParameters) -> u32 {
    let ns = f64::from(startup) - 1.0;
    let n = (ns / (parameters.theta * parameters.beta)).floor().max(0.0) as u32;
    n.saturating_sub(booting)
}

/// A machine as far as returning goes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Held {
    pub name: String,
    pub remaining_hold_s: f64,
}

/// The machines to stop placing on, least remaining hold first. The paper's one, and with it all
/// whose hold is over and that nothing was mapped to: one a period would pay for a fleet that
/// nobody needs. No more than there are.
pub fn to_return(held: &[Held], up: usize) -> Vec<&Held> {
    let mut over: Vec<&Held> = held.iter().filter(|h| h.remaining_hold_s <= 0.0).collect();
    over.sort_by(|a, b| a.remaining_hold_s.total_cmp(&b.remaining_hold_s));
    over.truncate(up);
    over
}

#[cfg(test)]
mod tests;
