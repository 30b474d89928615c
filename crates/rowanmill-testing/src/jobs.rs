//! Jobs as users submit them.

use serde_json::{Value, json};

/// A job of tasks that are alike and of medium urgency. What it does not name is the same for all.
#[derive(Debug, Clone)]
pub struct JobRequest<'a> {
    /// The job's number, from which its id follows.
    pub number: usize,
    /// The team.
    pub team: &'a str,
    /// The number of tasks.
    pub tasks: u32,
    /// CPUs of a task.
    pub cpus: f64,
    /// Memory of a task, in GB.
    pub memory_gb: f64,
    /// When it is to be done, in seconds after it was submitted.
    pub deadline_s: f64,
}

impl JobRequest<'_> {
    /// The request's body for a job whose tasks start one by one.
    pub fn array(&self) -> Value {
        self.body("array")
    }

    /// The request's body for a job whose tasks start together.
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
