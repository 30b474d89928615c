//! Bodies of users' submissions.

use serde_json::{Value, json};

/// A job of identical tasks with the standard urgency. The submission's other fields have fixed values.
#[derive(Debug, Clone)]
pub struct JobRequest<'a> {
    /// The job's number. Its id is `job-` and the number.
    pub number: usize,
    /// The name of the job's team.
    pub team: &'a str,
    /// The number of tasks.
    pub tasks: u32,
    /// CPUs per task.
    pub cpus: f64,
    /// Memory per task, in GB.
    pub memory_gb: f64,
    /// The deadline, in seconds after the submission.
    pub deadline_s: f64,
}

impl JobRequest<'_> {
    /// The body for a job whose tasks start independently.
    pub fn array(&self) -> Value {
        self.body("array")
    }

    /// The body for a job whose tasks start together.
    pub fn gang(&self) -> Value {
        self.body("group")
    }

    fn body(&self, shape: &str) -> Value {
        json!({"nameId": format!("job-{}", self.number), "grist": "c", "crew": self.team,
            "shape": shape, "urgency": "standard", "sacks": self.tasks, "cpus": self.cpus,
            "cards": 0.0, "memGb": self.memory_gb, "mould": "i", "pullGb": 0.1, "stones": null,
            "yard": null, "together": false, "spread": false, "borrowed": false, "grindS": 1.0,
            "bankS": 0.0, "bankWriteS": 0.0, "dueS": self.deadline_s})
    }
}
