//! Transactions without an answer, whose outcome is in doubt.

use crate::amount::ResourceAmount;
use crate::view::TeamView;

/// Starts or a transfer whose transaction got no answer: it may have been applied already, or may be later.
/// What it takes is charged until the outcome is known; else the same headroom could be used twice, once by
/// what was started in it or handed away, and once by what takes its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InDoubtTransaction {
    /// What the transaction takes of the controller's allocation if it was applied.
    pub amount: ResourceAmount,
    /// The revision of the team's record that the transaction requires.
    pub record_revision: u64,
    /// The revision of the assignment of jobs that the transaction requires, or that applied when it was
    /// sent.
    pub assignment_revision: u64,
}

impl InDoubtTransaction {
    /// Whether the replica shows the outcome. Once the record or the assignment has changed, the transaction
    /// fails from then on; and once all changes up to that one are applied to the replica, so is what it did
    /// before.
    pub(crate) fn is_resolved(&self, view: &TeamView) -> bool {
        let changed_and_applied =
            |required: u64, current: u64| current > required && view.applied_revision >= current;
        changed_and_applied(self.record_revision, view.record_revision())
            || changed_and_applied(self.assignment_revision, view.assignment_revision)
    }
}
