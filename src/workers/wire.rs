//! The bodies of the worker protocol. Its themed field names are mapped here, once, to the terms that the rest of
//! the code uses. Decides nothing.

use serde::{Deserialize, Serialize};

pub use heartbeat::Report as Heartbeat;

/// The error with which a body that is no object is refused names the struct, so that it is called `Report`
/// here: serde takes that name from the definition, whatever a `rename` says.
mod heartbeat {
    use super::ReportedTask;
    use serde::Deserialize;

    /// What a worker's agent reports of its machine and of the tasks on it. Elsewhere it is named `Heartbeat`.
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
        /// The agent's epoch: starts at 1 and rises whenever the agent's lease expires, which ends all of its tasks.
        #[serde(rename = "shift")]
        pub incarnation: u64,
        /// Rises with each message of an incarnation.
        #[serde(rename = "tally")]
        pub sequence: u64,
        /// The highest fencing token that the agent has received, 0 if none.
        #[serde(rename = "warrant", default)]
        pub fencing_token: u64,
        /// Seconds until the cloud preempts the machine, once it has given notice.
        #[serde(rename = "recallS", default)]
        pub preemption_notice_s: Option<f64>,
        #[serde(rename = "sacks", default)]
        pub tasks: Vec<ReportedTask>,
    }
}

/// One attempt at a task in a heartbeat.
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

/// How far an attempt is on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    #[serde(rename = "pulling")]
    PullingImage,
    /// A task of a gang that waits for the other tasks of its attempt.
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
    /// The task is on the machine with another attempt.
    #[serde(rename = "busy")]
    AnotherAttempt,
    #[serde(rename = "unknown")]
    UnknownTask,
    /// A reason of a later protocol.
    #[serde(other)]
    Other,
}

/// What the agent is to do with one attempt of a task.
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
    /// Forgets an exit, which is in the records.
    Reap {
        #[serde(rename = "sack")]
        task: String,
        #[serde(rename = "turn")]
        attempt: u64,
    },
}

impl Command {
    /// Starts an attempt at a task, named as `job-000412/3`.
    pub fn run(task: &str, attempt: u64) -> Self {
        Command::Run {
            task: task.to_owned(),
            attempt,
        }
    }

    /// Stops an attempt, with `grace_s` seconds to save its progress.
    pub fn stop(task: &str, attempt: u64, grace_s: f64) -> Self {
        Command::Stop {
            task: task.to_owned(),
            attempt,
            grace_s,
        }
    }

    /// Has the agent forget an attempt that ended.
    pub fn reap(task: &str, attempt: u64) -> Self {
        Command::Reap {
            task: task.to_owned(),
            attempt,
        }
    }
}

/// The owner's response to a heartbeat. It renews the agent's lease.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "warrant")]
    pub fencing_token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
