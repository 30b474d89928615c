//! What may be done by what was last read of the ledger.
//!
//! A cancellation that another cell confirmed, or a takeover, stands in the ledger and nowhere else. So a
//! controller starts tasks and renews workers only for a bounded time after a reading. When the ledger is
//! out for all, nothing new can stand in it: then what every other controller says in its place counts as
//! a reading, namely that it has no contact either and which changes it knows of.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Tasks start by readings no older than this. A controller that reads undisturbed has read within half.
const STARTS_WITHIN: Duration = Duration::from_secs(3);
/// A cancellation is told to users once so much time has passed since it was read: no controller may start
/// by an older reading then. Clocks may run apart a little.
pub const CANCELLATION_SETTLES: Duration = Duration::from_millis(3200);

/// When the ledger was last read, and what that forbids.
#[derive(Debug, Clone, Default)]
pub struct Contact {
    /// When the request was sent whose answer last brought all changes up to then, this cell's own
    /// presence among what was there.
    pub read_at: Option<Instant>,
    /// When the request was sent whose answer last came, whether this cell was there or not.
    pub answered_at: Option<Instant>,
    /// When the others were asked that last all said that they have no contact either.
    pub attested_at: Option<Instant>,
    /// Jobs of this cell's records that it must not run.
    pub halted: Arc<BTreeSet<String>>,
}

impl Contact {
    fn is_within(&self, limit: Duration, now: Instant) -> bool {
        let newest = self.read_at.max(self.attested_at);
        // A cell that was never seen to be there has nothing to renew.
        self.read_at.is_some()
            && newest.is_some_and(|at| now.saturating_duration_since(at) <= limit)
    }

    /// Whether tasks of the ledger's jobs may be started.
    pub fn permits_starts(&self, now: Instant) -> bool {
        self.is_within(STARTS_WITHIN, now)
    }

    /// Whether workers with tasks of the ledger's jobs may be renewed, `limit` after a reading.
    pub fn permits_renewals(&self, limit: Duration, now: Instant) -> bool {
        self.is_within(limit, now)
    }

    /// Whether the ledger answered lately.
    pub fn has_ledger(&self, within: Duration, now: Instant) -> bool {
        let answered = self.answered_at;
        answered.is_some_and(|at| now.saturating_duration_since(at) <= within)
    }
}

#[cfg(test)]
mod tests;
