//! The specification of a job. Submissions and durable records share its JSON.

use serde::{Deserialize, Serialize};

/// How the tasks of a job relate to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks.
    #[serde(rename = "array")]
    Array,
    /// Tasks that depend on one another: they start together and complete together.
    #[serde(rename = "group")]
    Gang,
    /// Tasks that run until the job is cancelled: one that ends is started again.
    #[serde(rename = "standing")]
    Service,
}

/// The urgency class of a job. Variants are in ascending order, so that a more urgent one compares as greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    BestEffort,
    Standard,
    Urgent,
    Critical,
}

impl Urgency {
    /// All urgencies in ascending order.
    pub(super) const ALL: [Urgency; 4] = [
        Urgency::BestEffort,
        Urgency::Standard,
        Urgency::Urgent,
        Urgency::Critical,
    ];

    /// The name on the wire and in policies.
    pub fn name(self) -> &'static str {
        match self {
            Urgency::BestEffort => "best_effort",
            Urgency::Standard => "standard",
            Urgency::Urgent => "urgent",
            Urgency::Critical => "critical",
        }
    }
}

/// A job as specified by its user. Amounts of resources are per task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "nameId")]
    pub id: String,
    /// Jobs of the same class have a similar ratio of actual to estimated run time.
    #[serde(rename = "grist")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    pub shape: Shape,
    pub urgency: Urgency,
    /// Number of tasks.
    #[serde(rename = "sacks")]
    pub tasks: u32,
    pub cpus: f64,
    #[serde(rename = "cards")]
    pub gpus: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// The image that a machine must have before a task can start.
    #[serde(rename = "mould")]
    pub image: String,
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// The allowed machine types; all are allowed if absent.
    #[serde(rename = "stones", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; all are allowed if absent.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// The job may use spot machines.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// The owner's estimate of a task's run time in seconds, without the time to fetch the image.
    #[serde(rename = "grindS")]
    pub estimate_s: f64,
    /// Seconds of progress between two checkpoints of a task; 0 if it never saves one.
    #[serde(rename = "bankS")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "bankWriteS")]
    pub checkpoint_write_s: f64,
    /// Deadline of the job, in seconds after its submission.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// The maximum number of tasks in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether the tasks must be in more than one zone.
    pub fn needs_two_zones(&self) -> bool {
        self.max_tasks_per_zone() < self.tasks
    }

    /// Whether the tasks run until the job is cancelled.
    pub fn is_service(&self) -> bool {
        self.shape == Shape::Service
    }

    /// Whether the tasks start and complete together.
    pub fn is_gang(&self) -> bool {
        self.shape == Shape::Gang
    }
}

/// Maximum number of digits in a job's id.
const MAX_ID_DIGITS: usize = 20;

/// Whether a text is a valid job id: `job-` and then digits. No other id is ever accepted.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("job-").is_some_and(|digits| {
        (1..=MAX_ID_DIGITS).contains(&digits.len())
            && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}
