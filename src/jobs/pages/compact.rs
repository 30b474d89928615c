//! The compact encoding of a progress page: a list of the machines' names, and one integer for each task.

use super::{ProgressPage, TaskRecord};
use serde::de::Error;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A started task is encoded as `attempt * ATTEMPT_FACTOR + index`, where `index` is the machine's position
/// in the list of machines. The factor exceeds the number of tasks on a page, and so every index.
const ATTEMPT_FACTOR: i64 = 1000;

/// Code of a task that is done.
const DONE: i64 = -1;

/// The incarnation of machines beyond the end of the list of incarnations.
const DEFAULT_INCARNATION: u64 = 1;

/// The JSON of a compact page.
#[derive(Serialize, Deserialize)]
struct CompactPage {
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    machines: Vec<String>,
    /// The incarnations of the machines' workers, without those at the end that are 1.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    incarnations: Vec<u64>,
    /// The code of each task: 0 if it was never started, -1 if it is done, `-1 - last` if it waits after
    /// attempt `last`, otherwise its attempt and machine, see [`ATTEMPT_FACTOR`].
    #[serde(rename = "t")]
    tasks: Vec<i64>,
}

impl CompactPage {
    fn decode(&self, code: i64) -> Result<TaskRecord, serde_json::Error> {
        if code == 0 {
            return Ok(TaskRecord::default());
        }
        if code == DONE {
            return Ok(TaskRecord::Done);
        }
        if code < 0 {
            let last = (DONE - code) as u64;
            return Ok(TaskRecord::Waiting { last });
        }
        let index = (code % ATTEMPT_FACTOR) as usize;
        let machine = self.machines.get(index);
        let machine = machine.ok_or_else(|| {
            serde_json::Error::custom("a task refers to a machine that is not in the list")
        })?;
        Ok(TaskRecord::Placed {
            attempt: (code / ATTEMPT_FACTOR) as u64,
            machine: machine.clone(),
            incarnation: self
                .incarnations
                .get(index)
                .copied()
                .unwrap_or(DEFAULT_INCARNATION),
        })
    }
}

impl ProgressPage {
    /// The page in the compact encoding.
    pub fn to_compact(&self) -> impl Serialize + use<> {
        let mut compact = CompactPage {
            machines: Vec::new(),
            incarnations: Vec::new(),
            tasks: Vec::with_capacity(self.0.len()),
        };
        let mut indices: HashMap<(&str, u64), usize> = HashMap::new();
        for record in &self.0 {
            compact.tasks.push(match record {
                TaskRecord::Done => DONE,
                TaskRecord::Waiting { last: 0 } => 0,
                TaskRecord::Waiting { last } => DONE - *last as i64,
                TaskRecord::Placed {
                    attempt,
                    machine,
                    incarnation,
                } => {
                    let index = *indices.entry((machine, *incarnation)).or_insert_with(|| {
                        compact.machines.push(machine.clone());
                        compact.incarnations.push(*incarnation);
                        compact.machines.len() - 1
                    });
                    *attempt as i64 * ATTEMPT_FACTOR + index as i64
                }
            });
        }
        while compact.incarnations.last() == Some(&DEFAULT_INCARNATION) {
            compact.incarnations.pop();
        }
        compact
    }

    /// Decodes a page from the compact encoding. A code whose machine is not in the list is an error: a task
    /// read as waiting instead could be started a second time.
    pub fn from_compact(data: &str) -> Result<Self, serde_json::Error> {
        let compact: CompactPage = serde_json::from_str(data)?;
        let records = compact.tasks.iter().map(|code| compact.decode(*code));
        records.collect::<Result<_, _>>().map(Self)
    }
}
