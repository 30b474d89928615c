//! Which jobs changed recently, for controllers that cannot read the ledger themselves.

use std::collections::VecDeque;

/// Changes that are kept: as many as the ledger's own log keeps.
const MAX_CHANGES: usize = 10_000;

/// The last changes of jobs, by revision.
#[derive(Debug, Default)]
pub(super) struct RecentChanges {
    changes: VecDeque<(u64, String)>,
    /// All changes of jobs after this revision are in `changes`.
    complete_after: u64,
}

impl RecentChanges {
    /// Starts again, with nothing known of the changes up to `revision`.
    pub(super) fn reset(&mut self, revision: u64) {
        self.changes.clear();
        self.complete_after = revision;
    }

    /// Adds a change that was read from the log.
    pub(super) fn record(&mut self, id: &str, revision: u64) {
        self.changes.push_back((revision, id.to_owned()));
        if self.changes.len() > MAX_CHANGES
            && let Some((oldest, _)) = self.changes.pop_front()
        {
            self.complete_after = self.complete_after.max(oldest);
        }
    }

    /// Adds a change that this process wrote and that the log will bring again.
    pub(super) fn record_own_write(&mut self, id: &str, revision: u64) {
        self.changes.push_back((revision, id.to_owned()));
    }

    /// The jobs that changed after `revision`; `None` if older changes were already dropped.
    pub(super) fn since(&self, revision: u64) -> Option<impl Iterator<Item = &str>> {
        if revision < self.complete_after {
            return None;
        }
        let changes = self.changes.iter();
        let newer = changes.filter(move |(changed, _)| *changed > revision);
        Some(newer.map(|(_, id)| id.as_str()))
    }
}
