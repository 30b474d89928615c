//! Time limits on what a controller may do by its last read of the ledger.
//!
//! A cancellation that another cell confirmed, or a takeover, is recorded in the ledger only. A controller
//! therefore starts tasks and renews workers' leases for a bounded time after a read. While the ledger is
//! unreachable for all controllers nothing new can be written to it. Then attestations of all other
//! controllers count as a read: each says that it has lost contact too, and which changes it has read.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest age of the read by which a task is started. An undisturbed controller reads at least twice in
/// this time.
const MAX_READ_AGE_FOR_STARTS: Duration = Duration::from_secs(3);
/// Time from the read of a cancellation until it is confirmed to users: [`MAX_READ_AGE_FOR_STARTS`], after
/// which no controller can start the job by an earlier read, and 200 ms for clocks that drift apart.
pub const CANCELLATION_EFFECT_DELAY: Duration = Duration::from_millis(3200);

/// A controller's last contact with the ledger, and what it permits.
#[derive(Debug, Clone, Default)]
pub struct LedgerContact {
    /// When the last request was sent whose answer brought all changes up to then and showed that this
    /// cell was present.
    pub last_read_at: Option<Instant>,
    /// When the last request was sent that was answered, whether this cell was present or not.
    pub last_response_at: Option<Instant>,
    /// When the other controllers were last asked and all attested that they have lost contact.
    pub last_attestation_at: Option<Instant>,
    /// Jobs of this cell's records that it must not run.
    pub halted: Arc<BTreeSet<String>>,
}

impl LedgerContact {
    fn is_within(&self, limit: Duration, now: Instant) -> bool {
        let newest = self.last_read_at.max(self.last_attestation_at);
        // A cell that never read that it is present has nothing to renew.
        self.last_read_at.is_some()
            && newest.is_some_and(|at| now.saturating_duration_since(at) <= limit)
    }

    /// Whether tasks of the ledger's jobs may be started.
    pub fn permits_starts(&self, now: Instant) -> bool {
        self.is_within(MAX_READ_AGE_FOR_STARTS, now)
    }

    /// Whether the leases of workers with tasks of the ledger's jobs may be renewed, where that is allowed
    /// for `limit` after a read.
    pub fn permits_renewals(&self, limit: Duration, now: Instant) -> bool {
        self.is_within(limit, now)
    }

    /// Whether the ledger answered a request that was sent at most `limit` ago.
    pub fn responded_within(&self, limit: Duration, now: Instant) -> bool {
        let answered = self.last_response_at;
        answered.is_some_and(|at| now.saturating_duration_since(at) <= limit)
    }
}

#[cfg(test)]
mod tests;
