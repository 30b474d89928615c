//! Errors of requests to the state service, distinguished by what the caller may conclude from them.

use crate::http::CallError;
use hyper::StatusCode;

/// Why one request failed.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// No response was received.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The service responded with a status that has no more specific meaning for this request.
    #[error("the state service responded with status {0}")]
    Status(StatusCode),
    /// The response's body does not conform to the protocol.
    #[error("failed to decode the response body")]
    Body(#[from] serde_json::Error),
}

/// Why a transaction was not confirmed.
#[derive(Debug, thiserror::Error)]
pub enum TransactionError {
    /// The preconditions of these keys did not hold; nothing was changed. The list is empty
    /// if the service named no keys.
    #[error("guards failed: {0:?}")]
    Conflict(Vec<String>),
    /// The transaction was not executed, because of the rate limit, an outage or a failed connection. It may
    /// be sent again.
    #[error("transaction not executed")]
    Refused(#[source] RequestError),
    /// The service rejects the transaction as malformed; sending it again has the same result.
    #[error("transaction rejected as malformed")]
    Malformed,
    /// A lease that the transaction names has ended.
    #[error("the transaction's lease has expired")]
    LeaseExpired,
    /// The outcome is unknown: the transaction may have been applied, or may be applied later. The caller
    /// must assume neither, and must not write anything that contradicts the transaction, until the revision
    /// of a key in its preconditions has changed.
    #[error("outcome of the transaction unknown")]
    Unknown(#[source] RequestError),
}

/// Why a read, a watch or a lease request failed.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The service no longer keeps all changes after the requested revision: the keys must be listed again.
    #[error("requested revision has been compacted")]
    Compacted,
    /// The lease has ended.
    #[error("lease has expired")]
    LeaseExpired,
    /// The request failed, and nothing is known about the requested keys or lease.
    #[error("request failed")]
    Failed(#[source] RequestError),
}

impl<E: Into<RequestError>> From<E> for ReadError {
    fn from(error: E) -> Self {
        ReadError::Failed(error.into())
    }
}
