//! The progress of this controller's jobs, and the requirements on the machines that their tasks may run on:
//! the parts of a job's snapshot that only change with its records and planned changes.

use super::snapshot::eligible_machine_types;
use super::{NameTable, TasksByZone, capacity_of};
use crate::jobs::{JobSpec, TaskRecord};
use crate::node::Core;
use crate::state::replica::Job;
use std::sync::Arc;

/// Most waiting tasks of an array that a snapshot holds. A snapshot holds all waiting tasks of a gang, because a
/// gang starts as a whole and could never start with only some of its tasks.
const MAX_WAITING_OF_ARRAY: usize = 2000;

/// A task whose dominant share is above this fills most of a machine.
const LARGE_DOMINANT_SHARE: f64 = 0.5;

/// The progress of a job and its placement requirements, with interned names.
#[derive(Debug, Clone, Default)]
pub struct JobProgress {
    /// Indices of the waiting tasks; of an array, at most `MAX_WAITING_OF_ARRAY`.
    pub waiting: Arc<Vec<u32>>,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of tasks on machines.
    pub placed: u32,
    /// Number of tasks on machines, by zone.
    pub zones: TasksByZone,
    /// Interned machine types that its tasks may run on, cheapest first.
    pub machine_types: Vec<u32>,
    /// Name of the cheapest of them; empty if there is none.
    pub cheapest_machine_type: String,
    /// The second cheapest of them, if there is one.
    pub fallback_machine_type: Option<FallbackMachineType>,
    /// The interned image of its tasks.
    pub image: u32,
    /// The interned zone that its tasks must run in, if the job names one.
    pub zone: Option<u32>,
    /// Whether a task fills most of a machine of the cheapest type.
    pub large: bool,
    /// The largest fraction of any resource of a machine of the cheapest type that a task requests.
    pub dominant_share: f64,
    /// Whether its tasks request GPUs.
    pub needs_gpus: bool,
}

/// The machine type for a job's tasks when machines of the cheapest type are not available.
#[derive(Debug, Clone)]
pub struct FallbackMachineType {
    /// Name of the machine type.
    pub name: String,
    /// The largest fraction of any resource of such a machine that a task requests.
    pub dominant_share: f64,
}

impl JobProgress {
    /// Builds a job's progress from its records and planned changes.
    pub(super) fn new(core: &Core, names: &mut NameTable, job: &Job) -> Self {
        let spec = &job.record.spec;
        let mut progress = Self::default();
        progress.count_tasks(core, names, job);
        progress.set_requirements(core, names, spec);
        progress
    }

    /// Number of tasks that are on machines or completed.
    pub(super) fn started(&self) -> u32 {
        self.done + self.placed
    }

    fn count_tasks(&mut self, core: &Core, names: &mut NameTable, job: &Job) {
        let spec = &job.record.spec;
        let max_waiting = if spec.is_gang() {
            spec.tasks as usize
        } else {
            MAX_WAITING_OF_ARRAY
        };
        let mut waiting = Vec::new();
        let planned = core.pending_changes.of_job(&spec.id);
        for task in 0..spec.tasks {
            let planned = planned.and_then(|changes| changes.get(&task));
            match planned.unwrap_or_else(|| job.task_record(&core.replica.layout, task)) {
                TaskRecord::Waiting { .. } if waiting.len() < max_waiting => waiting.push(task),
                TaskRecord::Waiting { .. } => {}
                TaskRecord::Done => self.done += 1,
                TaskRecord::Placed { machine, .. } => {
                    self.placed += 1;
                    if let Some(machine) = core.replica.fleet.machines.get(machine) {
                        *self
                            .zones
                            .entry(names.intern(&machine.pool.zone))
                            .or_default() += 1;
                    }
                }
            }
        }
        self.waiting = Arc::new(waiting);
    }

    fn set_requirements(&mut self, core: &Core, names: &mut NameTable, spec: &JobSpec) {
        let machine_types = eligible_machine_types(core, spec);
        self.machine_types = machine_types.iter().map(|t| names.intern(t)).collect();
        self.fallback_machine_type = machine_types.get(1).and_then(|name| {
            Some(FallbackMachineType {
                name: name.clone(),
                dominant_share: dominant_share(core, spec, name)?,
            })
        });
        self.cheapest_machine_type = machine_types.into_iter().next().unwrap_or_default();
        self.dominant_share =
            dominant_share(core, spec, &self.cheapest_machine_type).unwrap_or(0.0);
        self.large = self.dominant_share > LARGE_DOMINANT_SHARE;
        self.needs_gpus = spec.gpus > 0.0;
        self.image = names.intern(&spec.image);
        self.zone = spec.zone.as_ref().map(|z| names.intern(z));
    }
}

/// The dominant share of a task on a machine type; `None` if the cloud's catalogue does not have the type.
fn dominant_share(core: &Core, spec: &JobSpec, machine_type: &str) -> Option<f64> {
    let machine_type = core.machine_type(machine_type)?;
    Some(spec.resources().dominant_share(&capacity_of(machine_type)))
}
