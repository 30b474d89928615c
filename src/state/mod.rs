//! The state service: its client, our share of its limits, and the replica kept of our records.

pub mod replica;
#[cfg(test)]
mod tests;
pub mod watch;

use crate::jobs::PageId;
pub use replica::Replica;
pub use rowanmill_state::{Operation, Precondition, StateClient, TransactionError};

/// Most bytes of a transaction's changes: the service takes 64 KiB in all.
pub const MAX_TRANSACTION_BYTES: usize = 44 << 10;

/// Everything that every node follows. Final states lie outside it, so that what the nodes hold
/// in memory stays bounded as finished jobs pile up.
pub const LIVE: &str = "r/";

pub fn job_key(id: &str) -> String {
    format!("r/j/{id}")
}
pub fn page_key(id: &str, page: PageId) -> String {
    match page {
        PageId::Plain(n) => format!("r/p/{id}/{n}"),
        PageId::Compact(n) => format!("r/q/{id}/{n}"),
    }
}
pub fn rental_key(name: &str) -> String {
    format!("r/m/{name}")
}
pub fn presence_key(member: &str) -> String {
    format!("r/n/{member}")
}
pub fn outlook_key(member: &str) -> String {
    format!("r/o/{member}")
}
/// The key of a team's quota allocations. Keys allow no spaces: other bytes of a name than plain ones are written
/// in hexadecimal, so that two names never share a key.
pub fn allocation_key(team: &str) -> String {
    format!(
        "{QUOTA_ALLOCATIONS}{}",
        rowanmill_limits::key::encode_team(team)
    )
}
const QUOTA_ALLOCATIONS: &str = "r/a/";
/// What all controllers can do; see `membership::schema_versions`.
pub const FORMS_KEY: &str = "r/forms";
pub const LEADER_KEY: &str = "r/leader";
pub const ASSIGNMENT_KEY: &str = "r/shares";
pub fn final_key(id: &str) -> String {
    format!("e/{id}")
}
/// That a job of the cells' ledger was here and was given up. Of a job that was ever here, exactly one of
/// its open record, its final state and this stands, and this one stays: whatever would put the job into
/// the records late fails on it.
pub fn given_up_key(id: &str) -> String {
    format!("x/{id}")
}
