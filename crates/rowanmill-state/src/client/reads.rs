//! Reads: the watch, single keys and listings.

use super::{CALL_TIMEOUT, StateClient};
use crate::counters;
use crate::error::{ReadError, RequestError};
use crate::messages::{KeyValue, Listing};
use bytes::Bytes;
use hyper::StatusCode;
use serde_json::Value;
use std::time::Duration;

/// Number of keys on a page of a listing.
const LISTING_PAGE_KEYS: usize = 1000;

impl StateClient {
    /// Requests the changes under a prefix after the revision `from`. The service waits up to `hold` for a
    /// change. Returns the body, which [`WatchResponse::decode`](crate::WatchResponse::decode) decodes.
    ///
    /// # Errors
    /// [`ReadError::Compacted`] if the service no longer keeps all changes after `from`.
    pub async fn watch(&self, prefix: &str, from: u64, hold: Duration) -> Result<Bytes, ReadError> {
        let hold_ms = hold.as_millis();
        let path = format!("/follow?prefix={prefix}&from={from}&holdMs={hold_ms}");
        let (status, body) = self.get_path(&path, CALL_TIMEOUT + hold).await?;
        match status {
            StatusCode::OK => {
                counters::add(&self.counters.watched_bytes, body.len());
                Ok(body)
            }
            StatusCode::GONE => Err(ReadError::Compacted),
            _ => Err(RequestError::Status(status).into()),
        }
    }

    /// Reads a key's value; `None` if the key does not exist.
    ///
    /// # Errors
    /// [`ReadError::Failed`], also if the value cannot be decoded.
    pub async fn get(&self, key: &str) -> Result<Option<Value>, ReadError> {
        let Some(key_value) = self.get_key_value(key).await? else {
            return Ok(None);
        };
        let value = serde_json::from_str(key_value.value.get())?;
        Ok(Some(value))
    }

    /// Reads a key's value and the revision of its last change; `None` if the key does not exist.
    ///
    /// # Errors
    /// [`ReadError::Failed`], also if the response cannot be decoded.
    pub async fn get_key_value(&self, key: &str) -> Result<Option<KeyValue>, ReadError> {
        let path = format!("/store/{key}");
        let (status, body) = self.get_path(&path, CALL_TIMEOUT).await?;
        match status {
            StatusCode::OK => Ok(Some(serde_json::from_slice(&body)?)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(RequestError::Status(status).into()),
        }
    }

    /// Lists all keys under a prefix, and returns them with the revision of the first page. The pages are read
    /// at different revisions; applying a watch from the returned revision on makes them consistent.
    ///
    /// # Errors
    /// [`ReadError::Failed`] if the request for any page failed.
    pub async fn list_all(&self, prefix: &str) -> Result<(Vec<KeyValue>, u64), ReadError> {
        let mut all: Vec<KeyValue> = Vec::new();
        let mut first_revision = None;
        loop {
            let last_key = all.last().map(|key_value| key_value.key.clone());
            let page = self.list(prefix, last_key.as_deref()).await?;
            let revision = *first_revision.get_or_insert(page.revision);
            let is_last = !page.more || page.pairs.is_empty();
            all.extend(page.pairs);
            if is_last {
                return Ok((all, revision));
            }
        }
    }

    /// Lists one page of the keys under a prefix in order, starting after the key `after`.
    ///
    /// # Errors
    /// [`ReadError::Failed`], also if the response cannot be decoded.
    pub async fn list(&self, prefix: &str, after: Option<&str>) -> Result<Listing, ReadError> {
        let from = after.map(|key| format!("&from={key}")).unwrap_or_default();
        let path = format!("/store?prefix={prefix}{from}&limit={LISTING_PAGE_KEYS}");
        let (status, body) = self.get_path(&path, CALL_TIMEOUT * 2).await?;
        match status {
            StatusCode::OK => Ok(serde_json::from_slice(&body)?),
            _ => Err(RequestError::Status(status).into()),
        }
    }
}
