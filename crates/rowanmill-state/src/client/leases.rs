//! Leases. When a lease ends, the keys attached to it are removed.

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
    /// Creates a lease that ends after `ttl` unless it is extended.
    ///
    /// # Errors
    /// [`ReadError::Failed`]. The lease may have been created nevertheless, and then ends after `ttl`.
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

    /// Extends a lease to its full duration from now.
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

    /// Ends a lease at once, and removes the keys attached to it. Succeeds also if the lease has already ended.
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
