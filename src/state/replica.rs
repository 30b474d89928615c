//! A copy of all live records, kept up to date by the watch on the state service. Every controller has one, so
//! that it can answer status polls and take over jobs without reading the records again. The replica makes no
//! decisions. It applies the changes that the service reports and this controller's own committed writes.
//! Each change is applied at most once, and an older put never replaces a newer record.
//!
//! This module receives the changes and dispatches each by its kind of record; the submodules apply them.

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
    /// How the tasks of jobs are divided into progress pages.
    pub layout: PageLayout,
    /// Open jobs, which may start. Jobs that wait for dependencies are in `pipelines`.
    pub jobs: BTreeMap<String, Job>,
    /// Blocked jobs, which wait for dependencies.
    pub pipelines: Pipelines,
    /// Jobs whose record exists but cannot be decoded.
    unreadable: HashSet<String>,
    /// Which controllers support the new record encodings, and whether these are activated.
    pub schema_versions: Option<Versioned<SchemaVersions>>,
    /// Rentals and their machines.
    pub fleet: Fleet,
    /// The presence records of the controllers that are present, by name.
    pub presence: BTreeMap<String, Versioned<PresenceRecord>>,
    /// The last known incarnation of each controller that was ever present, by name.
    pub incarnations: BTreeMap<String, u64>,
    /// The record of the leader.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The assignment of jobs to controllers.
    pub assignment: Option<Versioned<Assignment>>,
    /// How the limit of each team is divided among the controllers, by the team's name.
    pub quota_allocations: BTreeMap<String, StoredAllocations>,
    /// The latest forecast summary of each controller, by name.
    pub forecast_summaries: BTreeMap<String, Versioned<ForecastSummaryRecord>>,
    /// Progress pages of jobs that are not in `jobs`: the job's record has not arrived yet, or the job has ended or
    /// was relinquished.
    pub orphaned_pages: BTreeMap<(String, PageId), Versioned<ProgressPage>>,
    /// The tasks that the progress pages place on each machine, by the machine's name.
    pub tasks_by_machine: HashMap<String, BTreeSet<TaskId>>,
    /// The records of jobs that ended recently, whose tasks may still occupy machines.
    pub recently_ended: HashMap<String, JobRecord>,
    recently_ended_order: VecDeque<String>,
    /// Jobs whose record or progress changed since the last call of [`Replica::take_changed_jobs`].
    changed_jobs: HashSet<String>,
    /// Machines whose recorded tasks changed since the last call of [`Replica::take_changed_machines`].
    changed_machines: HashSet<String>,
    final_states: HashMap<String, TerminalState>,
    final_states_order: VecDeque<String>,
    /// Ended jobs whose record still exists, with the record's revision. The record is deleted when the final
    /// state is archived.
    pub ended_pending_archive: BTreeMap<String, u64>,
    /// Deleted keys with the revisions of their deletions, for deletions that are newer than `revision` because
    /// this controller's own writes made them. Older puts of these keys that the watch still reports are
    /// ignored.
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

    /// Replaces the records with those of a listing. Final states, incarnations and released machines are kept,
    /// because they stay correct.
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

    /// Applies a watch response, which contains all changes up to `revision`. Responses may overlap: changes
    /// that are already applied are skipped.
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

    /// Applies the put of one record. A put that is not newer than the held record is skipped, so that this
    /// controller's own writes can be applied as soon as they are committed, before the watch reports them.
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

    /// Applies the deletion of one record. A rental, presence record, quota allocation, leader record or blocked
    /// job that is newer than the deletion is kept. Schema versions, the assignment and forecast summaries are
    /// never deleted.
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

    /// Returns and clears the set of jobs whose record or progress changed since the last call.
    pub fn take_changed_jobs(&mut self) -> HashSet<String> {
        std::mem::take(&mut self.changed_jobs)
    }

    /// Returns and clears the set of machines whose recorded tasks changed since the last call.
    pub fn take_changed_machines(&mut self) -> HashSet<String> {
        std::mem::take(&mut self.changed_machines)
    }
}

/// The put of one record, not decoded yet.
#[derive(Debug, Clone, Copy)]
struct Put<'a> {
    key: &'a str,
    value: &'a str,
    revision: u64,
}

impl Put<'_> {
    /// Decodes the record and adds its revision; logs an error and returns `None` if it cannot be decoded.
    fn decode<T: for<'de> Deserialize<'de>>(&self) -> Option<Versioned<T>> {
        match serde_json::from_str(self.value) {
            Ok(record) => Some(Versioned {
                record,
                revision: self.revision,
            }),
            Err(error) => {
                self.log_malformed(&error);
                None
            }
        }
    }

    fn log_malformed(&self, error: &serde_json::Error) {
        tracing::error!(key = self.key, %error, "record rejected as malformed");
    }
}

#[cfg(test)]
mod tests;
