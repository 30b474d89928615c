//! A copy of all live records, kept by watching the state service. Every controller has one, so that
//! polls are answered and a takeover begins without reading everything again. It decides nothing: it
//! applies what the service says, and what this controller's own writes were answered with, each change
//! at most once and never an older one over a newer one.
//!
//! This module takes changes in and hands each to the part that keeps its kind of record.

mod job;
mod jobs;
mod progress;
mod shared;

pub use job::Job;

use super::keys::RecordKey;
use super::records::{LeaderRecord, PresenceRecord, Versioned};
use crate::fleet::Fleet;
use crate::jobs::{JobRecord, PageId, PageLayout, ProgressPage, TaskId, TerminalState};
use crate::limits::StoredAllocations;
use crate::membership::assignment::Assignment;
use crate::membership::schema_versions::SchemaVersions;
use crate::pipelines::Pipelines;
use crate::renting::ForecastSummaryRecord;
use rowanmill_state::{KeyValue, WatchEvent};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

/// The replica of the live records.
#[derive(Debug, Default)]
pub struct Replica {
    /// All changes up to this revision are applied.
    pub revision: u64,
    /// How jobs are divided into pages.
    pub layout: PageLayout,
    /// Jobs that may start; those that wait for others are in `pipelines`.
    pub jobs: BTreeMap<String, Job>,
    /// Jobs that wait for others.
    pub pipelines: Pipelines,
    /// Jobs whose record cannot be read: they are known, and nothing else is said of them.
    unreadable: HashSet<String>,
    /// What all controllers support.
    pub schema_versions: Option<Versioned<SchemaVersions>>,
    /// Rentals and their machines.
    pub fleet: Fleet,
    /// The controllers that are present, by name.
    pub presence: BTreeMap<String, Versioned<PresenceRecord>>,
    /// The last known incarnation of each controller that was ever present, by name.
    pub incarnations: BTreeMap<String, u64>,
    /// The leader.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// Which controller has which jobs.
    pub assignment: Option<Versioned<Assignment>>,
    /// How the limit of each team is divided, by the team's name.
    pub quota_allocations: BTreeMap<String, StoredAllocations>,
    /// What each controller published last, by name.
    pub forecast_summaries: BTreeMap<String, Versioned<ForecastSummaryRecord>>,
    /// Pages whose job has no record, not yet or no longer.
    pub orphaned_pages: BTreeMap<(String, PageId), Versioned<ProgressPage>>,
    /// The tasks that the records place on each machine.
    pub tasks_by_machine: HashMap<String, BTreeSet<TaskId>>,
    /// Jobs that ended recently: their tasks may still take up machines.
    pub recently_ended: HashMap<String, JobRecord>,
    recently_ended_order: VecDeque<String>,
    /// Jobs and machines whose records changed since they were last taken.
    changed_jobs: HashSet<String>,
    changed_machines: HashSet<String>,
    final_states: HashMap<String, TerminalState>,
    final_states_order: VecDeque<String>,
    /// Jobs that ended and whose key still exists, with its revision.
    pub ended_pending_archive: BTreeMap<String, u64>,
    /// Keys that our own writes deleted before the watch reported it, with the revisions of the
    /// deletions: what the watch still reports of them from before is outdated.
    tombstones: HashMap<String, u64>,
}

impl Replica {
    /// An empty replica.
    pub fn new(layout: PageLayout) -> Self {
        Self {
            layout,
            ..Self::default()
        }
    }

    /// Replaces the records by those of a listing. What is known of ended jobs and of incarnations never
    /// becomes wrong and stays.
    pub fn reload_from_snapshot(&mut self, pairs: Vec<KeyValue>, revision: u64) {
        let mut fleet = std::mem::take(&mut self.fleet);
        fleet.clear_for_reload();
        let jobs = std::mem::take(&mut self.jobs);
        let tasks_by_machine = std::mem::take(&mut self.tasks_by_machine);
        *self = Self {
            pipelines: self.pipelines.cleared(),
            final_states: std::mem::take(&mut self.final_states),
            final_states_order: std::mem::take(&mut self.final_states_order),
            incarnations: std::mem::take(&mut self.incarnations),
            fleet,
            changed_jobs: jobs.into_keys().collect(),
            changed_machines: tasks_by_machine.into_keys().collect(),
            ..Self::new(self.layout)
        };
        for pair in pairs {
            self.apply_put(&pair.key, pair.value.get(), pair.revision);
        }
        self.revision = revision;
    }

    /// Applies what a watch returned: all changes up to `revision`. Responses may overlap: what is
    /// applied already is passed over.
    pub fn apply(&mut self, events: Vec<WatchEvent>, revision: u64) {
        for event in events {
            if event.revision <= self.revision {
                continue;
            }
            if let (Some(key), Some(value)) = (event.put, event.value) {
                self.apply_put(&key, value.get(), event.revision);
            } else if let Some(key) = event.deleted {
                self.apply_delete(&key, event.revision);
            }
        }
        self.revision = self.revision.max(revision);
        let applied = self.revision;
        self.tombstones.retain(|_, deleted| *deleted > applied);
    }

    /// Applies the put of one record. A revision no newer than the one held is passed over, so that our
    /// own writes can be applied as soon as they are answered, before the watch reports them.
    pub fn apply_put(&mut self, key: &str, value: &str, revision: u64) {
        if self.tombstones.get(key).is_some_and(|at| *at >= revision) {
            return;
        }
        let Some(record_key) = RecordKey::parse_live(key) else {
            return;
        };
        let put = Put {
            key,
            value,
            revision,
        };
        match record_key {
            RecordKey::Job(id) => self.put_stored_job(id, put),
            RecordKey::PlainPage { job, number } => self.put_plain_page(job, number, put),
            RecordKey::CompactPage { job, number } => self.put_compact_page(job, number, put),
            RecordKey::Rental(name) => self.put_rental(name, put),
            RecordKey::Presence(member) => self.put_presence(member, put),
            RecordKey::ForecastSummary(member) => self.put_forecast_summary(member, put),
            RecordKey::QuotaAllocations(team) => self.put_quota_allocations(&team, put),
            RecordKey::SchemaVersions => self.put_schema_versions(put),
            RecordKey::Leader => self.put_leader(put),
            RecordKey::Assignment => self.put_assignment(put),
            RecordKey::FinalState(_) | RecordKey::Relinquished(_) => {}
        }
    }

    /// Applies the deletion of one record, unless what is held is newer than the deletion. Schema
    /// versions, the assignment and forecast summaries are never deleted.
    pub fn apply_delete(&mut self, key: &str, revision: u64) {
        let Some(record_key) = RecordKey::parse_live(key) else {
            return;
        };
        if revision > self.revision {
            self.tombstones.insert(key.to_owned(), revision);
        }
        match record_key {
            RecordKey::Job(id) => self.delete_job(id, revision),
            RecordKey::PlainPage { job, number } => self.delete_page(job, PageId::Plain(number)),
            RecordKey::CompactPage { job, number } => {
                self.delete_page(job, PageId::Compact(number));
            }
            RecordKey::Rental(name) => self.fleet.apply_delete(name, revision),
            RecordKey::Presence(member) => self.delete_presence(member, revision),
            RecordKey::QuotaAllocations(team) => self.delete_quota_allocations(&team, revision),
            RecordKey::Leader => self.delete_leader(revision),
            RecordKey::SchemaVersions
            | RecordKey::Assignment
            | RecordKey::ForecastSummary(_)
            | RecordKey::FinalState(_)
            | RecordKey::Relinquished(_) => {}
        }
    }

    /// Takes the jobs whose record or progress changed since the last call.
    pub fn take_changed_jobs(&mut self) -> HashSet<String> {
        std::mem::take(&mut self.changed_jobs)
    }

    /// Takes the machines whose recorded tasks changed since the last call.
    pub fn take_changed_machines(&mut self) -> HashSet<String> {
        std::mem::take(&mut self.changed_machines)
    }
}

/// The put of one record, as it came.
#[derive(Debug, Clone, Copy)]
struct Put<'a> {
    key: &'a str,
    value: &'a str,
    revision: u64,
}

impl Put<'_> {
    /// The record, with its revision; none if it cannot be read, which is logged.
    fn decode<T: for<'de> Deserialize<'de>>(&self) -> Option<Versioned<T>> {
        match serde_json::from_str(self.value) {
            Ok(record) => Some(Versioned {
                record,
                revision: self.revision,
            }),
            Err(error) => {
                self.log_unreadable(&error);
                None
            }
        }
    }

    fn log_unreadable(&self, error: &serde_json::Error) {
        tracing::error!(key = self.key, %error, "record rejected as malformed");
    }
}

#[cfg(test)]
mod tests;
