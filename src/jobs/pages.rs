//! Progress pages: for each task of a job, where it stands, in a form that fits one value.
//!
//! There are two forms. *Wide* pages are the version before's, which knows no other: their length
//! follows from the limit on values, and all processes must agree on it. *Dense* pages are for limits
//! that fall. They are written once no process of the version before can be there, and hold from then
//! on for the tasks that they cover, whatever a wide page says of these: so a job's wide pages are
//! brought over one dense page at a time, when one of its tasks is touched.

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt::Formatter;

/// How jobs are divided into pages: tasks on a page of either form, and what a page may take. Where
/// both are as long, dense pages are not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PageLayout {
    #[serde(rename = "wide")]
    pub plain_tasks: usize,
    #[serde(rename = "dense")]
    pub compact_tasks: usize,
    #[serde(skip)]
    pub value_bytes: usize,
}

/// A page of a job. Wide ones come first: when a job's pages are dropped, none of them may be left
/// without the dense page that overrules it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PageId {
    Plain(usize),
    Compact(usize),
}

impl PageLayout {
    pub fn plain_page_of(&self, task: u32) -> PageId {
        PageId::Plain(task as usize / self.plain_tasks)
    }

    pub fn compact_page_of(&self, task: u32) -> PageId {
        PageId::Compact(task as usize / self.compact_tasks)
    }

    pub fn uses_compact(&self) -> bool {
        self.compact_tasks < self.plain_tasks
    }

    /// The first task on a page, and how many there are.
    pub fn span(&self, page: PageId) -> (u32, usize) {
        match page {
            PageId::Plain(n) => ((n * self.plain_tasks) as u32, self.plain_tasks),
            PageId::Compact(n) => ((n * self.compact_tasks) as u32, self.compact_tasks),
        }
    }

    /// Where on its page a task stands.
    pub fn slot(&self, page: PageId, task: u32) -> usize {
        task as usize % self.span(page).1
    }

    /// The wide pages that have tasks of a page.
    pub fn plain_pages_under(&self, page: PageId) -> std::ops::RangeInclusive<usize> {
        let (first, count) = self.span(page);
        first as usize / self.plain_tasks..=(first as usize + count - 1) / self.plain_tasks
    }
}

/// Where one task stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskRecord {
    /// Not on any machine. `last` is the highest attempt ever recorded for it; attempts are
    /// never used twice, since a worker that reaped one would run it again.
    Waiting {
        last: u64,
    },
    /// Recorded as started: it may be on that machine until proven gone.
    Placed {
        attempt: u64,
        machine: String,
        session: u64,
    },
    Done,
}

impl Default for TaskRecord {
    fn default() -> Self {
        TaskRecord::NEVER_STARTED
    }
}

impl TaskRecord {
    /// What holds for a task that no page tells of.
    pub const NEVER_STARTED: TaskRecord = TaskRecord::Waiting { last: 0 };

    pub fn last_attempt(&self) -> u64 {
        match self {
            TaskRecord::Waiting { last } => *last,
            TaskRecord::Placed { attempt, .. } => *attempt,
            TaskRecord::Done => 0,
        }
    }
}

impl Serialize for TaskRecord {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        match self {
            TaskRecord::Waiting { last } => last.serialize(to),
            TaskRecord::Placed {
                attempt,
                machine,
                session,
            } => (attempt, machine, session).serialize(to),
            TaskRecord::Done => true.serialize(to),
        }
    }
}

/// Pages are most of what every node reads, so they are read in one pass.
struct EntryReader;

impl<'de> Visitor<'de> for EntryReader {
    type Value = TaskRecord;

    fn expecting(&self, to: &mut Formatter) -> std::fmt::Result {
        to.write_str("an attempt, `[attempt, machine, session]` or `true`")
    }

    fn visit_u64<E: Error>(self, last: u64) -> Result<TaskRecord, E> {
        Ok(TaskRecord::Waiting { last })
    }

    fn visit_bool<E: Error>(self, done: bool) -> Result<TaskRecord, E> {
        match done {
            true => Ok(TaskRecord::Done),
            false => Err(E::custom("a task is `true` when done")),
        }
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<TaskRecord, A::Error> {
        let short = |at| A::Error::invalid_length(at, &"three parts");
        Ok(TaskRecord::Placed {
            attempt: parts.next_element()?.ok_or_else(|| short(0))?,
            machine: parts.next_element()?.ok_or_else(|| short(1))?,
            session: parts.next_element()?.ok_or_else(|| short(2))?,
        })
    }
}

impl<'de> Deserialize<'de> for TaskRecord {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(EntryReader)
    }
}

/// One page: entries beyond its end are waiting and were never started.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProgressPage(pub Vec<TaskRecord>);

impl ProgressPage {
    pub fn get(&self, slot: usize) -> &TaskRecord {
        self.0.get(slot).unwrap_or(&TaskRecord::NEVER_STARTED)
    }

    pub fn set(&mut self, slot: usize, entry: TaskRecord) {
        if self.0.len() <= slot {
            self.0.resize(slot + 1, TaskRecord::default());
        }
        self.0[slot] = entry;
    }
}

/// A page's dense form: machines once each, with their sessions where they are not 1, and a number
/// for each task.
#[derive(Serialize, Deserialize)]
struct Dense {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    m: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    s: Vec<u64>,
    t: Vec<i64>,
}

/// Places of machines in a number: more than a page has tasks.
const PLACES: i64 = 1000;

impl ProgressPage {
    pub fn to_compact(&self) -> impl Serialize + use<> {
        let mut dense = Dense {
            m: Vec::new(),
            s: Vec::new(),
            t: Vec::with_capacity(self.0.len()),
        };
        let mut at: std::collections::HashMap<(&str, u64), usize> = Default::default();
        for entry in &self.0 {
            dense.t.push(match entry {
                TaskRecord::Done => -1,
                TaskRecord::Waiting { last: 0 } => 0,
                TaskRecord::Waiting { last } => -1 - *last as i64,
                TaskRecord::Placed {
                    attempt,
                    machine,
                    session,
                } => {
                    let place = *at.entry((machine, *session)).or_insert_with(|| {
                        dense.m.push(machine.clone());
                        dense.s.push(*session);
                        dense.m.len() - 1
                    });
                    *attempt as i64 * PLACES + place as i64
                }
            });
        }
        while dense.s.last() == Some(&1) {
            dense.s.pop();
        }
        dense
    }

    /// Reads the dense form; a number that names no machine is an error and never taken for a task
    /// that waits.
    pub fn from_compact(data: &str) -> Result<Self, serde_json::Error> {
        let dense: Dense = serde_json::from_str(data)?;
        let entry = |number: i64| {
            Ok(match number {
                0 => TaskRecord::default(),
                -1 => TaskRecord::Done,
                last if last < 0 => TaskRecord::Waiting {
                    last: (-1 - last) as u64,
                },
                placed => {
                    let place = (placed % PLACES) as usize;
                    let machine = dense.m.get(place);
                    TaskRecord::Placed {
                        attempt: (placed / PLACES) as u64,
                        machine: machine
                            .ok_or_else(|| serde_json::Error::custom("no such machine"))?
                            .clone(),
                        session: dense.s.get(place).copied().unwrap_or(1),
                    }
                }
            })
        };
        let entries = dense.t.iter().map(|n| entry(*n));
        Ok(Self(entries.collect::<Result<_, serde_json::Error>>()?))
    }

    /// What the page takes as a value.
    pub fn bytes(&self, id: PageId) -> usize {
        let text = match id {
            PageId::Plain(_) => serde_json::to_vec(self),
            PageId::Compact(_) => serde_json::to_vec(&self.to_compact()),
        };
        text.map_or(usize::MAX, |t| t.len())
    }
}

/// What one more placed task takes of a page at most.
pub fn entry_bytes(id: PageId, machine: &str) -> usize {
    // Its number or `[attempt,"machine",session]`, and of a dense page the machine's name.
    machine.len()
        + match id {
            PageId::Plain(_) => 28,
            PageId::Compact(_) => 30,
        }
}

#[cfg(test)]
pub mod tests;
