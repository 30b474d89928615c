//! What scripted schedules need beside the steps of the model: states to begin with, and changes from
//! outside.

use super::generate::ONE;
use super::store::{Job, TaskState};
use super::{CONTROLLERS, Model, Omission, Outcome};
use rowanmill_limits::ResourceAmount;

impl Model {
    /// Three controllers with more work of tasks of one CPU than a limit of 12 CPUs, the first one leading.
    /// Nothing runs yet.
    pub fn with_small_tasks(omission: Omission) -> Self {
        let mut model = Self::new(0, omission);
        let job = Job {
            need: ResourceAmount::from((ONE, 0)),
            is_gang: false,
            since_ms: 0,
            tasks: vec![TaskState::Waiting; 10],
            revision: 0,
        };
        model.store.jobs = vec![job; 2 * CONTROLLERS];
        model.outcome = Some(Outcome::Answered);
        model.set_limit_cpus(12);
        for _ in 0..3 {
            model.read(0);
            model.lead(0);
        }
        (0..CONTROLLERS).for_each(|index| model.read(index));
        model
    }

    /// Sets the limit in the settings, which controllers see when they read next.
    pub fn set_limit_cpus(&mut self, cpus: u64) {
        self.limit.micro_cpus = Some(cpus * ONE);
    }

    /// Replaces the waiting tasks of a job by this many.
    pub fn set_waiting(&mut self, job: usize, tasks: usize) {
        let job = &mut self.store.jobs[job];
        job.tasks.retain(|task| *task != TaskState::Waiting);
        job.tasks.extend(vec![TaskState::Waiting; tasks]);
        self.store.revision += 1;
        job.revision = self.store.revision;
    }

    pub fn cpus_in_use(&self) -> u64 {
        self.store.used().micro_cpus / ONE
    }

    /// Ends a controller, and its presence with it.
    pub fn end_controller(&mut self, index: usize) {
        self.controllers[index] = None;
        self.expire_controller(index);
    }
}
