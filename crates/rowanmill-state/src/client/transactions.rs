//! Transactions, which apply all of their operations or none.

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

/// Part of the service's response to a transaction that names a lease that has ended.
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
    /// change. The operations count against the write quota whatever the outcome.
    ///
    /// # Errors
    /// Each [`TransactionError`] states whether anything was or may have been changed.
    pub async fn compare_and_swap(
        &self,
        preconditions: &[Precondition],
        operations: &[Operation],
    ) -> Result<u64, TransactionError> {
        let request = TransactionRequest {
            preconditions,
            operations,
        };
        let body =
            serde_json::to_vec(&request).expect("a transaction of plain data serializes to JSON");
        lock(&self.write_limiter).consume(operations.len() as f64, Instant::now());
        counters::add(&self.counters.writes, operations.len());
        counters::add(&self.counters.preconditions, preconditions.len());
        let response = self
            .call(Method::POST, "/multi", body.into(), CALL_TIMEOUT)
            .await;
        match response {
            Ok((status, body)) => self.interpret_response(status, &body),
            Err(error @ CallError::Unconnected(_)) => Err(TransactionError::Refused(error.into())),
            Err(error @ CallError::Unanswered(_)) => Err(TransactionError::Unknown(error.into())),
        }
    }

    /// Converts a response to the transaction's outcome, and updates the quota if the response shows that the
    /// service's limits are lower.
    fn interpret_response(
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
            StatusCode::BAD_REQUEST => Err(self.interpret_bad_request(body)),
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

    fn interpret_bad_request(&self, body: &Bytes) -> TransactionError {
        let answer = String::from_utf8_lossy(body);
        if answer.contains(NO_SUCH_LEASE) {
            return TransactionError::LeaseExpired;
        }
        // What this version writes fits both the current and the announced limits, so a transaction that exceeds
        // the service's limits contains data written before. The announced limits must be in force.
        self.adopt_lower_quota();
        tracing::error!(%answer, "transaction rejected as malformed");
        TransactionError::Malformed
    }
}
