//! What users were told and what machines ran, and a checker of both. It knows nothing of controllers,
//! cells or records.

use std::collections::{BTreeMap, BTreeSet};

/// The stage of a job that a user was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportedStage {
    /// Accepted, and not ended.
    Open,
    /// All its tasks completed.
    Done,
    /// Cancelled.
    Cancelled,
    /// No such job is known.
    Unknown,
}

/// Something that was observed from outside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A user submitted a job.
    Submitted {
        /// The job.
        job: String,
        /// The number of its tasks.
        tasks: u32,
    },
    /// A user was told the stage of a job.
    StageReported {
        /// The job.
        job: String,
        /// The stage.
        stage: ReportedStage,
    },
    /// A machine began to run a task.
    Started {
        /// The task.
        task: String,
        /// The machine.
        machine: String,
    },
    /// A task has left its machine: it completed, or was lost.
    Left {
        /// The task.
        task: String,
        /// Whether it completed.
        completed: bool,
    },
}

/// A contradiction in what was observed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A task ran on two machines at a time.
    #[error("{task} starts on {second} while it is on {first}")]
    Overlap {
        /// The task.
        task: String,
        /// The machine that it was on.
        first: String,
        /// The machine that it started on.
        second: String,
    },
    /// Users were told a final stage, and then another stage.
    #[error("{job} was told {first:?} and then {second:?}")]
    FinalStageChanged {
        /// The job.
        job: String,
        /// What was told first.
        first: ReportedStage,
        /// What was told later.
        second: ReportedStage,
    },
    /// Users were told that a job is done before all its tasks had completed.
    #[error("{job} was told done with {completed} of {tasks} tasks completed")]
    DoneTooEarly {
        /// The job.
        job: String,
        /// Tasks that had completed.
        completed: u32,
        /// Its tasks.
        tasks: u32,
    },
    /// A task started after users were told of its job's cancellation.
    #[error("{task} starts after its job's cancellation was told")]
    StartedCancelled {
        /// The task.
        task: String,
    },
    /// An accepted job became unknown, or users were never told a final stage.
    #[error("{job} is lost")]
    Lost {
        /// The job.
        job: String,
    },
    /// Users were told a stage of a job that was never submitted.
    #[error("{job} was never submitted")]
    NeverSubmitted {
        /// The job.
        job: String,
    },
}

/// All that was observed, in order.
#[derive(Debug, Clone, Default)]
pub struct History {
    events: Vec<Event>,
}

/// The state of the checker after some of the events.
#[derive(Default)]
struct Checker {
    /// The number of each job's tasks.
    submitted: BTreeMap<String, u32>,
    /// The last stage of each job that users were told.
    reported: BTreeMap<String, ReportedStage>,
    /// The machine that each running task is on.
    machine_by_task: BTreeMap<String, String>,
    completed: BTreeSet<String>,
    violations: Vec<Violation>,
}

/// The job of a task, whose id is that of the job, a slash and a number.
pub(crate) fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or(task)
}

impl History {
    /// Records the latest event.
    pub fn record(&mut self, event: Event) {
        self.events.push(event);
    }

    /// All violations. `is_over`: every accepted job should have ended by now.
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
            Event::Left { task, completed } => {
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
