//! Initial states and external changes for scripted schedules.

use super::generate::UNITS_PER_RESOURCE;
use super::store::{Job, TaskState};
use super::{CONTROLLERS, Model, Omission, Outcome};
use rowanmill_limits::ResourceAmount;

impl Model {
    /// A model of three controllers, of which the first is the leader, and a limit of 12 CPUs. More tasks of
    /// one CPU wait than the limit allows; none runs yet.
    pub fn with_small_tasks(omission: Omission) -> Self {
        let mut model = Self::new(0, omission);
        let job = Job {
            need: ResourceAmount::from((UNITS_PER_RESOURCE, 0)),
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

    /// Sets the limit in the settings, which controllers see at their next read.
    pub fn set_limit_cpus(&mut self, cpus: u64) {
        self.limit.micro_cpus = Some(cpus * UNITS_PER_RESOURCE);
    }

    /// Replaces the waiting tasks of a job by `tasks` new ones.
    pub fn set_waiting(&mut self, job: usize, tasks: usize) {
        let job = &mut self.store.jobs[job];
        job.tasks.retain(|task| *task != TaskState::Waiting);
        job.tasks.extend(vec![TaskState::Waiting; tasks]);
        self.store.revision += 1;
        job.revision = self.store.revision;
    }

    pub fn cpus_in_use(&self) -> u64 {
        self.store.used().micro_cpus / UNITS_PER_RESOURCE
    }

    /// Kills a controller and expires its presence.
    pub fn end_controller(&mut self, index: usize) {
        self.controllers[index] = None;
        self.expire_controller(index);
    }
}
