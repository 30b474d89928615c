//! The requests of the state service's protocol.

use super::Response;
use super::store::Store;
use crate::StubRequest;
use serde_json::json;
use std::time::Duration;

impl Store {
    /// Executes a request, except those that follow the log: [`StateService`](super::StateService) handles them. A
    /// listing is always complete, without pages.
    pub fn route(&mut self, request: &StubRequest) -> Response {
        let segments: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (request.method.as_str(), segments.as_slice()) {
            ("POST", ["multi"]) => self.transact(&request.body),
            ("POST", ["leases"]) => {
                let milliseconds = request.body["ttlMs"].as_u64().unwrap();
                let id = self.grant_lease(Duration::from_millis(milliseconds));
                (200, json!({"tenancy": id}))
            }
            ("POST", ["leases", id, "extend"]) => {
                let status = if self.extend_lease(id.parse().unwrap()) {
                    200
                } else {
                    404
                };
                (status, json!({}))
            }
            ("DELETE", ["leases", id]) => {
                self.end_lease(id.parse().unwrap());
                (200, json!({}))
            }
            ("GET", ["store"]) => {
                let after = request.query.get("from").map_or("", String::as_str);
                let pairs = self.list(&request.query["prefix"], after);
                let body = json!({"pairs": pairs, "more": false, "ledger": self.revision});
                (200, body)
            }
            ("GET", ["store", ..]) => {
                let key = request.path.trim_start_matches("/store/");
                match self.get(key) {
                    Some(entry) => (200, entry),
                    None => (404, json!({"ledger": self.revision})),
                }
            }
            _ => (400, json!({"error": "malformed"})),
        }
    }
}
