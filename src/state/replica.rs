//! A copy of all live records, kept by following the state service's log. Every node has one, so
//! that polls are answered and a takeover begins without reading everything anew.

use crate::fleet::Fleet;
mod records;

use crate::jobs::{
    JobRecord, PageId, PageLayout, ProgressPage, StoredJob, TaskId, TaskRecord, TerminalState,
};
use crate::limits::{StoredAllocations, parse_allocations};
use crate::membership::assignment::{Assignment, Member};
use crate::membership::schema_versions::SchemaVersions;
use crate::pipelines::{DependencyState, Pipelines};
use crate::renting::ForecastSummaryRecord;
use records::entry_in;
pub use records::{Job, LeaderRecord, PresenceRecord, Versioned};
use rowanmill_state::{KeyValue, WatchEvent};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

const MOST_ENDED: usize = 20_000;
const MOST_DEPARTED: usize = 1_000;

#[derive(Debug, Default)]
pub struct Replica {
    /// All changes up to here are in.
    pub revision: u64,
    pub layout: PageLayout,
    /// Jobs that may start; those that wait for others are apart.
    pub jobs: BTreeMap<String, Job>,
    pub pipelines: Pipelines,
    /// Jobs whose record cannot be read: they are known, and nothing else is said of them.
    unreadable: HashSet<String>,
    pub schema_versions: Option<Versioned<SchemaVersions>>,
    pub fleet: Fleet,
    pub presence: BTreeMap<String, Versioned<PresenceRecord>>,
    /// Of each controller that was ever there, the incarnation last known.
    pub incarnations: BTreeMap<String, u64>,
    pub leader: Option<Versioned<LeaderRecord>>,
    pub assignment: Option<Versioned<Assignment>>,
    /// How the limit of each team is divided.
    pub quota_allocations: BTreeMap<String, StoredAllocations>,
    /// What each controller published last.
    pub forecast_summaries: BTreeMap<String, Versioned<ForecastSummaryRecord>>,
    /// Pages whose job is not there (any more).
    pub orphaned_pages: BTreeMap<(String, PageId), Versioned<ProgressPage>>,
    /// Which tasks the records place on each machine.
    pub tasks_by_machine: HashMap<String, BTreeSet<TaskId>>,
    /// Jobs that ended of late: their tasks may still hold room on machines.
    pub recently_ended: HashMap<String, JobRecord>,
    recently_ended_order: VecDeque<String>,
    /// Jobs and machines whose records changed since they were last asked for.
    changed_jobs: HashSet<String>,
    changed_machines: HashSet<String>,
    ended: HashMap<String, TerminalState>,
    /// Jobs that ended and whose key still stands, with its revision.
    pub ended_pending_archive: BTreeMap<String, u64>,
    final_states_order: VecDeque<String>,
    /// Keys that our own changes dropped before the log told of it, with the drops' marks: what the
    /// log still tells of them from before is over.
    tombstones: HashMap<String, u64>,
}

impl Replica {
    pub fn new(layout: PageLayout) -> Self {
        Self {
            layout,
            ..Self::default()
        }
    }

    /// Starts again from a listing; what is known of ended jobs never changes and stays.
    pub fn reload_from_snapshot(&mut self, pairs: Vec<KeyValue>, revision: u64) {
        let ended = std::mem::take(&mut self.ended);
        let ended_order = std::mem::take(&mut self.final_states_order);
        let incarnations = std::mem::take(&mut self.incarnations);
        let mut fleet = std::mem::take(&mut self.fleet);
        fleet.clear_for_reload();
        let jobs = std::mem::take(&mut self.jobs);
        let on = std::mem::take(&mut self.tasks_by_machine);
        *self = Self {
            pipelines: self.pipelines.cleared(),
            ended,
            final_states_order: ended_order,
            incarnations,
            fleet,
            changed_jobs: jobs.into_keys().collect(),
            changed_machines: on.into_keys().collect(),
            ..Self::new(self.layout)
        };
        for pair in pairs {
            self.apply_put(&pair.key, pair.value.get(), pair.revision);
        }
        self.revision = revision;
    }

    /// Takes in what a follow returned. Answers may overlap: what is in already is passed over.
    pub fn apply(&mut self, events: Vec<WatchEvent>, revision: u64) {
        for change in events {
            if change.revision <= self.revision {
                continue;
            }
            if let (Some(key), Some(data)) = (change.put, change.value) {
                self.apply_put(&key, data.get(), change.revision);
            } else if let Some(key) = change.deleted {
                self.apply_delete(&key, change.revision);
            }
        }
        self.revision = self.revision.max(revision);
        let told = self.revision;
        self.tombstones.retain(|_, revision| *revision > told);
    }

    pub fn final_state(&self, id: &str) -> Option<TerminalState> {
        self.ended.get(id).copied()
    }

    pub fn record_final_state(&mut self, id: &str, last: TerminalState) {
        self.pipelines.record_final_state(id, last);
        if self.ended.insert(id.to_owned(), last).is_none() {
            self.final_states_order.push_back(id.to_owned());
            if self.final_states_order.len() > MOST_ENDED
                && let Some(oldest) = self.final_states_order.pop_front()
            {
                self.ended.remove(&oldest);
            }
        }
    }

    /// Puts one record. A revision no newer than the one held is passed over, so that our own
    /// writes can be taken in as soon as they are answered, before the log brings them.
    pub fn apply_put(&mut self, key: &str, data: &str, revision: u64) {
        let Some(rest) = key.strip_prefix(super::LIVE) else {
            return;
        };
        if self.tombstones.get(key).is_some_and(|at| *at >= revision) {
            return;
        }
        let (slice, name) = rest.split_once('/').unwrap_or((rest, ""));
        match slice {
            "j" => match read(key, data) {
                Some(StoredJob::Open(record)) => self.put_job(name, record, revision),
                Some(StoredJob::Blocked { record, depends_on }) => {
                    self.put_blocked(name, record, depends_on, revision)
                }
                Some(StoredJob::Finished { outcome }) => {
                    self.finish(name, outcome);
                    self.ended_pending_archive.insert(name.to_owned(), revision);
                }
                None => {
                    self.unreadable.insert(name.to_owned());
                }
            },
            "p" | "q" => {
                let Some((id, page)) = page_name(slice, name) else {
                    return;
                };
                let record = match page {
                    PageId::Plain(_) => serde_json::from_str(data),
                    PageId::Compact(_) => ProgressPage::from_compact(data),
                };
                match record {
                    Ok(record) => self.apply_page(id, page, record, revision),
                    Err(error) => tracing::error!(key, %error, "a record cannot be read"),
                }
            }
            "forms"
                if self
                    .schema_versions
                    .as_ref()
                    .is_none_or(|f| f.revision < revision) =>
            {
                self.schema_versions = read(key, data).map(|record| Versioned { record, revision });
                // What the pages were begun with holds, whatever the settings have come to say.
                if let Some(layout) = self.schema_versions.as_ref().and_then(|f| f.record.layout) {
                    self.layout.plain_tasks = layout.plain_tasks;
                    self.layout.compact_tasks = layout.compact_tasks;
                }
            }
            "m" => {
                if let Some(record) = read(key, data) {
                    self.fleet.apply_put(name, record, revision);
                }
            }
            "n" => {
                keep(&mut self.presence, key, name, data, revision);
                if let Some(kept) = self.presence.get(name) {
                    let incarnation = kept.record.incarnation;
                    self.incarnations.insert(name.to_owned(), incarnation);
                }
            }
            "a" => self.apply_quota_allocations(key, name, data, revision),
            "o" => keep(&mut self.forecast_summaries, key, name, data, revision),
            "shares"
                if self
                    .assignment
                    .as_ref()
                    .is_none_or(|s| s.revision < revision) =>
            {
                self.assignment = read(key, data).map(|record| Versioned { record, revision });
            }
            "leader" if self.leader.as_ref().is_none_or(|l| l.revision < revision) => {
                self.leader = read(key, data).map(|record| Versioned { record, revision });
            }
            _ => {}
        }
    }

    fn apply_quota_allocations(&mut self, key: &str, name: &str, data: &str, revision: u64) {
        let Some(team) = rowanmill_limits::key::decode_team(name) else {
            return;
        };
        if self
            .quota_allocations
            .get(&team)
            .is_none_or(|a| a.revision < revision)
        {
            let record = parse_allocations(key, data);
            self.quota_allocations
                .insert(team, Versioned { record, revision });
        }
    }

    fn depart(&mut self, id: &str, record: &JobRecord) {
        if self
            .recently_ended
            .insert(id.to_owned(), record.clone())
            .is_none()
        {
            self.recently_ended_order.push_back(id.to_owned());
            if self.recently_ended_order.len() > MOST_DEPARTED
                && let Some(oldest) = self.recently_ended_order.pop_front()
            {
                self.recently_ended.remove(&oldest);
            }
        }
    }

    fn put_job(&mut self, id: &str, record: JobRecord, revision: u64) {
        if self.ended.contains_key(id) {
            return; // our own accept, taken in after the log already told of the job's end
        }
        if self
            .pipelines
            .get(id)
            .is_some_and(|held| held.revision >= revision)
        {
            return;
        }
        self.pipelines.remove(id);
        self.unreadable.remove(id);
        self.changed_jobs.insert(id.to_owned());
        if record.cancelled && !record.withdrawn {
            self.pipelines
                .record_final_state(id, TerminalState::Cancelled);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            if job.revision < revision {
                job.record = record;
                job.revision = revision;
            }
            return;
        }
        let mut job = Job {
            record,
            revision,
            pages: BTreeMap::new(),
            done: 0,
            placed: 0,
        };
        let range =
            (id.to_owned(), PageId::Plain(0))..=(id.to_owned(), PageId::Compact(usize::MAX));
        let found: Vec<PageId> = self
            .orphaned_pages
            .range(range)
            .map(|((_, n), _)| *n)
            .collect();
        for page in found {
            if let Some(kept) = self.orphaned_pages.remove(&(id.to_owned(), page)) {
                job.pages.insert(page, kept);
            }
        }
        if !job.pages.is_empty() {
            for task in 0..job.record.spec.tasks {
                let entry = job.task_record(&self.layout, task).clone();
                job.count(&TaskRecord::default(), &entry);
                self.index(id, task, &TaskRecord::default(), &entry);
            }
        }
        self.jobs.insert(id.to_owned(), job);
    }

    /// A job ended: nothing of it is on any machine or will be. Its pages are left to be dropped.
    fn finish(&mut self, id: &str, last: TerminalState) {
        self.leave(id);
        self.record_final_state(id, last);
    }

    /// A job's record is no more: it ended, or is another cell's.
    fn leave(&mut self, id: &str) {
        self.unreadable.remove(id);
        self.pipelines.remove(id);
        if let Some(job) = self.jobs.get(id) {
            let tasks = 0..job.record.spec.tasks;
            let entries = tasks.map(|task| job.task_record(&self.layout, task).clone());
            let entries: Vec<TaskRecord> = entries.collect();
            for (task, entry) in entries.iter().enumerate() {
                self.index(id, task as u32, entry, &TaskRecord::Done);
            }
        }
        if let Some(job) = self.jobs.remove(id) {
            self.changed_jobs.insert(id.to_owned());
            self.depart(id, &job.record);
            for (page, kept) in job.pages {
                self.orphaned_pages.insert((id.to_owned(), page), kept);
            }
        }
    }

    fn put_blocked(&mut self, id: &str, record: JobRecord, depends_on: Vec<String>, revision: u64) {
        // It was released or is over since: an older change comes late.
        if self.ended.contains_key(id) || self.jobs.contains_key(id) {
            return;
        }
        self.unreadable.remove(id);
        let (jobs, ended) = (&self.jobs, &self.ended);
        let state_of = |other: &str| match (jobs.get(other), ended.get(other)) {
            (_, Some(TerminalState::Done)) => DependencyState::Completed,
            (_, Some(TerminalState::Cancelled)) => DependencyState::Cancelled,
            (Some(job), None) if job.record.cancelled => DependencyState::Cancelled,
            _ => DependencyState::Unfinished,
        };
        self.pipelines
            .insert(id, record, depends_on, revision, state_of);
    }

    /// Whether it was accepted, as far as is known here.
    pub fn is_known(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
            || self.pipelines.get(id).is_some()
            || self.ended.contains_key(id)
    }

    /// A record of the job is there and cannot be read: it is never taken for one that is not.
    pub fn is_unreadable(&self, id: &str) -> bool {
        self.unreadable.contains(id)
    }

    /// What jobs that wait need and no record here tells of.
    pub fn unknown_dependencies(&self) -> BTreeSet<String> {
        self.pipelines
            .unknown_dependencies(|id| self.jobs.contains_key(id))
    }

    pub fn unknown_ancestors(&self, id: &str) -> Vec<String> {
        let known = |id: &str| self.jobs.contains_key(id);
        self.pipelines.unknown_ancestors(id, known)
    }

    fn page(&self, id: &str, page: PageId) -> Option<&Versioned<ProgressPage>> {
        match self.jobs.get(id) {
            Some(job) => job.pages.get(&page),
            None => self.orphaned_pages.get(&(id.to_owned(), page)),
        }
    }

    pub fn apply_page(&mut self, id: &str, page: PageId, record: ProgressPage, revision: u64) {
        let old = self.page(id, page);
        if old.is_some_and(|old| old.revision >= revision) {
            return;
        }
        let slots = self.slots(old.map(|o| &o.record), page, record.0.len());
        let before = self.entries(id, page, slots);
        let kept = Versioned { record, revision };
        match self.jobs.get_mut(id) {
            Some(job) => {
                job.pages.insert(page, kept);
            }
            None => {
                self.orphaned_pages.insert((id.to_owned(), page), kept);
            }
        }
        self.differ(id, page, before);
        self.changed_jobs.insert(id.to_owned());
    }

    /// How many of a page's tasks may differ once another record takes its place. A new dense page
    /// overrules all that a wide one says of its tasks.
    fn slots(&self, old: Option<&ProgressPage>, page: PageId, new: usize) -> usize {
        match (old, page) {
            (None, PageId::Compact(_)) => self.layout.tasks_on(page).count,
            (old, _) => old.map_or(0, |o| o.0.len()).max(new),
        }
    }

    fn entries(&self, id: &str, page: PageId, slots: usize) -> Vec<TaskRecord> {
        let first = self.layout.tasks_on(page).first;
        let tasks = first..first + slots as u32;
        tasks
            .map(|task| self.task_record(id, task).clone())
            .collect()
    }

    /// Notes what differs from before on a page: which tasks are on which machine, and the counts.
    fn differ(&mut self, id: &str, page: PageId, before: Vec<TaskRecord>) {
        let first = self.layout.tasks_on(page).first;
        for (slot, old) in before.into_iter().enumerate() {
            let task = first + slot as u32;
            let new = self.task_record(id, task);
            if old == *new {
                continue;
            }
            let new = new.clone();
            if let Some(job) = self.jobs.get_mut(id) {
                job.count(&old, &new);
                self.index(id, task, &old, &new);
            }
        }
    }

    /// Which tasks are on which machine, of jobs that have not ended.
    fn index(&mut self, id: &str, task: u32, old: &TaskRecord, new: &TaskRecord) {
        let id = TaskId::new(id, task);
        if let TaskRecord::Placed { machine, .. } = old {
            if let Some(on) = self.tasks_by_machine.get_mut(machine) {
                on.remove(&id);
                if on.is_empty() {
                    self.tasks_by_machine.remove(machine);
                }
            }
            self.changed_machines.insert(machine.clone());
        }
        if let TaskRecord::Placed { machine, .. } = new {
            self.tasks_by_machine
                .entry(machine.clone())
                .or_default()
                .insert(id);
            self.changed_machines.insert(machine.clone());
        }
    }

    /// Jobs whose record or progress changed since the last call.
    pub fn take_changed_jobs(&mut self) -> HashSet<String> {
        std::mem::take(&mut self.changed_jobs)
    }

    /// Machines on which other tasks are recorded than at the last call.
    pub fn take_changed_machines(&mut self) -> HashSet<String> {
        std::mem::take(&mut self.changed_machines)
    }

    /// Removes one record, unless what is held is newer than the removal.
    pub fn apply_delete(&mut self, key: &str, revision: u64) {
        let Some(rest) = key.strip_prefix(super::LIVE) else {
            return;
        };
        if revision > self.revision {
            self.tombstones.insert(key.to_owned(), revision);
        }
        let (slice, name) = rest.split_once('/').unwrap_or((rest, ""));
        match slice {
            "j" => {
                // One that waits leaves its key in two ways: released, which sets it anew, and
                // cancelled.
                let withdrawn = |job: &Job| job.record.withdrawn && job.revision < revision;
                if self.jobs.get(name).is_some_and(withdrawn) {
                    self.leave(name);
                    return;
                }
                let waits = self
                    .pipelines
                    .get(name)
                    .is_some_and(|h| h.revision < revision);
                let last = match self.jobs.get(name) {
                    Some(job) if job.record.cancelled => Some(TerminalState::Cancelled),
                    Some(_) => Some(TerminalState::Done),
                    None => waits.then_some(TerminalState::Cancelled),
                };
                if let Some(last) = last {
                    self.finish(name, last);
                }
                self.unreadable.remove(name);
                self.ended_pending_archive.remove(name);
            }
            "p" | "q" => {
                let Some((id, page)) = page_name(slice, name) else {
                    return;
                };
                let Some(old) = self.page(id, page) else {
                    return;
                };
                let slots = self.slots(Some(&old.record), page, 0);
                let before = self.entries(id, page, slots);
                match self.jobs.get_mut(id) {
                    Some(job) => job.pages.remove(&page),
                    None => self.orphaned_pages.remove(&(id.to_owned(), page)),
                };
                self.differ(id, page, before);
            }
            "m" => self.fleet.apply_delete(name, revision),
            "n" if self
                .presence
                .get(name)
                .is_some_and(|p| p.revision < revision) =>
            {
                self.presence.remove(name);
            }
            "a" => {
                let team = rowanmill_limits::key::decode_team(name).unwrap_or_default();
                if self
                    .quota_allocations
                    .get(&team)
                    .is_some_and(|a| a.revision < revision)
                {
                    self.quota_allocations.remove(&team);
                }
            }
            "leader" if self.leader.as_ref().is_some_and(|l| l.revision < revision) => {
                self.leader = None;
            }
            _ => {}
        }
    }

    /// The controllers that are there.
    pub fn present_members(&self) -> BTreeSet<Member> {
        let presence = self.presence.iter();
        presence
            .map(|(name, p)| Member {
                name: name.clone(),
                incarnation: p.record.incarnation,
            })
            .collect()
    }

    /// The controller that places a job and ends it.
    pub fn owner_of(&self, job: &JobRecord) -> Option<&Member> {
        self.assignment.as_ref()?.record.owner(job)
    }

    /// Where the records say that a task stands; tasks of jobs that ended have pages for a while.
    pub fn task_record(&self, job: &str, task: u32) -> &TaskRecord {
        if let Some(job) = self.jobs.get(job) {
            return job.task_record(&self.layout, task);
        }
        if self.orphaned_pages.is_empty() {
            return &TaskRecord::NEVER_STARTED;
        }
        let page = |page: PageId| self.orphaned_pages.get(&(job.to_owned(), page));
        entry_in(page, &self.layout, task)
    }

    /// Whether all controllers are of a version that can do what this one can.
    pub fn is_current_schema_active(&self) -> bool {
        self.schema_versions
            .as_ref()
            .is_some_and(|f| f.record.is_activated())
    }

    /// The page on which a task's next entry is written.
    pub fn page_to_write(&self, task: u32) -> PageId {
        match self.is_current_schema_active() && self.layout.uses_compact() {
            true => self.layout.compact_page_of(task),
            false => self.layout.plain_page_of(task),
        }
    }
}

/// A page's job and place, by the name of its key.
fn page_name<'a>(slice: &str, name: &'a str) -> Option<(&'a str, PageId)> {
    let (id, number) = name.split_once('/')?;
    let number = number.parse().ok()?;
    let page = match slice {
        "q" => PageId::Compact(number),
        _ => PageId::Plain(number),
    };
    Some((id, page))
}

fn read<T: for<'de> Deserialize<'de>>(key: &str, data: &str) -> Option<T> {
    match serde_json::from_str(data) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key, %error, "a record cannot be read");
            None
        }
    }
}

fn keep<T: for<'de> Deserialize<'de>>(
    into: &mut BTreeMap<String, Versioned<T>>,
    key: &str,
    name: &str,
    data: &str,
    revision: u64,
) {
    if into.get(name).is_some_and(|old| old.revision >= revision) {
        return;
    }
    if let Some(record) = read(key, data) {
        into.insert(name.to_owned(), Versioned { record, revision });
    }
}

#[cfg(test)]
mod tests;
