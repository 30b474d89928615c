//! The recorded state of one task, and its JSON in the plain encoding.

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt::{self, Formatter};

/// The recorded state of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskRecord {
    /// It is on no machine.
    Waiting {
        /// The highest attempt ever recorded for the task, 0 before the first. Attempt numbers are never
        /// reused: a worker that no longer remembers an attempt would run it again.
        last: u64,
    },
    /// It is recorded as started: it may be on that machine until its absence is confirmed.
    Placed {
        /// Starts at 1 and rises with each start of the task.
        attempt: u64,
        /// The machine's name.
        machine: String,
        /// The incarnation of the machine's worker for which the start is meant.
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
    /// The state of a task that no page records.
    pub const NEVER_STARTED: TaskRecord = TaskRecord::Waiting { last: 0 };

    /// The highest attempt recorded for the task, or 0 if it is done.
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

/// Deserializes a record in one pass. An untagged enum would buffer each record and try one variant after the
/// other, and pages are most of the data that every controller reads.
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
            Err(E::custom(
                "the only boolean that a task record may be is `true`, for a completed task",
            ))
        }
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<TaskRecord, A::Error> {
        let too_short = |length| A::Error::invalid_length(length, &"three elements");
        Ok(TaskRecord::Placed {
            attempt: elements.next_element()?.ok_or_else(|| too_short(0))?,
            machine: elements.next_element()?.ok_or_else(|| too_short(1))?,
            incarnation: elements.next_element()?.ok_or_else(|| too_short(2))?,
        })
    }
}

impl<'de> Deserialize<'de> for TaskRecord {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TaskRecordVisitor)
    }
}
