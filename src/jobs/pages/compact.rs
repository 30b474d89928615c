//! The compact encoding of a progress page: each machine's name once, and one number for each task.

use super::{ProgressPage, TaskRecord};
use serde::de::Error;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Factor of the attempt in a started task's number, which is `attempt * MACHINE_SLOTS + machine`, the
/// machine as its place in the list of names. More than a page has tasks.
const MACHINE_SLOTS: i64 = 1000;

/// The number of a task that is done.
const DONE: i64 = -1;

/// The incarnation that is left out of the list.
const DEFAULT_INCARNATION: u64 = 1;

/// The JSON of a compact page.
#[derive(Serialize, Deserialize)]
struct CompactPage {
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    machines: Vec<String>,
    /// The machines' worker incarnations; those at the end that are 1 are left out.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    incarnations: Vec<u64>,
    /// For each task: 0 if it was never started, -1 if it is done, `-1 - last` if it waits after
    /// attempt `last`, and else the attempt and machine where it was started.
    #[serde(rename = "t")]
    tasks: Vec<i64>,
}

impl CompactPage {
    fn decode(&self, number: i64) -> Result<TaskRecord, serde_json::Error> {
        if number == 0 {
            return Ok(TaskRecord::default());
        }
        if number == DONE {
            return Ok(TaskRecord::Done);
        }
        if number < 0 {
            let last = (DONE - number) as u64;
            return Ok(TaskRecord::Waiting { last });
        }
        let slot = (number % MACHINE_SLOTS) as usize;
        let machine = self.machines.get(slot);
        let machine = machine.ok_or_else(|| serde_json::Error::custom("no such machine"))?;
        Ok(TaskRecord::Placed {
            attempt: (number / MACHINE_SLOTS) as u64,
            machine: machine.clone(),
            incarnation: self
                .incarnations
                .get(slot)
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
        let mut slots: HashMap<(&str, u64), usize> = HashMap::new();
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
                    let slot = *slots.entry((machine, *incarnation)).or_insert_with(|| {
                        compact.machines.push(machine.clone());
                        compact.incarnations.push(*incarnation);
                        compact.machines.len() - 1
                    });
                    *attempt as i64 * MACHINE_SLOTS + slot as i64
                }
            });
        }
        while compact.incarnations.last() == Some(&DEFAULT_INCARNATION) {
            compact.incarnations.pop();
        }
        compact
    }

    /// Reads the compact encoding. A number that names no machine is an error, and never taken for a
    /// task that waits.
    pub fn from_compact(data: &str) -> Result<Self, serde_json::Error> {
        let compact: CompactPage = serde_json::from_str(data)?;
        let records = compact.tasks.iter().map(|number| compact.decode(*number));
        records.collect::<Result<_, _>>().map(Self)
    }
}
