//! What the machines observe: which task is on which machine, and the rules that this breaks.

use crate::record::Record;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A job as its user submitted it. Workers fetch this description.
#[derive(Clone)]
pub struct Job {
    pub spec: Value,
    /// How long each of its tasks runs.
    pub run: Duration,
}

impl Job {
    pub fn cpus(&self) -> f64 {
        self.spec["cpus"].as_f64().unwrap()
    }

    pub fn memory_gb(&self) -> f64 {
        self.spec["memGb"].as_f64().unwrap()
    }
}

pub fn job_of(sack: &str) -> &str {
    sack.split('/').next().unwrap()
}

#[derive(Default)]
pub struct Inner {
    pub jobs: HashMap<String, Job>,
    /// The limit of each team in CPUs.
    pub limits: BTreeMap<String, f64>,
    /// The machine and the attempt of each task that is on a machine.
    pub on_machine: BTreeMap<String, BTreeSet<(String, u64)>>,
    /// When the user was told that a job is cancelled.
    pub cancelled: HashMap<String, Instant>,
    pub done: BTreeSet<String>,
    /// The machines on which each task failed.
    pub failed: BTreeMap<String, BTreeSet<String>>,
    pub starts: BTreeMap<String, usize>,
    pub peak: BTreeMap<String, f64>,
    /// Machines that are up, and since when each has had no task.
    pub up: BTreeMap<String, Option<Instant>>,
    /// Machines that fail every task that they start.
    pub sick: BTreeSet<String>,
    /// The names of broken rules, with a description.
    pub broken: Vec<(String, String)>,
}

#[derive(Clone)]
pub struct World {
    pub inner: Arc<Mutex<Inner>>,
    pub record: Record,
}

impl World {
    pub fn new(record: &Record) -> Self {
        Self {
            inner: Arc::default(),
            record: record.clone(),
        }
    }

    fn broke(&self, inner: &mut Inner, rule: &str, what: String) {
        self.record.line(format!("BROKEN {rule}: {what}"));
        inner.broken.push((rule.to_owned(), what));
    }

    /// Whether a rule of this name was broken.
    pub fn has_broken(&self, rule: &str) -> bool {
        let inner = self.inner.lock().unwrap();
        inner.broken.iter().any(|(name, _)| name == rule)
    }

    pub fn job(&self, id: &str) -> Option<Job> {
        self.inner.lock().unwrap().jobs.get(id).cloned()
    }

    /// A machine is up.
    pub fn is_up(&self, machine: &str) {
        self.record.line(format!("machine {machine} is up"));
        let mut inner = self.inner.lock().unwrap();
        inner.up.insert(machine.to_owned(), Some(Instant::now()));
    }

    /// A machine is gone.
    pub fn is_gone(&self, machine: &str) {
        self.inner.lock().unwrap().up.remove(machine);
    }

    /// Of the machines that never failed a task, the one that has been up and without a task for longest, and for how
    /// long.
    pub fn longest_empty(&self) -> Option<(String, Duration)> {
        let inner = self.inner.lock().unwrap();
        let has_failed = |name: &String| inner.failed.values().any(|on| on.contains(name));
        let empty = inner.up.iter().filter(|(name, _)| !has_failed(name));
        let empty = empty.filter_map(|(name, since)| Some((name.clone(), (*since)?.elapsed())));
        empty.max_by_key(|(_, time)| *time)
    }

    /// Whether a machine fails every task that it starts.
    pub fn is_sick(&self, machine: &str) -> bool {
        self.inner.lock().unwrap().sick.contains(machine)
    }

    /// Lets these machines fail every task that they start, or ends that with an empty list.
    pub fn set_sick(&self, machines: &[&str]) {
        let machines: BTreeSet<String> = machines.iter().map(|name| (*name).to_owned()).collect();
        self.record
            .line(format!("machines that fail every task: {machines:?}"));
        self.inner.lock().unwrap().sick = machines;
    }

    /// The number of machines on which a task failed.
    pub fn failed_on(&self, sack: &str) -> usize {
        let inner = self.inner.lock().unwrap();
        inner.failed.get(sack).map_or(0, BTreeSet::len)
    }

    pub fn is_running(&self, job: &str) -> bool {
        let inner = self.inner.lock().unwrap();
        inner.on_machine.keys().any(|sack| job_of(sack) == job)
    }

    /// A task has its image and is on its machine from now on.
    pub fn starts(&self, sack: &str, turn: u64, machine: &str) {
        let mut inner = self.inner.lock().unwrap();
        *inner.starts.entry(sack.to_owned()).or_default() += 1;
        self.record.line(format!(
            "machine {machine}: task {sack} attempt {turn} starts"
        ));
        if let Some(since) = inner.up.get_mut(machine) {
            *since = None;
        }
        let places = inner.on_machine.entry(sack.to_owned()).or_default();
        places.insert((machine.to_owned(), turn));
        if places.len() > 1 {
            let what = format!("{sack} is on {places:?}");
            self.broke(&mut inner, "ran_twice", what);
        }
        let team = inner.jobs[job_of(sack)].spec["crew"]
            .as_str()
            .unwrap()
            .to_owned();
        let mut used = 0.0;
        for (other, places) in &inner.on_machine {
            let job = &inner.jobs[job_of(other)];
            if job.spec["crew"] == team.as_str() {
                used += job.cpus() * places.len() as f64;
            }
        }
        let peak = inner.peak.entry(team.clone()).or_default();
        *peak = peak.max(used);
        let limit = inner.limits.get(&team).copied();
        if let Some(limit) = limit.filter(|limit| used > limit + 1e-9) {
            let what = format!("the tasks of team {team} use {used} CPUs, its limit is {limit}");
            self.broke(&mut inner, "quota", what);
        }
    }

    /// A task is no longer on its machine.
    pub fn leaves(&self, sack: &str, turn: u64, machine: &str, cause: &str) {
        let mut inner = self.inner.lock().unwrap();
        let Some(places) = inner.on_machine.get_mut(sack) else {
            return;
        };
        if places.remove(&(machine.to_owned(), turn)) {
            if places.is_empty() {
                inner.on_machine.remove(sack);
            }
            let is_empty = inner
                .on_machine
                .values()
                .flatten()
                .all(|(other, _)| other != machine);
            if let Some(since) = inner.up.get_mut(machine).filter(|_| is_empty) {
                *since = Some(Instant::now());
            }
            if cause == "error" {
                let machines = inner.failed.entry(sack.to_owned()).or_default();
                machines.insert(machine.to_owned());
            }
            if cause == "done" {
                inner.done.insert(sack.to_owned());
            }
            self.record.line(format!(
                "machine {machine}: task {sack} attempt {turn} leaves: {cause}"
            ));
        }
    }
}
