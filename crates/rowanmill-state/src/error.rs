//! Why a request to the state service has no positive answer, by what the caller may conclude from it.

use crate::http::CallError;
use hyper::StatusCode;

/// What went wrong with one request.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// No response came.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The service answered with a status that says no more than that it failed.
    #[error("status {0}")]
    Status(StatusCode),
    /// The response's body is not what the protocol says.
    #[error("unreadable body")]
    Body(#[from] serde_json::Error),
}

/// Why a transaction has no positive answer.
#[derive(Debug, thiserror::Error)]
pub enum TransactionError {
    /// A precondition did not hold, of one of these keys; nothing was changed.
    #[error("guards failed: {0:?}")]
    Conflict(Vec<String>),
    /// Not executed: over the rate limit, in an outage, or never connected. It may be sent again.
    #[error("refused")]
    Refused(#[source] RequestError),
    /// Refused as malformed, now and at each repeat.
    #[error("malformed")]
    Malformed,
    /// The lease named in it has ended.
    #[error("the lease is over")]
    LeaseExpired,
    /// No answer: it may have been applied, or may be applied yet. Nothing may be assumed, and
    /// nothing contrary done, until a guarded key's revision has moved on.
    #[error("no answer")]
    Unknown(#[source] RequestError),
}

/// Why a read, a watch or a request for a lease has no positive answer.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The service keeps only the last changes: the keys must be listed again.
    #[error("the log no longer reaches back that far")]
    Compacted,
    /// The lease has ended.
    #[error("gone")]
    LeaseExpired,
    /// Nothing is known.
    #[error("no answer")]
    Failed(#[source] RequestError),
}

impl<E: Into<RequestError>> From<E> for ReadError {
    fn from(error: E) -> Self {
        ReadError::Failed(error.into())
    }
}
