//! The recorded state of one task, and its JSON in the plain encoding.

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt::{self, Formatter};

/// The state of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskRecord {
    /// Not on any machine.
    Waiting {
        /// The highest attempt ever recorded for it, 0 before the first. Attempts are never used
        /// twice, since a worker that has forgotten one would run it again.
        last: u64,
    },
    /// Recorded as started: it may be on that machine until proven gone.
    Placed {
        /// From 1, higher with each start of the task.
        attempt: u64,
        /// The machine's name.
        machine: String,
        /// The incarnation of the machine's worker that the start is for.
        incarnation: u64,
    },
    /// It completed.
    Done,
}

impl Default for TaskRecord {
    fn default() -> Self {
        TaskRecord::NEVER_STARTED
    }
}

impl TaskRecord {
    /// The state of a task that is on no page.
    pub const NEVER_STARTED: TaskRecord = TaskRecord::Waiting { last: 0 };

    /// The highest attempt recorded for the task; 0 once it is done.
    pub fn last_attempt(&self) -> u64 {
        match self {
            TaskRecord::Waiting { last } => *last,
            TaskRecord::Placed { attempt, .. } => *attempt,
            TaskRecord::Done => 0,
        }
    }
}

impl Serialize for TaskRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            TaskRecord::Waiting { last } => last.serialize(serializer),
            TaskRecord::Placed {
                attempt,
                machine,
                incarnation,
            } => (attempt, machine, incarnation).serialize(serializer),
            TaskRecord::Done => true.serialize(serializer),
        }
    }
}

/// Reads a record in one pass, without a guess at its form: pages are most of what every controller reads.
struct TaskRecordVisitor;

impl<'de> Visitor<'de> for TaskRecordVisitor {
    type Value = TaskRecord;

    fn expecting(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str("an attempt, `[attempt, machine, incarnation]` or `true`")
    }

    fn visit_u64<E: Error>(self, last: u64) -> Result<TaskRecord, E> {
        Ok(TaskRecord::Waiting { last })
    }

    fn visit_bool<E: Error>(self, done: bool) -> Result<TaskRecord, E> {
        if done {
            Ok(TaskRecord::Done)
        } else {
            Err(E::custom("a task is `true` when done"))
        }
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<TaskRecord, A::Error> {
        let too_short = |length| A::Error::invalid_length(length, &"three parts");
        Ok(TaskRecord::Placed {
            attempt: parts.next_element()?.ok_or_else(|| too_short(0))?,
            machine: parts.next_element()?.ok_or_else(|| too_short(1))?,
            incarnation: parts.next_element()?.ok_or_else(|| too_short(2))?,
        })
    }
}

impl<'de> Deserialize<'de> for TaskRecord {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TaskRecordVisitor)
    }
}
