//! The jobs that changed recently. Controllers that cannot read the ledger ask others for them.

use std::collections::VecDeque;

/// Number of changes above which each one that is read from the log displaces the oldest. It is meant to be as
/// many as the ledger's own log keeps. Changes that this process wrote displace none when they are added.
const MAX_CHANGES: usize = 10_000;

/// The latest changes of jobs, with their revisions.
#[derive(Debug, Default)]
pub(super) struct RecentChanges {
    changes: VecDeque<(u64, String)>,
    /// Revision after which `changes` contains all changes of jobs.
    complete_after: u64,
}

impl RecentChanges {
    /// Discards all changes. Those up to `revision` are unknown afterwards.
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

    /// Adds a change that this process wrote. The log will deliver it once more.
    pub(super) fn record_own_write(&mut self, id: &str, revision: u64) {
        self.changes.push_back((revision, id.to_owned()));
    }

    /// The jobs that changed after `revision`. `None` if some of these changes are no longer kept.
    pub(super) fn since(&self, revision: u64) -> Option<impl Iterator<Item = &str>> {
        if revision < self.complete_after {
            return None;
        }
        let changes = self.changes.iter();
        let newer = changes.filter(move |(changed, _)| *changed > revision);
        Some(newer.map(|(_, id)| id.as_str()))
    }
}
