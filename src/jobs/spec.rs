//! What a user asks for with a job. Its JSON is that of submissions and of the durable records.

use serde::{Deserialize, Serialize};

/// How the tasks of a job belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks.
    #[serde(rename = "array")]
    Array,
    /// Tasks that start together, need one another, and complete together.
    #[serde(rename = "group")]
    Gang,
    /// Tasks that run until the job is cancelled: one that ends is started again.
    #[serde(rename = "standing")]
    Service,
}

/// The urgency class of a job. Later is more urgent, so that urgencies compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    BestEffort,
    Standard,
    Urgent,
    Critical,
}

impl Urgency {
    /// All urgencies, the least urgent first.
    pub(super) const ALL: [Urgency; 4] = [
        Urgency::BestEffort,
        Urgency::Standard,
        Urgency::Urgent,
        Urgency::Critical,
    ];

    /// Its name on the wire and in policies.
    pub fn name(self) -> &'static str {
        match self {
            Urgency::BestEffort => "best_effort",
            Urgency::Standard => "standard",
            Urgency::Urgent => "urgent",
            Urgency::Critical => "critical",
        }
    }
}

/// A job as its user describes it. Amounts are of each task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "nameId")]
    pub id: String,
    /// Jobs of a class take about as long in relation to their estimates.
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
    /// Machine types that are allowed; nothing for any.
    #[serde(rename = "stones", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The only zone that is allowed.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// It may use spot machines.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// The owner's estimate of a task's run time without the image's fetch, in seconds.
    #[serde(rename = "grindS")]
    pub estimate_s: f64,
    /// Seconds of progress after which a task saves a checkpoint; 0 if it never does.
    #[serde(rename = "bankS")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a task takes to save a checkpoint when it is stopped.
    #[serde(rename = "bankWriteS")]
    pub checkpoint_write_s: f64,
    /// Seconds after its submission by which it should be done.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Most tasks that may be in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether its tasks do not all fit into one zone.
    pub fn needs_two_zones(&self) -> bool {
        self.max_tasks_per_zone() < self.tasks
    }

    /// Whether its tasks run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.shape == Shape::Service
    }

    /// Whether its tasks start and complete together.
    pub fn is_gang(&self) -> bool {
        self.shape == Shape::Gang
    }
}

/// Most digits of a job's id.
const MAX_ID_DIGITS: usize = 20;

/// Whether a name has the only form that an accepted job's id can have: `job-` and then digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("job-").is_some_and(|digits| {
        (1..=MAX_ID_DIGITS).contains(&digits.len())
            && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}
