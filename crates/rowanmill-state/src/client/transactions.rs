//! Transactions: all operations under all preconditions, or none.

use super::{CALL_TIMEOUT, StateClient};
use crate::counters;
use crate::error::{RequestError, TransactionError};
use crate::http::CallError;
use crate::messages::{Operation, Precondition};
use crate::sync::lock;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// What the service says of a transaction that names an ended lease.
const NO_SUCH_LEASE: &str = "no such lease";

#[derive(Serialize)]
struct TransactionRequest<'a> {
    #[serde(rename = "guards")]
    preconditions: &'a [Precondition],
    #[serde(rename = "then")]
    operations: &'a [Operation],
}

#[derive(Deserialize)]
struct CommitResponse {
    #[serde(rename = "ledger")]
    revision: u64,
}

#[derive(Default, Deserialize)]
struct ConflictResponse {
    failed: Vec<String>,
}

impl StateClient {
    /// Applies all operations if all preconditions hold, and none otherwise. Returns the revision of the
    /// change. The operations count against the limit whatever becomes of them.
    ///
    /// # Errors
    /// [`TransactionError`] says for each outcome whether anything was or may have been changed.
    pub async fn compare_and_swap(
        &self,
        preconditions: &[Precondition],
        operations: &[Operation],
    ) -> Result<u64, TransactionError> {
        let request = TransactionRequest {
            preconditions,
            operations,
        };
        let body = serde_json::to_vec(&request).expect("plain data");
        lock(&self.write_limiter).consume(operations.len() as f64, Instant::now());
        counters::add(&self.counters.writes, operations.len());
        counters::add(&self.counters.preconditions, preconditions.len());
        let response = self
            .call(Method::POST, "/multi", body.into(), CALL_TIMEOUT)
            .await;
        match response {
            Ok((status, body)) => self.read_transaction_response(status, &body),
            Err(error @ CallError::Unconnected(_)) => Err(TransactionError::Refused(error.into())),
            Err(error @ CallError::Unanswered(_)) => Err(TransactionError::Unknown(error.into())),
        }
    }

    /// What a response means, and what it says of the limits.
    fn read_transaction_response(
        &self,
        status: StatusCode,
        body: &Bytes,
    ) -> Result<u64, TransactionError> {
        match status {
            StatusCode::OK => serde_json::from_slice::<CommitResponse>(body)
                .map(|response| response.revision)
                .map_err(|error| TransactionError::Unknown(error.into())),
            StatusCode::CONFLICT => {
                let response: ConflictResponse = serde_json::from_slice(body).unwrap_or_default();
                Err(TransactionError::Conflict(response.failed))
            }
            StatusCode::BAD_REQUEST => Err(self.read_bad_request(body)),
            StatusCode::TOO_MANY_REQUESTS => {
                self.record_refusal();
                Err(TransactionError::Refused(RequestError::Status(status)))
            }
            StatusCode::SERVICE_UNAVAILABLE => {
                Err(TransactionError::Refused(RequestError::Status(status)))
            }
            _ => Err(TransactionError::Unknown(RequestError::Status(status))),
        }
    }

    fn read_bad_request(&self, body: &Bytes) -> TransactionError {
        let answer = String::from_utf8_lossy(body);
        if answer.contains(NO_SUCH_LEASE) {
            return TransactionError::LeaseExpired;
        }
        // What this version writes fits both limits; what does not was written before.
        self.adopt_lower_quota();
        tracing::error!(%answer, "transaction rejected as malformed");
        TransactionError::Malformed
    }
}
