//! Lookups that combine the records of tasks and machines with pending changes, the catalogue and run time estimates.

use super::Core;
use crate::cloud::MachineType;
use crate::jobs::runtime_estimate::RuntimeEstimate;
use crate::jobs::{JobSpec, TaskId, TaskRecord};

/// Expected run time of a service's tasks, in seconds: one day. They run until the service is cancelled, so their capacity
/// is not expected to become free soon.
const SERVICE_RUN_TIME_S: f64 = 86_400.0;
/// Lower bound of a task's expected run time, in seconds.
const MIN_RUN_TIME_S: f64 = 0.5;

impl Core {
    /// A task's record, including its pending change if there is one.
    pub fn task_record(&self, job: &str, task: u32) -> &TaskRecord {
        match self.pending_changes.get(job, task) {
            Some(pending) => pending,
            None => self.replica.task_record(job, task),
        }
    }

    /// Adds a pending change to a task's record; the job writer writes it.
    pub fn record_change(&mut self, id: &TaskId, record: TaskRecord) {
        let current = self.replica.task_record(&id.job, id.index);
        self.pending_changes.record(id, current, record);
    }

    /// Discards the pending change to a task's record, if there is one.
    pub fn discard_change(&mut self, id: &TaskId) {
        let current = self.replica.task_record(&id.job, id.index);
        self.pending_changes.discard(id, current);
    }

    /// The machine type with this name in the cloud's catalogue.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.machine_types.iter().find(|k| k.name == name)
    }

    /// The expected run time of a job's tasks, in seconds.
    pub fn expected_run_time_s(&self, spec: &JobSpec) -> f64 {
        if spec.is_service() {
            return SERVICE_RUN_TIME_S;
        }
        let estimate = self.runtime_estimates.get(&spec.class);
        let factor = estimate.map_or(1.0, RuntimeEstimate::factor);
        (spec.estimate_s * factor).max(MIN_RUN_TIME_S)
    }

    /// Whether a machine runs the kind of work that it was rented for. On a machine with GPUs, tasks without GPUs do
    /// not count, or they would keep it rented at many times the price of its CPUs. A spare GPU machine is exempt.
    pub fn runs_intended_work(&self, name: &str, machine_type: &str) -> bool {
        let is_spare = self.snapshots.spare_gpu_machines.contains(name);
        let needs_gpus = !is_spare
            && self
                .machine_type(machine_type)
                .is_some_and(|k| k.gpus > 0.0);
        let tasks = self.replica.tasks_by_machine.get(name);
        tasks
            .into_iter()
            .flatten()
            .filter_map(|task| self.replica.jobs.get(&task.job))
            .any(|job| !needs_gpus || job.record.spec.gpus > 0.0)
    }
}
