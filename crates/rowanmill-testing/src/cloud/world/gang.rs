//! Gangs: jobs whose tasks start together and complete together.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Whether a gang has completed. The gang shares it with the workers that its tasks are on.
#[derive(Clone, Default)]
pub(in crate::cloud) struct GangCompletion(Arc<AtomicBool>);

impl GangCompletion {
    pub fn is_complete(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// What the machines of a gang observe.
pub(super) struct Gang {
    /// The number of its tasks.
    tasks: usize,
    /// Since when all its tasks are on machines, or `None` while some are not.
    started: Option<Instant>,
    /// The completion of the tasks that have started since the gang last completed.
    completion: GangCompletion,
}

impl Gang {
    /// A gang of this many tasks, none of which is on a machine.
    pub fn new(tasks: usize) -> Self {
        Self {
            tasks,
            started: None,
            completion: GangCompletion::default(),
        }
    }

    /// The number of its tasks.
    #[cfg(test)]
    pub fn size(&self) -> usize {
        self.tasks
    }

    /// Records a start of one of its tasks, after which `on_machines` tasks are on machines. The gang starts with the
    /// last of them.
    pub fn record_start(&mut self, on_machines: usize) {
        if on_machines == self.tasks {
            self.started.get_or_insert_with(Instant::now);
        }
    }

    /// Records that one of its tasks left its machine. The gang has to start again.
    pub fn record_end(&mut self) {
        self.started = None;
    }

    pub fn has_started(&self) -> bool {
        self.started.is_some()
    }

    pub fn has_run_for(&self, duration: Duration) -> bool {
        self.started
            .is_some_and(|started| started.elapsed() >= duration)
    }

    /// Completes the tasks that are on machines. Tasks that start later belong to another completion.
    pub fn complete(&mut self) {
        let completion = std::mem::take(&mut self.completion);
        completion.0.store(true, Ordering::Relaxed);
    }

    /// The completion of a task that starts now.
    pub fn completion(&self) -> GangCompletion {
        self.completion.clone()
    }
}
