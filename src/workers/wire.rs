//! The worker protocol's words.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Report {
    #[serde(rename = "millstone")]
    pub machine: String,
    #[serde(rename = "endpoint")]
    pub addr: String,
    #[serde(rename = "stone")]
    pub kind: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "borrowed", default)]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "tally")]
    pub seq: u64,
    #[serde(rename = "warrant", default)]
    pub token: u64,
    #[serde(rename = "recallS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "sacks", default)]
    pub tasks: Vec<ReportedTask>,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ReportedTask {
    #[serde(rename = "sack")]
    pub task: String,
    #[serde(rename = "turn")]
    pub attempt: u64,
    #[serde(rename = "stage")]
    pub state: TaskState,
    #[serde(default)]
    pub cause: Option<Cause>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "gathering")]
    Waiting,
    Running,
    Flushing,
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    Stopped,
    #[serde(rename = "mates_gone")]
    PeersGone,
    Alone,
    Error,
    NoRoom,
    Busy,
    Unknown,
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    Run {
        #[serde(rename = "sack")]
        task: String,
        #[serde(rename = "turn")]
        attempt: u64,
    },
    Stop {
        #[serde(rename = "sack")]
        task: String,
        #[serde(rename = "turn")]
        attempt: u64,
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    Reap {
        #[serde(rename = "sack")]
        task: String,
        #[serde(rename = "turn")]
        attempt: u64,
    },
}

impl Order {
    pub fn run(task: &str, attempt: u64) -> Self {
        Order::Run {
            task: task.to_owned(),
            attempt,
        }
    }

    pub fn stop(task: &str, attempt: u64, grace_s: f64) -> Self {
        Order::Stop {
            task: task.to_owned(),
            attempt,
            grace_s,
        }
    }

    pub fn reap(task: &str, attempt: u64) -> Self {
        Order::Reap {
            task: task.to_owned(),
            attempt,
        }
    }
}

#[derive(Debug, Serialize)]
pub struct Answer {
    #[serde(rename = "warrant")]
    pub token: u64,
    pub orders: Vec<Order>,
}
