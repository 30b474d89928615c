//! What users were told and what machines ran, and whether it was right. It knows nothing of controllers,
//! cells or records.

use std::collections::{BTreeMap, BTreeSet};

/// What a user was told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Told {
    /// It is accepted, and has not ended.
    Open,
    /// All its tasks completed.
    Done,
    /// It is cancelled.
    Cancelled,
    /// Nobody knows it.
    Unknown,
}

/// Something that was seen from outside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A user submitted a job of so many tasks.
    Submitted {
        /// The job.
        job: String,
        /// Its tasks.
        tasks: u32,
    },
    /// A user was told how a job stands.
    Told {
        /// The job.
        job: String,
        /// How it stands.
        stage: Told,
    },
    /// A machine began to run a task.
    Started {
        /// The task.
        task: String,
        /// The machine.
        machine: String,
    },
    /// A machine runs a task no longer: it completed, or was lost.
    Left {
        /// The task.
        task: String,
        /// It completed.
        completed: bool,
    },
}

/// What was wrong.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A task ran on two machines at a time.
    #[error("{task} starts on {second} while it is on {first}")]
    Overlap {
        /// The task.
        task: String,
        /// Where it was.
        first: String,
        /// Where it started too.
        second: String,
    },
    /// Users were told an end, and then anything else.
    #[error("{job} was told {first:?} and then {second:?}")]
    WentBack {
        /// The job.
        job: String,
        /// What was told first.
        first: Told,
        /// What was told later.
        second: Told,
    },
    /// A job was told done before its tasks were.
    #[error("{job} was told done with {completed} of {tasks} tasks completed")]
    NotDone {
        /// The job.
        job: String,
        /// Tasks that had completed.
        completed: u32,
        /// Its tasks.
        tasks: u32,
    },
    /// A task started after its job's cancellation was told.
    #[error("{task} starts after its job's cancellation was told")]
    StartedCancelled {
        /// The task.
        task: String,
    },
    /// An accepted job is unknown, or was never told an end.
    #[error("{job} is lost")]
    Lost {
        /// The job.
        job: String,
    },
    /// A job that nobody submitted is told of.
    #[error("{job} was never submitted")]
    Invented {
        /// The job.
        job: String,
    },
}

/// All that was seen, in order.
#[derive(Debug, Clone, Default)]
pub struct History {
    events: Vec<Event>,
}

#[derive(Default)]
struct Seen {
    submitted: BTreeMap<String, u32>,
    told: BTreeMap<String, Told>,
    on: BTreeMap<String, String>,
    completed: BTreeSet<String>,
    wrong: Vec<Violation>,
}

pub(crate) fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or(task)
}

impl History {
    /// Adds what was seen last.
    pub fn note(&mut self, event: Event) {
        self.events.push(event);
    }

    /// All that was wrong. `is_over`: every accepted job should have ended by now.
    pub fn violations(&self, is_over: bool) -> Vec<Violation> {
        let mut seen = Seen::default();
        for event in &self.events {
            seen.take(event);
        }
        if is_over {
            seen.find_lost();
        }
        seen.wrong
    }
}

impl Seen {
    fn take(&mut self, event: &Event) {
        match event {
            Event::Submitted { job, tasks } => {
                self.submitted.insert(job.clone(), *tasks);
            }
            Event::Told { job, stage } => self.tell(job, *stage),
            Event::Started { task, machine } => self.start(task, machine),
            Event::Left { task, completed } => {
                self.on.remove(task);
                if *completed {
                    self.completed.insert(task.clone());
                }
            }
        }
    }

    fn tell(&mut self, job: &str, stage: Told) {
        let before = self.told.get(job).copied();
        let Some(tasks) = self.submitted.get(job).copied() else {
            if stage != Told::Unknown {
                let job = job.to_owned();
                self.wrong.push(Violation::Invented { job });
            }
            return;
        };
        match (before, stage) {
            (Some(Told::Done | Told::Cancelled), _) if before != Some(stage) => {
                self.wrong.push(Violation::WentBack {
                    job: job.to_owned(),
                    first: before.unwrap_or(Told::Open),
                    second: stage,
                });
                return;
            }
            (Some(_), Told::Unknown) => {
                let job = job.to_owned();
                self.wrong.push(Violation::Lost { job });
                return;
            }
            (None, Told::Unknown) => return,
            _ => {}
        }
        let of_job = |task: &&String| job_of(task) == job;
        let completed = self.completed.iter().filter(of_job).count() as u32;
        if stage == Told::Done && completed < tasks {
            self.wrong.push(Violation::NotDone {
                job: job.to_owned(),
                completed,
                tasks,
            });
        }
        self.told.insert(job.to_owned(), stage);
    }

    fn start(&mut self, task: &str, machine: &str) {
        if let Some(first) = self.on.insert(task.to_owned(), machine.to_owned()) {
            self.wrong.push(Violation::Overlap {
                task: task.to_owned(),
                first,
                second: machine.to_owned(),
            });
        }
        if self.told.get(job_of(task)) == Some(&Told::Cancelled) {
            let task = task.to_owned();
            self.wrong.push(Violation::StartedCancelled { task });
        }
    }

    fn find_lost(&mut self) {
        for (job, told) in &self.told {
            if *told == Told::Open {
                let job = job.clone();
                self.wrong.push(Violation::Lost { job });
            }
        }
    }
}

#[cfg(test)]
mod tests;
