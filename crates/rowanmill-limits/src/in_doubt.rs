//! Transactions that got no answer, so that their outcome is in doubt.

use crate::amount::ResourceAmount;
use crate::view::TeamView;

/// Starts or a transfer whose transaction got no answer: it may have been applied already, or may still be
/// applied later. Its amount stays charged until the outcome is known. Otherwise the same headroom could be
/// used twice: by the tasks that the transaction started or the controller that it transferred headroom to,
/// and by new starts here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InDoubtTransaction {
    /// The part of the controller's allocation that the transaction takes if it is applied.
    pub amount: ResourceAmount,
    /// The revision of the team's record that the transaction requires.
    pub record_revision: u64,
    /// The revision of the assignment of jobs that the transaction requires, or that was current when it was
    /// sent.
    pub assignment_revision: u64,
}

impl InDoubtTransaction {
    /// Whether the replica shows the outcome. Once the record has a newer revision, the transaction can no
    /// longer be applied. Once the assignment has a newer one, starts fail, and a transfer changes only a
    /// record that permits nothing any more. If the replica has applied all changes up to the newer revision,
    /// it also shows whether the transaction was applied before.
    pub(crate) fn is_resolved(&self, view: &TeamView) -> bool {
        let changed_and_applied =
            |required: u64, current: u64| current > required && view.applied_revision >= current;
        changed_and_applied(self.record_revision, view.record_revision())
            || changed_and_applied(self.assignment_revision, view.assignment_revision)
    }
}
