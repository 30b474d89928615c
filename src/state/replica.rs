//! A copy of all live records, kept by following the state service's log. Every node has one, so
//! that polls are answered and a takeover begins without reading everything anew.

use super::client::{Change, Pair};
use crate::jobs::{Entry, Final, JobRecord, Page, Stage};
use crate::membership::shares::{Member, Shares};
use crate::renting::OutlookRecord;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The durable record of a rented machine. The mark of its key is the machine's token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    pub owner: Member,
    pub addr: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub hired_ms: u64,
    /// No more is placed on it; it goes back when empty.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub returning: bool,
    /// Its release was decided and may be sent at any time.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub closing: bool,
}

/// A rental's name, recorded before use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HireRecord {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
    pub at_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PresenceRecord {
    pub incarnation: u64,
    pub lease: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub member: String,
    pub incarnation: u64,
    pub lease: u64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Kept<T> {
    pub record: T,
    pub mark: u64,
}

#[derive(Debug, Clone)]
pub struct Job {
    pub record: JobRecord,
    pub mark: u64,
    pub pages: BTreeMap<usize, Kept<Page>>,
    pub done: u32,
    pub placed: u32,
}

impl Job {
    pub fn stage(&self) -> Stage {
        if self.record.cancelled {
            Stage::Cancelled
        } else if self.placed > 0 {
            Stage::Running
        } else {
            Stage::Queued
        }
    }

    fn count(&mut self) {
        let entries = || self.pages.values().flat_map(|p| p.record.0.iter());
        self.done = entries().filter(|e| **e == Entry::Done).count() as u32;
        let placed = |e: &&Entry| matches!(e, Entry::Placed { .. });
        self.placed = entries().filter(placed).count() as u32;
    }

    pub fn entry(&self, page_len: usize, task: u32) -> Entry {
        let page = self.pages.get(&(task as usize / page_len));
        page.map(|p| p.record.get(task as usize % page_len))
            .unwrap_or_default()
    }

    pub fn page_mark(&self, page: usize) -> u64 {
        self.pages.get(&page).map_or(0, |p| p.mark)
    }
}

const MOST_ENDED: usize = 20_000;
const MOST_DEPARTED: usize = 1_000;

#[derive(Debug, Default)]
pub struct Replica {
    /// All changes up to here are in.
    pub revision: u64,
    pub page_len: usize,
    pub jobs: BTreeMap<String, Job>,
    pub machines: BTreeMap<String, Kept<MachineRecord>>,
    pub hires: BTreeMap<String, Kept<HireRecord>>,
    pub presence: BTreeMap<String, Kept<PresenceRecord>>,
    pub leader: Option<Kept<LeaderRecord>>,
    pub shares: Option<Kept<Shares>>,
    /// What each controller published last.
    pub outlooks: BTreeMap<String, Kept<OutlookRecord>>,
    /// Pages whose job is not there (any more).
    pub orphans: BTreeMap<(String, usize), Kept<Page>>,
    /// Which tasks the records place on each machine.
    pub on: HashMap<String, BTreeSet<(String, u32)>>,
    /// Jobs that ended of late: their tasks may still hold room on machines.
    pub departed: HashMap<String, JobRecord>,
    departed_order: VecDeque<String>,
    /// Machines whose record was dropped of late: the cloud's list may still show them.
    released: VecDeque<String>,
    ended: HashMap<String, Final>,
    ended_order: VecDeque<String>,
}

impl Replica {
    pub fn new(page_len: usize) -> Self {
        Self {
            page_len,
            ..Self::default()
        }
    }

    /// Starts again from a listing; what is known of ended jobs never changes and stays.
    pub fn reset(&mut self, pairs: Vec<Pair>, revision: u64) {
        let ended = std::mem::take(&mut self.ended);
        let ended_order = std::mem::take(&mut self.ended_order);
        *self = Self::new(self.page_len);
        self.ended = ended;
        self.ended_order = ended_order;
        for pair in pairs {
            self.put(&pair.k, pair.data, pair.mark);
        }
        self.revision = revision;
    }

    /// Takes in what a follow returned. Answers may overlap: what is in already is passed over.
    pub fn take(&mut self, log: Vec<Change>, ledger: u64) {
        for change in log {
            if change.mark <= self.revision {
                continue;
            }
            if let Some(key) = change.set {
                self.put(&key, change.data, change.mark);
            } else if let Some(key) = change.drop {
                self.remove(&key, change.mark);
            }
        }
        self.revision = self.revision.max(ledger);
    }

    pub fn ended(&self, id: &str) -> Option<Final> {
        self.ended.get(id).copied()
    }

    pub fn remember_ended(&mut self, id: &str, last: Final) {
        if self.ended.insert(id.to_owned(), last).is_none() {
            self.ended_order.push_back(id.to_owned());
            if self.ended_order.len() > MOST_ENDED
                && let Some(oldest) = self.ended_order.pop_front()
            {
                self.ended.remove(&oldest);
            }
        }
    }

    /// Puts one record. A mark no newer than the one held is passed over, so that our own
    /// writes can be taken in as soon as they are answered, before the log brings them.
    pub fn put(&mut self, key: &str, data: serde_json::Value, mark: u64) {
        let Some(rest) = key.strip_prefix(super::LIVE) else {
            return;
        };
        let (slice, name) = rest.split_once('/').unwrap_or((rest, ""));
        match slice {
            "j" => {
                let Some(record) = read(key, data) else {
                    return;
                };
                self.put_job(name, record, mark)
            }
            "p" => {
                let Some(page) = read(key, data) else { return };
                let Some((id, number)) = name.split_once('/') else {
                    return;
                };
                let Ok(number) = number.parse() else { return };
                self.put_page(id, number, page, mark);
            }
            "m" => keep(&mut self.machines, key, name, data, mark),
            "h" => keep(&mut self.hires, key, name, data, mark),
            "n" => keep(&mut self.presence, key, name, data, mark),
            "o" => keep(&mut self.outlooks, key, name, data, mark),
            "shares" if self.shares.as_ref().is_none_or(|s| s.mark < mark) => {
                self.shares = read(key, data).map(|record| Kept { record, mark });
            }
            "leader" if self.leader.as_ref().is_none_or(|l| l.mark < mark) => {
                self.leader = read(key, data).map(|record| Kept { record, mark });
            }
            _ => {}
        }
    }

    fn depart(&mut self, id: &str, record: &JobRecord) {
        if self
            .departed
            .insert(id.to_owned(), record.clone())
            .is_none()
        {
            self.departed_order.push_back(id.to_owned());
            if self.departed_order.len() > MOST_DEPARTED
                && let Some(oldest) = self.departed_order.pop_front()
            {
                self.departed.remove(&oldest);
            }
        }
    }

    fn put_job(&mut self, id: &str, record: JobRecord, mark: u64) {
        if self.ended.contains_key(id) {
            return; // our own accept, taken in after the log already told of the job's end
        }
        if let Some(job) = self.jobs.get_mut(id) {
            if job.mark < mark {
                job.record = record;
                job.mark = mark;
            }
            return;
        }
        let mut job = Job {
            record,
            mark,
            pages: BTreeMap::new(),
            done: 0,
            placed: 0,
        };
        let range = (id.to_owned(), 0)..=(id.to_owned(), usize::MAX);
        let numbers: Vec<usize> = self.orphans.range(range).map(|((_, n), _)| *n).collect();
        for number in numbers {
            if let Some(page) = self.orphans.remove(&(id.to_owned(), number)) {
                job.pages.insert(number, page);
            }
        }
        job.count();
        self.jobs.insert(id.to_owned(), job);
    }

    pub fn put_page(&mut self, id: &str, number: usize, page: Page, mark: u64) {
        let old = match self.jobs.get(id) {
            Some(job) => job.pages.get(&number),
            None => self.orphans.get(&(id.to_owned(), number)),
        };
        if old.is_some_and(|old| old.mark >= mark) {
            return;
        }
        let before = old.map(|old| old.record.clone()).unwrap_or_default();
        self.index(id, number, &before, &page);
        let kept = Kept { record: page, mark };
        match self.jobs.get_mut(id) {
            Some(job) => {
                job.pages.insert(number, kept);
                job.count();
            }
            None => {
                self.orphans.insert((id.to_owned(), number), kept);
            }
        }
    }

    fn index(&mut self, id: &str, number: usize, before: &Page, after: &Page) {
        let first = number * self.page_len;
        for (slot, entry) in before.0.iter().enumerate() {
            if let Entry::Placed { machine, .. } = entry
                && let Some(on) = self.on.get_mut(machine)
            {
                on.remove(&(id.to_owned(), (first + slot) as u32));
                if on.is_empty() {
                    self.on.remove(machine);
                }
            }
        }
        for (slot, entry) in after.0.iter().enumerate() {
            if let Entry::Placed { machine, .. } = entry {
                let on = self.on.entry(machine.clone()).or_default();
                on.insert((id.to_owned(), (first + slot) as u32));
            }
        }
    }

    /// Removes one record, unless what is held is newer than the removal.
    pub fn remove(&mut self, key: &str, mark: u64) {
        let Some(rest) = key.strip_prefix(super::LIVE) else {
            return;
        };
        let (slice, name) = rest.split_once('/').unwrap_or((rest, ""));
        match slice {
            "j" => {
                if let Some(job) = self.jobs.remove(name) {
                    self.depart(name, &job.record);
                    let last = match job.record.cancelled {
                        true => Final::Cancelled,
                        false => Final::Done,
                    };
                    self.remember_ended(name, last);
                    for (number, page) in job.pages {
                        self.orphans.insert((name.to_owned(), number), page);
                    }
                }
            }
            "p" => {
                let Some((id, number)) = name.split_once('/') else {
                    return;
                };
                let Ok(number) = number.parse::<usize>() else {
                    return;
                };
                let old = match self.jobs.get_mut(id) {
                    Some(job) => job.pages.remove(&number),
                    None => self.orphans.remove(&(id.to_owned(), number)),
                };
                if let Some(old) = old {
                    self.index(id, number, &old.record, &Page::default());
                }
                if let Some(job) = self.jobs.get_mut(id) {
                    job.count();
                }
            }
            "m" => {
                self.machines.remove(name);
                self.released.push_back(name.to_owned());
                if self.released.len() > MOST_DEPARTED {
                    self.released.pop_front();
                }
            }
            "h" => {
                self.hires.remove(name);
            }
            "n" if self.presence.get(name).is_some_and(|p| p.mark < mark) => {
                self.presence.remove(name);
            }
            "leader" if self.leader.as_ref().is_some_and(|l| l.mark < mark) => {
                self.leader = None;
            }
            _ => {}
        }
    }

    pub fn released(&self, name: &str) -> bool {
        self.released.iter().any(|r| r == name)
    }

    /// The controllers that are there.
    pub fn present(&self) -> BTreeSet<Member> {
        let presence = self.presence.iter();
        presence
            .map(|(name, p)| Member {
                name: name.clone(),
                incarnation: p.record.incarnation,
            })
            .collect()
    }

    /// The controller that places a team's work.
    pub fn owner_of_team(&self, team: &str) -> Option<&Member> {
        self.shares.as_ref()?.record.teams.get(team)
    }

    pub fn page_of(&self, task: u32) -> usize {
        task as usize / self.page_len
    }
}

fn read<T: for<'de> Deserialize<'de>>(key: &str, data: serde_json::Value) -> Option<T> {
    match serde_json::from_value(data) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key, %error, "a record cannot be read");
            None
        }
    }
}

fn keep<T: for<'de> Deserialize<'de>>(
    into: &mut BTreeMap<String, Kept<T>>,
    key: &str,
    name: &str,
    data: serde_json::Value,
    mark: u64,
) {
    if into.get(name).is_some_and(|old| old.mark >= mark) {
        return;
    }
    if let Some(record) = read(key, data) {
        into.insert(name.to_owned(), Kept { record, mark });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn change(key: &str, data: serde_json::Value, mark: u64) -> Change {
        let drop = data.is_null().then(|| key.to_owned());
        let set = (!data.is_null()).then(|| key.to_owned());
        Change {
            set,
            drop,
            data,
            mark,
        }
    }

    #[test]
    fn an_older_answer_never_undoes_a_newer_one() {
        let mut replica = Replica::new(8);
        let page = |m: &str| json!([[1, m, 1], true]);
        replica.take(vec![change("r/p/job-1/0", page("vm-1"), 5)], 5);
        replica.take(vec![change("r/p/job-1/0", page("vm-2"), 7)], 7);
        replica.take(vec![change("r/p/job-1/0", page("vm-1"), 5)], 5);
        assert_eq!(replica.revision, 7);
        assert!(replica.on.contains_key("vm-2") && !replica.on.contains_key("vm-1"));
        replica.take(vec![change("r/p/job-1/0", serde_json::Value::Null, 8)], 8);
        assert!(replica.on.is_empty() && replica.orphans.is_empty());
    }
}
