//! The progress of this controller's jobs, and the requirements on the machines that their tasks may run on:
//! the parts of a job's snapshot that only change with its records and planned changes.

use super::snapshot::eligible_machine_types;
use super::{NameTable, TaskRanges, TasksByZone, capacity_of};
use crate::jobs::pending_changes::JobChanges;
use crate::jobs::{JobSpec, TaskRecord};
use crate::node::Core;
use crate::state::replica::Job;
use std::ops::Range;
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
    pub waiting: Arc<TaskRanges>,
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
        let mut counter = TaskCounter {
            core,
            names,
            planned: core.pending_changes.of_job(&spec.id),
            max_waiting,
            waiting: TaskRanges::default(),
            progress: self,
        };
        for segment in job.segments(&core.replica.layout) {
            for (task, record) in segment.recorded() {
                counter.add_recorded(task, record);
            }
            counter.add_never_started(segment.never_started());
        }
        self.waiting = Arc::new(counter.waiting);
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

/// Counts the tasks of a job, with planned changes in place of the records.
struct TaskCounter<'a> {
    core: &'a Core,
    names: &'a mut NameTable,
    planned: Option<&'a JobChanges>,
    max_waiting: usize,
    waiting: TaskRanges,
    progress: &'a mut JobProgress,
}

impl TaskCounter<'_> {
    fn add_recorded(&mut self, task: u32, record: &TaskRecord) {
        let planned = self.planned.and_then(|changes| changes.get(&task));
        self.add(task, planned.unwrap_or(record));
    }

    /// Adds tasks without records. The cost follows the number of planned changes among them.
    fn add_never_started(&mut self, tasks: Range<u32>) {
        let mut first = tasks.start;
        if let Some(planned) = self.planned.filter(|_| !tasks.is_empty()) {
            for (task, change) in planned.range(tasks.clone()) {
                self.add_waiting(first..*task);
                self.add(*task, change);
                first = *task + 1;
            }
        }
        self.add_waiting(first..tasks.end);
    }

    fn add(&mut self, task: u32, record: &TaskRecord) {
        match record {
            TaskRecord::Waiting { .. } => self.add_waiting(task..task + 1),
            TaskRecord::Done => self.progress.done += 1,
            TaskRecord::Placed { machine, .. } => self.add_placed(machine),
        }
    }

    fn add_waiting(&mut self, tasks: Range<u32>) {
        let room = self.max_waiting - self.waiting.len();
        let count = tasks.len().min(room) as u32;
        self.waiting.push(tasks.start..tasks.start + count);
    }

    fn add_placed(&mut self, machine: &str) {
        self.progress.placed += 1;
        if let Some(machine) = self.core.replica.fleet.machines.get(machine) {
            let zone = self.names.intern(&machine.pool.zone);
            *self.progress.zones.entry(zone).or_default() += 1;
        }
    }
}

/// The dominant share of a task on a machine type; `None` if the cloud's catalogue does not have the type.
fn dominant_share(core: &Core, spec: &JobSpec, machine_type: &str) -> Option<f64> {
    let machine_type = core.machine_type(machine_type)?;
    Some(spec.resources().dominant_share(&capacity_of(machine_type)))
}
