//! Tasks and machines as recorded, together with what is known of them beside the records.

use super::Core;
use crate::cloud::MachineType;
use crate::jobs::runtime_estimate::RuntimeEstimate;
use crate::jobs::{JobSpec, TaskId, TaskRecord};

/// Expected run time of a service's tasks, in seconds. They run until the service is cancelled, so no capacity is expected
/// from them soon: a day.
const SERVICE_RUN_TIME_S: f64 = 86_400.0;
/// Least expected run time of a task, in seconds.
const MIN_RUN_TIME_S: f64 = 0.5;

impl Core {
    /// A task's record, with the change that is about to be recorded if there is one.
    pub fn task_record(&self, job: &str, task: u32) -> &TaskRecord {
        match self.pending_changes.get(job, task) {
            Some(pending) => pending,
            None => self.replica.task_record(job, task),
        }
    }

    /// Plans a change of a task's record; the writer records it.
    pub fn record_change(&mut self, id: &TaskId, record: TaskRecord) {
        let current = self.replica.task_record(&id.job, id.index);
        self.pending_changes.record(id, current, record);
    }

    /// Withdraws the planned change of a task's record, if there is one.
    pub fn discard_change(&mut self, id: &TaskId) {
        let current = self.replica.task_record(&id.job, id.index);
        self.pending_changes.discard(id, current);
    }

    /// The machine type of this name, if the cloud's catalogue has it.
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

    /// Whether a machine has work of the sort that it was rented for: on one with GPUs, work without does not
    /// count, which would keep it at many times the price of its CPUs.
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
