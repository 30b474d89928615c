//! Answers of the ledger as the controller's request handlers see them.

use crate::record::{FinalState, OwnershipVersion};

/// Result of publishing a job.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
    /// It is in the ledger, at this version.
    Accepted(OwnershipVersion),
    /// It was there before, open or ended.
    AlreadyKnown,
    /// This controller's share of the ledger's writes is used up for now.
    RateLimited,
    /// It may or may not be in the ledger: the job must not be accepted.
    Unavailable,
}

/// State of a job in the ledger, by a read that was sent after the query.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerJobState {
    /// It is open.
    Open {
        /// This cell owns it.
        owned_here: bool,
    },
    /// Its user cancelled it, and a controller may not have read that yet.
    Cancelling {
        /// This cell owns it.
        owned_here: bool,
    },
    /// Its user cancelled it, and no controller can start it any more. It has not ended yet.
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
    /// The cancellation is in the ledger, and a controller may not have read it yet.
    Recorded {
        /// This cell owns the job.
        owned_here: bool,
    },
    /// The job had ended.
    AlreadyEnded(FinalState),
    /// The ledger never had the job.
    Unknown,
    /// The ledger gave no definite answer.
    Indeterminate,
}

/// A controller's attestation that it has lost contact with the ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LedgerLossAttestation {
    /// It has read the ledger's records, and has no contact with the ledger now.
    pub is_disconnected: bool,
    /// Jobs that changed after the revision of the query and that the querying cell must not run.
    pub revoked_jobs: Vec<String>,
}
