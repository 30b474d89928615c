//! Jobs: their description, their durable records, the pending changes to their tasks, and how these are
//! written. Where a task runs is placement's decision.

mod archive;
pub mod failures;
mod garbage_collection;
pub mod pages;
pub mod pending_changes;
mod records;
pub mod runtime_estimate;
mod spec;
mod submission;
mod task_id;
pub mod writer;

pub use pages::{PageId, PageLayout, ProgressPage, TaskRecord};
pub use records::{JobRecord, Relinquished, Stage, StoredJob, TerminalState};
pub use spec::{JobSpec, Shape, Urgency, is_job_id};
pub use submission::{SpecError, Submission};
pub use task_id::{TaskId, TaskRef};
