//! The largest gang that one transaction can start. The starts of a gang are recorded in one transaction: if only some
//! of them were recorded, these tasks would wait for peers that never start.

use super::{JobSpec, PageId, PageLayout};
use crate::settings::Settings;
use crate::state::{MAX_BODY_BYTES, Replica};

/// Least size of a started task on a plain page, `[1,"m",1]` and a comma, in bytes.
const MIN_PLAIN_PLACED_BYTES: usize = 10;

/// Least size of a started task on a compact page, its code and a comma, in bytes.
const MIN_COMPACT_PLACED_BYTES: usize = 5;

/// Whether a job is a gang of which no transaction can hold all starts, wherever its tasks are placed. It is never
/// started, and nothing may be planned, reserved or rented for it.
pub fn exceeds_one_transaction(replica: &Replica, settings: &Settings, spec: &JobSpec) -> bool {
    let operations = settings.max_transaction_operations();
    let max_tasks = max_tasks(&replica.layout, replica.page_to_write(0), operations);
    spec.is_gang() && spec.tasks as usize > max_tasks
}

/// Upper bound of the number of tasks that a transaction of `operations` pages can start. `page` is one of the pages.
fn max_tasks(layout: &PageLayout, page: PageId, operations: usize) -> usize {
    let placed_bytes = match page {
        PageId::Plain(_) => MIN_PLAIN_PLACED_BYTES,
        PageId::Compact(_) => MIN_COMPACT_PLACED_BYTES,
    };
    let by_pages = layout.tasks_on(page).count * operations;
    by_pages.min(MAX_BODY_BYTES / placed_bytes)
}

#[cfg(test)]
mod tests;
