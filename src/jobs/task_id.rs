//! Identifiers of tasks, and their text form on the wire, `job-000412/3`.

use super::is_job_id;
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

/// A task of a job. Orders by job, then by index.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job's id, `job-000412`.
    pub job: String,
    /// The task's index in its job, counted from 0.
    pub index: u32,
}

/// A [`TaskId`] that borrows the job's id, so that reading a heartbeat copies no ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskRef<'a> {
    /// The job's id.
    pub job: &'a str,
    /// The task's index in its job, counted from 0.
    pub index: u32,
}

/// A text that is not a job's id, a slash and a task's index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the task id does not have the form `job-000412/3`")]
pub struct TaskIdError;

impl TaskId {
    /// The task with this index in a job.
    pub fn new(job: impl Into<String>, index: u32) -> Self {
        let job = job.into();
        Self { job, index }
    }

    /// The same task with a borrowed job id.
    pub fn borrowed(&self) -> TaskRef<'_> {
        let job = self.job.as_str();
        TaskRef {
            job,
            index: self.index,
        }
    }
}

impl Display for TaskId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.borrowed().fmt(f)
    }
}

impl FromStr for TaskId {
    type Err = TaskIdError;

    fn from_str(name: &str) -> Result<Self, TaskIdError> {
        TaskRef::try_from(name).map(TaskId::from)
    }
}

impl From<TaskRef<'_>> for TaskId {
    fn from(task: TaskRef<'_>) -> Self {
        Self::new(task.job, task.index)
    }
}

impl Display for TaskRef<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl<'a> TryFrom<&'a str> for TaskRef<'a> {
    type Error = TaskIdError;

    fn try_from(name: &'a str) -> Result<Self, TaskIdError> {
        let (job, index) = name.split_once('/').ok_or(TaskIdError)?;
        if !is_job_id(job) {
            return Err(TaskIdError);
        }
        let index = index.parse().map_err(|_| TaskIdError)?;
        Ok(Self { job, index })
    }
}

#[cfg(test)]
mod tests;
