//! Leases: keys attached to one are removed when it ends.

use super::{CALL_TIMEOUT, StateClient};
use crate::error::{ReadError, RequestError};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use std::time::Duration;

#[derive(Deserialize)]
struct LeaseResponse {
    #[serde(rename = "tenancy")]
    lease: u64,
}

impl StateClient {
    /// A new lease of this length.
    ///
    /// # Errors
    /// [`ReadError::Failed`]; a lease may have been made all the same, and then ends by itself.
    pub async fn create_lease(&self, ttl: Duration) -> Result<u64, ReadError> {
        let body = format!("{{\"ttlMs\":{}}}", ttl.as_millis());
        let (status, body) = self
            .call(Method::POST, "/leases", body.into(), CALL_TIMEOUT)
            .await?;
        match status {
            StatusCode::OK => Ok(serde_json::from_slice::<LeaseResponse>(&body)?.lease),
            _ => Err(RequestError::Status(status).into()),
        }
    }

    /// Gives a lease its full time again.
    ///
    /// # Errors
    /// [`ReadError::LeaseExpired`] if it has ended.
    pub async fn extend_lease(&self, lease: u64) -> Result<(), ReadError> {
        let path = format!("/leases/{lease}/extend");
        let (status, _) = self
            .call(Method::POST, &path, Bytes::new(), CALL_TIMEOUT)
            .await?;
        match status {
            StatusCode::OK => Ok(()),
            StatusCode::NOT_FOUND => Err(ReadError::LeaseExpired),
            _ => Err(RequestError::Status(status).into()),
        }
    }

    /// Ends a lease at once, and removes the keys attached to it. One that has ended before is fine.
    ///
    /// # Errors
    /// [`ReadError::Failed`] if it may not have ended.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), ReadError> {
        let path = format!("/leases/{lease}");
        let (status, _) = self
            .call(Method::DELETE, &path, Bytes::new(), CALL_TIMEOUT)
            .await?;
        if status.is_success() || status == StatusCode::NOT_FOUND {
            Ok(())
        } else {
            Err(RequestError::Status(status).into())
        }
    }
}
