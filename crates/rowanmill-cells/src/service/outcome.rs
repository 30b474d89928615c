//! Results of requests to the ledger, as the controller's request handlers receive them.

use crate::record::{FinalState, OwnershipVersion};

/// Result of publishing a job.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
    /// It is in the ledger, with this version of its record.
    Accepted(OwnershipVersion),
    /// The ledger already had it, as open or as ended.
    AlreadyKnown,
    /// This controller's share of the ledger's writes is used up for now.
    RateLimited,
    /// It may or may not be in the ledger, so it must not be accepted.
    Unavailable,
}

/// State of a job in the ledger, by a read that was sent after the state was queried.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerJobState {
    /// It is open.
    Open {
        /// This cell owns it.
        owned_here: bool,
    },
    /// It is cancelled, and some controller may not have read the cancellation yet.
    Cancelling {
        /// This cell owns it.
        owned_here: bool,
    },
    /// It is cancelled, and no controller can start it any more. It has not ended yet.
    Cancelled,
    /// It ended.
    Ended(FinalState),
    /// The ledger never had it.
    Unknown,
    /// The ledger gave no definite answer.
    Indeterminate,
}

/// Result of cancelling a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The cancellation is in the ledger, and no controller can start the job any more.
    Confirmed,
    /// The cancellation is in the ledger, and some controller may not have read it yet.
    Recorded {
        /// This cell owns the job.
        owned_here: bool,
    },
    /// The job had already ended.
    AlreadyEnded(FinalState),
    /// The ledger never had the job.
    Unknown,
    /// The ledger gave no definite answer.
    Indeterminate,
}

/// A controller's attestation that it has lost contact with the ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LedgerLossAttestation {
    /// The controller has loaded the ledger's records and has lost contact with the ledger since.
    pub is_disconnected: bool,
    /// Jobs that changed after the revision of the query and that the querying cell must not run, and all
    /// jobs that the attesting controller has halted.
    pub revoked_jobs: Vec<String>,
}
