//! Jobs: their specification, their durable records, and the pending changes to their tasks, which the writer
//! sends to the state service. The `placement` module decides where a task runs.

mod archive;
pub mod failures;
pub mod gang_size;
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
