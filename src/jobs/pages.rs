//! Progress pages: for each task of a job, where it stands, in a form that fits one value.

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt::Formatter;

/// Where one task stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
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

impl Default for Entry {
    fn default() -> Self {
        Entry::Waiting { last: 0 }
    }
}

impl Entry {
    pub fn last_attempt(&self) -> u64 {
        match self {
            Entry::Waiting { last } => *last,
            Entry::Placed { attempt, .. } => *attempt,
            Entry::Done => 0,
        }
    }
}

impl Serialize for Entry {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        match self {
            Entry::Waiting { last } => last.serialize(to),
            Entry::Placed {
                attempt,
                machine,
                session,
            } => (attempt, machine, session).serialize(to),
            Entry::Done => true.serialize(to),
        }
    }
}

/// Pages are most of what every node reads, so they are read in one pass.
struct EntryReader;

impl<'de> Visitor<'de> for EntryReader {
    type Value = Entry;

    fn expecting(&self, to: &mut Formatter) -> std::fmt::Result {
        to.write_str("an attempt, `[attempt, machine, session]` or `true`")
    }

    fn visit_u64<E: Error>(self, last: u64) -> Result<Entry, E> {
        Ok(Entry::Waiting { last })
    }

    fn visit_bool<E: Error>(self, done: bool) -> Result<Entry, E> {
        match done {
            true => Ok(Entry::Done),
            false => Err(E::custom("a task is `true` when done")),
        }
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<Entry, A::Error> {
        let short = |at| A::Error::invalid_length(at, &"three parts");
        Ok(Entry::Placed {
            attempt: parts.next_element()?.ok_or_else(|| short(0))?,
            machine: parts.next_element()?.ok_or_else(|| short(1))?,
            session: parts.next_element()?.ok_or_else(|| short(2))?,
        })
    }
}

impl<'de> Deserialize<'de> for Entry {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(EntryReader)
    }
}

/// One page: entries beyond its end are waiting and were never started.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Page(pub Vec<Entry>);

impl Page {
    pub fn get(&self, slot: usize) -> Entry {
        self.0.get(slot).cloned().unwrap_or_default()
    }

    pub fn set(&mut self, slot: usize, entry: Entry) {
        if self.0.len() <= slot {
            self.0.resize(slot + 1, Entry::default());
        }
        self.0[slot] = entry;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_page_reads_back_as_written() {
        let mut page = Page::default();
        page.set(1, Entry::Done);
        page.set(
            3,
            Entry::Placed {
                attempt: 2,
                machine: "vm-000231".into(),
                session: 1,
            },
        );
        let text = serde_json::to_string(&page).unwrap();
        insta::assert_snapshot!(text, @r#"[0,true,0,[2,"vm-000231",1]]"#);
        assert_eq!(serde_json::from_str::<Page>(&text).unwrap(), page);
    }
}
