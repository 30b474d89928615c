//! The events that users and machines observe, and a checker for contradictions among them. It uses no knowledge of
//! controllers, cells or records.

use std::collections::{BTreeMap, BTreeSet};

/// The stage of a job as it is reported to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportedStage {
    /// Accepted and not ended.
    Open,
    /// All its tasks completed.
    Done,
    /// Ended by a cancellation. None of its tasks may start any more.
    Cancelled,
    /// No such job is known.
    Unknown,
}

/// An event that a user or a machine observed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A user submitted a job.
    Submitted {
        /// The job's id.
        job: String,
        /// The number of its tasks.
        tasks: u32,
    },
    /// The stage of a job was reported to a user.
    StageReported {
        /// The job's id.
        job: String,
        /// The reported stage.
        stage: ReportedStage,
    },
    /// A machine began to run a task.
    Started {
        /// The task's id.
        task: String,
        /// The machine's name.
        machine: String,
    },
    /// A task no longer runs on its machine: it completed, it was stopped, its worker's lease expired, or the machine
    /// was stopped.
    Ended {
        /// The task's id.
        task: String,
        /// Whether it completed. In the other cases it ended early.
        completed: bool,
    },
}

/// A contradiction in what was observed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A task started while it already ran, on the same or another machine.
    #[error("{task} starts on {second} while it runs on {first}")]
    Overlap {
        /// The task's id.
        task: String,
        /// The machine on which it already ran.
        first: String,
        /// The machine on which it started again.
        second: String,
    },
    /// A job was reported in a final stage, and then in another stage.
    #[error("{job} was reported as {first:?} and then as {second:?}")]
    FinalStageChanged {
        /// The job's id.
        job: String,
        /// The final stage that was reported first.
        first: ReportedStage,
        /// The stage that was reported later.
        second: ReportedStage,
    },
    /// A job was reported as done before all its tasks had completed.
    #[error("{job} was reported as done with {completed} of {tasks} tasks completed")]
    DoneTooEarly {
        /// The job's id.
        job: String,
        /// The number of tasks that had completed.
        completed: u32,
        /// The number of its tasks.
        tasks: u32,
    },
    /// A task started after its job was reported as cancelled.
    #[error("{task} starts after its job was reported as cancelled")]
    StartedCancelled {
        /// The task's id.
        task: String,
    },
    /// An accepted job became unknown, or was never reported in a final stage.
    #[error("{job} is lost")]
    Lost {
        /// The job's id.
        job: String,
    },
    /// A job was reported that was never submitted.
    #[error("{job} was reported but never submitted")]
    NeverSubmitted {
        /// The job's id.
        job: String,
    },
}

/// All observed events, in order.
#[derive(Debug, Clone, Default)]
pub struct History {
    events: Vec<Event>,
}

/// The state of the checker after some of the events.
#[derive(Default)]
struct Checker {
    /// The number of each job's tasks.
    submitted: BTreeMap<String, u32>,
    /// The last stage in which each job was reported, up to the first final one. `Unknown` is omitted.
    reported: BTreeMap<String, ReportedStage>,
    /// The machine of each running task.
    machine_by_task: BTreeMap<String, String>,
    completed: BTreeSet<String>,
    violations: Vec<Violation>,
}

/// The id of a task's job. A task's id consists of the job's id, a slash and a number.
pub(crate) fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or(task)
}

impl History {
    /// Records the latest event.
    pub fn record(&mut self, event: Event) {
        self.events.push(event);
    }

    /// All violations. `is_over` means that no more events will follow: then each accepted job that was not reported in
    /// a final stage counts as lost.
    pub fn violations(&self, is_over: bool) -> Vec<Violation> {
        let mut checker = Checker::default();
        for event in &self.events {
            checker.apply(event);
        }
        if is_over {
            checker.find_lost();
        }
        checker.violations
    }
}

impl Checker {
    fn apply(&mut self, event: &Event) {
        match event {
            Event::Submitted { job, tasks } => {
                self.submitted.insert(job.clone(), *tasks);
            }
            Event::StageReported { job, stage } => self.check_stage(job, *stage),
            Event::Started { task, machine } => self.check_start(task, machine),
            Event::Ended { task, completed } => {
                self.machine_by_task.remove(task);
                if *completed {
                    self.completed.insert(task.clone());
                }
            }
        }
    }

    fn check_stage(&mut self, job: &str, stage: ReportedStage) {
        let before = self.reported.get(job).copied();
        let Some(tasks) = self.submitted.get(job).copied() else {
            if stage != ReportedStage::Unknown {
                let job = job.to_owned();
                self.violations.push(Violation::NeverSubmitted { job });
            }
            return;
        };
        match (before, stage) {
            (Some(ReportedStage::Done | ReportedStage::Cancelled), _) if before != Some(stage) => {
                self.violations.push(Violation::FinalStageChanged {
                    job: job.to_owned(),
                    first: before.unwrap_or(ReportedStage::Open),
                    second: stage,
                });
                return;
            }
            (Some(_), ReportedStage::Unknown) => {
                let job = job.to_owned();
                self.violations.push(Violation::Lost { job });
                return;
            }
            (None, ReportedStage::Unknown) => return,
            _ => {}
        }
        let of_job = |task: &&String| job_of(task) == job;
        let completed = self.completed.iter().filter(of_job).count() as u32;
        if stage == ReportedStage::Done && completed < tasks {
            self.violations.push(Violation::DoneTooEarly {
                job: job.to_owned(),
                completed,
                tasks,
            });
        }
        self.reported.insert(job.to_owned(), stage);
    }

    fn check_start(&mut self, task: &str, machine: &str) {
        if let Some(first) = self
            .machine_by_task
            .insert(task.to_owned(), machine.to_owned())
        {
            self.violations.push(Violation::Overlap {
                task: task.to_owned(),
                first,
                second: machine.to_owned(),
            });
        }
        if self.reported.get(job_of(task)) == Some(&ReportedStage::Cancelled) {
            let task = task.to_owned();
            self.violations.push(Violation::StartedCancelled { task });
        }
    }

    fn find_lost(&mut self) {
        for (job, stage) in &self.reported {
            if *stage == ReportedStage::Open {
                let job = job.clone();
                self.violations.push(Violation::Lost { job });
            }
        }
    }
}

#[cfg(test)]
mod tests;
