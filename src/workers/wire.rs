//! Message types of the worker protocol. The protocol's field names differ from the terms of the code, so each type maps
//! them with serde attributes.

use serde::{Deserialize, Serialize};

pub use heartbeat::Report as Heartbeat;

/// Defines the heartbeat under the name `Report`, because serde's error for a body that is not an object contains the
/// name of the struct's definition, regardless of `rename`.
mod heartbeat {
    use super::ReportedTask;
    use serde::Deserialize;

    /// An agent's report on its machine and the tasks on it. Other modules import it as `Heartbeat`.
    #[derive(Debug, Clone, PartialEq, Deserialize)]
    pub struct Report {
        #[serde(rename = "millstone")]
        pub machine: String,
        pub endpoint: String,
        #[serde(rename = "stone")]
        pub machine_type: String,
        #[serde(rename = "yard")]
        pub zone: String,
        #[serde(rename = "borrowed", default)]
        pub spot: bool,
        /// The agent's epoch: starts at 1 and increases whenever the agent's lease expires, which ends all of its tasks.
        #[serde(rename = "shift")]
        pub incarnation: u64,
        /// Increases with each message of an incarnation.
        #[serde(rename = "tally")]
        pub sequence: u64,
        /// The highest fencing token that the agent has received, or 0 if none.
        #[serde(rename = "warrant", default)]
        pub fencing_token: u64,
        /// Seconds until the cloud preempts the machine, if it has given notice.
        #[serde(rename = "recallS", default)]
        pub preemption_notice_s: Option<f64>,
        #[serde(rename = "sacks", default)]
        pub tasks: Vec<ReportedTask>,
    }
}

/// A task attempt in a heartbeat.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ReportedTask {
    /// The task's name, such as `job-000412/3`.
    #[serde(rename = "sack")]
    pub task: String,
    #[serde(rename = "turn")]
    pub attempt: u64,
    #[serde(rename = "stage")]
    pub state: TaskState,
    #[serde(rename = "cause", default)]
    pub exit_reason: Option<ExitReason>,
}

/// The state of a task attempt on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    #[serde(rename = "pulling")]
    PullingImage,
    /// The task belongs to a gang and waits for the gang's other tasks.
    #[serde(rename = "gathering")]
    AwaitingPeers,
    Running,
    #[serde(rename = "flushing")]
    SavingCheckpoint,
    Ended,
}

/// Why an attempt ended, or was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    #[serde(rename = "done")]
    Completed,
    Stopped,
    #[serde(rename = "mates_gone")]
    PeersGone,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    #[serde(rename = "error")]
    Failed,
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Another attempt of the task is on the machine.
    #[serde(rename = "busy")]
    AnotherAttempt,
    #[serde(rename = "unknown")]
    UnknownTask,
    /// A reason from a later version of the protocol.
    #[serde(other)]
    Other,
}

/// A command to the agent about one task attempt.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
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
        /// Seconds that the task has to save its progress.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Lets the agent forget an exit that is recorded.
    Reap {
        #[serde(rename = "sack")]
        task: String,
        #[serde(rename = "turn")]
        attempt: u64,
    },
}

impl Command {
    /// Starts an attempt of a task with a name such as `job-000412/3`.
    pub fn run(task: &str, attempt: u64) -> Self {
        Command::Run {
            task: task.to_owned(),
            attempt,
        }
    }

    /// Stops an attempt and gives it `grace_s` seconds to save its progress.
    pub fn stop(task: &str, attempt: u64, grace_s: f64) -> Self {
        Command::Stop {
            task: task.to_owned(),
            attempt,
            grace_s,
        }
    }

    /// Lets the agent forget an attempt that ended.
    pub fn reap(task: &str, attempt: u64) -> Self {
        Command::Reap {
            task: task.to_owned(),
            attempt,
        }
    }
}

/// The owner's response to a heartbeat. Receiving it renews the agent's lease.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
