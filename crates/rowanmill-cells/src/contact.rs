//! Limits for how long a controller may act on its last read of the ledger.
//!
//! A takeover, or a cancellation that another cell confirmed, is recorded in the ledger only. A controller
//! therefore starts tasks and renews workers' leases only for a limited time after a read. While no controller
//! can reach the ledger, nothing new can be written to it. In that case attestations of all other controllers
//! count as a read: each of them attests that it has lost contact too, and which changes it has read.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest age of the last read at which a task may be started. A controller that can reach the ledger reads
/// it at least twice in this time if the watch interval and the response time together take at most half a
/// second: each watch request waits up to 1 s for a change.
const MAX_READ_AGE_FOR_STARTS: Duration = Duration::from_secs(3);
/// Time from reading a cancellation until it is confirmed to users. It is [`MAX_READ_AGE_FOR_STARTS`], after
/// which no controller can start the job by an earlier read, plus 200 ms for clock drift.
pub const CANCELLATION_EFFECT_DELAY: Duration = Duration::from_millis(3200);

/// A controller's last contact with the ledger, and what it permits.
#[derive(Debug, Clone, Default)]
pub struct LedgerContact {
    /// When the last request was sent whose response contained all changes up to then and showed that this
    /// cell was present.
    pub last_read_at: Option<Instant>,
    /// When the last request was sent that received a response, even if this cell was absent.
    pub last_response_at: Option<Instant>,
    /// When the other controllers were last queried with the result that all of them attested that they have
    /// lost contact.
    pub last_attestation_at: Option<Instant>,
    /// Jobs that this cell must not run: jobs in its own records and, after attestations, all jobs that these
    /// listed as revoked.
    pub halted: Arc<BTreeSet<String>>,
}

impl LedgerContact {
    fn is_within(&self, limit: Duration, now: Instant) -> bool {
        let newest = self.last_read_at.max(self.last_attestation_at);
        // A controller that has never read that its cell is present has nothing to renew.
        self.last_read_at.is_some()
            && newest.is_some_and(|at| now.saturating_duration_since(at) <= limit)
    }

    /// Whether tasks of the ledger's jobs may be started.
    pub fn permits_starts(&self, now: Instant) -> bool {
        self.is_within(MAX_READ_AGE_FOR_STARTS, now)
    }

    /// Whether the leases of workers with tasks of the ledger's jobs may be renewed, given that this is
    /// permitted for `limit` after a read.
    pub fn permits_renewals(&self, limit: Duration, now: Instant) -> bool {
        self.is_within(limit, now)
    }

    /// Whether the ledger answered a request that was sent at most `limit` ago.
    pub fn responded_within(&self, limit: Duration, now: Instant) -> bool {
        let last_response = self.last_response_at;
        last_response.is_some_and(|at| now.saturating_duration_since(at) <= limit)
    }
}

#[cfg(test)]
mod tests;
